// Package edge assembles an instance of crocus-edge, an entry instance that runs on a
// platform's log, from its parts, runs it and shuts it down.
package edge

import (
	"context"
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
	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/grantors"
	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/retry"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/shutdown"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/callerconns"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/gossip"
	"crocusfold.dev/entry/leader"
	"crocusfold.dev/entry/originlog"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/entry/relay"
	"crocusfold.dev/entry/replicalimits"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/rollouts"
	"crocusfold.dev/entry/streams"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/entry/versionlog"
	"crocusfold.dev/shell/clock"
	"crocusfold.dev/shell/network"
	"crocusfold.dev/shell/peer"
)

// Timeouts, intervals and bounds of the servers and of the shutdown.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 64 << 10
	// readyProofAgeShare is the highest age of the configuration's freshness proof at
	// which the instance is ready, as a share of Bounds.Revoke, the time for which a
	// revoked API key may still be served.
	readyProofAgeShare = 0.6
	// listenRetryPause is the pause after an address could not be bound. After
	// maxListenAttempts the instance gives up.
	listenRetryPause  = 100 * time.Millisecond
	maxListenAttempts = 50
	// unreadyWait is how long requests are accepted after a signal to stop. The load
	// balancer needs two readiness checks, one per second, to notice; requests that
	// are accepted later may not finish within the grace period.
	unreadyWait = 2600 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the exit of the
	// process, and finalResponseTime the part before it in which requests that still run
	// get their final response.
	stopMargin        = 600 * time.Millisecond
	finalResponseTime = 100 * time.Millisecond
	// stopPollInterval is the pause between two checks whether all connections are closed.
	stopPollInterval = 20 * time.Millisecond
	// announceRetryPause is the pause after a failed write of the instance's record.
	announceRetryPause = 500 * time.Millisecond
	// Metrics are served at metricsPath on metricsPort of the callers' address.
	metricsPort = 9464
	metricsPath = "/metrics"
)

// Platform has the adapters to the platform that the instance runs on: its log, the topic of
// the log in which the instances keep the origins of streams, that with the software versions
// at which streams may begin, and so on; and the path of the readiness check that its load
// balancer uses.
type Platform struct {
	Log       adapter.Log
	Origins   adapter.Journal
	Versions  adapter.KeyedTopic
	Decoder   adapter.Decoder
	Dialect   adapter.Dialect
	Control   adapter.Control
	ReadyPath string
}

// Edge is an instance of crocus-edge.
type Edge struct {
	cfg          edgeconfig.Settings
	platform     Platform
	network      network.Network
	now          func() time.Time
	logger       log.Logger
	bounds       edgeconfig.LiveBounds
	topics       *topics.Topics
	replicas     *replicas.Replicas
	gossip       *gossip.Gossip
	leader       *leader.Leader
	relay        *relay.Relay
	crashes      *relay.Crashes
	endpoint     *peerrpc.Endpoint
	retryBudgets *retry.Budgets
	streams      *streams.Streams
	limits       *replicalimits.ReplicaLimits
	rollouts     *rollouts.Rollouts
	// announceAgain is signalled when the instance's record may be lost.
	announceAgain chan struct{}
	leaving       atomic.Bool
	openConns     atomic.Int64
	memory        callerconns.Memory

	metricsPage  http.Handler
	closeMetrics io.Closer
	updateGauges func(now time.Time)
}

