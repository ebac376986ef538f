// Package replicas holds the replicas and stores that an instance knows, the
// connections to them, and what it has in flight there.
package replicas

import (
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/network"
)

// Limits of connections to replicas.
const (
	// defaultIdleTimeout is how long a connection is kept if the replica does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the part of the time that the replica allows.
	idleTimeoutShare = 0.6
	// minIdleTimeout is used for replicas that allow less than a second.
	minIdleTimeout = 300 * time.Millisecond
	// maxIdleConns bounds the kept connections to one replica.
	maxIdleConns = 16
	// maxFetchTimeout bounds the time that a fetch from a store may take. It has
	// fetchShare of the wanted time to the first event, and fetchPerToken for each
	// token that would have to be read instead: reading much takes capacity from
	// all other requests, so it is worth a longer wait.
	maxFetchTimeout  = 1500 * time.Millisecond
	fetchTargetShare = 0.45
	fetchPerToken    = 60 * time.Microsecond
	// maxOldFetchTimeout bounds fetches of context of weights that were replaced, so
	// that it can be freed soon after the last of them.
	maxOldFetchTimeout = 500 * time.Millisecond
	// stopFetchShare is the share of replicas with newer weights from which context
	// of older ones is not fetched or saved any more: the stores have no room for
	// both, and the newer context is wanted longer.
	stopFetchShare = 0.6
	// startupTime is how long a new instance fetches context of the newest weights
	// alone, since it may not know yet what the others stopped to fetch.
	startupTime = 3 * time.Second
	// loadedTTL is how long a change of weights is told to peers.
	loadedTTL = 5 * time.Second
	// reloadingTTL is how long a replica stays out of use after it was last named.
	reloadingTTL = 1500 * time.Millisecond
)

// Replicas is safe for concurrent use. The exported fields must be set first.
type Replicas struct {
	Network    network.Network
	Decoder    adapter.Decoder
	Now        func() time.Time
	Logger     log.Logger
	DataCentre string
	Bounds     *edgeconfig.LiveBounds
	// CleansStores reports whether this instance frees what stores hold in vain; it
	// lists them more often while they have parts that are not whole.
	CleansStores func(now time.Time) bool
	// FollowsStores reports whether this instance follows the stores itself; the others
	// hear of changes from one that does.
	FollowsStores func(now time.Time) bool

	// OnCrash, if set, takes replicas that ended without having left before.
	OnCrash func(now time.Time, r pool.Replica)

	mu sync.Mutex
	// named has the newest weight version of each model and when it was heard of.
	named map[string]namedVersion
	// oldestFetched has the oldest weight version of each model whose context is fetched.
	oldestFetched map[string]int
	// configuredAt is when the first intent was heard of.
	configuredAt time.Time
	pool         pool.Pool
	dir          directory.Directory
	stores       map[string]netip.AddrPort
	conns        map[string]*replicaConns
	loadedAt     map[message.ReplicaVersion]time.Time
	// clockOffset is the replicas' clock less this instance's.
	clockOffset time.Duration
	clockKnown  bool
}

// namedVersion is the newest weight version of a model and when it was named. An
// instance that starts does not know that, and takes it from its peers.
type namedVersion struct {
	version  int
	namedAt  time.Time
	ageKnown bool
}

// versionMargin is taken off the time for old weights, for the time until a new
// version is heard of, and until a replica begins with a request.
const versionMargin = 800 * time.Millisecond

// SetLimitGroup takes the instances that share limits.
func (rs *Replicas) SetLimitGroup(g limitgroup.Group) {
	b := rs.Bounds.Bounds()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pool.LimitGroup, rs.pool.ColdOvershoot, rs.pool.ColdSlack = g, b.ColdOvershoot, b.ColdSlack
}

