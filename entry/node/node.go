// Package node assembles an instance of crocus-entry from its parts, runs it and shuts
// it down.
package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"crocusfold.dev/core/memorybudget"
	"crocusfold.dev/entry/admission"
	"crocusfold.dev/entry/cache"
	"crocusfold.dev/entry/callerconns"
	"crocusfold.dev/entry/claims"
	"crocusfold.dev/entry/config"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/engineclient"
	"crocusfold.dev/entry/gateway"
	"crocusfold.dev/entry/guard"
	"crocusfold.dev/entry/isolation"
	"crocusfold.dev/entry/limits"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/instances"
	"crocusfold.dev/shell/logstream"
	"crocusfold.dev/shell/network"
	"crocusfold.dev/shell/peer"
)

// configStream is the name of the log stream that holds the configuration.
const configStream = "config"

// Timeouts and intervals of the HTTP servers and the metrics.
const (
	readHeaderTimeout = 10 * time.Second
	metricsInterval   = time.Second
	// maxHeaderBytes bounds the header of a caller's request. It is the bound of the front of
	// crocus-edge before it has a configuration.
	maxHeaderBytes = 64 << 10
	// maxPeerHeaderBytes and maxPeerHandshakes bound what the peer port takes from connections
	// that are not those of peers yet.
	maxPeerHeaderBytes = 4 << 10
	maxPeerHandshakes  = 64
	// goMemoryShare is the share of the machine's memory, in percent, from which on the heap is
	// collected more often, and peerFrameShare that for incomplete frames of peers, as one in
	// so many.
	goMemoryShare  = 60
	peerFrameShare = 10
)

// Node is an instance of crocus-entry.
type Node struct {
	cfg       config.Settings
	network   network.Network
	logger    log.Logger
	follower  *configsync.Follower
	claims    *claims.Claims
	admission *admission.Admission
	limits    *limits.Limits
	isolation *isolation.Isolation
	gateway   *gateway.Gateway
	endpoint  *peerrpc.Endpoint
	countEnd  func(callerconns.Reason)
	close     func()
}

// NewNode returns an instance with these settings, ready for Run.
func NewNode(cfg config.Settings, nw network.Network, logger log.Logger) *Node {
	n := &Node{cfg: cfg, network: nw, logger: logger}
	part := func(name string) log.Logger { return log.With(logger, "part", name) }
	upstreamClient := &http.Client{Transport: nw.Transport()}
	engineClient := &http.Client{Transport: guard.Transport(nw.Transport())}
	platformClient := &http.Client{Transport: instanceNameTransport{cfg.Name, nw.Transport()}}
	self := cfg.Member()
	n.endpoint = &peerrpc.Endpoint{Self: self, Token: cfg.PeerToken, Client: &http.Client{Transport: nw.Transport()}}
	n.follower = &configsync.Follower{
		Self: self, Endpoint: n.endpoint, Logger: part("config"),
		Log:       &logstream.Stream{Address: cfg.Log, Name: configStream, Client: platformClient},
		Instances: &instances.Client{Address: cfg.InstanceList, HTTP: platformClient},
	}
	n.claims = &claims.Claims{LogAddress: cfg.Log, Client: platformClient, Streams: cfg.ClaimStreams, Follower: n.follower, Endpoint: n.endpoint, Logger: part("orders")}
	n.admission = &admission.Admission{Self: self, Follower: n.follower, Endpoint: n.endpoint, Client: upstreamClient, Logger: part("fleet")}
	n.limits = &limits.Limits{Self: self, Follower: n.follower, Endpoint: n.endpoint}
	n.isolation = &isolation.Isolation{Self: self, Follower: n.follower, Endpoint: n.endpoint}
	n.isolation.Attach()
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocusfold", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
	}, metricsInterval)
	n.countEnd = func(r callerconns.Reason) {
		scope.Tagged(map[string]string{"reason": string(r)}).Counter("callers_ended").Inc(1)
	}
	n.close = func() {
		n.endpoint.Close()
		upstreamClient.CloseIdleConnections()
		engineClient.CloseIdleConnections()
		platformClient.CloseIdleConnections()
		_ = closer.Close()
	}
	n.gateway = &gateway.Gateway{
		Settings: cfg, Follower: n.follower, Claims: n.claims, Admission: n.admission, Limits: n.limits, Isolation: n.isolation,
		Cache:   &cache.Cache{Client: upstreamClient, Logger: part("cache")},
		Engines: &engineclient.Client{HTTP: engineClient},
		Network: nw,
		Metrics: scope, MetricsPage: reporter.HTTPHandler(), Logger: part("gate"),
	}
	return n
}