// NewEdge returns an instance with these settings, ready for Run. The clock now must
// also advance while the machine is suspended, so that leases and proofs age meanwhile.
func NewEdge(cfg edgeconfig.Settings, platform Platform, nw network.Network, now func() time.Time, logger log.Logger) *Edge {
	part := func(name string) log.Logger { return log.With(logger, "part", name) }
	self := roster.Member{Name: cfg.Name, Address: cfg.Peers, DataCentre: cfg.DataCentre}
	e := &Edge{cfg: cfg, platform: platform, network: nw, now: now, logger: part("edge"), announceAgain: make(chan struct{}, 1)}
	e.bounds.Set(cfg.Bounds)
	scope := e.newMetrics()
	platform.Log = countingLog{platform.Log, scope}
	e.platform.Log = platform.Log
	e.endpoint = &peerrpc.Endpoint{Self: self, Client: &http.Client{Transport: nw.Transport()}}
	e.replicas = &replicas.Replicas{
		Network: nw, Decoder: platform.Decoder, Now: now, Logger: part("upstreams"), DataCentre: cfg.DataCentre,
		Bounds: &e.bounds,
	}
	e.replicas.SetContended(cfg.Contended)
	e.topics = &topics.Topics{
		Log: platform.Log, Decoder: platform.Decoder, Now: now, Logger: part("topics"), Bounds: &e.bounds,
		OnReplicas: e.replicas.ApplyRecords,
	}
	e.leader = &leader.Leader{
		Name: cfg.Name, Bounds: &e.bounds, Log: platform.Log, Control: platform.Control,
		Topics: e.topics, Replicas: e.replicas, Now: now, Logger: part("duty"),
	}
	e.memory.Logger, e.memory.OnEnd = part("callers"), newEndCounter(scope)
	e.rollouts = &rollouts.Rollouts{
		Name: cfg.Name, Bounds: &e.bounds, Topics: e.topics, Replicas: e.replicas, Log: platform.Log, Decoder: platform.Decoder,
		Now: now, Logger: part("rollouts"), Token: e.leader.Token,
	}
	e.topics.OnIntent = func(in *adapter.Intent) {
		e.replicas.Configure(in)
		e.rollouts.Configure(in)
	}
	metrics := relay.NewMetrics(scope)
	e.crashes = relay.NewCrashes(xxhash.Sum64String(cfg.Name))
	e.crashes.Logger, e.crashes.Metrics, e.crashes.Now = part("crashes"), metrics, now
	e.crashes.Put = func(ctx context.Context, chunk int, value []byte) error {
		return platform.Log.Put(ctx, relay.CrashKey(cfg.Name, chunk), value)
	}
	e.gossip = &gossip.Gossip{
		Self: membership.Entry{
			Name: cfg.Name, Address: cfg.Peers, DataCentre: cfg.DataCentre, MilliCPU: cfg.MilliCPU,
			Revision: uint64(time.Now().UnixMilli()),
		},
		Seeds: cfg.Seeds, Endpoint: e.endpoint, Topics: e.topics, Replicas: e.replicas,
		Now: now, Logger: part("peers"), Leader: e.leader, Crashes: e.crashes, Rollouts: e.rollouts,
	}
	e.rollouts.NotifyPeers, e.rollouts.Reachable = e.gossip.NotifyPeers, e.gossip.AliveNames
	e.topics.OnInstances, e.topics.IsReader = e.applyInstanceRecords, e.gossip.ReadsTopics
	e.topics.Isolated, e.topics.OnAdvance, e.crashes.RequestRecords = e.gossip.Isolated, e.gossip.NotifyPeers, e.topics.RequestInstances
	e.streams = &streams.Streams{
		Self: self, Endpoint: e.endpoint, Topics: e.topics, Replicas: e.replicas, Decoder: platform.Decoder, Bounds: &e.bounds,
		Control: platform.Control, Now: now, Logger: part("streams"),
		Connected: func(now time.Time) bool { _, connected := e.gossip.Rank(now); return connected },
		Rank:      e.gossip.Rank, Alive: func() int { _, alive := e.gossip.OverlayState(); return alive },
		VersionLog: &versionlog.VersionLog{Topic: countingTopic{platform.Versions, scope}, Now: now},
		OriginLog:  &originlog.OriginLog{Name: cfg.Name, Journal: countingJournal{platform.Origins, scope}, Rates: cfg.LogRates, Now: now},
	}
	e.gossip.Streams, e.replicas.OnChange, e.topics.OnListLoaded = e.streams, e.streams.ReplicaChanged, e.streams.ListLoaded
	e.topics.OnRestore = e.writeAgain
	e.crashes.NotifyPeers, e.replicas.OnCrash = e.gossip.NotifyPeers, e.crashes.RecordReplicaCrash
	e.replicas.CleansStores, e.replicas.FollowsStores = e.leader.IsLeader, e.gossip.FollowsStores
	e.leader.NotifyPeers, e.leader.Rank, e.leader.PeersOldestFetched = e.gossip.NotifyPeers, e.gossip.Rank, e.gossip.PeersOldestFetched
	e.retryBudgets = &retry.Budgets{Share: cfg.Bounds.RetryShare, Slack: cfg.Bounds.RetrySlack}
	outcomes := map[replicalimits.Outcome]tally.Counter{}
	for _, o := range []replicalimits.Outcome{replicalimits.Granted, replicalimits.Denied, replicalimits.Failed} {
		outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("limit_grants")
	}
	e.limits = &replicalimits.ReplicaLimits{
		Self: self, Endpoint: e.endpoint, Replicas: e.replicas, Now: now,
		Count: func(o replicalimits.Outcome) { outcomes[o].Inc(1) },
	}
	e.leader.Limits = e.limits
	e.gossip.OnLimitGroup = func(g limitgroup.Group, granting grantors.Grantors) {
		e.replicas.SetLimitGroup(g)
		e.limits.SetGrantors(now(), granting)
		e.streams.SetOwners(granting, g.Size())
		e.retryBudgets.SetInstances(g.Size())
		e.relay.Waiting().SetInstances(g.Size())
		e.rollouts.SetInstances(g.Size())
	}
	e.relay = &relay.Relay{
		Bounds: &e.bounds, Dialect: platform.Dialect, Topics: e.topics, Replicas: e.replicas, Control: platform.Control,
		Budgets: e.retryBudgets, Now: now, Logger: part("relay"), Metrics: metrics, Crashes: e.crashes,
		Limits: e.limits, Streams: e.streams, Rollouts: e.rollouts, NotifyPeers: e.gossip.NotifyPeers,
		Queue: cfg.Queue, WatchStalls: cfg.WatchStalls,
	}
	e.streams.OnAdmission = func() {
		e.gossip.NotifyPeers()
		e.relay.Waiting().WakeAll()
	}
	e.gossip.Waiting, e.gossip.Stalls = e.relay.Waiting(), e.relay.Stalls()
	e.replicas.OnChange = func(now time.Time, r pool.Replica) {
		e.streams.ReplicaChanged(now, r)
		e.relay.Waiting().WakeAll()
	}
	return e
}

