package pool

import "time"

// Probes of suspected replicas.
const (
	// probeInterval is the time between two requests to a suspected replica.
	probeInterval = time.Second
	// probeGrace is how much later a request that may run only once is sent as a probe: it is
	// lost if the replica still does not respond.
	probeGrace = 4 * time.Second
)

// suspicion is a suspicion that a replica has stalled. It ends at until, zero if there is none;
// the next request may be sent at probeAt.
type suspicion struct{ until, probeAt time.Time }

// Suspect keeps requests from a replica that seems to have stalled, except for probes, until the
// given time or until ClearSuspicion. begun is true if it was not suspected before. A replica
// that loads weights is not suspected, as it may pause; ok is false then, and if the incarnation
// is not known.
func (p *Pool) Suspect(now, until time.Time, id string, incarnation int64) (begun, ok bool) {
	r := p.replicas[id]
	if r == nil || r.Incarnation != incarnation || r.reloading(now) {
		return false, false
	}
	if begun = !now.Before(r.suspicion.until); begun {
		r.suspicion = suspicion{probeAt: now.Add(probeInterval)}
	}
	r.suspicion.until = later(r.suspicion.until, until)
	return begun, true
}

// ClearSuspicion ends the suspicion of a replica that responds, and reports whether there was one.
func (p *Pool) ClearSuspicion(now time.Time, id string, incarnation int64) bool {
	r := p.replicas[id]
	if r == nil || r.Incarnation != incarnation || !now.Before(r.suspicion.until) {
		return false
	}
	r.suspicion = suspicion{}
	return true
}

// avoided reports whether a replica gets no request now as it failed shortly before or is
// suspected. Requests that may run again are sent to a suspected one as probes.
func (r *replica) avoided(now time.Time, repeatable bool) bool {
	if now.Before(r.avoidUntil) {
		return true
	}
	probeAt := r.suspicion.probeAt
	if !repeatable {
		probeAt = probeAt.Add(probeGrace)
	}
	return now.Before(r.suspicion.until) && now.Before(probeAt)
}
