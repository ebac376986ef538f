// Package weightversion keeps which weight versions of a model were named and when, since each
// is in force from its own naming on, whether or not another one was named after it.
package weightversion

import (
	"slices"
	"time"
)

// minGap is the time within which two namings count as one, at the earlier time, so that the
// number of versions is bounded.
const minGap = 50 * time.Millisecond

// Named is a weight version and when it was named. If AgeKnown is false, At is an assumption.
type Named struct {
	Version  int
	At       time.Time
	AgeKnown bool
}

// History has the named versions of a model in rising order: the newest one, and those before it
// that are not in force everywhere yet. The zero value has none. It is not safe for concurrent
// use.
type History struct {
	all []Named
}

// Newest returns the newest version; its number is 0 if none was named.
func (h *History) Newest() Named {
	if len(h.all) == 0 {
		return Named{}
	}
	return h.all[len(h.all)-1]
}

// Add records that a version was named, if it is newer than all others.
func (h *History) Add(n Named) {
	last := h.Newest()
	switch {
	case n.Version <= last.Version:
		return
	case last.Version > 0 && n.AgeKnown && last.AgeKnown && n.At.Sub(last.At) < minGap:
		h.all[len(h.all)-1].Version = n.Version
		return
	}
	h.all = append(h.all, n)
}

// Learn records when a version was named, as a peer has it. That counts for versions up to the
// newest one, of which this instance does not know it.
func (h *History) Learn(n Named) {
	i, known := slices.BinarySearchFunc(h.all, n.Version, func(n Named, version int) int { return n.Version - version })
	switch {
	case i == len(h.all):
	case known && !h.all[i].AgeKnown:
		h.all[i] = n
	case !known && h.all[i].At.Sub(n.At) >= minGap && (i == 0 || n.At.Sub(h.all[i-1].At) >= minGap):
		h.all = slices.Insert(h.all, i, n)
	}
}

// InForce returns the newest version that was named at least bound ago, and forgets those before
// it; 0 if there is none.
func (h *History) InForce(now time.Time, bound time.Duration) int {
	for i := len(h.all) - 1; i >= 0; i-- {
		if now.Sub(h.all[i].At) >= bound {
			h.all = slices.Delete(h.all, 0, i)
			return h.all[0].Version
		}
	}
	return 0
}

// Known returns the versions of which it is known when they were named.
func (h *History) Known() []Named {
	var out []Named
	for _, n := range h.all {
		if n.AgeKnown {
			out = append(out, n)
		}
	}
	return out
}
