package waitqueue

import "time"

const (
	// recoveryTime is how long a recovery lasts at most. By then the requests that came at once
	// have been answered or refused.
	recoveryTime = 4 * time.Second
	// initialShare is the part of this instance's share of the capacity that it uses at first.
	initialShare = 0.1
)

// recovery bounds what is sent to a service that was not available, when all callers come at
// once. The bound grows by the size of each request whose response begins, so that requests are
// sent at up to twice the rate at which replicas begin to respond.
type recovery struct {
	until  time.Time
	window float64
	// unanswered is the sum of the sizes of the requests sent that have no response yet.
	unanswered float64
}

// Recover begins a recovery of a service, whose replicas have a total capacity.
func (q *Queue) Recover(now time.Time, service string, total float64) {
	s := q.service(service)
	s.recovery.until = now.Add(recoveryTime)
	s.recovery.window = initialShare * total / float64(max(s.capacity.Instances, 1))
}

// Answered records that the response to a request of a size has begun, or will not come.
func (q *Queue) Answered(service string, size float64, begun bool) {
	r := &q.service(service).recovery
	r.unanswered = max(0, r.unanswered-size)
	if begun {
		r.window += size
	}
}

// RecoveryAllows reports whether a request may be sent although its service recovers.
func (q *Queue) RecoveryAllows(now time.Time, it Item) bool {
	r := &q.service(it.Service).recovery
	return !now.Before(r.until) || r.unanswered == 0 || r.unanswered+it.Size <= r.window
}
