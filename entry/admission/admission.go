// Package admission keeps what is known of the upstreams: which are warm, how
// loaded they are, and who gives out permits for those that may be cold.
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

// Times of the fleet.
const (
	pollInterval  = 250 * time.Millisecond
	pollTimeout   = 400 * time.Millisecond
	permitTimeout = 300 * time.Millisecond
	// loadTTL is the age up to which a load report is used.
	loadTTL = 2 * time.Second
	// handoverDelay is how long a new sponsor waits before its first permit, so that
	// the sponsor before it has stopped giving them.
	handoverDelay = time.Second
	// downTTL is how long an upstream that refused a connection is left out.
	downTTL = time.Second
)

// ErrNoPermit means that the upstream may get no more work now.
var ErrNoPermit = errors.New("the upstream may get no more work now")

// Admission tracks the upstreams. The exported fields must be set before Attach. It is
// safe for concurrent use.
type Admission struct {
	Self     roster.Member
	Follower *configsync.Follower
	Endpoint *peerrpc.Endpoint
	Client   *http.Client
	Logger   log.Logger

	// states is replaced as a whole when upstreams come or go.
	states atomic.Pointer[map[uint64]*upstreamState]

	// own is the word of this instance on the upstreams that it sponsors.
	own  source
	sent sentLoads

	mu         sync.Mutex
	controlled map[string]*controlledUpstream
	sources    map[string]*source
	// loading holds the engines that this instance sends an order to.
	loading   map[string]bool
	loadLimit *loadlimit.LoadLimit
}

// upstreamState is what the request path reads of one upstream.
type upstreamState struct {
	load      atomic.Pointer[reportedLoad]
	inFlight  atomic.Int64
	downUntil atomic.Pointer[time.Time]
}

// reportedLoad is a load with the sponsor whose word it is.
type reportedLoad struct {
	message.Load
	source *source
}

type controlledUpstream struct {
	slowStart slowstart.SlowStart
	cache     cacheView
}

// Status is what the request path needs to know of an upstream.
type Status struct {
	// Running is in requests at once, over all instances as far as known.
	Running int
	// Warm is true if it was reported warm a short time ago.
	Warm bool
	// Down is true right after it refused a connection.
	Down bool
	// Incarnation is the digest of the upstream's incarnation; 0 if not known.
	Incarnation uint64
	// Version is the digest of its weight version; 0 if not known.
	Version uint64
	// Backlog is the computation that waits there, less the report's age.
	Backlog time.Duration
}

// Attach prepares the fleet to answer peers. It comes before Run.
func (a *Admission) Attach() {
	a.controlled = map[string]*controlledUpstream{}
	a.sources = map[string]*source{}
	a.loading = map[string]bool{}
	a.Endpoint.Handle(a.handle)
}

// Run polls the sponsored upstreams until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	clock.Every(ctx, pollInterval, func() { a.pollAll(ctx) })
}

// pollAll polls each upstream that this instance sponsors and shares the result.
func (a *Admission) pollAll(ctx context.Context) {
	live := a.Follower.Live(time.Now())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var loads []message.Load
	controlled := map[string]bool{}
	for _, u := range a.Follower.View().Intent.Upstreams {
		if s, ok := Controller(u, live); !ok || s.Name != a.Self.Name {
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

// Controller returns the instance that gives out permits for an upstream: one of
// the same data centre if there is any.
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

func (a *Admission) dropUncontrolled(controlled map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.controlled {
		if !controlled[name] {
			delete(a.controlled, name)
		}
	}
}

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

// stateOf returns the entry of an upstream, adding it if it is new.
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

// Status returns what is known of an upstream now.
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

// Acquire gets leave to send one request to an upstream, and returns how to
// give it back. Warm upstreams need no permit unless the request is a suspect.
func (a *Admission) Acquire(ctx context.Context, u upstream.Upstream, id string, suspect bool) (func(), error) {
	now := time.Now()
	st := a.stateOf(u.Name)
	if s := a.Status(now, u.Name); s.Warm && !s.Down && !suspect {
		st.inFlight.Add(1)
		return func() { st.inFlight.Add(-1) }, nil
	}
	controller, ok := Controller(u, a.Follower.Live(now))
	if !ok {
		return nil, ErrNoPermit
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	resp, err := peerrpc.Call[message.PermitResponse](callCtx, a.Endpoint, controller, message.PermitRequest{Upstream: u.Name, ID: id, Suspected: suspect})
	if err != nil {
		return nil, fmt.Errorf("asking %s for a permit: %w", controller.Name, err)
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

// MarkDown notes that an upstream refused a connection or broke one, as a
// cold or dying one does, and tells its sponsor.
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

// ObserveIncarnation takes the incarnation that came with an answer. A new one is cold.
func (a *Admission) ObserveIncarnation(now time.Time, u upstream.Upstream, incarnation string) {
	rep := a.stateOf(u.Name).load.Load()
	if incarnation == "" || rep == nil || rep.Incarnation == message.Digest(incarnation) {
		return
	}
	a.stateOf(u.Name).load.Store(nil)
}

func (a *Admission) handle(_ context.Context, from string, msg message.Message) (message.Message, bool, error) {
	now := time.Now()
	switch m := msg.(type) {
	case message.Loads:
		a.receiveLoads(now, from, m)
		return message.Ack{}, true, nil
	case message.PermitRequest:
		return message.PermitResponse{Granted: a.grantPermit(now, m)}, true, nil
	case message.PermitRelease:
		a.withSlowStart(m.Upstream, func(r *slowstart.SlowStart) { r.Release(m.ID) })
		return message.Ack{}, true, nil
	case message.MarkCold:
		a.withSlowStart(m.Upstream, func(r *slowstart.SlowStart) { r.MarkCold(now) })
		return message.Ack{}, true, nil
	case message.LoadPermit:
		return message.PermitResponse{Granted: a.grantLoadPermit(now, m)}, true, nil
	case message.CachedBlocksRequest:
		return message.CachedBlocksResponse{Blocks: a.cachedBlocks(m.Upstream, m.Keys)}, true, nil
	default:
		return nil, false, nil
	}
}

func (a *Admission) withSlowStart(name string, do func(*slowstart.SlowStart)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cu, ok := a.controlled[name]; ok {
		do(&cu.slowStart)
	}
}

func (a *Admission) grantPermit(now time.Time, m message.PermitRequest) bool {
	u, ok := a.Follower.View().Upstream(m.Upstream)
	if !ok {
		return false
	}
	cold, warm := u.Limits()
	granted := false
	a.withSlowStart(m.Upstream, func(r *slowstart.SlowStart) { granted = r.Permit(now, m.ID, m.Suspected, cold, warm) })
	return granted
}

// CachedBlocks asks the upstream's sponsor how many leading blocks it is believed to hold.
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
