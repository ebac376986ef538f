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
func (s *RelayedStatus) Receive(now time.Time, process uint64, stamp, age time.Duration) (sentAt time.Time, newest bool) {
	if last, ok := s.stamps[process]; ok && stamp <= last {
		return s.sentAt, false
	}
	if s.stamps == nil || len(s.stamps) >= maxProcesses {
		s.stamps = map[uint64]time.Duration{}
	}
	s.stamps[process] = stamp
	sentAt = now.Add(-age)
	if !sentAt.After(s.sentAt) {
		return s.sentAt, false
	}
	s.sentAt = sentAt
	return sentAt, true
}

// Age returns how long ago the newest word was said.
func (s *RelayedStatus) Age(now time.Time) time.Duration { return now.Sub(s.sentAt) }