// instanceNameTransport sets the header by which the platform identifies the calling
// instance.
type instanceNameTransport struct {
	name string
	next http.RoundTripper
}

// RoundTrip sends a copy of the request with the instance's name in X-Instance.
func (t instanceNameTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("X-Instance", t.name)
	return t.next.RoundTrip(r)
}

// Run serves until ctx ends, then shuts down gracefully: it turns unready, accepts
// requests for UnreadyWait, and lets running requests finish within StopLimit. It
// returns an error if an address can't be bound or a server fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.follower.Attach()
	n.admission.Attach()
	n.limits.Attach()
	n.claims.Attach(workCtx)
	callerListener, err := n.network.Listen(n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	peerListener, err := n.network.Listen(n.cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, n.endpoint.HTTPHandler())
	callers := &callerconns.Listener{Listener: callerListener, HeaderBytes: maxHeaderBytes, Memory: n.limitMemory()}
	callerServer := &http.Server{
		Handler: n.gateway.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: callers.Observe, ConnContext: callers.Context,
	}
	peers := &callerconns.Listener{Listener: peerListener, HeaderBytes: maxPeerHeaderBytes, Memory: &callerconns.Memory{}}
	peers.Memory.SetLimits(memorybudget.Limits{Connections: maxPeerHandshakes})
	peerServer := &http.Server{Handler: peerMux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxPeerHeaderBytes, ConnState: peers.Observe}
	errs := make(chan error, 2)
	go func() { errs <- callerServer.Serve(callers) }()
	go func() { errs <- peerServer.Serve(peers) }()
	var wg sync.WaitGroup
	wg.Go(func() { n.follower.Run(workCtx) })
	wg.Go(func() { n.admission.Run(workCtx) })
	wg.Go(func() { n.limits.Run(workCtx) })
	wg.Go(func() { n.isolation.Run(workCtx) })
	_ = n.logger.Log("part", "node", "msg", "The instance serves.", "listen", n.cfg.Listen, "peers", n.cfg.PeerListen)
	select {
	case err := <-errs:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	n.shutDown(callerServer)
	stop()
	wg.Wait()
	_ = peerServer.Close()
	return nil
}

// limitMemory returns the memory that connections of callers share.
func (n *Node) limitMemory() *callerconns.Memory {
	memory := &callerconns.Memory{Logger: log.With(n.logger, "part", "callers"), OnEnd: n.countEnd}
	memory.SetLimits(memorybudget.Limits{MemoryMB: n.cfg.MemoryMB, MaxFDs: n.cfg.MaxFDs})
	if mb := n.cfg.MemoryMB; mb > 0 {
		n.endpoint.Inbound.SetLimit(mb << 20 / peerFrameShare)
		debug.SetMemoryLimit(int64(mb) << 20 * goMemoryShare / 100)
	}
	return memory
}

// shutDown stops the caller server gracefully. Requests that still run after StopLimit
// are cut off.
func (n *Node) shutDown(callerServer *http.Server) {
	_ = n.logger.Log("part", "node", "msg", "The instance is leaving.", "in-flight", n.gateway.InFlight())
	n.follower.Leave()
	time.Sleep(n.cfg.UnreadyWait)
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.StopLimit)
	defer cancel()
	if err := callerServer.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		_ = n.logger.Log("part", "node", "msg", "Requests were still running at the stop limit.", "in-flight", n.gateway.InFlight())
		_ = callerServer.Close()
	}
	n.claims.Drain()
	_ = n.logger.Log("part", "node", "msg", "The instance has stopped.")
}
