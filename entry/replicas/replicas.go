// Package replicas holds the state of the replicas and of the stores of context, the
// connections to the replicas, and this instance's requests in flight there.
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
	"crocusfold.dev/core/weightversion"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/network"
)

// Limits of connections to replicas, of fetches of context, and of the state that is
// exchanged with peers.
const (
	// defaultIdleTimeout is how long an idle connection is kept if the replica does not
	// state a time.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the time stated by the replica for which an idle
	// connection is kept.
	idleTimeoutShare = 0.6
	// minIdleTimeout is the shortest time for which an idle connection is kept. It
	// applies to replicas that state less than 500 ms.
	minIdleTimeout = 300 * time.Millisecond
	// maxIdleConns bounds the idle connections to one replica.
	maxIdleConns = 16
	// The fetch of a part from a store may take fetchTargetShare of the target latency
	// plus fetchPerToken for each token of the part, but at most maxFetchTimeout, which
	// also applies if there is no target. The timeout grows with the part, since the
	// prefill of a large part takes capacity from all other requests, which makes it
	// worth waiting longer for the fetch.
	maxFetchTimeout  = 1500 * time.Millisecond
	fetchTargetShare = 0.45
	fetchPerToken    = 60 * time.Microsecond
	// maxOldFetchTimeout bounds fetches of context of weights that were replaced, so
	// that the context can be freed soon after the last fetch.
	maxOldFetchTimeout = 500 * time.Millisecond
	// stopFetchShare is the share of replicas with newer weights at which context of
	// older weights stops being fetched and saved. The stores lack capacity for both, and
	// the newer context is used longer.
	stopFetchShare = 0.6
	// startupTime is the time after the first intent in which only context of the
	// newest weights is fetched, since this instance may not know yet which context the
	// other instances have stopped fetching.
	startupTime = 3 * time.Second
	// loadedTTL is how long a change of weights is sent to peers.
	loadedTTL = 5 * time.Second
	// reloadingTTL is how long a replica gets no new work after the leader last
	// reported that it is to be reloaded.
	reloadingTTL = 1500 * time.Millisecond
)

// Replicas is the state of all replicas and stores. It is safe for concurrent use. The
// exported fields must be set before use.
type Replicas struct {
	Network    network.Network
	Decoder    adapter.Decoder
	Now        func() time.Time
	Logger     log.Logger
	DataCentre string
	Bounds     *edgeconfig.LiveBounds
	// CleansStores reports whether this instance frees unused context in the stores. If
	// so, it lists a store more often while that has partially written parts.
	CleansStores func(now time.Time) bool
	// FollowsStores reports whether this instance reads the stores itself. Other
	// instances receive the changes from one that does.
	FollowsStores func(now time.Time) bool

	// OnCrash, if set, is called for each replica that left the list or restarted
	// without draining before. It must not call methods of Replicas.
	OnCrash func(now time.Time, r pool.Replica)
	// OnChange, if set, is called for each replica that enters the list, changes there or
	// leaves it. It must not call methods of Replicas.
	OnChange func(now time.Time, r pool.Replica)

	mu sync.Mutex
	// named has the weight versions that the operators named for each model.
	named map[string]*weightversion.History
	// oldestFetched has the oldest weight version of each model whose context is fetched.
	oldestFetched map[string]int
	// configuredAt is when the first intent was applied.
	configuredAt time.Time
	pool         pool.Pool
	dir          directory.Directory
	stores       map[string]netip.AddrPort
	conns        map[string]*replicaConns
	// loadedAt has the latest changes of weights, which are sent to peers, and the
	// times at which they were recorded.
	loadedAt map[message.ReplicaVersion]time.Time
	// filledAt is the time of the latest message that FillGossip filled. Peers acknowledge all
	// changes up to that time, so that a change which is recorded later counts from then on,
	// even if it was observed before.
	filledAt time.Time
	// unmatchedLimits has the limits received for incarnations that the list does not have.
	unmatchedLimits map[start]unmatchedLimit
	// clockOffset is the replicas' clock minus the clock of this instance.
	clockOffset time.Duration
	clockKnown  bool
}

// versionMargin is subtracted from Bounds.Version. It covers the time until a new
// version is received, and the time until a replica begins with a request.
const versionMargin = 800 * time.Millisecond

// Contended reports whether requests of a service compete for replicas.
func (rs *Replicas) Contended(service string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.pool.ServiceContended(service)
}

// SetContended sets whether requests of all services compete for replicas. If not, those of
// services whose replicas state their slowdown do.
func (rs *Replicas) SetContended(contended bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pool.Contended = contended
}