// Reload puts the bounds of newly read settings in force. Changes of names and
// addresses take effect only after a restart.
func (e *Edge) Reload(cfg edgeconfig.Settings) {
	old := e.bounds.Bounds()
	e.bounds.Set(cfg.Bounds)
	e.replicas.SetContended(cfg.Contended)
	e.limitMemory(cfg)
	e.retryBudgets.SetBounds(cfg.Bounds.RetryShare, cfg.Bounds.RetrySlack)
	_ = e.logger.Log("msg", "Read the settings again.", "bounds-changed", old != cfg.Bounds,
		"addresses-changed", cfg.Front != e.cfg.Front || cfg.Ready != e.cfg.Ready || cfg.Peers != e.cfg.Peers)
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if an
// address can't be bound or a server fails.
func (e *Edge) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.gossip.Attach()
	e.limits.Attach()
	e.streams.Attach()
	e.limitMemory(e.cfg)
	callerServer := &http.Server{
		Handler: e.relay, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+e.platform.ReadyPath, e.handleReady)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET "+metricsPath, e.handleMetrics)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, e.endpoint.HTTPHandler())
	internalServers := []*http.Server{newInternalServer(readyMux), newInternalServer(peerMux), newInternalServer(metricsMux)}
	errs := make(chan error, 1+len(internalServers))
	callers := &callerconns.Listener{
		HeaderBytes: maxHeaderBytes, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, Current: e.callerLimits, Memory: &e.memory,
	}
	callerServer.ConnContext = callers.Context
	callerServer.ConnState = func(conn net.Conn, state http.ConnState) {
		callers.Observe(conn, state)
		e.countConns(conn, state)
	}
	for server, address := range map[*http.Server]netip.AddrPort{callerServer: e.cfg.Front, internalServers[0]: e.cfg.Ready, internalServers[1]: e.cfg.Peers, internalServers[2]: netip.AddrPortFrom(e.cfg.Front.Addr(), metricsPort)} {
		ln, err := e.listen(address)
		if err != nil {
			return fmt.Errorf("listening: %w", err)
		}
		if server == callerServer {
			callers.Listener = ln
			ln = callers
		} else {
			ln = e.limitInternal(server, ln)
		}
		go func() { errs <- server.Serve(ln) }()
	}
	defer func() {
		for _, server := range internalServers {
			_ = server.Close()
		}
		_ = e.closeMetrics.Close()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { e.topics.Run(workCtx) })
	wg.Go(func() { e.gossip.Run(workCtx) })
	wg.Go(func() { e.leader.Run(workCtx) })
	wg.Go(func() { e.replicas.FollowStores(workCtx, e.platform.Control) })
	wg.Go(func() { e.announce(workCtx) })
	wg.Go(func() { e.crashes.Run(workCtx) })
	wg.Go(func() { e.streams.Run(workCtx) })
	wg.Go(func() { e.rollouts.Run(workCtx) })
	wg.Go(func() { e.relay.Stalls().Run(workCtx) })
	_ = e.logger.Log("msg", "The instance serves.", "front", e.cfg.Front, "data-centre", e.cfg.DataCentre)
	select {
	case err := <-errs:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	e.shutDown(callerServer, callers)
	stop()
	e.endpoint.Close()
	return nil
}

// listen binds an address. It retries for about 5 s, since a process that has just
// ended may still hold the address.
func (e *Edge) listen(address netip.AddrPort) (net.Listener, error) {
	for n := 1; ; n++ {
		ln, err := e.network.Listen(address)
		if err == nil || n == maxListenAttempts {
			return ln, err
		}
		time.Sleep(listenRetryPause)
	}
}

// writeAgain requests that the records of this instance are written again, since the log
// may have lost them.
func (e *Edge) writeAgain() {
	select {
	case e.announceAgain <- struct{}{}:
	default:
	}
	e.crashes.WriteAgain()
	e.streams.WriteAgain()
	e.rollouts.WriteAgain()
}

// announce writes this instance's record to the topic of instances, now and whenever it may
// be lost, until ctx ends.
func (e *Edge) announce(ctx context.Context) {
	raw, err := e.gossip.OwnRecord()
	if err != nil {
		_ = e.logger.Log("msg", "The instance's record can't be encoded.", "err", err)
		return
	}
	for ctx.Err() == nil {
		e.putOwnRecord(ctx, raw)
		select {
		case <-ctx.Done():
		case <-e.announceAgain:
		}
	}
}

// putOwnRecord writes this instance's record, and retries until the write succeeds or ctx
// ends.
func (e *Edge) putOwnRecord(ctx context.Context, raw []byte) {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		err := e.platform.Log.Put(ctx, e.cfg.Name, raw)
		if err == nil {
			return
		}
		if attempt == 1 {
			_ = e.logger.Log("msg", "The instance's record could not be written; retrying.", "err", err)
		}
		clock.Pause(ctx, announceRetryPause)
	}
}

