// Command crocus-entry runs an entry instance between callers and upstreams.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"crocusfold.dev/cmd/internal/daemon"
	"crocusfold.dev/entry/config"
	"crocusfold.dev/entry/node"
	"crocusfold.dev/shell/network"
)

const usage = `An entry instance of crocusfold. It serves callers over HTTP, routes
their requests to upstreams, and follows the operators' configuration from the
platform's log.

  crocus-entry --settings entry.yaml

SIGTERM stops it gracefully: it becomes unready, continues to serve until the
load balancer has had time to notice, and exits when its running requests have
ended, at the latest at the stop limit.`

func main() {
	d := daemon.Daemon{Name: "crocus-entry", Usage: usage, Load: load}
	os.Exit(d.Main(os.Args[1:]))
}

func load(file string, logger log.Logger) (func(context.Context) error, error) {
	cfg, err := config.Load(file)
	if err != nil {
		return nil, err
	}
	return node.NewNode(cfg, network.Network{}, log.With(logger, "instance", cfg.Name)).Run, nil
}
