// Package slowstart limits the requests on an upstream that may be cold. One
// instance is the admission controller of the upstream and grants permits, so that
// the limit holds for all entry instances together.
package slowstart

import "time"

const (
	// permitTTL is how long a permit counts if its holder does not release it, as
	// when the holder has crashed.
	permitTTL = 2 * time.Minute
	// warmUpTime is how long the limit takes to rise from the cold to the warm limit.
	warmUpTime = 10 * time.Second
	// maxSuspects is the number of suspected requests that may run at once on an
	// upstream.
	maxSuspects = 1
)

// SlowStart is the state that the controller of an upstream keeps for it. The zero
// value is cold and permits nothing until the first report. It is not safe for
// concurrent use.
type SlowStart struct {
	// NotBefore is the earliest time of a permit. It lets a new controller wait until
	// the previous one has stopped granting permits.
	NotBefore   time.Time
	incarnation string
	coldSince   time.Time
	permits     map[string]permit
	running     int
	// awaitingReport is true from a failure until the next report.
	awaitingReport bool
}

type permit struct {
	until   time.Time
	suspect bool
}

// Observe applies a report of the upstream, with its incarnation and the number of
// requests that it runs. A new incarnation is cold, and earlier permits end since it
// runs none of their requests.
func (s *SlowStart) Observe(now time.Time, incarnation string, running int) {
	s.running = running
	s.awaitingReport = false
	if incarnation == s.incarnation && !s.coldSince.IsZero() {
		return
	}
	s.incarnation = incarnation
	s.coldSince = now
	s.permits = nil
}

// MarkCold starts the warm-up again after a failure of the upstream. The limit is 0
// until the next report shows that the upstream is alive.
func (s *SlowStart) MarkCold(now time.Time) {
	s.coldSince = now
	s.awaitingReport = true
}

// Incarnation returns the incarnation of the last report.
func (s *SlowStart) Incarnation() string { return s.incarnation }

// Limit returns the number of requests that may run on the upstream at once. It
// rises linearly from cold to warm during warmUpTime, and is 0 before the first
// report and from a failure until the next report.
func (s *SlowStart) Limit(now time.Time, cold, warm int) int {
	if s.coldSince.IsZero() || s.awaitingReport {
		return 0
	}
	age := now.Sub(s.coldSince)
	if age >= warmUpTime {
		return warm
	}
	return cold + int(float64(warm-cold)*float64(age)/float64(warmUpTime))
}

// Warm reports whether the upstream has reached its warm limit.
func (s *SlowStart) Warm(now time.Time) bool {
	return !s.coldSince.IsZero() && !s.awaitingReport && now.Sub(s.coldSince) >= warmUpTime
}

// Permit reports whether a request, identified by its id, may be sent to the
// upstream. The permit counts until Release or until permitTTL has passed; a further
// call with its id returns true.
func (s *SlowStart) Permit(now time.Time, id string, suspect bool, cold, warm int) bool {
	if now.Before(s.NotBefore) {
		return false
	}
	if _, ok := s.permits[id]; ok {
		return true
	}
	active, suspects := s.count(now)
	if max(active, s.running) >= s.Limit(now, cold, warm) {
		return false
	}
	if suspect && suspects >= maxSuspects {
		return false
	}
	if s.permits == nil {
		s.permits = map[string]permit{}
	}
	s.permits[id] = permit{now.Add(permitTTL), suspect}
	return true
}

// Release ends the permit of a request.
func (s *SlowStart) Release(id string) { delete(s.permits, id) }

// Active returns the number of permits in force.
func (s *SlowStart) Active(now time.Time) int {
	active, _ := s.count(now)
	return active
}

// count drops expired permits, and returns the number of permits in force and how
// many of them are for suspected requests.
func (s *SlowStart) count(now time.Time) (active, suspects int) {
	for id, p := range s.permits {
		if !now.Before(p.until) {
			delete(s.permits, id)
			continue
		}
		active++
		if p.suspect {
			suspects++
		}
	}
	return active, suspects
}