// ApplyRecords applies changes of the list of replicas.
func (rs *Replicas) ApplyRecords(now time.Time, records []topicview.Record, removeAt time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pool.DataCentre = rs.DataCentre
	for _, rec := range records {
		if len(rec.Value) == 0 {
			rs.removeEntry(now, removeAt, rec.Key)
			continue
		}
		r, err := rs.Decoder.Replica(now, rec)
		if err != nil {
			_ = rs.Logger.Log("msg", "Ignored an entry of the list of replicas.", "replica", rec.Key, "err", err)
			rs.remove(now, now, rec.Key)
			continue
		}
		old, known := rs.pool.Replica(r.ID)
		rs.pool.Set(r)
		if known && old.Incarnation != r.Incarnation {
			rs.reportCrash(now, old)
		}
		if !known || old.Draining != r.Draining || old.Incarnation != r.Incarnation {
			_ = rs.Logger.Log("msg", "A replica changed.", "replica", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining, "cold-for", coldFor(now, r), "offset", rec.Offset)
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

// removeEntry takes the removal of a replica's entry at a moment that may lie ahead.
func (rs *Replicas) removeEntry(now, at time.Time, id string) {
	r, known := rs.pool.Replica(id)
	rs.remove(now, at, id)
	if known && !now.Before(at) {
		rs.reportCrash(now, r)
	}
}

// reportCrash tells of a replica's end, unless the replica had said that it leaves.
func (rs *Replicas) reportCrash(now time.Time, r pool.Replica) {
	if rs.OnCrash != nil && !r.Draining {
		rs.OnCrash(now, r)
	}
}

func (rs *Replicas) remove(now, at time.Time, id string) {
	rs.pool.Remove(now, at, id)
	_ = rs.Logger.Log("msg", "A replica left the list.", "replica", id, "removed-in", at.Sub(now))
	if _, ok := rs.pool.Replica(id); !ok {
		rs.dropConns(id)
	}
}

// Sweep drops replicas whose removal is due.
func (rs *Replicas) Sweep(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.pool.Sweep(now) {
		rs.dropConns(r.ID)
		rs.reportCrash(now, r)
	}
	for v, at := range rs.loadedAt {
		if now.Sub(at) > loadedTTL {
			delete(rs.loadedAt, v)
		}
	}
}

// Configure takes a new intent.
func (rs *Replicas) Configure(in *adapter.Intent) {
	now := rs.Now()
	t := in.Table
	rs.mu.Lock()
	defer rs.mu.Unlock()
	first := rs.named == nil
	if first {
		rs.named, rs.oldestFetched, rs.configuredAt = map[string]namedVersion{}, map[string]int{}, now
	}
	for model, version := range in.Versions {
		if version <= rs.named[model].version {
			continue
		}
		// What was named before this instance started may be of any age, so older
		// weights are out of use until a peer tells better.
		n := namedVersion{version: version, namedAt: now, ageKnown: !first}
		if first {
			n.namedAt = now.Add(-rs.Bounds.Bounds().Version)
		}
		rs.named[model] = n
	}
	rs.stores = map[string]netip.AddrPort{}
	configs := map[string]directory.StoreConfig{}
	for _, s := range t.Stores() {
		rs.stores[s.Name] = s.Store.Address
		configs[s.Name] = directory.StoreConfig{
			Capacity: s.Store.Capacity, TransferDelay: s.Store.TransferDelay, TransferPerToken: s.Store.TokenTransferTime(t.TokenBytes()),
			DataCentre: s.Store.DataCentre,
		}
	}
	rs.dir.Configure(configs)
}

// WithPool gives access to the pool.
func (rs *Replicas) WithPool(do func(p *pool.Pool)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	do(&rs.pool)
}

// WithDirectory gives access to the directory of stores.
func (rs *Replicas) WithDirectory(do func(d *directory.Directory)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	do(&rs.dir)
}

// SetReplicaClock takes the replicas' clock as it was told at a moment or shortly before.
func (rs *Replicas) SetReplicaClock(now time.Time, millis int64) {
	if millis == 0 {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.clockOffset, rs.clockKnown = time.UnixMilli(millis).Sub(now), true
}
