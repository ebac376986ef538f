// Package lease decides whether an instance is the leader, which alone runs the tasks
// that are done once for the whole fleet. Leadership follows from the membership in a group of the
// platform's log, whose generation is the fencing token.
package lease

import "time"

// safetyMargin is subtracted from the duration of a lease. It covers the time between
// the last check of the lease and the moment at which an action takes effect.
const safetyMargin = 300 * time.Millisecond

// Grant is the response to a renewal.
type Grant struct {
	// Era rises when the log comes back from a copy. The generation may go back then.
	Era, Generation uint64
	// Held is true if this instance is the leader.
	Held bool
}

// Lease is one instance's lease on leadership. The zero value is not held. It is not safe
// for concurrent use.
type Lease struct {
	// QuietPeriod is how long a new holder waits before it acts, so that all actions
	// of the previous holder have taken effect by then.
	QuietPeriod time.Duration
	era         uint64
	generation  uint64
	held        bool
	heldSince   time.Time
	expires     time.Time
}

// Renew applies a grant that was requested at the moment sent and lasts for ttl from
// then. It ignores a grant of an earlier era, or whose generation is lower than the newest
// one seen in its era.
func (l *Lease) Renew(sent time.Time, ttl time.Duration, g Grant) {
	if g.Era < l.era || g.Era == l.era && g.Generation < l.generation {
		return
	}
	if g.Held && (!l.held || !sent.Before(l.expires)) {
		l.heldSince = sent
	}
	l.era, l.generation, l.held = g.Era, g.Generation, g.Held
	l.expires = sent.Add(ttl - safetyMargin)
}

// Generation returns the newest generation seen in the latest era, or 0 before the first
// grant.
func (l *Lease) Generation() uint64 { return l.generation }

// generationBits is the number of bits of a fencing token that have the generation.
const generationBits = 32

// Token returns the fencing token, which is higher than those of all earlier generations and
// eras; ok is false if the holder may not act now, because the lease is not held or its quiet
// period has not passed. In the first era the token is the generation.
func (l *Lease) Token(now time.Time) (uint64, bool) {
	if !l.held || !now.Before(l.expires) || now.Sub(l.heldSince) < l.QuietPeriod {
		return 0, false
	}
	return (max(l.era, 1)-1)<<generationBits | l.generation, true
}

// Release ends the hold on the lease at once. It does not leave the group.
func (l *Lease) Release() { l.held = false }

// Held reports whether this instance holds the lease, also during its quiet period.
func (l *Lease) Held(now time.Time) bool { return l.held && now.Before(l.expires) }

// Candidacy decides when an instance applies for leadership because no instance seems to
// be the leader. The zero value has seen no leader. It is not safe for concurrent use.
type Candidacy struct {
	// leaderSeen is the last moment at which another instance was known, or had to be
	// assumed, to be the leader.
	leaderSeen time.Time
	// released is when a leader last reported that it has released leadership.
	released time.Time
	// isolatedSince is when the connection to a majority of the instances was lost;
	// zero while there is one.
	isolatedSince time.Time
}

const (
	// leaderTTL is how long an instance counts as the leader after the last status
	// received from it.
	leaderTTL = time.Second
	// rankDelay is how much longer a candidate waits for each candidate of better rank.
	rankDelay = 600 * time.Millisecond
	// isolationTimeout is how long an isolated instance assumes that there is a leader
	// among the instances that it can't reach.
	isolationTimeout = 4 * time.Second
)

// ObserveLeader records that another instance was the leader at the given moment. It
// ignores moments up to that of the last release.
func (c *Candidacy) ObserveLeader(at time.Time) {
	if at.After(c.leaderSeen) && at.After(c.released) {
		c.leaderSeen = at
	}
}

// LeaderAge returns how long ago another instance was last known to be the leader; ok is
// false if there was none within twice leaderTTL.
func (c *Candidacy) LeaderAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(c.leaderSeen), !c.leaderSeen.IsZero() && now.Sub(c.leaderSeen) < 2*leaderTTL
}

// LeaderReleased records that the leader itself has reported that it released leadership.
// Unless this instance is isolated, the first candidate may apply at once.
func (c *Candidacy) LeaderReleased(now time.Time) {
	c.released = now
	if c.isolatedSince.IsZero() {
		c.leaderSeen = now.Add(-leaderTTL)
	}
}

// LeaderElsewhere reports whether another instance is known to be the leader. It is false
// while this instance is isolated.
func (c *Candidacy) LeaderElsewhere(now time.Time) bool {
	return !c.leaderSeen.IsZero() && now.Sub(c.leaderSeen) < leaderTTL && c.isolatedSince.IsZero()
}

// MarkIsolated records that this instance is not connected to a majority of the
// instances, so that there may be a leader among those that it can't reach. For
// isolationTimeout it assumes that there is one.
func (c *Candidacy) MarkIsolated(now time.Time) {
	if c.isolatedSince.IsZero() {
		c.isolatedSince = now
	}
	if now.Sub(c.isolatedSince) < isolationTimeout {
		c.ObserveLeader(now)
	}
}

// MarkConnected records that this instance is connected to a majority of the instances.
func (c *Candidacy) MarkConnected() { c.isolatedSince = time.Time{} }

// ShouldApply reports whether an instance of the given rank, 0 being the first, applies
// for leadership now, by joining the group. Leadership moves with each change of the
// group, so as a rule only one instance is a member.
func (c *Candidacy) ShouldApply(now time.Time, rank int) bool {
	if c.leaderSeen.IsZero() {
		c.leaderSeen = now.Add(-leaderTTL)
	}
	return now.Sub(c.leaderSeen) >= leaderTTL+time.Duration(rank)*rankDelay
}
