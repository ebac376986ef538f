// Package testbed serves the stand-ins that a settings file lists, each on its own
// address.
package testbed

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

// Testbed lists the stand-ins to serve. Its JSON keys are those of the settings file.
type Testbed struct {
	Logs          []Log          `json:"logs"`
	InstanceLists []InstanceList `json:"instance-lists"`
	WeightStores  []Endpoint     `json:"weight-stores"`
	KVStores      []Endpoint     `json:"kv-stores"`
	Engines       []Engine       `json:"engines"`
	Services      []Endpoint     `json:"services"`
}

// Endpoint is the name and the address of a stand-in without further settings.
type Endpoint struct {
	Name   string         `json:"name" required:"true"`
	Listen netip.AddrPort `json:"listen" required:"true"`
}

// Log is a log service. Zero values of Retention and Rate select its defaults.
type Log struct {
	Listen    netip.AddrPort `json:"listen" required:"true"`
	Retention time.Duration  `json:"retention"`
	Rate      int            `json:"appends-per-second"`
}

// InstanceList is a list of instances and its initial members.
type InstanceList struct {
	Listen  netip.AddrPort  `json:"listen" required:"true"`
	Members []roster.Member `json:"members"`
}

// Engine is a model engine. The fields are those of engine.Engine and engine.Params.
type Engine struct {
	Name        string         `json:"name" required:"true"`
	Listen      netip.AddrPort `json:"listen" required:"true"`
	Model       string         `json:"model" required:"true"`
	Version     string         `json:"version" required:"true"`
	Fencing     bool           `json:"fencing"`
	WarmUp      time.Duration  `json:"warm-up"`
	TokenTime   time.Duration  `json:"token-time"`
	PrefillTime time.Duration  `json:"prefill-time"`
	CacheBlocks int            `json:"cache-blocks"`
	ColdLimit   int            `json:"cold-limit"`
	WarmLimit   int            `json:"warm-limit"`
	// WeightStore is the address of the weight store. Without it, weights load
	// immediately.
	WeightStore netip.AddrPort `json:"weight-store"`
}

// server is a stand-in ready to be served.
type server struct {
	name    string
	listen  netip.AddrPort
	handler http.Handler
}

// Run serves all stand-ins until ctx is done or one of them fails. networkOf returns
// the network to use for a stand-in's name; logs use the name "log", instance lists
// "instance-list".
func (tb Testbed) Run(ctx context.Context, networkOf func(name string) network.Network) error {
	servers := tb.servers(networkOf)
	if len(servers) == 0 {
		return fmt.Errorf("starting stand-ins: the settings file lists none")
	}
	errs := make(chan error, len(servers))
	for _, s := range servers {
		ln, err := networkOf(s.name).Listen(s.listen)
		if err != nil {
			return fmt.Errorf("starting a stand-in: %w", err)
		}
		srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
		defer srv.Close()
		go func() { errs <- srv.Serve(ln) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return fmt.Errorf("serving a stand-in: %w", err)
	}
}

func (tb Testbed) servers(networkOf func(string) network.Network) []server {
	var servers []server
	for _, l := range tb.Logs {
		svc := &logservice.Service{Retention: l.Retention, Rate: l.Rate}
		servers = append(servers, server{"log", l.Listen, svc.Handler()})
	}
	for _, l := range tb.InstanceLists {
		list := &instancelist.List{}
		for _, m := range l.Members {
			list.Put(m)
		}
		servers = append(servers, server{"instance-list", l.Listen, list.Handler()})
	}
	for _, p := range tb.WeightStores {
		servers = append(servers, server{p.Name, p.Listen, (&weightstore.Store{}).Handler()})
	}
	for _, p := range tb.KVStores {
		servers = append(servers, server{p.Name, p.Listen, (&kvstore.Store{}).Handler()})
	}
	for _, p := range tb.Services {
		servers = append(servers, server{p.Name, p.Listen, (&service.Service{Name: p.Name}).Handler()})
	}
	for _, e := range tb.Engines {
		params := engine.Params{
			TokenTime: e.TokenTime, PrefillTime: e.PrefillTime, WarmUp: e.WarmUp,
			CacheBlocks: e.CacheBlocks, ColdLimit: e.ColdLimit, WarmLimit: e.WarmLimit,
		}
		eng := &engine.Engine{Name: e.Name, Model: e.Model, Version: e.Version, Fencing: e.Fencing, WeightStore: e.WeightStore, Params: params, Client: &http.Client{Transport: networkOf(e.Name).Transport()}}
		servers = append(servers, server{e.Name, e.Listen, eng.Handler()})
	}
	return servers
}