// SetLimitGroup sets the group of instances that share the limits of cold replicas, and
// applies the bounds in force to these limits.
func (rs *Replicas) SetLimitGroup(g limitgroup.Group) {
	b := rs.Bounds.Bounds()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pool.LimitGroup, rs.pool.ColdOvershoot, rs.pool.ColdSlack = g, b.ColdOvershoot, b.ColdSlack
}

// ApplyRecords applies changed records of the list of replicas. A record without a value
// removes its replica at removeAt, which may be in the future. A replica whose record
// can't be decoded is removed at once.
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
		r = rs.pool.Set(r)
		if known {
			rs.reportChange(now, old)
		}
		rs.reportChange(now, r)
		rs.matchLimit(now, r)
		if known && old.Incarnation != r.Incarnation {
			rs.reportCrash(now, old)
		}
		if !known || old.Draining != r.Draining || old.Incarnation != r.Incarnation {
			_ = rs.Logger.Log("msg", "A replica changed.", "replica", r.ID, "service", r.Service, "software", r.Software, "address", r.Address, "draining", r.Draining, "cold-for", coldFor(now, r), "offset", rec.Offset)
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

// removeEntry removes a replica whose entry was deleted. If the removal is due in the
// future, Sweep completes it and reports the crash.
func (rs *Replicas) removeEntry(now, at time.Time, id string) {
	r, known := rs.pool.Replica(id)
	rs.remove(now, at, id)
	if known {
		rs.reportChange(now, r)
	}
	if known && !now.Before(at) {
		rs.reportCrash(now, r)
	}
}

// reportChange calls OnChange for a replica.
func (rs *Replicas) reportChange(now time.Time, r pool.Replica) {
	if rs.OnChange != nil {
		rs.OnChange(now, r)
	}
}

// reportCrash calls OnCrash for a replica, unless it was draining.
func (rs *Replicas) reportCrash(now time.Time, r pool.Replica) {
	if rs.OnCrash != nil && !r.Draining {
		rs.OnCrash(now, r)
	}
}

// remove removes a replica at a given time.
func (rs *Replicas) remove(now, at time.Time, id string) {
	rs.pool.Remove(now, at, id)
	_ = rs.Logger.Log("msg", "A replica left the list.", "replica", id, "removed-in", at.Sub(now))
	if _, ok := rs.pool.Replica(id); !ok {
		rs.dropConns(id)
	}
}

// Sweep removes the replicas whose removal is due, and changes of weights that are no
// longer sent to peers.
func (rs *Replicas) Sweep(now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.pool.Sweep(now) {
		rs.dropConns(r.ID)
		rs.reportChange(now, r)
		rs.reportCrash(now, r)
	}
	for v, at := range rs.loadedAt {
		if now.Sub(at) > loadedTTL {
			delete(rs.loadedAt, v)
		}
	}
	for s, l := range rs.unmatchedLimits {
		if now.Sub(l.at) > unmatchedTTL {
			delete(rs.unmatchedLimits, s)
		}
	}
}

// Configure applies the weight versions and the stores of an intent.
func (rs *Replicas) Configure(in *adapter.Intent) {
	now := rs.Now()
	t := in.Table
	rs.mu.Lock()
	defer rs.mu.Unlock()
	first := rs.named == nil
	if first {
		rs.named, rs.oldestFetched, rs.configuredAt = map[string]*weightversion.History{}, map[string]int{}, now
	}
	for model, version := range in.Versions {
		// The versions of the first intent may have been named at any time before
		// this instance started. Assume the longest time that counts, so that older
		// weights are not used until a peer reports the version's age.
		n := weightversion.Named{Version: version, At: now, AgeKnown: !first}
		if first {
			n.At = now.Add(-rs.Bounds.Bounds().Version)
		}
		if rs.named[model] == nil {
			rs.named[model] = &weightversion.History{}
		}
		rs.named[model].Add(n)
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

// WithPool calls do with the pool, under the lock. do must not call methods of Replicas.
func (rs *Replicas) WithPool(do func(p *pool.Pool)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	do(&rs.pool)
}

// WithDirectory calls do with the directory of stores, under the lock. do must not call
// methods of Replicas.
func (rs *Replicas) WithDirectory(do func(d *directory.Directory)) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	do(&rs.dir)
}

// SetReplicaClock sets the replicas' clock, in Unix milliseconds as reported at now or
// shortly before. It ignores 0, which stands for an unknown clock.
func (rs *Replicas) SetReplicaClock(now time.Time, millis int64) {
	if millis == 0 {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.clockOffset, rs.clockKnown = time.UnixMilli(millis).Sub(now), true
}
