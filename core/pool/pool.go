// Package pool keeps the replicas of all services with what is known of their
// state, and chooses one for a request.
package pool

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/limitgroup"
)

// Replica is what the list of replicas says of one.
type Replica struct {
	ID, Service string
	Address     netip.AddrPort
	DataCentre  string
	// Slots is the number of requests that it works on at once.
	Slots    int
	Draining bool
	// ColdUntil is when it bears its full load; the zero time if it does now.
	ColdUntil time.Time
	// Versions has the weight version of each model that it holds.
	Versions map[string]int
	// Incarnation tells the starts of a replica under one id apart.
	Incarnation int64
}

// Load is work in flight at a replica.
type Load struct {
	Running int
	// Tokens is the memory that the running requests need.
	Tokens int
	// PendingPrefill is the number of prompt tokens that were not yet read.
	PendingPrefill int
	// PendingTransfer is the time that transfers of context take on the replica's link, which
	// carries one after another. They are counted when the replica is chosen, also
	// if a part is read in place of a transfer after all.
	PendingTransfer time.Duration
}

// Limits on what is believed of a replica.
const (
	// peerLoadTTL is how long the load that another instance told counts.
	peerLoadTTL = 2 * time.Second
	// reportTTL is how long the load that a replica reported counts.
	reportTTL = 400 * time.Millisecond
	// initialBackoff and longestPause bound the time that a failed replica is
	// avoided; it doubles with each failure in a row.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusedBackoff is how long a replica that refused a request is avoided.
	refusedBackoff = 60 * time.Millisecond
	// ewmaWeight is the share of a new observation in the mean delay.
	ewmaWeight = 0.2
	// decayTime is the time in which an unusual delay or failures are half forgotten.
	decayTime = 3 * time.Second
)

type replica struct {
	Replica
	// hash is that of its id.
	hash     uint64
	removeAt time.Time
	own      Load
	peers    map[string]peerLoad
	// reported is the load in the replica's last answer.
	reported struct {
		running, waiting int
		at               time.Time
	}
	failures   int
	avoidUntil time.Time
	// reload is the change of its weights for which it gets no new work.
	reload       pendingReload
	coldBudget   float64
	coldBudgetAt time.Time
	meanDelay    time.Duration
	meanDelayAt  time.Time
	failRate     float64
	failAt       time.Time
}

// pendingReload is a change of a replica's weights that is about to happen.
type pendingReload struct {
	model   string
	version int
	until   time.Time
}

// reloading reports whether a replica gets no new work because its weights are
// about to change.
func (r *replica) reloading(now time.Time) bool {
	return now.Before(r.reload.until) && r.Versions[r.reload.model] < r.reload.version
}

type peerLoad struct {
	Load
	at time.Time
}

// Pool is the set of known replicas. The zero value is empty. It is not safe
// for concurrent use.
type Pool struct {
	// DataCentre is that of this instance.
	DataCentre string
	// LimitGroup is the instances that share the limits of cold replicas.
	LimitGroup limitgroup.Group
	// ColdOvershoot times the rate of a cold replica and ColdSlack are what all
	// instances together may send to it in a second.
	ColdOvershoot, ColdSlack float64

	replicas map[string]*replica
	// medianDelays has the usual delay of each service.
	medianDelays map[string]delayMedian
	// eligible and avoided are used by Choose.
	eligible, avoided []candidate
}

// Set adds a replica or takes its new state.
func (p *Pool) Set(r Replica) {
	if p.replicas == nil {
		p.replicas = map[string]*replica{}
	}
	old, ok := p.replicas[r.ID]
	if !ok || old.Incarnation != r.Incarnation {
		p.replicas[r.ID] = &replica{Replica: r, hash: xxhash.Sum64String(r.ID), peers: map[string]peerLoad{}}
		return
	}
	// A version that was seen on an answer is newer than a record that lags.
	for model, v := range old.Versions {
		if v > r.Versions[model] {
			r.Versions[model] = v
		}
	}
	old.Replica, old.removeAt = r, time.Time{}
}

// Remove drops a replica at a moment, which may lie ahead if it is not sure
// that the replica is gone.
func (p *Pool) Remove(now, at time.Time, id string) {
	r, ok := p.replicas[id]
	if !ok {
		return
	}
	if !now.Before(at) {
		delete(p.replicas, id)
		return
	}
	r.removeAt = at
}

// Sweep drops the replicas whose removal is due and returns them.
func (p *Pool) Sweep(now time.Time) []Replica {
	var removed []Replica
	for id, r := range p.replicas {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			delete(p.replicas, id)
			removed = append(removed, r.Replica)
		}
	}
	return removed
}

// Replica returns a replica by its id.
func (p *Pool) Replica(id string) (Replica, bool) {
	r, ok := p.replicas[id]
	if !ok {
		return Replica{}, false
	}
	return r.Replica, true
}

// All returns the replicas of a service.
func (p *Pool) All(service string) []Replica {
	var out []Replica
	for _, r := range p.replicas {
		if r.Service == service {
			out = append(out, r.Replica)
		}
	}
	return out
}

// NewestVersion returns the newest weight version that a replica of a service holds.
func (p *Pool) NewestVersion(service, model string) int {
	newest := 0
	for _, r := range p.replicas {
		if r.Service == service {
			newest = max(newest, r.Versions[model])
		}
	}
	return newest
}

// NewerShare returns the share of the replicas with a model that hold newer
// weights than a version.
func (p *Pool) NewerShare(model string, version int) float64 {
	newer, total := 0, 0
	for _, r := range p.replicas {
		v := r.Versions[model]
		if v == 0 || r.Draining {
			continue
		}
		total++
		if v > version {
			newer++
		}
	}
	if total == 0 {
		return 0
	}
	return float64(newer) / float64(total)
}

