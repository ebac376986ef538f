// Package upstreams holds the replicas and stores that an instance knows, the
// connections to them, and what it has in flight there.
package upstreams

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/feed"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/guard"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/outside"
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
	fetchPerToken = 150 * time.Microsecond
	// oldFetchLimit bounds fetches of context of weights that were replaced, so
	// that it can be freed soon after the last of them.
	oldFetchLimit = 500 * time.Millisecond
	// newerShare is the share of replicas with newer weights from which context
	// of older ones is not fetched or saved any more: the stores have no room for
	// both, and the newer context is wanted longer.
	newerShare = 0.3
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
	Decoder    outside.Decoder
	Now        func() time.Time
	Logger     log.Logger
	DataCentre string
	Bounds     *setup.Live
	// Cleans reports whether this instance frees what stores hold in vain; it
	// lists them more often while they have parts that are not whole.
	Cleans func(now time.Time) bool

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

type naming struct {
	version int
	at      time.Time
}

// versionMargin is taken off the time for old weights, for the time until a new version is
// heard of.
const versionMargin = 500 * time.Millisecond

// link is the connections to one incarnation of a replica.
type link struct {
	incarnation int64
	transport   *http.Transport
	keepAlive   time.Duration
}

// SetMembers takes the number of instances that share limits.
func (u *Upstreams) SetMembers(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pool.Members = n
}

