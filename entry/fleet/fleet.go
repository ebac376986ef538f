// Package fleet keeps what is known of the upstreams: which are warm, how
// loaded they are, and who gives out permits for those that may be cold.
package fleet

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
	"crocusfold.dev/entry/follow"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/clock"
)

// Times of the fleet.
const (
	pollInterval = 250 * time.Millisecond
	pollLimit    = 400 * time.Millisecond
	permitLimit  = 300 * time.Millisecond
	// loadFresh is the age up to which a load report is used.
	loadFresh = 2 * time.Second
	// takeOver is how long a new sponsor waits before its first permit, so that
	// the sponsor before it has stopped giving them.
	takeOver = time.Second
	// unreachableFor is how long an upstream that refused a connection is left out.
	unreachableFor = time.Second
)

// ErrNoPermit means that the upstream may get no more work now.
var ErrNoPermit = errors.New("the upstream may get no more work now")

// Fleet tracks the upstreams. The exported fields must be set before Attach. It is
// safe for concurrent use.
type Fleet struct {
	Self   roster.Member
	Follow *follow.Follower
	Mesh   *peerrpc.Endpoint
	Client *http.Client
	Logger log.Logger

	// states is replaced as a whole when upstreams come or go.
	states atomic.Pointer[map[uint64]*state]

	// own is the word of this instance on the upstreams that it sponsors.
	own  word
	news news

	mu    sync.Mutex
	ramps map[string]*sponsored
	words map[string]*word
	// loading holds the engines that this instance sends an order to.
	loading map[string]bool
	weights *loadlimit.LoadLimit
}

// state is what the request path reads of one upstream.
type state struct {
	load     atomic.Pointer[reported]
	inFlight atomic.Int64
	downTo   atomic.Pointer[time.Time]
}

// reported is a load with the sponsor whose word it is.
type reported struct {
	message.Load
	by *word
}

type sponsored struct {
	ramp   slowstart.SlowStart
	events cacheView
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
func (f *Fleet) Attach() {
	f.ramps = map[string]*sponsored{}
	f.words = map[string]*word{}
	f.loading = map[string]bool{}
	f.Mesh.Handle(f.handle)
}

// Run polls the sponsored upstreams until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	clock.Every(ctx, pollInterval, func() { f.round(ctx) })
}

// round polls each upstream that this instance sponsors and shares the result.
func (f *Fleet) round(ctx context.Context) {
	live := f.Follow.Live(time.Now())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var loads []message.Load
	mine := map[string]bool{}
	for _, u := range f.Follow.View().Intent.Upstreams {
		if s, ok := Sponsor(u, live); !ok || s.Name != f.Self.Name {
			continue
		}
		mine[u.Name] = true
		wg.Go(func() {
			if l, ok := f.poll(ctx, u); ok {
				mu.Lock()
				defer mu.Unlock()
				loads = append(loads, l)
			}
		})
	}
	wg.Wait()
	f.dropOthers(mine)
	now := time.Now()
	f.own.hear(now)
	f.takeLoads(&f.own, loads)
	f.share(ctx, now, loads)
}

// Sponsor returns the instance that gives out permits for an upstream: one of
// the same data centre if there is any.
func Sponsor(u upstream.Upstream, live []roster.Member) (roster.Member, bool) {
	var near []roster.Member
	for _, m := range live {
		if m.DataCentre == u.DataCentre {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = live
	}
	return roster.Owner("upstream/"+u.Name, near)
}

func (f *Fleet) dropOthers(mine map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.ramps {
		if !mine[name] {
			delete(f.ramps, name)
		}
	}
}

func (f *Fleet) sponsored(name string) *sponsored {
	f.mu.Lock()
	defer f.mu.Unlock()
	sp, ok := f.ramps[name]
	if !ok {
		sp = &sponsored{ramp: slowstart.SlowStart{NotBefore: time.Now().Add(takeOver)}}
		f.ramps[name] = sp
	}
	return sp
}

// state returns the entry of an upstream, adding it if it is new.
func (f *Fleet) state(name string) *state { return f.stateOf(message.Digest(name)) }

func (f *Fleet) stateOf(name uint64) *state {
	if all := f.states.Load(); all != nil {
		if st, ok := (*all)[name]; ok {
			return st
		}
	}
	for {
		old := f.states.Load()
		next := map[uint64]*state{}
		if old != nil {
			if st, ok := (*old)[name]; ok {
				return st
			}
			for k, v := range *old {
				next[k] = v
			}
		}
		st := &state{}
		next[name] = st
		if f.states.CompareAndSwap(old, &next) {
			return st
		}
	}
}

// Status returns what is known of an upstream now.
func (f *Fleet) Status(now time.Time, name string) Status {
	st := f.state(name)
	out := Status{Running: int(st.inFlight.Load())}
	if d := st.downTo.Load(); d != nil {
		out.Down = now.Before(*d)
	}
	rep := st.load.Load()
	if rep == nil || !rep.by.fresh(now) {
		return out
	}
	out.Running = max(out.Running, rep.Running)
	out.Warm = rep.Warm
	out.Incarnation = rep.Incarnation
	out.Version = rep.Version
	out.Backlog = max(0, time.Duration(rep.BacklogMillis)*time.Millisecond-rep.by.age(now))
	return out
}

// Acquire gets leave to send one request to an upstream, and returns how to
// give it back. Warm upstreams need no permit unless the request is a suspect.
func (f *Fleet) Acquire(ctx context.Context, u upstream.Upstream, id string, suspect bool) (func(), error) {
	now := time.Now()
	st := f.state(u.Name)
	if s := f.Status(now, u.Name); s.Warm && !s.Down && !suspect {
		st.inFlight.Add(1)
		return func() { st.inFlight.Add(-1) }, nil
	}
	sponsor, ok := Sponsor(u, f.Follow.Live(now))
	if !ok {
		return nil, ErrNoPermit
	}
	callCtx, cancel := context.WithTimeout(ctx, permitLimit)
	defer cancel()
	rep, err := peerrpc.Call[message.PermitResponse](callCtx, f.Mesh, sponsor, message.PermitRequest{Upstream: u.Name, ID: id, Suspected: suspect})
	if err != nil {
		return nil, fmt.Errorf("asking %s for a permit: %w", sponsor.Name, err)
	}
	if !rep.Granted {
		return nil, ErrNoPermit
	}
	st.inFlight.Add(1)
	return func() {
		st.inFlight.Add(-1)
		go f.giveBack(sponsor, u.Name, id)
	}, nil
}

func (f *Fleet) giveBack(sponsor roster.Member, name, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), permitLimit)
	defer cancel()
	_, _ = f.Mesh.Call(ctx, sponsor, message.PermitRelease{Upstream: name, ID: id})
}

