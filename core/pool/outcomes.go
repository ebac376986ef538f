package pool

import "time"

// Succeeded records a complete response. The replica is no longer avoided, and its
// failure rate drops.
func (p *Pool) Succeeded(id string) {
	if r, ok := p.replicas[id]; ok {
		r.failures, r.avoidUntil = 0, time.Time{}
		r.failRate *= 1 - ewmaWeight
	}
}

// Failed records that a replica could not be reached or broke off its response. The
// replica is avoided, for longer with each consecutive failure.
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

// ReturnedError records that a replica responded with an error of its own. This
// raises its failure rate, but the replica isn't avoided.
func (p *Pool) ReturnedError(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.recordFailure(now)
	}
}

func (r *replica) recordFailure(now time.Time) {
	r.failRate += ewmaWeight * (1 - r.failRate)
	r.failAt = now
}

// Refused records that a replica refused a request without running it. The replica
// is avoided for refusedBackoff, and its failure rate rises: it looks idle, and would draw the
// requests otherwise.
func (p *Pool) Refused(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.avoidUntil = later(r.avoidUntil, now.Add(refusedBackoff))
		r.recordFailure(now)
	}
}

// Misdirected records that another replica responds at a replica's address. The
// replica is avoided for maxBackoff.
func (p *Pool) Misdirected(now time.Time, id string) {
	if r, ok := p.replicas[id]; ok {
		r.avoidUntil = now.Add(maxBackoff)
	}
}
