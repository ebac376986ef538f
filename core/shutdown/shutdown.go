// Package shutdown decides which requests an instance still takes after the signal to stop,
// so that none is cut without a response at the end of the grace period.
package shutdown

import "time"

// Request is what the decision on a request depends on.
type Request struct {
	// Repeatable requests may be sent again after any failure.
	Repeatable bool
	// Streams is true if the response is a stream. One that has begun can't be replaced by a
	// final response at the end.
	Streams bool
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Longest is the longest time that a request of its route took lately; 0 if not known.
	Longest time.Duration
}

// Shutdown is the state of an instance. The zero value is not stopping. It is immutable.
type Shutdown struct {
	// Began is when the signal to stop came. From LateFrom on, callers know of it and turn to
	// other instances.
	Began, LateFrom time.Time
	// End is when running requests get their final response at the latest; zero unless the
	// instance is stopping.
	End time.Time
}

// safetyFactor is by how much a request may take longer than the longest one lately.
const safetyFactor = 1.5

// Accepts reports whether a request can be expected to complete in time. How long it takes is
// bounded by its deadline and estimated by the longest one of its route lately. Without that
// estimate, only a request that may be sent again is taken beyond the end. A late stream is
// taken only if its deadline bounds it, since it is cut if it takes longer than expected.
func (s Shutdown) Accepts(now time.Time, r Request) bool {
	if s.End.IsZero() {
		return true
	}
	left := s.End.Sub(now)
	if r.TimeLeft <= left {
		return true
	}
	if r.Streams && !now.Before(s.LateFrom) {
		return false
	}
	if r.Longest == 0 {
		return r.Repeatable && left > 0
	}
	return time.Duration(safetyFactor*float64(r.Longest)) <= left
}

// Deadline returns the deadline of a request that has the given one otherwise.
func (s Shutdown) Deadline(deadline time.Time) time.Time {
	if !s.End.IsZero() && s.End.Before(deadline) {
		return s.End
	}
	return deadline
}
