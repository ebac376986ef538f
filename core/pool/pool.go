// Package pool tracks the replicas of all services, with their load, delay and
// failures, and chooses a replica for each request. crocus-edge uses this package,
// crocus-entry core/placement.
package pool

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/answertime"
	"crocusfold.dev/core/departures"
	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/statedlimit"
	"crocusfold.dev/core/waits"
)

// Replica is a replica's entry in the list of replicas.
type Replica struct {
	ID, Service string
	// Software is the version of the replica's software; empty if it states none. It has no
	// order.
	Software   string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the replica runs at once.
	Slots int
	// Draining is true if the replica leaves, by its entry or by its own responses.
	Draining bool
	// ColdUntil is when the replica is warm and can take its full load; zero if it
	// can now.
	ColdUntil time.Time
	// Versions maps each model that the replica holds to its weight version.
	Versions map[string]int
	// Incarnation distinguishes the starts of a replica under one id.
	Incarnation int64
}

// Load is the work in flight at a replica.
type Load struct {
	// Running is the number of requests in flight.
	Running int
	// Tokens is the memory that these requests need, in tokens.
	Tokens int
	// PendingPrefill is the number of prompt tokens that are not prefilled yet.
	PendingPrefill int
	// Bytes is the size of the bodies of these requests. It is counted only for plain services
	// whose requests compete for replicas.
	Bytes int
	// Urgency is the cost of a delay of these requests, in thousandths of the delay: how much
	// likelier it makes late responses. Only this instance's own is known.
	Urgency int
	// PendingTransfer is the time that the outstanding transfers of context need on
	// the replica's link, which carries one at a time. A transfer is counted when
	// the replica is chosen, even if the part is prefilled instead later.
	PendingTransfer time.Duration
}

// Times and weights of the observations of a replica.
const (
	// peerLoadTTL is how long a load received from another instance counts.
	peerLoadTTL = 2 * time.Second
	// reportTTL is how long a load reported by the replica itself counts.
	reportTTL = 400 * time.Millisecond
	// initialBackoff and maxBackoff bound the time for which a failed replica is
	// avoided. The time doubles with each consecutive failure.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusedBackoff is how long a replica is avoided after it refused a request.
	refusedBackoff = 60 * time.Millisecond
	// ewmaWeight is the weight of a new observation in the moving averages of the
	// delay and of the failure rate.
	ewmaWeight = 0.2
	// decayTime is the age at which an observed excess delay or failure rate counts
	// half.
	decayTime = 3 * time.Second
)

type replica struct {
	Replica
	// hash is the hash of the id.
	hash uint64
	// removeAt is when Sweep removes the replica; zero if it stays.
	removeAt time.Time
	// own is this instance's work in flight. peers has the loads that other instances
	// reported, by the indexes of Pool.peers; one may be the sum of several instances.
	own   Load
	peers []peerLoad
	// reported is the load stated in the replica's last response.
	reported struct {
		running, waiting int
		at               time.Time
	}
	// speed is the replica's speed compared with others of the service.
	speed answertime.Speed
	// failures is the number of consecutive failures.
	failures   int
	avoidUntil time.Time
	// reload is the change of weights for which the replica gets no new work.
	reload pendingReload
	// coldBudget is the number of requests that this instance may send now while
	// the replica is cold. It was last refilled at coldBudgetAt.
	coldBudget   float64
	coldBudgetAt time.Time
	// limit is the limit that the replica last stated. Requests with the priority
	// deferredPriority or a less urgent one are not granted before deferredUntil.
	limit            statedlimit.Limit
	deferredUntil    time.Time
	deferredPriority int
	// meanDelay is the moving average of the time until a response starts.
	meanDelay   time.Duration
	meanDelayAt time.Time
	// failRate is the moving average of failed requests, from 0 to 1.
	failRate  float64
	failAt    time.Time
	errors    errors
	suspicion suspicion
}

// pendingReload is an upcoming change of a replica's weights to a version. It is
// ignored from until on.
type pendingReload struct {
	model   string
	version int
	until   time.Time
}

// reloading reports whether a replica gets no new work because its weights are
// about to change. It ends once the replica holds the version.
func (r *replica) reloading(now time.Time) bool {
	return now.Before(r.reload.until) && r.Versions[r.reload.model] < r.reload.version
}

// Pool is the set of known replicas. The zero value is empty. It is not safe
// for concurrent use.
type Pool struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	// LimitGroup is the group of instances that share the limits of cold replicas.
	LimitGroup limitgroup.Group
	// All instances together may send a cold replica ColdOvershoot times
	// Request.ColdRate plus ColdSlack requests per second.
	ColdOvershoot, ColdSlack float64
	// Contended is true if requests of all services compete for replicas.
	Contended bool

	replicas   map[string]*replica
	peers      peerIndexes
	departures departures.Departures
	waits      waits.Waits
	// medianDelays caches the median delay of each service.
	medianDelays map[string]delayMedian
	// stating has the services of which a replica stated its slowdown, and times the times
	// of the services' responses.
	stating map[string]bool
	times   map[string]*answertime.Times
	// eligible and avoided are buffers that Choose reuses.
	eligible, avoided []candidate
}

