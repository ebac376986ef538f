package shutdown

import "time"

// durationsTTL is how long a duration counts at least.
const durationsTTL = 30 * time.Second

// Durations has the longest time that requests of each route took lately. The zero value has
// none. It is not safe for concurrent use.
type Durations struct {
	current, previous map[string]time.Duration
	rotatedAt         time.Time
}

// Observe records the time that a request of a route took.
func (d *Durations) Observe(now time.Time, route string, took time.Duration) {
	if d.current == nil || now.Sub(d.rotatedAt) >= durationsTTL {
		d.previous, d.current, d.rotatedAt = d.current, map[string]time.Duration{}, now
	}
	if took > d.current[route] {
		d.current[route] = took
	}
}

// Longest returns the longest time of the requests of a route lately, or 0 if there were
// none.
func (d *Durations) Longest(route string) time.Duration {
	return max(d.current[route], d.previous[route])
}