// OwnLoads returns this instance's work in flight by replica.
func (p *Pool) OwnLoads() map[string]Load {
	out := map[string]Load{}
	for id, r := range p.replicas {
		if r.own.Running > 0 {
			out[id] = r.own
		}
	}
	return out
}

// CombinedLoads returns the work in flight of this instance and of some peers, by replica.
func (p *Pool) CombinedLoads(now time.Time, peers map[string]bool) map[string]Load {
	out := map[string]Load{}
	for id, r := range p.replicas {
		sum := r.own
		for peer, l := range r.peers {
			if peers[peer] && now.Sub(l.at) < peerLoadTTL {
				sum.add(l.Load)
			}
		}
		if sum.Running > 0 {
			out[id] = sum
		}
	}
	return out
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Tokens += o.Tokens
	l.PendingPrefill += o.PendingPrefill
	l.PendingTransfer += o.PendingTransfer
}

// Load returns the work in flight at a replica, over all instances that told
// theirs.
func (p *Pool) Load(now time.Time, id string) Load {
	if r, ok := p.replicas[id]; ok {
		return r.load(now)
	}
	return Load{}
}

// SetPeerLoads takes the load that another instance told, of itself or of several.
func (p *Pool) SetPeerLoads(now time.Time, peer string, loads map[string]Load) {
	for id, r := range p.replicas {
		if l, ok := loads[id]; ok {
			r.peers[peer] = peerLoad{l, now}
		} else {
			delete(r.peers, peer)
		}
	}
}

// DropPeerLoads drops the load that another instance told.
func (p *Pool) DropPeerLoads(peer string) {
	for _, r := range p.replicas {
		delete(r.peers, peer)
	}
}

// Begin counts a request as in flight at a replica, with what it adds to the load.
func (p *Pool) Begin(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.Running++
		r.own.Tokens += l.Tokens
		r.own.PendingPrefill += l.PendingPrefill
		r.own.PendingTransfer += l.PendingTransfer
	}
}

// ResponseStarted notes that a request's prompt has been read, with the time that
// the first part of its answer took.
func (p *Pool) ResponseStarted(now time.Time, id string, l Load, took time.Duration) {
	r, ok := p.replicas[id]
	if !ok {
		return
	}
	p.EndPrefill(id, l)
	if r.meanDelayAt.IsZero() {
		r.meanDelay = took
	} else {
		r.meanDelay += time.Duration(ewmaWeight * float64(took-r.meanDelay))
	}
	r.meanDelayAt = now
}

// EndPrefill notes that a request's prompt waits no longer to be moved and read.
func (p *Pool) EndPrefill(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.PendingPrefill -= l.PendingPrefill
		r.own.PendingTransfer -= l.PendingTransfer
	}
}

// End takes a request off the count.
func (p *Pool) End(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.Running--
		r.own.Tokens -= l.Tokens
	}
}

// SetReportedLoad takes the load that a replica's answer carried.
func (p *Pool) SetReportedLoad(now time.Time, id string, running, waiting int) {
	if r, ok := p.replicas[id]; ok {
		r.reported.running, r.reported.waiting, r.reported.at = running, waiting, now
	}
}

// Succeeded notes a whole answer.
func (p *Pool) Succeeded(id string) {
	if r, ok := p.replicas[id]; ok {
		r.failures, r.avoidUntil = 0, time.Time{}
		r.failRate *= 1 - ewmaWeight
	}
}

// Failed notes that a replica could not be reached or broke off.
func (p *Pool) Failed(now time.Time, id string) {
	r, ok := p.replicas[id]
	if !ok {
		return
	}
	backoff := min(initialBackoff<<min(r.failures, 10), maxBackoff)
	r.failures++
	r.avoidUntil = now.Add(backoff)
	r.recordFailure(now)
}

// ReturnedError notes that a replica answered with a failure of its own.
func (p *Pool) ReturnedError(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.recordFailure(now)
	}
}

func (r *replica) recordFailure(now time.Time) {
	r.failRate += ewmaWeight * (1 - r.failRate)
	r.failAt = now
}

// Refused notes that a replica refused a request without running it.
func (p *Pool) Refused(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.avoidUntil = later(r.avoidUntil, now.Add(refusedBackoff))
	}
}

// Misdirected notes that another replica answers at the address.
func (p *Pool) Misdirected(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.avoidUntil = now.Add(maxBackoff)
	}
}

// ObserveVersion notes the weight version that a replica answered with.
func (p *Pool) ObserveVersion(id, model string, version int) {
	r, ok := p.replicas[id]
	if !ok || version <= r.Versions[model] {
		return
	}
	// The map may be shared with a snapshot, so it is copied.
	versions := map[string]int{model: version}
	for m, v := range r.Versions {
		if m != model {
			versions[m] = v
		}
	}
	r.Versions = versions
}

// MarkReloading keeps new work from a replica until it holds a weight version, or
// until a moment.
func (p *Pool) MarkReloading(id, model string, version int, until time.Time) {
	if r, ok := p.replicas[id]; ok {
		r.reload = pendingReload{model, version, until}
	}
}

// ClearReloading lets a replica have new work again.
func (p *Pool) ClearReloading(id string) {
	if r, ok := p.replicas[id]; ok {
		r.reload = pendingReload{}
	}
}

func (r *replica) load(now time.Time) Load {
	sum := r.own
	for _, l := range r.peers {
		if now.Sub(l.at) < peerLoadTTL {
			sum.add(l.Load)
		}
	}
	return sum
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
