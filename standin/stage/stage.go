// Package stage starts the stand-ins that a file lists, each on its own address.
package stage

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/shell/network"
	"crocusfold.dev/standin/engine"
	"crocusfold.dev/standin/instancelist"
	"crocusfold.dev/standin/kvstore"
	"crocusfold.dev/standin/logservice"
	"crocusfold.dev/standin/service"
	"crocusfold.dev/standin/weightstore"
)

// Stage lists stand-ins. Its keys are those of the settings file.
type Stage struct {
	Logs      []Log           `json:"logs"`
	Instances []InstanceLists `json:"instance-lists"`
	Weights   []Place         `json:"weight-stores"`
	Stores    []Place         `json:"kv-stores"`
	Engines   []Engine        `json:"engines"`
	Services  []Place         `json:"services"`
}

// Place is a stand-in with a name and an address.
type Place struct {
	Name   string         `json:"name" required:"true"`
	Listen netip.AddrPort `json:"listen" required:"true"`
}

// Log is a log service.
type Log struct {
	Listen    netip.AddrPort `json:"listen" required:"true"`
	Retention time.Duration  `json:"retention"`
	Rate      int            `json:"appends-per-second"`
}

// InstanceLists is a list of instances with its first members.
type InstanceLists struct {
	Listen  netip.AddrPort  `json:"listen" required:"true"`
	Members []roster.Member `json:"members"`
}

// Engine is a model engine.
type Engine struct {
	Name      string         `json:"name" required:"true"`
	Listen    netip.AddrPort `json:"listen" required:"true"`
	Model     string         `json:"model" required:"true"`
	Version   string         `json:"version" required:"true"`
	Fencing   bool           `json:"fencing"`
	WarmUp    time.Duration  `json:"warm-up"`
	Token     time.Duration  `json:"token-time"`
	Prefill   time.Duration  `json:"prefill-time"`
	Cache     int            `json:"cache-blocks"`
	ColdLimit int            `json:"cold-limit"`
	WarmLimit int            `json:"warm-limit"`
	// WeightStore is the address of the weight store; weights load at once
	// without it.
	WeightStore netip.AddrPort `json:"weight-store"`
}

type server struct {
	name    string
	listen  netip.AddrPort
	handler http.Handler
}

// Run serves all stand-ins until ctx ends. Each is on the network that on
// returns for its name.
func (s Stage) Run(ctx context.Context, on func(name string) network.Network) error {
	all := s.servers(on)
	if len(all) == 0 {
		return fmt.Errorf("starting stand-ins: the file lists none")
	}
	errs := make(chan error, len(all))
	for _, one := range all {
		ln, err := on(one.name).Listen(one.listen)
		if err != nil {
			return fmt.Errorf("starting a stand-in: %w", err)
		}
		srv := &http.Server{Handler: one.handler, ReadHeaderTimeout: 10 * time.Second}
		defer srv.Close()
		go func() { errs <- srv.Serve(ln) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return fmt.Errorf("serving: %w", err)
	}
}

func (s Stage) servers(on func(string) network.Network) []server {
	var all []server
	for _, l := range s.Logs {
		svc := &logservice.Service{Retention: l.Retention, Rate: l.Rate}
		all = append(all, server{"log", l.Listen, svc.Handler()})
	}
	for _, l := range s.Instances {
		list := &instancelist.List{}
		for _, m := range l.Members {
			list.Put(m)
		}
		all = append(all, server{"instance-list", l.Listen, list.Handler()})
	}
	for _, p := range s.Weights {
		all = append(all, server{p.Name, p.Listen, (&weightstore.Store{}).Handler()})
	}
	for _, p := range s.Stores {
		all = append(all, server{p.Name, p.Listen, (&kvstore.Store{}).Handler()})
	}
	for _, p := range s.Services {
		all = append(all, server{p.Name, p.Listen, (&service.Service{Name: p.Name}).Handler()})
	}
	for _, e := range s.Engines {
		t := engine.Timing{
			Token: e.Token, Prefill: e.Prefill, WarmUp: e.WarmUp,
			CacheBlocks: e.Cache, ColdLimit: e.ColdLimit, WarmLimit: e.WarmLimit,
		}
		one := &engine.Engine{Name: e.Name, Model: e.Model, Version: e.Version, Fencing: e.Fencing, Weights: e.WeightStore, Timing: t, Client: &http.Client{Transport: on(e.Name).Transport()}}
		all = append(all, server{e.Name, e.Listen, one.Handler()})
	}
	return all
}