// Set adds a replica or updates its entry, and cancels a removal that is due later.
// A new incarnation starts without load and failures. It returns the replica as it is
// known now: what an incarnation stated in its responses has precedence over its entry.
func (p *Pool) Set(r Replica) Replica {
	r.Draining = r.Draining || p.departures.Leaving(r.ID, r.Incarnation)
	if p.replicas == nil {
		p.replicas = map[string]*replica{}
	}
	old, ok := p.replicas[r.ID]
	if !ok || old.Incarnation != r.Incarnation {
		p.replicas[r.ID] = &replica{Replica: r, hash: xxhash.Sum64String(r.ID)}
		return r
	}
	// A version observed in a response may be newer than the list, which lags.
	for model, v := range old.Versions {
		if v > r.Versions[model] {
			r.Versions[model] = v
		}
	}
	old.Replica, old.removeAt = r, time.Time{}
	return r
}

// Remove removes a replica at a given time. A time in the future, for a replica that
// may still be alive, leaves the removal to Sweep.
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

// Sweep removes the replicas whose removal is due and returns them.
func (p *Pool) Sweep(now time.Time) []Replica {
	var removed []Replica
	for id, r := range p.replicas {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			delete(p.replicas, id)
			removed = append(removed, r.Replica)
		}
	}
	p.waits.Sweep(now)
	p.sweepPeers(now)
	p.departures.Sweep(now, func(id string, incarnation int64) bool {
		r, ok := p.replicas[id]
		return ok && r.Incarnation == incarnation
	})
	return removed
}

// Replica returns a replica by its id, and whether it is known.
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

// NewestVersion returns the newest weight version of a model at any replica of a
// service, or 0 if no replica holds the model.
func (p *Pool) NewestVersion(service, model string) int {
	newest := 0
	for _, r := range p.replicas {
		if r.Service == service {
			newest = max(newest, r.Versions[model])
		}
	}
	return newest
}

// NewerShare returns, of the replicas that hold a model and are not draining, the
// share whose weights are newer than a version.
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

// OldestInUse returns the oldest weight version of a model, from the version from on, for which
// NewerShare is less than share; at most limit. Its cost depends on the number of replicas, and
// not on the versions, which may be any numbers.
func (p *Pool) OldestInUse(model string, from, limit int, share float64) int {
	var held []int
	for _, r := range p.replicas {
		if v := r.Versions[model]; v != 0 && !r.Draining {
			held = append(held, v)
		}
	}
	slices.Sort(held)
	for i, v := range held {
		if newer := len(held) - i - 1; float64(newer)/float64(len(held)) < share {
			return min(max(v, from), limit)
		}
	}
	return min(from, limit)
}

// OwnLoads returns this instance's work in flight, by replica.
func (p *Pool) OwnLoads() map[string]Load {
	out := map[string]Load{}
	for id, r := range p.replicas {
		if r.own.Running > 0 {
			out[id] = r.own
		}
	}
	return out
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Tokens += o.Tokens
	l.PendingPrefill += o.PendingPrefill
	l.PendingTransfer += o.PendingTransfer
	l.Bytes += o.Bytes
}

// Load returns the work in flight at a replica: this instance's, and what other
// instances reported within peerLoadTTL.
func (p *Pool) Load(now time.Time, id string) Load {
	if r, ok := p.replicas[id]; ok {
		return r.load(now)
	}
	return Load{}
}

// Begin counts a request as in flight at a replica and adds its load, whose Running
// is ignored.
func (p *Pool) Begin(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.Running++
		r.own.Tokens += l.Tokens
		r.own.PendingPrefill += l.PendingPrefill
		r.own.PendingTransfer += l.PendingTransfer
		r.own.Bytes += l.Bytes
		r.own.Urgency += l.Urgency
	}
}

// ResponseStarted records the time that a request took until its response started,
// and ends its prefill as EndPrefill does.
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

// EndPrefill removes a request's pending prefill and transfers from the load. Call it
// or ResponseStarted once for each request.
func (p *Pool) EndPrefill(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.PendingPrefill -= l.PendingPrefill
		r.own.PendingTransfer -= l.PendingTransfer
	}
}

// End stops counting a request as in flight. Its pending prefill and transfers are
// removed by EndPrefill or ResponseStarted.
func (p *Pool) End(id string, l Load) {
	if r, ok := p.replicas[id]; ok {
		r.own.Running--
		r.own.Tokens -= l.Tokens
		r.own.Bytes -= l.Bytes
		r.own.Urgency -= l.Urgency
	}
}

// SetReportedLoad records the load that a replica stated in a response.
func (p *Pool) SetReportedLoad(now time.Time, id string, running, waiting int) {
	if r, ok := p.replicas[id]; ok {
		r.reported.running, r.reported.waiting, r.reported.at = running, waiting, now
	}
}

// ObserveVersion records the weight version stated by a replica, if it is newer than
// the known one.
func (p *Pool) ObserveVersion(id, model string, version int) {
	r, ok := p.replicas[id]
	if !ok || version <= r.Versions[model] {
		return
	}
	// Copy the map, since callers of Replica and All may still read it.
	versions := map[string]int{model: version}
	for m, v := range r.Versions {
		if m != model {
			versions[m] = v
		}
	}
	r.Versions = versions
}

// MarkReloading keeps new work from a replica until it holds a weight version, but
// no longer than until the given time.
func (p *Pool) MarkReloading(id, model string, version int, until time.Time) {
	if r, ok := p.replicas[id]; ok {
		r.reload = pendingReload{model, version, until}
	}
}

// ClearReloading undoes MarkReloading.
func (p *Pool) ClearReloading(id string) {
	if r, ok := p.replicas[id]; ok {
		r.reload = pendingReload{}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
