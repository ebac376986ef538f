package pool

import (
	"time"

	"crocusfold.dev/core/departures"
)

// ObserveLeaving records that an incarnation of a replica has stated that it leaves, so that
// it gets no new requests whatever its entry says. It reports whether that is new.
func (p *Pool) ObserveLeaving(now time.Time, id string, incarnation int64) bool {
	if !p.departures.Record(now, id, incarnation) {
		return false
	}
	if r, ok := p.replicas[id]; ok && r.Incarnation == incarnation {
		r.Draining = true
	}
	return true
}

// ObserveWait records that an incarnation of a replica wants no requests of this instance for
// a time.
func (p *Pool) ObserveWait(now time.Time, id string, incarnation int64, d time.Duration) {
	p.waits.Set(now, id, incarnation, d)
}

// WaitLeft returns how much longer an incarnation of a replica wants no requests of this
// instance.
func (p *Pool) WaitLeft(now time.Time, id string, incarnation int64) time.Duration {
	return p.waits.Left(now, id, incarnation)
}

// CountWaiting returns the number of replicas that want no requests of this instance now.
func (p *Pool) CountWaiting(now time.Time) int { return p.waits.Count(now) }

// CountLeaving returns the number of replicas of which ObserveLeaving recorded that they leave.
func (p *Pool) CountLeaving() int { return p.departures.Count() }

// LeavingSince returns the incarnations of which ObserveLeaving recorded at a time or later
// that they leave.
func (p *Pool) LeavingSince(since time.Time) []departures.Departure {
	return p.departures.RecordedSince(since)
}

// Leaving reports whether an incarnation of a replica is draining or has stated that it
// leaves.
func (p *Pool) Leaving(id string, incarnation int64) bool {
	r, ok := p.replicas[id]
	return ok && r.Incarnation == incarnation && r.Draining || p.departures.Leaving(id, incarnation)
}
