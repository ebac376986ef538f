// Command crocus-edge runs an entry instance on the users' platform.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/cmd/internal/daemon"
	"crocusfold.dev/entry/edge"
	"crocusfold.dev/platform"
	"crocusfold.dev/shell/clock"
	"crocusfold.dev/shell/logsink"
	"crocusfold.dev/shell/network"
)

const usage = `An entry instance of crocusfold on the users' platform. It serves callers,
routes their requests to replicas and stores, and follows the operators'
configuration from the platform's log.

  CROCUSFOLD_CONFIG=boot.json crocus-edge

The variable names the platform's settings file; --settings overrides it.
SIGTERM stops the instance gracefully.`

// gcPercent is the growth of the heap, in percent, that triggers a garbage collection. It
// is below Go's default of 100, since memory costs more than processor time on small
// instances.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	p := &program{}
	sink := logsink.NewSink(os.Stdout, time.Now)
	d := daemon.Daemon{
		Name: "crocus-edge", Usage: usage, Load: p.load, Reload: p.reload, SettingsVariable: platform.SettingsEnv,
		Log: sink,
	}
	code := d.Main(os.Args[1:])
	sink.Close()
	os.Exit(code)
}

// program keeps the instance that load has created, for reload.
type program struct {
	edge *edge.Edge
}

func (p *program) load(file string, logger log.Logger) (func(context.Context) error, error) {
	cfg, err := platform.LoadSettings(file)
	if err != nil {
		return nil, fmt.Errorf("loading the settings: %w", err)
	}
	net := network.Network{}
	client := &http.Client{Transport: net.Transport()}
	store := &platform.MetadataStore{Address: cfg.MetadataStore, Client: client}
	adapter := edge.Platform{
		Log: store, Origins: &platform.Journal{Store: store, Topic: platform.OriginsTopic},
		Versions: &platform.KeyedTopic{Store: store, Topic: platform.VersionsTopic},
		Decoder:  platform.Decoder{}, Dialect: platform.Dialect{},
		Control: platform.Control{Client: client}, ReadyPath: platform.ReadyPath,
	}
	p.edge = edge.NewEdge(cfg.Settings, adapter, net, clock.Now, log.With(logger, "instance", cfg.Name))
	return p.edge.Run, nil
}

func (p *program) reload(file string) error {
	cfg, err := platform.LoadSettings(file)
	if err != nil {
		return fmt.Errorf("loading the settings: %w", err)
	}
	p.edge.Reload(cfg.Settings)
	return nil
}
