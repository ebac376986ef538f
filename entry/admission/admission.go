// Package admission tracks the state of the upstreams and limits the requests to those
// that may be cold. One instance is the admission controller of an upstream: it polls
// the upstream, shares its load with the other instances of the region and grants
// permits.
package admission

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/loadlimit"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/slowstart"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/clock"
)

// Intervals, timeouts and expiry times.
const (
	pollInterval = 250 * time.Millisecond
	// pollTimeout limits a call to an upstream, and a call that shares loads with a
	// peer.
	pollTimeout = 400 * time.Millisecond
	// permitTimeout limits a call to the controller of an upstream.
	permitTimeout = 300 * time.Millisecond
	// loadTTL is the time since the last message of a controller up to which its loads
	// are used.
	loadTTL = 2 * time.Second
	// handoverDelay is how long a new controller waits before it grants its first
	// permit, so that the previous controller has stopped granting them by then.
	handoverDelay = time.Second
	// downTTL is how long an upstream counts as down after MarkDown.
	downTTL = time.Second
)

// ErrNoPermit is returned by Acquire if the upstream may get no further request now.
var ErrNoPermit = errors.New("the upstream may get no further request now")

// Admission holds the state of the upstreams. The exported fields must be set before
// Attach, and Attach must be called before Run. It is safe for concurrent use.
type Admission struct {
	Self     roster.Member
	Follower *configsync.Follower
	Endpoint *peerrpc.Endpoint
	Client   *http.Client
	Logger   log.Logger

	// states maps digests of upstream names to their states. The map is copied and
	// replaced to add an upstream; none is removed.
	states atomic.Pointer[map[uint64]*upstreamState]

	// own is the source of the loads that this instance polls itself.
	own source
	// sent is used only by pollAll.
	sent sentLoads

	// mu guards the fields below.
	mu sync.Mutex
	// controlled holds the upstreams, by name, whose controller this instance is.
	controlled map[string]*controlledUpstream
	// sources maps the names of the other controllers to what was received from them.
	sources map[string]*source
	// loading holds the engines that this instance is sending a load command to.
	loading map[string]bool
	// loadLimit is nil until the first request for a permit to load weights.
	loadLimit *loadlimit.LoadLimit
}

// upstreamState is the state of one upstream that the request path reads. It is updated
// without locks.
type upstreamState struct {
	load      atomic.Pointer[reportedLoad]
	inFlight  atomic.Int64
	downUntil atomic.Pointer[time.Time]
}

// reportedLoad is a load and the controller that reported it.
type reportedLoad struct {
	message.Load
	source *source
}

// controlledUpstream is the state that a controller keeps of one upstream.
type controlledUpstream struct {
	slowStart slowstart.SlowStart
	cache     cacheView
}

// Status is the state of an upstream as far as this instance knows it.
type Status struct {
	// Running is the number of requests that run on the upstream: the one that it
	// reported, or that of this instance's own requests if it is larger.
	Running int
	// Warm is true if the upstream was reported warm within loadTTL.
	Warm bool
	// Down is true for downTTL after MarkDown.
	Down bool
	// Incarnation is the digest of the upstream's incarnation; 0 if not known.
	Incarnation uint64
	// Version is the digest of its weight version; 0 if not known.
	Version uint64
	// Backlog is the computation time of the requests that wait at the upstream, as
	// reported, less the time since the last message of its controller.
	Backlog time.Duration
}

// Attach initialises the state and registers the handler for messages of peers. It must
// be called once, before Run.
func (a *Admission) Attach() {
	a.controlled = map[string]*controlledUpstream{}
	a.sources = map[string]*source{}
	a.loading = map[string]bool{}
	a.Endpoint.Handle(a.handle)
}

// Run polls the upstreams whose controller this instance is, until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	clock.Every(ctx, pollInterval, func() { a.pollAll(ctx) })
}

