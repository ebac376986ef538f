package lease

import "time"

// hearsayLimit bounds the processes whose last word is remembered.
const hearsayLimit = 16

// Hearsay is what the holder of a duty said last, as others pass it on. A word that
// goes round among the instances does not grow younger by it: it counts once, when it
// is heard first. The zero value has heard nothing. It is not safe for concurrent use.
type Hearsay struct {
	last map[uint64]time.Duration
	at   time.Time
}

// Hear takes a word that a process said at a stamp of its own, so long ago as those
// who passed it on know. It returns when that was, and whether it is the newest word.
func (h *Hearsay) Hear(now time.Time, process uint64, stamp, age time.Duration) (at time.Time, news bool) {
	if said, ok := h.last[process]; ok && stamp <= said {
		return h.at, false
	}
	if h.last == nil || len(h.last) >= hearsayLimit {
		h.last = map[uint64]time.Duration{}
	}
	h.last[process] = stamp
	at = now.Add(-age)
	if !at.After(h.at) {
		return h.at, false
	}
	h.at = at
	return at, true
}

// Age returns how long ago the newest word was said.
func (h *Hearsay) Age(now time.Time) time.Duration { return now.Sub(h.at) }