// applyInstanceRecords applies changes of the topic of instances, which holds the
// records of the instances, records of replica crashes and the status of rollouts.
func (e *Edge) applyInstanceRecords(changed []topicview.Record) {
	var members, crashes []topicview.Record
	for _, rec := range e.rollouts.ApplyRecords(changed) {
		if strings.HasPrefix(rec.Key, relay.CrashKeyPrefix) {
			crashes = append(crashes, rec)
		} else {
			members = append(members, rec)
		}
	}
	e.gossip.ApplyInstances(members)
	e.crashes.MergeRecords(e.now(), time.Now(), crashes)
}

// countConns keeps the number of open connections of callers.
func (e *Edge) countConns(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		e.openConns.Add(-1)
	}
}

// handleReady responds to the load balancer's readiness check. The instance is ready if
// it is not leaving, has a configuration, has proved recently enough that the
// configuration is current, and knows which software versions the rollouts allow.
func (e *Edge) handleReady(w http.ResponseWriter, _ *http.Request) {
	maxAge := time.Duration(readyProofAgeShare * float64(e.bounds.Bounds().Revoke))
	proven := e.topics.Proven()
	age, ok := proven.Age(e.now())
	if e.leaving.Load() || proven.Intent == nil || !ok || age > maxAge || !e.rollouts.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown turns the instance unready, resigns leadership, accepts connections for
// unreadyWait, and returns when all are closed or only stopMargin is left of the grace
// period. http.Server.Shutdown is not used, since it drops requests that arrive on open
// connections without a response; nor SetKeepAlivesEnabled, which closes connections on which
// a request is arriving and serves it nevertheless.
func (e *Edge) shutDown(callerServer *http.Server, callers *callerconns.Listener) {
	start := e.now()
	grace := e.bounds.Bounds().Grace
	end := start.Add(grace - stopMargin)
	lateFrom := start.Add(min(unreadyWait, grace/2))
	e.leaving.Store(true)
	e.relay.BeginShutdown(shutdown.Shutdown{Began: start, LateFrom: lateFrom, End: end.Add(-finalResponseTime)})
	e.gossip.Leave()
	_ = e.logger.Log("msg", "The instance is leaving.", "in-flight", e.relay.InFlight(), "connections", e.openConns.Load())
	resignCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	e.leader.Resign(resignCtx)
	cancel()
	time.Sleep(lateFrom.Sub(e.now()))
	_ = callers.Close()
	for e.openConns.Load() > 0 && e.now().Before(end.Add(-finalResponseTime)) {
		callers.CloseIdle(time.Now())
		time.Sleep(stopPollInterval)
	}
	if e.openConns.Load() > 0 {
		_ = e.logger.Log("msg", "Requests were still running at the end of the grace period.", "in-flight", e.relay.InFlight(), "connections", e.openConns.Load())
		e.relay.EndRequests()
		time.Sleep(end.Sub(e.now()))
	}
	inFlight, open := e.relay.InFlight(), e.openConns.Load()
	_ = callerServer.Close()
	_ = e.logger.Log("msg", "The instance has stopped.", "in-flight", inFlight, "connections", open, "crossed", callers.Crossed())
}