// pollAll polls the upstreams whose controller this instance is, and shares their
// loads.
func (a *Admission) pollAll(ctx context.Context) {
	live := a.Follower.Live(time.Now())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var loads []message.Load
	controlled := map[string]bool{}
	for _, u := range a.Follower.View().Intent.Upstreams {
		if c, ok := Controller(u, live); !ok || c.Name != a.Self.Name {
			continue
		}
		controlled[u.Name] = true
		wg.Go(func() {
			if l, ok := a.poll(ctx, u); ok {
				mu.Lock()
				defer mu.Unlock()
				loads = append(loads, l)
			}
		})
	}
	wg.Wait()
	a.dropUncontrolled(controlled)
	now := time.Now()
	a.own.markReceived(now)
	a.storeLoads(&a.own, loads)
	a.shareLoads(ctx, now, loads)
}

// Controller returns the admission controller of an upstream: a live instance of the
// same data centre, or of any if there is none. It returns false if no instance is
// live.
func Controller(u upstream.Upstream, live []roster.Member) (roster.Member, bool) {
	var local []roster.Member
	for _, m := range live {
		if m.DataCentre == u.DataCentre {
			local = append(local, m)
		}
	}
	if len(local) == 0 {
		local = live
	}
	return roster.Owner("upstream/"+u.Name, local)
}

// dropUncontrolled drops the state of the upstreams whose controller this instance no
// longer is.
func (a *Admission) dropUncontrolled(controlled map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.controlled {
		if !controlled[name] {
			delete(a.controlled, name)
		}
	}
}

// getOrAddControlled returns the state of an upstream whose controller this instance
// is. An upstream that is added gets no permits for handoverDelay.
func (a *Admission) getOrAddControlled(name string) *controlledUpstream {
	a.mu.Lock()
	defer a.mu.Unlock()
	cu, ok := a.controlled[name]
	if !ok {
		cu = &controlledUpstream{slowStart: slowstart.SlowStart{NotBefore: time.Now().Add(handoverDelay)}}
		a.controlled[name] = cu
	}
	return cu
}

// stateOf returns the state of an upstream, which it adds if there is none.
func (a *Admission) stateOf(name string) *upstreamState { return a.stateOfDigest(message.Digest(name)) }

func (a *Admission) stateOfDigest(digest uint64) *upstreamState {
	if all := a.states.Load(); all != nil {
		if st, ok := (*all)[digest]; ok {
			return st
		}
	}
	for {
		old := a.states.Load()
		next := map[uint64]*upstreamState{}
		if old != nil {
			if st, ok := (*old)[digest]; ok {
				return st
			}
			for k, v := range *old {
				next[k] = v
			}
		}
		st := &upstreamState{}
		next[digest] = st
		if a.states.CompareAndSwap(old, &next) {
			return st
		}
	}
}

// Status returns the state of an upstream. If the last message of its controller is
// older than loadTTL, only Down is set, and Running to the number of this instance's
// requests.
func (a *Admission) Status(now time.Time, name string) Status {
	st := a.stateOf(name)
	out := Status{Running: int(st.inFlight.Load())}
	if until := st.downUntil.Load(); until != nil {
		out.Down = now.Before(*until)
	}
	rep := st.load.Load()
	if rep == nil || !rep.source.fresh(now) {
		return out
	}
	out.Running = max(out.Running, rep.Running)
	out.Warm = rep.Warm
	out.Incarnation = rep.Incarnation
	out.Version = rep.Version
	out.Backlog = max(0, time.Duration(rep.BacklogMillis)*time.Millisecond-rep.source.age(now))
	return out
}

