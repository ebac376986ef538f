// Package node puts the parts of an entry instance together.
package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"crocusfold.dev/entry/admission"
	"crocusfold.dev/entry/cache"
	"crocusfold.dev/entry/config"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/desk"
	"crocusfold.dev/entry/engineclient"
	"crocusfold.dev/entry/gateway"
	"crocusfold.dev/entry/guard"
	"crocusfold.dev/entry/limits"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/strikes"
	"crocusfold.dev/shell/instances"
	"crocusfold.dev/shell/logstream"
	"crocusfold.dev/shell/network"
	"crocusfold.dev/shell/peer"
)

// configStream is the log stream of the configuration.
const configStream = "config"

// Limits of the HTTP servers and clients.
const (
	headerLimit  = 10 * time.Second
	metricsEvery = time.Second
)

// Node is an entry instance.
type Node struct {
	cfg     config.Settings
	net     network.Network
	logger  log.Logger
	follow  *configsync.Follower
	desk    *desk.Desk
	fleet   *admission.Admission
	limits  *limits.Limits
	strikes *strikes.Strikes
	gate    *gateway.Gateway
	mesh    *mesh.Mesh
	close   func()
}

// NewNode builds an instance from its settings.
func NewNode(cfg config.Settings, net network.Network, logger log.Logger) *Node {
	n := &Node{cfg: cfg, net: net, logger: logger}
	part := func(name string) log.Logger { return log.With(logger, "part", name) }
	upstreams := &http.Client{Transport: net.Transport()}
	engines := &http.Client{Transport: guard.Transport(net.Transport())}
	platform := &http.Client{Transport: named{cfg.Name, net.Transport()}}
	self := cfg.Member()
	n.mesh = &mesh.Mesh{Self: self, Token: cfg.PeerToken, Client: &http.Client{Transport: net.Transport()}}
	n.follow = &configsync.Follower{
		Self: self, Endpoint: n.mesh, Logger: part("config"),
		Log:       &logstream.Stream{Address: cfg.Log, Name: configStream, Client: platform},
		Instances: &instances.Client{Address: cfg.InstanceList, HTTP: platform},
	}
	n.desk = &desk.Desk{Log: cfg.Log, Client: platform, Streams: cfg.ClaimStreams, Follow: n.follow, Mesh: n.mesh, Logger: part("orders")}
	n.fleet = &admission.Admission{Self: self, Follower: n.follow, Endpoint: n.mesh, Client: upstreams, Logger: part("fleet")}
	n.limits = &limits.Limits{Self: self, Follower: n.follow, Endpoint: n.mesh}
	n.strikes = &strikes.Strikes{Self: self, Follow: n.follow, Mesh: n.mesh}
	n.strikes.Attach()
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocusfold", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
	}, metricsEvery)
	n.close = func() {
		n.mesh.Close()
		upstreams.CloseIdleConnections()
		engines.CloseIdleConnections()
		platform.CloseIdleConnections()
		_ = closer.Close()
	}
	n.gate = &gateway.Gateway{
		Settings: cfg, Follower: n.follow, Claims: n.desk, Admission: n.fleet, Limits: n.limits, Isolation: n.strikes,
		Cache:   &cache.Cache{Client: upstreams, Logger: part("cache")},
		Engines: &engineclient.Client{HTTP: engines},
		Network: net,
		Metrics: scope, MetricsPage: reporter.HTTPHandler(), Logger: part("gate"),
	}
	return n
}

// named tells the platform which instance calls.
type named struct {
	name string
	next http.RoundTripper
}

// RoundTrip adds the instance's name to a call.
func (t named) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("X-Instance", t.name)
	return t.next.RoundTrip(r)
}

// Run serves until ctx ends, then stops gracefully: it turns unready, goes on
// accepting for a while, and lets running requests end.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.follow.Attach()
	n.fleet.Attach()
	n.limits.Attach()
	n.desk.Attach(work)
	callers, err := n.net.Listen(n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	peers, err := n.net.Listen(n.cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, n.mesh.Accept())
	front := &http.Server{Handler: n.gate.Handler(), ReadHeaderTimeout: headerLimit}
	back := &http.Server{Handler: peerMux, ReadHeaderTimeout: headerLimit}
	errs := make(chan error, 2)
	go func() { errs <- front.Serve(callers) }()
	go func() { errs <- back.Serve(peers) }()
	var wg sync.WaitGroup
	wg.Go(func() { n.follow.Run(work) })
	wg.Go(func() { n.fleet.Run(work) })
	wg.Go(func() { n.limits.Run(work) })
	wg.Go(func() { n.strikes.Run(work) })
	_ = n.logger.Log("part", "node", "msg", "The instance serves.", "listen", n.cfg.Listen, "peers", n.cfg.PeerListen)
	select {
	case err := <-errs:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	n.shutDown(front)
	stop()
	wg.Wait()
	_ = back.Close()
	return nil
}

func (n *Node) shutDown(front *http.Server) {
	_ = n.logger.Log("part", "node", "msg", "The instance is leaving.", "in-flight", n.gate.InFlight())
	n.follow.Leave()
	time.Sleep(n.cfg.UnreadyWait)
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.StopLimit)
	defer cancel()
	if err := front.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		_ = n.logger.Log("part", "node", "msg", "Requests still ran when the stop limit passed.", "in-flight", n.gate.InFlight())
		_ = front.Close()
	}
	n.desk.Drain()
	_ = n.logger.Log("part", "node", "msg", "The instance has stopped.")
}
