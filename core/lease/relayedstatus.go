package lease

import "time"

// maxProcesses bounds the processes whose last word is remembered.
const maxProcesses = 16

// RelayedStatus is what the holder of a duty said last, as others pass it on. A word that
// goes round among the instances does not grow younger by it: it counts once, when it
// is heard first. The zero value has heard nothing. It is not safe for concurrent use.
type RelayedStatus struct {
	stamps map[uint64]time.Duration
	sentAt time.Time
}

// Receive takes a word that a process said at a stamp of its own, so long ago as those
// who passed it on know. It returns when that was, and whether it is the newest word.
func (h *RelayedStatus) Receive(now time.Time, process uint64, stamp, age time.Duration) (at time.Time, news bool) {
	if said, ok := h.stamps[process]; ok && stamp <= said {
		return h.sentAt, false
	}
	if h.stamps == nil || len(h.stamps) >= maxProcesses {
		h.stamps = map[uint64]time.Duration{}
	}
	h.stamps[process] = stamp
	at = now.Add(-age)
	if !at.After(h.sentAt) {
		return h.sentAt, false
	}
	h.sentAt = at
	return at, true
}

// Age returns how long ago the newest word was said.
func (h *RelayedStatus) Age(now time.Time) time.Duration { return now.Sub(h.sentAt) }
