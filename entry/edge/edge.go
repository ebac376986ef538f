// Package edge puts an entry instance together that runs on a platform's log.
package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"crocusfold.dev/core/crew"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/retry"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/duty"
	"crocusfold.dev/entry/gossip"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/relay"
	"crocusfold.dev/entry/setup"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/entry/upstreams"
	"crocusfold.dev/shell/clock"
	"crocusfold.dev/shell/network"
	"crocusfold.dev/shell/peer"
)

// Limits of the HTTP servers.
const (
	headerLimit = 5 * time.Second
	idleLimit   = 60 * time.Second
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 64 << 10
	// readyShare is the part of the time for revoked keys up to which a view of
	// the configuration may age before the instance turns unready.
	readyShare = 0.6
	// listenRetry is the pause after an address could not be bound.
	listenRetry = 100 * time.Millisecond
	listenTries = 50
	// unreadyWait is how long requests are taken after a signal to stop: the
	// balancer needs two questions, one a second, and what is taken later may not
	// end within the grace.
	unreadyWait = 2600 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 600 * time.Millisecond
	// announceEvery is how often the instance's own record is tried to be written.
	announceEvery = 500 * time.Millisecond
	// metricsEvery is how often counters are added up.
	metricsEvery = 2 * time.Second
	// metricsPort and metricsPath are where the metrics are served.
	metricsPort = 9464
	metricsPath = "/metrics"
)

// Outside is the platform's side of an instance.
type Outside struct {
	Log       adapter.Log
	Decoder   adapter.Decoder
	Dialect   adapter.Dialect
	Control   adapter.Control
	ReadyPath string
}

// Edge is an entry instance.
type Edge struct {
	cfg       setup.Settings
	out       Outside
	net       network.Network
	now       func() time.Time
	logger    log.Logger
	bounds    setup.Live
	topics    *topics.Topics
	upstreams *upstreams.Upstreams
	gossip    *gossip.Gossip
	duty      *duty.Duty
	relay     *relay.Relay
	crashes   *relay.Crashes
	mesh      *mesh.Mesh
	budgets   *retry.Budgets
	leaving   atomic.Bool
	conns     atomic.Int64

	metricsPage  http.Handler
	closeMetrics io.Closer
	gauges       func(now time.Time)
}

// NewEdge builds an instance. The clock must also count the time in which the
// machine was suspended.
func NewEdge(cfg setup.Settings, out Outside, network network.Network, now func() time.Time, logger log.Logger) *Edge {
	part := func(name string) log.Logger { return log.With(logger, "part", name) }
	self := roster.Member{Name: cfg.Name, Address: cfg.Peers, DataCentre: cfg.DataCentre}
	e := &Edge{cfg: cfg, out: out, net: network, now: now, logger: part("edge")}
	e.bounds.Set(cfg.Bounds)
	scope := e.metrics()
	out.Log = countedLog{out.Log, scope}
	e.out.Log = out.Log
	e.mesh = &mesh.Mesh{Self: self, Client: &http.Client{Transport: network.Transport()}}
	e.upstreams = &upstreams.Upstreams{
		Network: network, Decoder: out.Decoder, Now: now, Logger: part("upstreams"), DataCentre: cfg.DataCentre,
		Bounds: &e.bounds,
	}
	e.topics = &topics.Topics{
		Log: out.Log, Decoder: out.Decoder, Now: now, Logger: part("topics"), Bounds: &e.bounds,
		OnUpstreams: e.upstreams.TakeReplicas,
		OnIntent:    e.upstreams.Configure,
	}
	e.duty = &duty.Duty{
		Name: cfg.Name, Bounds: &e.bounds, Log: out.Log, Control: out.Control,
		Topics: e.topics, Upstreams: e.upstreams, Now: now, Logger: part("duty"),
	}
	metrics := relay.NewMetrics(scope)
	e.crashes = relay.NewCrashes(xxhash.Sum64String(cfg.Name))
	e.crashes.Logger, e.crashes.Metrics, e.crashes.Now = part("crashes"), metrics, now
	e.crashes.Put = func(ctx context.Context, value []byte) error {
		return out.Log.Put(ctx, relay.CrashKeyPrefix+cfg.Name, value)
	}
	e.gossip = &gossip.Gossip{
		Self: membership.Entry{
			Name: cfg.Name, Address: cfg.Peers, DataCentre: cfg.DataCentre, Power: cfg.Power,
			Revision: uint64(time.Now().UnixMilli()),
		},
		Seeds: cfg.Seeds, Mesh: e.mesh, Topics: e.topics, Upstreams: e.upstreams,
		Now: now, Logger: part("peers"), Duty: e.duty, Crashes: e.crashes,
	}
	e.topics.OnInstances, e.topics.Reads = e.takeInstances, e.gossip.Reads
	e.topics.Alone, e.topics.OnNews, e.crashes.RequestRecords = e.gossip.Alone, e.gossip.Nudge, e.topics.WantInstances
	e.crashes.NotifyPeers, e.upstreams.OnEnded = e.gossip.Nudge, e.crashes.RecordReplicaCrash
	e.upstreams.Cleans, e.upstreams.Follows = e.duty.Holds, e.gossip.FollowsStores
	e.duty.Nudge, e.duty.Rank, e.duty.PeersFetch = e.gossip.Nudge, e.gossip.Rank, e.gossip.Fetched
	e.budgets = &retry.Budgets{Share: cfg.Bounds.RetryShare, Slack: cfg.Bounds.RetrySlack}
	e.gossip.OnCrew = func(c crew.Crew) {
		e.upstreams.SetCrew(c)
		e.budgets.SetInstances(c.Size())
	}
	e.relay = &relay.Relay{
		Bounds: &e.bounds, Dialect: out.Dialect, Topics: e.topics, Upstreams: e.upstreams,
		Budgets: e.budgets, Now: now, Logger: part("relay"), Metrics: metrics, Crashes: e.crashes,
	}
	return e
}

