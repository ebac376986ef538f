// Package upstreams holds the replicas and stores that an instance knows, the
// connections to them, and what it has in flight there.
package upstreams

import (
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/crew"
	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/setup"
	"crocusfold.dev/shell/network"
)

// Limits of connections to replicas.
const (
	// idleLimit is how long a connection is kept if the replica does not say.
	idleLimit = 4 * time.Second
	// idleShare is the part of the time that the replica allows.
	idleShare = 0.6
	// shortestIdle is used for replicas that allow less than a second.
	shortestIdle = 300 * time.Millisecond
	// maxIdle bounds the kept connections to one replica.
	maxIdle = 16
	// fetchLimit bounds the time that a fetch from a store may take. It has
	// fetchShare of the wanted time to the first event, and fetchPerToken for each
	// token that would have to be read instead: reading much takes capacity from
	// all other requests, so it is worth a longer wait.
	fetchLimit    = 1500 * time.Millisecond
	fetchShare    = 0.45
	fetchPerToken = 60 * time.Microsecond
	// oldFetchLimit bounds fetches of context of weights that were replaced, so
	// that it can be freed soon after the last of them.
	oldFetchLimit = 500 * time.Millisecond
	// newerShare is the share of replicas with newer weights from which context
	// of older ones is not fetched or saved any more: the stores have no room for
	// both, and the newer context is wanted longer.
	newerShare = 0.6
	// learnTime is how long a new instance fetches context of the newest weights
	// alone, since it may not know yet what the others stopped to fetch.
	learnTime = 3 * time.Second
	// loadedLife is how long a change of weights is told to peers.
	loadedLife = 5 * time.Second
	// outLife is how long a replica stays out of use after it was last named.
	outLife = 1500 * time.Millisecond
)

// Upstreams is safe for concurrent use. The exported fields must be set first.
type Upstreams struct {
	Network    network.Network
	Decoder    adapter.Decoder
	Now        func() time.Time
	Logger     log.Logger
	DataCentre string
	Bounds     *setup.Live
	// Cleans reports whether this instance frees what stores hold in vain; it
	// lists them more often while they have parts that are not whole.
	Cleans func(now time.Time) bool
	// Follows reports whether this instance follows the stores itself; the others
	// hear of changes from one that does.
	Follows func(now time.Time) bool

	// OnEnded, if set, takes replicas that ended without having left before.
	OnEnded func(now time.Time, r pool.Replica)

	mu sync.Mutex
	// named has the newest weight version of each model and when it was heard of.
	named map[string]naming
	// retired has the oldest weight version of each model whose context is fetched.
	retired map[string]int
	// started is when the first intent was heard of.
	started time.Time
	pool    pool.Pool
	dir     directory.Directory
	stores  map[string]netip.AddrPort
	links   map[string]*link
	loaded  map[message.ReplicaVersion]time.Time
	// clock is the replicas' clock less this instance's.
	clock      time.Duration
	clockKnown bool
}

// naming is the newest weight version of a model and when it was named. An
// instance that starts does not know that, and takes it from its peers.
type naming struct {
	version int
	at      time.Time
	known   bool
}

// versionMargin is taken off the time for old weights, for the time until a new
// version is heard of, and until a replica begins with a request.
const versionMargin = 800 * time.Millisecond

// SetCrew takes the instances that share limits.
func (u *Upstreams) SetCrew(c crew.Crew) {
	b := u.Bounds.Bounds()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pool.LimitGroup, u.pool.ColdOvershoot, u.pool.ColdSlack = c, b.ColdOvershoot, b.ColdSlack
}

// TakeReplicas applies changes of the list of replicas.
func (u *Upstreams) TakeReplicas(now time.Time, changed []topicview.Record, removeAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pool.DataCentre = u.DataCentre
	for _, rec := range changed {
		if len(rec.Value) == 0 {
			u.leftList(now, removeAt, rec.Key)
			continue
		}
		r, err := u.Decoder.Replica(now, rec)
		if err != nil {
			_ = u.Logger.Log("msg", "Ignored an entry of the list of replicas.", "replica", rec.Key, "err", err)
			u.remove(now, now, rec.Key)
			continue
		}
		old, known := u.pool.Replica(r.ID)
		u.pool.Set(r)
		if known && old.Incarnation != r.Incarnation {
			u.ended(now, old)
		}
		if !known || old.Draining != r.Draining || old.Incarnation != r.Incarnation {
			_ = u.Logger.Log("msg", "A replica changed.", "replica", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining, "cold-for", coldFor(now, r), "offset", rec.Offset)
		}
	}
}

// coldFor returns how much longer a replica is cold.
func coldFor(now time.Time, r pool.Replica) time.Duration {
	if r.ColdUntil.IsZero() {
		return 0
	}
	return max(0, r.ColdUntil.Sub(now))
}

// leftList takes the removal of a replica's entry at a moment that may lie ahead.
func (u *Upstreams) leftList(now, at time.Time, id string) {
	r, known := u.pool.Replica(id)
	u.remove(now, at, id)
	if known && !now.Before(at) {
		u.ended(now, r)
	}
}

// ended tells of a replica's end, unless the replica had said that it leaves.
func (u *Upstreams) ended(now time.Time, r pool.Replica) {
	if u.OnEnded != nil && !r.Draining {
		u.OnEnded(now, r)
	}
}

func (u *Upstreams) remove(now, at time.Time, id string) {
	u.pool.Remove(now, at, id)
	_ = u.Logger.Log("msg", "A replica left the list.", "replica", id, "removed-in", at.Sub(now))
	if _, ok := u.pool.Replica(id); !ok {
		u.dropLink(id)
	}
}

// Sweep drops replicas whose removal is due.
func (u *Upstreams) Sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.pool.Sweep(now) {
		u.dropLink(r.ID)
		u.ended(now, r)
	}
	for v, at := range u.loaded {
		if now.Sub(at) > loadedLife {
			delete(u.loaded, v)
		}
	}
}

// Configure takes a new intent.
func (u *Upstreams) Configure(in *adapter.Intent) {
	now := u.Now()
	t := in.Table
	u.mu.Lock()
	defer u.mu.Unlock()
	first := u.named == nil
	if first {
		u.named, u.retired, u.started = map[string]naming{}, map[string]int{}, now
	}
	for model, version := range in.Versions {
		if version <= u.named[model].version {
			continue
		}
		// What was named before this instance started may be of any age, so older
		// weights are out of use until a peer tells better.
		n := naming{version: version, at: now, known: !first}
		if first {
			n.at = now.Add(-u.Bounds.Bounds().Version)
		}
		u.named[model] = n
	}
	u.stores = map[string]netip.AddrPort{}
	spaces := map[string]directory.StoreConfig{}
	for _, s := range t.Stores() {
		u.stores[s.Name] = s.Store.Address
		spaces[s.Name] = directory.StoreConfig{
			Capacity: s.Store.Capacity, TransferDelay: s.Store.TransferDelay, TransferPerToken: s.Store.TokenTransferTime(t.TokenBytes()),
			DataCentre: s.Store.DataCentre,
		}
	}
	u.dir.Configure(spaces)
}

// With gives access to the pool.
func (u *Upstreams) With(do func(p *pool.Pool)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	do(&u.pool)
}

// Directory gives access to the directory of stores.
func (u *Upstreams) Directory(do func(d *directory.Directory)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	do(&u.dir)
}

// SetClock takes the replicas' clock as it was told at a moment or shortly before.
func (u *Upstreams) SetClock(now time.Time, millis int64) {
	if millis == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.clock, u.clockKnown = time.UnixMilli(millis).Sub(now), true
}
