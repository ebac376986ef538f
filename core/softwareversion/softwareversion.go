// Package softwareversion keeps which software versions of each service served recently, to
// tell which of them can have begun a stream.
package softwareversion

import (
	"sort"
	"time"
)

// maxAge is how long a version is kept after it was last seen.
const maxAge = time.Minute

// Served is a software version of a service and when it was last seen to serve.
type Served struct {
	Service, Version string
	At               time.Time
}

// History has the software versions that served. The zero value knows none, at no time. It
// is not safe for concurrent use.
type History struct {
	seen map[[2]string]time.Time
	// since is the time from which on all versions are known; it has no meaning before
	// covered is set.
	since   time.Time
	covered bool
}

// See records that a version of a service served at a time.
func (h *History) See(at time.Time, service, version string) {
	if h.seen == nil {
		h.seen = map[[2]string]time.Time{}
	}
	if key := [2]string{service, version}; at.After(h.seen[key]) {
		h.seen[key] = at
	}
}

// Cover records that all versions that served at a time or later are known.
func (h *History) Cover(since time.Time) {
	if !h.covered || since.Before(h.since) {
		h.since, h.covered = since, true
	}
}

// Uncover records that versions may have served unseen.
func (h *History) Uncover() { h.covered = false }

// Covers returns the time from which on all versions are known; ok is false if there is
// none.
func (h *History) Covers() (since time.Time, ok bool) { return h.since, h.covered }

// Only returns the version of a service if no other one served at a time or later, and that
// is known.
func (h *History) Only(service string, since time.Time) (version string, ok bool) {
	if !h.covered || h.since.After(since) {
		return "", false
	}
	for key, at := range h.seen {
		if key[0] != service || at.Before(since) {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = key[1], true
	}
	return version, ok
}

// Recent returns the versions of a service that were seen at a time or later, sorted by
// name.
func (h *History) Recent(service string, since time.Time) []Served {
	var out []Served
	for key, at := range h.seen {
		if key[0] == service && !at.Before(since) {
			out = append(out, Served{key[0], key[1], at})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// Sweep drops the versions that were last seen long ago.
func (h *History) Sweep(now time.Time) {
	for key, at := range h.seen {
		if now.Sub(at) > maxAge {
			delete(h.seen, key)
		}
	}
	if h.covered && now.Sub(h.since) > maxAge {
		h.since = now.Add(-maxAge)
	}
}
