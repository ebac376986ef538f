// Command crocus-standin runs stand-ins for the platform and the upstreams.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"crocusfold.dev/cmd/internal/daemon"
	"crocusfold.dev/shell/network"
	"crocusfold.dev/shell/settings"
	"crocusfold.dev/standin/testbed"
)

const usage = `Stand-ins for trying crocusfold on one machine: the log service, the
list of instances, the weight store, KV stores, model engines and plain
services, as the settings file lists them.

  crocus-standin --settings stand-ins.yaml

A PUT request sets the faults of a stand-in:

  curl -X PUT http://ADDRESS/stand-in/faults -d '{"down": true}'`

func main() {
	d := daemon.Daemon{Name: "crocus-standin", Usage: usage, Load: load}
	os.Exit(d.Main(os.Args[1:]))
}

func load(file string, _ log.Logger) (func(context.Context) error, error) {
	var s testbed.Testbed
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		return s.Run(ctx, func(string) network.Network { return network.Network{} })
	}, nil
}