// metrics opens the root of the metrics and notes the page that shows them.
func (e *Edge) metrics() tally.Scope {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocusfold", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
	}, metricsEvery)
	e.metricsPage, e.closeMetrics = reporter.HTTPHandler(), closer
	proof := scope.Gauge("proof_age_seconds")
	holder := scope.Gauge("duty_held")
	inFlight := scope.Gauge("in_flight")
	root := scope.Gauge("overlay_root")
	members := scope.Gauge("overlay_living")
	e.gauges = func(now time.Time) {
		if age, ok := e.topics.ProofAge(now); ok {
			proof.Update(age.Seconds())
		}
		place, living := e.gossip.Show()
		root.Update(oneIf(place.Root))
		members.Update(float64(living))
		holder.Update(oneIf(e.duty.Holds(now)))
		inFlight.Update(float64(e.relay.InFlight()))
		for service, left := range e.budgets.Left() {
			scope.Tagged(map[string]string{"service": service}).Gauge("retries_left").Update(left)
		}
	}
	return scope
}

// oneIf is the value of a gauge that shows whether something holds.
func oneIf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// showMetrics updates the gauges and serves the page.
func (e *Edge) showMetrics(w http.ResponseWriter, r *http.Request) {
	e.gauges(e.now())
	e.metricsPage.ServeHTTP(w, r)
}

// Reload puts changed bounds in force. Names and addresses need a new start.
func (e *Edge) Reload(cfg setup.Settings) {
	old := e.bounds.Bounds()
	e.bounds.Set(cfg.Bounds)
	_ = e.logger.Log("msg", "Read the settings again.", "bounds-changed", old != cfg.Bounds,
		"addresses-changed", cfg.Front != e.cfg.Front || cfg.Ready != e.cfg.Ready || cfg.Peers != e.cfg.Peers)
}

