package suspect

import "time"

// Bounds of the deaths that are counted.
const (
	// mostDeaths is the number of upstreams in a row that a content may take down.
	mostDeaths = 3
	// deathLife is how long a death counts.
	deathLife = 2 * time.Minute
	// tellFor is how long a death is told to other instances.
	tellFor = 3 * time.Second
	// maxDeaths bounds the contents that are counted.
	maxDeaths = 2000
)

// Deaths counts how often a content was running when its upstream broke off,
// without one whole answer in between. The zero value has counted none. It is
// not safe for concurrent use.
type Deaths struct {
	counts map[Content]deaths
}

type deaths struct {
	n  int
	at time.Time
}

// Broke notes that an upstream broke off while it ran a content, and returns the
// count.
func (d *Deaths) Broke(now time.Time, c Content) int {
	n := d.count(now, c) + 1
	d.raise(now, c, n)
	return n
}

// Hear takes the count of another instance, and reports whether it was higher.
func (d *Deaths) Hear(now time.Time, c Content, n int) bool {
	if n <= d.count(now, c) {
		return false
	}
	d.raise(now, c, n)
	return true
}

func (d *Deaths) raise(now time.Time, c Content, n int) {
	if d.counts == nil {
		d.counts = map[Content]deaths{}
	}
	if len(d.counts) >= maxDeaths {
		d.drop(now)
	}
	d.counts[c] = deaths{n, now}
}

// drop makes room by forgetting what is old, or else the oldest.
func (d *Deaths) drop(now time.Time) {
	var oldest Content
	var first time.Time
	for c, rec := range d.counts {
		if now.Sub(rec.at) > deathLife {
			delete(d.counts, c)
		} else if first.IsZero() || rec.at.Before(first) {
			oldest, first = c, rec.at
		}
	}
	if len(d.counts) >= maxDeaths {
		delete(d.counts, oldest)
	}
}

// Answered clears a content that was answered whole.
func (d *Deaths) Answered(c Content) { delete(d.counts, c) }

// Barred reports whether a content may not be run any more.
func (d *Deaths) Barred(now time.Time, c Content) bool { return d.count(now, c) >= mostDeaths }

// Told returns the counts that changed lately, for other instances.
func (d *Deaths) Told(now time.Time) map[Content]int {
	out := map[Content]int{}
	for c, rec := range d.counts {
		if now.Sub(rec.at) < tellFor {
			out[c] = rec.n
		}
	}
	return out
}

func (d *Deaths) count(now time.Time, c Content) int {
	rec, ok := d.counts[c]
	if !ok || now.Sub(rec.at) > deathLife {
		return 0
	}
	return rec.n
}
