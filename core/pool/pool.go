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
	// Reading is the number of prompt tokens that were not yet read.
	Reading int
	// Moving is the time that transfers of context take on the replica's link, which
	// carries one after another. They are counted when the replica is chosen, also
	// if a part is read in place of a transfer after all.
	Moving time.Duration
}

// Limits on what is believed of a replica.
const (
	// peerLoadLife is how long the load that another instance told counts.
	peerLoadLife = 2 * time.Second
	// reportLife is how long the load that a replica reported counts.
	reportLife = 400 * time.Millisecond
	// firstPause and longestPause bound the time that a failed replica is
	// avoided; it doubles with each failure in a row.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// refusedPause is how long a replica that refused a request is avoided.
	refusedPause = 60 * time.Millisecond
	// delayWeight is the share of a new observation in the mean delay.
	delayWeight = 0.2
	// fadeTime is the time in which an unusual delay or failures are half forgotten.
	fadeTime = 3 * time.Second
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
	reload   reload
	grant    float64
	grantAt  time.Time
	delay    time.Duration
	delayAt  time.Time
	failRate float64
	failAt   time.Time
}

// reload is a change of a replica's weights that is about to happen.
type reload struct {
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
	// Crew is the instances that share the limits of cold replicas.
	Crew limitgroup.Group
	// ColdOvershoot times the rate of a cold replica and ColdSlack are what all
	// instances together may send to it in a second.
	ColdOvershoot, ColdSlack float64

	replicas map[string]*replica
	// usual has the usual delay of each service.
	usual map[string]usual
	// open and avoided are used by Choose.
	open, avoided []candidate
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
	var gone []Replica
	for id, r := range p.replicas {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			delete(p.replicas, id)
			gone = append(gone, r.Replica)
		}
	}
	return gone
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

// Newest returns the newest weight version that a replica of a service holds.
func (p *Pool) Newest(service, model string) int {
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
	newer, all := 0, 0
	for _, r := range p.replicas {
		held := r.Versions[model]
		if held == 0 || r.Draining {
			continue
		}
		all++
		if held > version {
			newer++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(newer) / float64(all)
}

// Own returns this instance's work in flight by replica.
func (p *Pool) Own() map[string]Load {
	out := map[string]Load{}
	for id, r := range p.replicas {
		if r.own.Running > 0 {
			out[id] = r.own
		}
	}
	return out
}

// Sum returns the work in flight of this instance and of some peers, by replica.
func (p *Pool) Sum(now time.Time, peers map[string]bool) map[string]Load {
	out := map[string]Load{}
	for id, r := range p.replicas {
		sum := r.own
		for peer, l := range r.peers {
			if peers[peer] && now.Sub(l.at) < peerLoadLife {
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
	l.Reading += o.Reading
	l.Moving += o.Moving
}

// Load returns the work in flight at a replica, over all instances that told
// theirs.
func (p *Pool) Load(now time.Time, id string) Load {
	if r, ok := p.replicas[id]; ok {
		return r.load(now)
	}
	return Load{}
}

// HearPeer takes the load that another instance told, of itself or of several.
func (p *Pool) HearPeer(now time.Time, peer string, loads map[string]Load) {
	for id, r := range p.replicas {
		if l, ok := loads[id]; ok {
			r.peers[peer] = peerLoad{l, now}
		} else {
			delete(r.peers, peer)
		}
	}
}

// ForgetPeer drops the load that another instance told.
func (p *Pool) ForgetPeer(peer string) {
	for _, r := range p.replicas {
		delete(r.peers, peer)
	}
}

// Begin counts a request as in flight at a replica, with what it adds to the load.
func (p *Pool) Begin(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.Running++
		r.own.Tokens += l.Tokens
		r.own.Reading += l.Reading
		r.own.Moving += l.Moving
	}
}

// FirstAnswer notes that a request's prompt has been read, with the time that
// the first part of its answer took.
func (p *Pool) FirstAnswer(now time.Time, id string, l Load, took time.Duration) {
	r, ok := p.replicas[id]
	if !ok {
		return
	}
	p.Read(id, l)
	if r.delayAt.IsZero() {
		r.delay = took
	} else {
		r.delay += time.Duration(delayWeight * float64(took-r.delay))
	}
	r.delayAt = now
}

// Read notes that a request's prompt waits no longer to be moved and read.
func (p *Pool) Read(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.Reading -= l.Reading
		r.own.Moving -= l.Moving
	}
}

// End takes a request off the count.
func (p *Pool) End(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.Running--
		r.own.Tokens -= l.Tokens
	}
}

// Report takes the load that a replica's answer carried.
func (p *Pool) Report(now time.Time, id string, running, waiting int) {
	if r, ok := p.replicas[id]; ok {
		r.reported.running, r.reported.waiting, r.reported.at = running, waiting, now
	}
}

// Succeeded notes a whole answer.
func (p *Pool) Succeeded(id string) {
	if r, ok := p.replicas[id]; ok {
		r.failures, r.avoidUntil = 0, time.Time{}
		r.failRate *= 1 - delayWeight
	}
}

// Failed notes that a replica could not be reached or broke off.
func (p *Pool) Failed(now time.Time, id string) {
	r, ok := p.replicas[id]
	if !ok {
		return
	}
	pause := min(firstPause<<min(r.failures, 10), longestPause)
	r.failures++
	r.avoidUntil = now.Add(pause)
	r.err(now)
}

// Erred notes that a replica answered with a failure of its own.
func (p *Pool) Erred(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.err(now)
	}
}

func (r *replica) err(now time.Time) {
	r.failRate += delayWeight * (1 - r.failRate)
	r.failAt = now
}

// Refused notes that a replica refused a request without running it.
func (p *Pool) Refused(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.avoidUntil = later(r.avoidUntil, now.Add(refusedPause))
	}
}

// Misdirected notes that another replica answers at the address.
func (p *Pool) Misdirected(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.avoidUntil = now.Add(longestPause)
	}
}

// SawVersion notes the weight version that a replica answered with.
func (p *Pool) SawVersion(id, model string, version int) {
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

// Reloading keeps new work from a replica until it holds a weight version, or
// until a moment.
func (p *Pool) Reloading(id, model string, version int, until time.Time) {
	if r, ok := p.replicas[id]; ok {
		r.reload = reload{model, version, until}
	}
}

// Release lets a replica have new work again.
func (p *Pool) Release(id string) {
	if r, ok := p.replicas[id]; ok {
		r.reload = reload{}
	}
}

func (r *replica) load(now time.Time) Load {
	sum := r.own
	for _, l := range r.peers {
		if now.Sub(l.at) < peerLoadLife {
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