// Acquire gets the permission to send one request, identified by its id, to an
// upstream, and returns the function that releases it. A permit of the upstream's
// controller is needed unless the upstream is warm and not down and the request is not
// suspected of crashing upstreams. Acquire returns ErrNoPermit if the controller
// refuses the permit or no instance is live, and another error if the controller can't
// be reached.
func (a *Admission) Acquire(ctx context.Context, u upstream.Upstream, id string, suspected bool) (func(), error) {
	now := time.Now()
	st := a.stateOf(u.Name)
	if s := a.Status(now, u.Name); s.Warm && !s.Down && !suspected {
		st.inFlight.Add(1)
		return func() { st.inFlight.Add(-1) }, nil
	}
	controller, ok := Controller(u, a.Follower.Live(now))
	if !ok {
		return nil, ErrNoPermit
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	resp, err := peerrpc.Call[message.PermitResponse](callCtx, a.Endpoint, controller, message.PermitRequest{Upstream: u.Name, ID: id, Suspected: suspected})
	if err != nil {
		return nil, fmt.Errorf("requesting a permit from %s: %w", controller.Name, err)
	}
	if !resp.Granted {
		return nil, ErrNoPermit
	}
	st.inFlight.Add(1)
	return func() {
		st.inFlight.Add(-1)
		go a.releasePermit(controller, u.Name, id)
	}, nil
}

func (a *Admission) releasePermit(controller roster.Member, name, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	_, _ = a.Endpoint.Call(ctx, controller, message.PermitRelease{Upstream: name, ID: id})
}

// MarkDown records that an upstream refused or broke a connection, as one does that is
// starting or crashing. It drops the upstream's load and has the controller mark the
// upstream cold.
func (a *Admission) MarkDown(now time.Time, u upstream.Upstream) {
	until := now.Add(downTTL)
	st := a.stateOf(u.Name)
	st.downUntil.Store(&until)
	st.load.Store(nil)
	controller, ok := Controller(u, a.Follower.Live(now))
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		_, _ = a.Endpoint.Call(ctx, controller, message.MarkCold{Upstream: u.Name})
	}()
}

// ObserveIncarnation compares the incarnation in a response of an upstream with the
// reported one. If they differ, it drops the load, so that the upstream counts as cold
// until the next report of its controller.
func (a *Admission) ObserveIncarnation(now time.Time, u upstream.Upstream, incarnation string) {
	rep := a.stateOf(u.Name).load.Load()
	if incarnation == "" || rep == nil || rep.Incarnation == message.Digest(incarnation) {
		return
	}
	a.stateOf(u.Name).load.Store(nil)
}

// handle responds to the peers' messages about upstreams.
func (a *Admission) handle(_ context.Context, from string, msg message.Message) (message.Message, bool, error) {
	now := time.Now()
	switch m := msg.(type) {
	case message.Loads:
		a.receiveLoads(now, from, m)
		return message.Ack{}, true, nil
	case message.PermitRequest:
		return message.PermitResponse{Granted: a.grantPermit(now, m)}, true, nil
	case message.PermitRelease:
		a.withSlowStart(m.Upstream, func(s *slowstart.SlowStart) { s.Release(m.ID) })
		return message.Ack{}, true, nil
	case message.MarkCold:
		a.withSlowStart(m.Upstream, func(s *slowstart.SlowStart) { s.MarkCold(now) })
		return message.Ack{}, true, nil
	case message.LoadPermit:
		return message.PermitResponse{Granted: a.grantLoadPermit(now, m)}, true, nil
	case message.CachedBlocksRequest:
		return message.CachedBlocksResponse{Blocks: a.cachedBlocks(m.Upstream, m.Keys)}, true, nil
	default:
		return nil, false, nil
	}
}

// withSlowStart calls do with mu held, unless this instance is not the controller of
// the upstream.
func (a *Admission) withSlowStart(name string, do func(*slowstart.SlowStart)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cu, ok := a.controlled[name]; ok {
		do(&cu.slowStart)
	}
}

// grantPermit reports whether a permit for a request is granted. It refuses requests to
// upstreams that are not in the view or that have another controller.
func (a *Admission) grantPermit(now time.Time, m message.PermitRequest) bool {
	u, ok := a.Follower.View().Upstream(m.Upstream)
	if !ok {
		return false
	}
	cold, warm := u.Limits()
	granted := false
	a.withSlowStart(m.Upstream, func(s *slowstart.SlowStart) { granted = s.Permit(now, m.ID, m.Suspected, cold, warm) })
	return granted
}

// CachedBlocks returns how many of the leading blocks of keys the prefix cache of an
// upstream holds, according to its controller; 0 if the controller can't be reached.
func (a *Admission) CachedBlocks(ctx context.Context, u upstream.Upstream, keys []block.Key) int {
	controller, ok := Controller(u, a.Follower.Live(time.Now()))
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	resp, err := peerrpc.Call[message.CachedBlocksResponse](ctx, a.Endpoint, controller, message.CachedBlocksRequest{Upstream: u.Name, Keys: keys})
	if err != nil {
		return 0
	}
	return resp.Blocks
}
