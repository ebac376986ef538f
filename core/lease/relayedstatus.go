package lease

import "time"

// maxProcesses bounds the number of processes whose newest stamp is kept.
const maxProcesses = 16

// RelayedStatus tracks the age of the newest status of the leader, which instances relay
// to each other. The ages reported along different paths differ, so a status counts only
// when it is first received: otherwise one that circulates among the instances would
// seem to become more recent. The zero value has received nothing. It is not safe for
// concurrent use.
type RelayedStatus struct {
	// stamps has the newest stamp received from each process.
	stamps map[uint64]time.Duration
	sentAt time.Time
}

// Receive records a status that a process sent at stamp, on its own clock, and that is
// age old as far as the relaying instances know. It reports whether this is the newest
// status of all processes, and returns when the newest one was sent.
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

// Age returns how long ago the newest status was sent.
func (s *RelayedStatus) Age(now time.Time) time.Duration { return now.Sub(s.sentAt) }