// TakeReplicas applies changes of the list of replicas.
func (u *Upstreams) TakeReplicas(now time.Time, changed []feed.Record, removeAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pool.DataCentre = u.DataCentre
	for _, rec := range changed {
		if len(rec.Value) == 0 {
			u.remove(now, removeAt, rec.Key)
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
	for _, id := range u.pool.Sweep(now) {
		u.dropLink(id)
	}
	for v, at := range u.loaded {
		if now.Sub(at) > loadedLife {
			delete(u.loaded, v)
		}
	}
}

func (u *Upstreams) dropLink(id string) {
	if l, ok := u.links[id]; ok {
		l.transport.CloseIdleConnections()
		delete(u.links, id)
	}
}

// Configure takes a new intent.
func (u *Upstreams) Configure(in *outside.Intent) {
	now := u.Now()
	t := in.Table
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.named == nil {
		u.named, u.retired, u.started = map[string]naming{}, map[string]int{}, now
	}
	for model, version := range in.Versions {
		if version > u.named[model].version {
			u.named[model] = naming{version, now}
		}
	}
	u.stores = map[string]netip.AddrPort{}
	spaces := map[string]directory.Space{}
	for _, s := range t.Stores() {
		u.stores[s.Name] = s.Store.Address
		spaces[s.Name] = directory.Space{
			Capacity: s.Store.Capacity, First: s.Store.FirstDelay, PerToken: s.Store.TokenTime(t.TokenBytes()),
		}
	}
	u.dir.Configure(spaces)
}

// Expired reports whether requests may no longer begin on older weights than a
// version.
func (u *Upstreams) Expired(now time.Time, model string, version int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.oldest(now, model) >= version
}

// oldest returns the oldest weight version that requests may begin on.
func (u *Upstreams) oldest(now time.Time, model string) int {
	n := u.named[model]
	if n.version > 0 && now.Sub(n.at) >= u.Bounds.Bounds().Version-versionMargin {
		return n.version
	}
	return 0
}

// Ticket is a request's place at a replica.
type Ticket struct {
	pool.Choice
	// Transport carries the request.
	Transport *http.Transport
	Salt      string
	// Fetch and Save name a store for each piece of the prompt.
	Fetch, Save []netip.AddrPort
	FetchUntil  int64
	// Reading is the number of prompt tokens that the replica has to read.
	Reading int
	tokens  int
	began   time.Time
	first   bool
	sources []string
	fetched []string
}

// Context tells for the log where each piece comes from: +STORE is fetched,
// >STORE is read and saved, - is read or in the replica's cache.
func (t *Ticket) Context() string {
	return strings.Join(t.sources, ",")
}

// Parts returns the number of pieces that are fetched and saved.
func (t *Ticket) Parts() (fetched, saved int) {
	for _, source := range t.sources {
		switch source[0] {
		case '+':
			fetched++
		case '>':
			saved++
		}
	}
	return fetched, saved
}

// Job is what a placement depends on beyond the pool's request.
type Job struct {
	pool.Request
	Pieces []outside.Piece
	Input  int
	// Target is the time within which the first event is wanted; 0 if none.
	Target time.Duration
	// Wall is the account's name if it shares no context with others.
	Wall string
}

// Place chooses a replica and counts the request there.
func (u *Upstreams) Place(now time.Time, j Job) (*Ticket, pool.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	j.Oldest = u.oldest(now, j.Model)
	u.findMissing(now, &j)
	choice, reason := u.pool.Choose(now, j.Request)
	if reason != "" {
		return nil, reason
	}
	t := &Ticket{Choice: choice, Transport: u.link(choice.Replica).transport, tokens: j.Tokens, Reading: j.Input, began: now}
	if j.Model != "" {
		u.planContext(now, j, t)
	}
	u.pool.Begin(choice.ID, t.tokens, t.Reading)
	return t, ""
}

// findMissing notes how much of a prompt's context no store holds, and who reads it.
func (u *Upstreams) findMissing(now time.Time, j *Job) {
	if j.Model == "" || len(j.Pieces) < 2 {
		return
	}
	salt := directory.Salt(j.Model, u.pool.Newest(j.Service, j.Model), j.Wall)
	for _, piece := range j.Pieces[:len(j.Pieces)-1] {
		part := directory.Part{Salt: salt, ID: piece.ID}
		if _, ok := u.dir.Locate(part, piece.Tokens); ok {
			continue
		}
		j.Missing += piece.Tokens
		if reader, ok := u.dir.Reader(now, part); ok {
			j.Reader = reader
		}
	}
}

// planContext chooses for each piece but the last, which is the request's own,
// where it is fetched from or saved to.
func (u *Upstreams) planContext(now time.Time, j Job, t *Ticket) {
	t.Salt = directory.Salt(j.Model, t.Version, j.Wall)
	if len(j.Pieces) == 0 || len(u.stores) == 0 {
		return
	}
	if u.retiredVersion(now, j.Model, t.Version) {
		return
	}
	t.Fetch = make([]netip.AddrPort, len(j.Pieces))
	t.Save = make([]netip.AddrPort, len(j.Pieces))
	old := t.Version < u.named[j.Model].version
	longest := time.Duration(0)
	for i, piece := range j.Pieces[:len(j.Pieces)-1] {
		part := directory.Part{Salt: t.Salt, ID: piece.ID}
		u.dir.Asked(piece.Tokens)
		limit := fetchTime(j.Target, piece.Tokens)
		if old {
			limit = min(limit, oldFetchLimit)
		}
		source, store := u.dir.Plan(now, part, piece.Tokens, limit, t.ID)
		switch source {
		case directory.Fetch:
			t.Fetch[i] = u.stores[store]
			t.sources = append(t.sources, "+"+store)
			t.fetched = append(t.fetched, store)
			longest = max(longest, limit)
			t.Reading -= piece.Tokens
		case directory.Save:
			t.Save[i] = u.stores[store]
			t.sources = append(t.sources, ">"+store)
		default:
			t.sources = append(t.sources, "-")
		}
	}
	if u.clockKnown {
		t.FetchUntil = now.Add(u.clock + longest).UnixMilli()
	}
}

// retiredVersion reports whether context of a version is no longer fetched here.
// Once it is, it stays so, since others rely on it.
func (u *Upstreams) retiredVersion(now time.Time, model string, version int) bool {
	if version < u.retired[model] {
		return true
	}
	if version >= u.named[model].version {
		return false
	}
	if now.Sub(u.started) >= learnTime && u.pool.NewerShare(model, version) < newerShare {
		return false
	}
	u.retired[model] = version + 1
	return true
}

// Fetched returns for each model the oldest weight version whose context this
// instance may still fetch.
func (u *Upstreams) Fetched(now time.Time) map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[string]int{}
	for model, n := range u.named {
		oldest := max(u.retired[model], 1)
		for oldest < n.version && u.retiredVersion(now, model, oldest) {
			oldest++
		}
		out[model] = oldest
	}
	return out
}

// fetchTime is how long the fetch of a part may take.
func fetchTime(target time.Duration, tokens int) time.Duration {
	if target <= 0 {
		return fetchLimit
	}
	return min(fetchLimit, time.Duration(fetchShare*float64(target))+time.Duration(tokens)*fetchPerToken)
}

// link returns the connections to a replica's incarnation.
func (u *Upstreams) link(r pool.Replica) *link {
	l, ok := u.links[r.ID]
	if ok && l.incarnation == r.Incarnation {
		return l
	}
	if ok {
		l.transport.CloseIdleConnections()
	}
	if u.links == nil {
		u.links = map[string]*link{}
	}
	l = &link{incarnation: r.Incarnation, transport: u.transport(idleLimit)}
	u.links[r.ID] = l
	return l
}

func (u *Upstreams) transport(idle time.Duration) *http.Transport {
	t := guard.Transport(u.Network.Transport())
	t.DisableCompression = true
	t.MaxIdleConnsPerHost = maxIdle
	t.IdleConnTimeout = idle
	return t
}

// KeepAlive takes the time that a replica lets connections stay idle.
func (u *Upstreams) KeepAlive(id string, allowed time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, ok := u.links[id]
	if !ok || l.keepAlive == allowed {
		return
	}
	l.keepAlive = allowed
	idle := max(time.Duration(float64(allowed)*idleShare), shortestIdle)
	old := l.transport
	l.transport = u.transport(idle)
	old.CloseIdleConnections()
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

// FirstAnswer notes the first part of a request's answer.
func (u *Upstreams) FirstAnswer(now time.Time, t *Ticket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !t.first {
		t.first = true
		took := now.Sub(t.began)
		u.pool.FirstAnswer(now, t.ID, t.Reading, took)
		if t.Version > 0 {
			u.dir.Took(now, t.fetched, took)
		}
	}
}

// End gives a request's place back.
func (u *Upstreams) End(t *Ticket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !t.first {
		t.first = true
		u.pool.Read(t.ID, t.Reading)
	}
	u.pool.End(t.ID, t.tokens)
}

// Loaded notes that a replica has a weight version, to be told to peers.
func (u *Upstreams) Loaded(now time.Time, v message.ReplicaVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.pool.Replica(v.Replica)
	if !ok || r.Versions[v.Model] >= v.Version {
		return
	}
	u.pool.SawVersion(v.Replica, v.Model, v.Version)
	if u.loaded == nil {
		u.loaded = map[message.ReplicaVersion]time.Time{}
	}
	u.loaded[v] = now
	_ = u.Logger.Log("msg", "A replica holds new weights.", "replica", v.Replica, "model", v.Model, "version", v.Version)
}

// Hear takes a peer's loads and changes of weights.
func (u *Upstreams) Hear(now time.Time, g message.Gossip) {
	loads := map[string]pool.Load{}
	for _, l := range g.Loads {
		loads[l.Replica] = pool.Load{Running: l.Running, Tokens: l.Tokens, Reading: l.Reading}
	}
	u.mu.Lock()
	u.pool.HearPeer(now, g.Name, loads)
	for _, id := range g.Out {
		u.pool.Reloading(id, now.Add(outLife))
	}
	u.mu.Unlock()
	for _, v := range g.Loaded {
		u.Loaded(now, v)
		u.With(func(p *pool.Pool) { p.Reloading(v.Replica, time.Time{}) })
	}
}

// Tell fills in what peers are told.
func (u *Upstreams) Tell(g *message.Gossip) {
	for model, oldest := range u.Fetched(u.Now()) {
		g.Fetches = append(g.Fetches, message.ModelVersion{Model: model, Version: oldest})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, l := range u.pool.Own() {
		g.Loads = append(g.Loads, message.ReplicaLoad{Replica: id, Running: l.Running, Tokens: l.Tokens, Reading: l.Reading})
	}
	for v := range u.loaded {
		g.Loaded = append(g.Loaded, v)
	}
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