// Run serves until ctx ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.gossip.Attach()
	front := &http.Server{
		Handler: e.relay, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeader,
		ConnState: e.countConns, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+e.out.ReadyPath, e.answerReady)
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET "+metricsPath, e.showMetrics)
	peers := http.NewServeMux()
	peers.Handle(peer.Path, e.mesh.Accept())
	back := []*http.Server{{Handler: ready, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}, {Handler: peers, ReadHeaderTimeout: headerLimit}, {Handler: metrics, ReadHeaderTimeout: headerLimit}}
	errs := make(chan error, 1+len(back))
	for server, address := range map[*http.Server]netip.AddrPort{front: e.cfg.Front, back[0]: e.cfg.Ready, back[1]: e.cfg.Peers, back[2]: netip.AddrPortFrom(e.cfg.Front.Addr(), metricsPort)} {
		ln, err := e.listen(address)
		if err != nil {
			return fmt.Errorf("listening: %w", err)
		}
		go func() { errs <- server.Serve(ln) }()
	}
	defer func() {
		for _, server := range back {
			_ = server.Close()
		}
		_ = e.closeMetrics.Close()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { e.topics.Run(work) })
	wg.Go(func() { e.gossip.Run(work) })
	wg.Go(func() { e.duty.Run(work) })
	wg.Go(func() { e.upstreams.FollowStores(work, e.out.Control) })
	wg.Go(func() { e.announce(work) })
	wg.Go(func() { e.crashes.Run(work) })
	_ = e.logger.Log("msg", "The instance serves.", "front", e.cfg.Front, "data-centre", e.cfg.DataCentre)
	select {
	case err := <-errs:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	e.shutDown(front)
	stop()
	e.mesh.Close()
	return nil
}

// listen binds an address, which a process that has just ended may still hold.
func (e *Edge) listen(address netip.AddrPort) (net.Listener, error) {
	for n := 1; ; n++ {
		ln, err := e.net.Listen(address)
		if err == nil || n == listenTries {
			return ln, err
		}
		time.Sleep(listenRetry)
	}
}

// announce writes this instance's record until it is accepted.
func (e *Edge) announce(ctx context.Context) {
	raw, err := e.gossip.Record()
	if err != nil {
		_ = e.logger.Log("msg", "The instance's record can't be written.", "err", err)
		return
	}
	for tries := 1; ctx.Err() == nil; tries++ {
		err := e.out.Log.Put(ctx, e.cfg.Name, raw)
		if err == nil {
			return
		}
		if tries == 1 {
			_ = e.logger.Log("msg", "The instance's record is not written yet.", "err", err)
		}
		clock.Pause(ctx, announceEvery)
	}
}

// takeInstances takes changes of the topic of instances, which has their own
// records and those with ends of replicas.
func (e *Edge) takeInstances(changed []topicview.Record) {
	var members, ends []topicview.Record
	for _, rec := range changed {
		if strings.HasPrefix(rec.Key, relay.CrashKeyPrefix) {
			ends = append(ends, rec)
		} else {
			members = append(members, rec)
		}
	}
	e.gossip.TakeInstances(members)
	e.crashes.MergeRecords(e.now(), time.Now(), ends)
}

func (e *Edge) countConns(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		e.conns.Add(-1)
	}
}

// answerReady tells the balancer whether this instance should get connections.
func (e *Edge) answerReady(w http.ResponseWriter, _ *http.Request) {
	limit := time.Duration(readyShare * float64(e.bounds.Bounds().Revoke))
	age, proven := e.topics.ProofAge(e.now())
	if e.leaving.Load() || e.topics.Intent() == nil || !proven || age > limit {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown turns the instance unready, serves what still comes, and ends when
// no connection is left or the grace is over.
func (e *Edge) shutDown(front *http.Server) {
	began := e.now()
	e.leaving.Store(true)
	e.relay.DisableKeepAlives()
	e.gossip.Leave()
	_ = e.logger.Log("msg", "The instance is leaving.", "in-flight", e.relay.InFlight(), "connections", e.conns.Load())
	leave, cancel := context.WithTimeout(context.Background(), time.Second)
	e.duty.Retire(leave)
	cancel()
	time.Sleep(min(unreadyWait, e.bounds.Bounds().Grace/2))
	// Idle connections are closed now; running requests end.
	ctx, cancel := context.WithTimeout(context.Background(), e.bounds.Bounds().Grace-stopMargin-e.now().Sub(began))
	defer cancel()
	if err := front.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		_ = e.logger.Log("msg", "Requests still ran when the grace was over.", "in-flight", e.relay.InFlight())
	}
	_ = e.logger.Log("msg", "The instance has stopped.")
}