// Unreachable notes that an upstream refused a connection or broke one, as a
// cold or dying one does, and tells its sponsor.
func (f *Fleet) Unreachable(now time.Time, u upstream.Upstream) {
	until := now.Add(unreachableFor)
	st := f.state(u.Name)
	st.downTo.Store(&until)
	st.load.Store(nil)
	sponsor, ok := Sponsor(u, f.Follow.Live(now))
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitLimit)
		defer cancel()
		_, _ = f.Mesh.Call(ctx, sponsor, message.MarkCold{Upstream: u.Name})
	}()
}

// Seen takes the incarnation that came with an answer. A new one is cold.
func (f *Fleet) Seen(now time.Time, u upstream.Upstream, incarnation string) {
	rep := f.state(u.Name).load.Load()
	if incarnation == "" || rep == nil || rep.Incarnation == message.Digest(incarnation) {
		return
	}
	f.state(u.Name).load.Store(nil)
}

func (f *Fleet) handle(_ context.Context, from string, msg message.Message) (message.Message, bool, error) {
	now := time.Now()
	switch m := msg.(type) {
	case message.Loads:
		f.takeNews(now, from, m)
		return message.Ack{}, true, nil
	case message.PermitRequest:
		return message.PermitResponse{Granted: f.permit(now, m)}, true, nil
	case message.PermitRelease:
		f.withRamp(m.Upstream, func(r *slowstart.SlowStart) { r.Release(m.ID) })
		return message.Ack{}, true, nil
	case message.MarkCold:
		f.withRamp(m.Upstream, func(r *slowstart.SlowStart) { r.MarkCold(now) })
		return message.Ack{}, true, nil
	case message.LoadPermit:
		return message.PermitResponse{Granted: f.permitLoad(now, m)}, true, nil
	case message.CachedBlocksRequest:
		return message.CachedBlocksResponse{Blocks: f.held(m.Upstream, m.Keys)}, true, nil
	default:
		return nil, false, nil
	}
}

func (f *Fleet) withRamp(name string, do func(*slowstart.SlowStart)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sp, ok := f.ramps[name]; ok {
		do(&sp.ramp)
	}
}

func (f *Fleet) permit(now time.Time, m message.PermitRequest) bool {
	u, ok := f.Follow.View().Upstream(m.Upstream)
	if !ok {
		return false
	}
	cold, warm := u.Limits()
	got := false
	f.withRamp(m.Upstream, func(r *slowstart.SlowStart) { got = r.Permit(now, m.ID, m.Suspected, cold, warm) })
	return got
}

// Held asks the upstream's sponsor how many leading blocks it is believed to hold.
func (f *Fleet) Held(ctx context.Context, u upstream.Upstream, keys []block.Key) int {
	sponsor, ok := Sponsor(u, f.Follow.Live(time.Now()))
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, permitLimit)
	defer cancel()
	rep, err := peerrpc.Call[message.CachedBlocksResponse](ctx, f.Mesh, sponsor, message.CachedBlocksRequest{Upstream: u.Name, Keys: keys})
	if err != nil {
		return 0
	}
	return rep.Blocks
}
