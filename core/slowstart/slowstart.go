// Package slowstart limits the work on an upstream that may be cold. One instance
// sponsors an upstream and gives out permits, so that the limit holds for the
// sum of all entry instances.
package slowstart

import "time"

// Times of a ramp.
const (
	// permitTTL is how long a permit counts if its holder is never heard again.
	permitTTL = 2 * time.Minute
	// warmUpTime is the time from the cold limit to the warm limit.
	warmUpTime = 10 * time.Second
	// maxSuspects is the number of suspect requests at once on an upstream.
	maxSuspects = 1
)

// SlowStart is the sponsor's state for one upstream. The zero value is cold with
// nothing permitted. It is not safe for concurrent use.
type SlowStart struct {
	// NotBefore delays the first permit of a new sponsor.
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

// Observe takes the upstream's report. A new incarnation is cold and runs
// nothing of what was permitted before.
func (r *SlowStart) Observe(now time.Time, incarnation string, running int) {
	r.running = running
	r.awaitingReport = false
	if incarnation == r.incarnation && !r.coldSince.IsZero() {
		return
	}
	r.incarnation = incarnation
	r.coldSince = now
	r.permits = nil
}

// MarkCold starts the ramp again, for an upstream that failed. It gets nothing
// until its next report shows that it lives.
func (r *SlowStart) MarkCold(now time.Time) {
	r.coldSince = now
	r.awaitingReport = true
}

// Incarnation returns the upstream's last known incarnation.
func (r *SlowStart) Incarnation() string { return r.incarnation }

// Limit returns the number of requests at once that the upstream may get.
func (r *SlowStart) Limit(now time.Time, cold, warm int) int {
	if r.coldSince.IsZero() || r.awaitingReport {
		return 0
	}
	age := now.Sub(r.coldSince)
	if age >= warmUpTime {
		return warm
	}
	return cold + int(float64(warm-cold)*float64(age)/float64(warmUpTime))
}

// Warm reports whether the upstream bears its full limit.
func (r *SlowStart) Warm(now time.Time) bool {
	return !r.coldSince.IsZero() && !r.awaitingReport && now.Sub(r.coldSince) >= warmUpTime
}

// Permit allows one request, named by its id, or refuses it.
func (r *SlowStart) Permit(now time.Time, id string, suspect bool, cold, warm int) bool {
	if now.Before(r.NotBefore) {
		return false
	}
	if _, ok := r.permits[id]; ok {
		return true
	}
	active, suspects := r.count(now)
	if max(active, r.running) >= r.Limit(now, cold, warm) {
		return false
	}
	if suspect && suspects >= maxSuspects {
		return false
	}
	if r.permits == nil {
		r.permits = map[string]permit{}
	}
	r.permits[id] = permit{now.Add(permitTTL), suspect}
	return true
}

// Release ends a permit.
func (r *SlowStart) Release(id string) { delete(r.permits, id) }

// Active is the number of permits in force.
func (r *SlowStart) Active(now time.Time) int {
	active, _ := r.count(now)
	return active
}

func (r *SlowStart) count(now time.Time) (active, suspects int) {
	for id, p := range r.permits {
		if !now.Before(p.until) {
			delete(r.permits, id)
			continue
		}
		active++
		if p.suspect {
			suspects++
		}
	}
	return active, suspects
}
