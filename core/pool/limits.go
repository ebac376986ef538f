package pool

import (
	"time"

	"crocusfold.dev/core/statedlimit"
)

// ReplicaLimit is the limit that a replica has stated.
type ReplicaLimit struct {
	ID          string
	Incarnation int64
	statedlimit.Limit
}

// ObserveLimit merges a statement of a replica. It ignores an unknown replica, and a
// statement of another incarnation.
func (p *Pool) ObserveLimit(now time.Time, id string, incarnation int64, s statedlimit.Statement) statedlimit.Change {
	r, ok := p.replicas[id]
	if !ok || r.Incarnation != incarnation {
		return statedlimit.None
	}
	old := r.limit.Statement
	change := r.limit.Apply(now, s)
	if !r.limit.Limited || r.limit.Rate > old.Rate {
		r.deferredUntil = time.Time{}
	}
	return change
}

// Limit returns the limit of a replica; ok is false if it has stated none, or is not known
// in this incarnation.
func (p *Pool) Limit(id string, incarnation int64) (limit statedlimit.Limit, ok bool) {
	r, known := p.replicas[id]
	if !known || r.Incarnation != incarnation || !r.limit.Known() {
		return statedlimit.Limit{}, false
	}
	return r.limit, true
}

// LimitsChangedSince returns the limits, also those that have ended, that changed or were
// refreshed at or after a time.
func (p *Pool) LimitsChangedSince(since time.Time) []ReplicaLimit {
	var out []ReplicaLimit
	for id, r := range p.replicas {
		if r.limit.Known() && !r.limit.ChangedAt.Before(since) {
			out = append(out, ReplicaLimit{id, r.Incarnation, r.limit})
		}
	}
	return out
}

// CountLimited returns the number of replicas whose limits are in force.
func (p *Pool) CountLimited() int {
	n := 0
	for _, r := range p.replicas {
		if r.limit.Limited {
			n++
		}
	}
	return n
}

// Defer records that a limited replica gets no request with a priority, or a less urgent
// one, until a given time.
func (p *Pool) Defer(now time.Time, id string, priority int, until time.Time) {
	r, ok := p.replicas[id]
	if !ok || now.Before(r.deferredUntil) && priority > r.deferredPriority {
		return
	}
	r.deferredUntil, r.deferredPriority = until, priority
}

// deferred reports whether a replica gets no request with a priority for its limit.
func (r *replica) deferred(now time.Time, priority int) bool {
	return r.limit.Limited && now.Before(r.deferredUntil) && priority >= r.deferredPriority
}
