// Package lease tells whether an instance holds a duty, from its membership in
// a group of the platform's log. The group's generation is the fencing token.
package lease

import "time"

// safetyMargin is taken off a lease, for the time between the last check and the
// moment at which an action takes effect.
const safetyMargin = 300 * time.Millisecond

// Grant is the answer to a renewal.
type Grant struct {
	Generation uint64
	// Held is true if the duty is this instance's.
	Held bool
}

// Lease is one instance's hold on a duty. The zero value holds nothing. It is
// not safe for concurrent use.
type Lease struct {
	// QuietPeriod is how long a new holder waits before it acts, so that actions of
	// the holder before it have arrived.
	QuietPeriod time.Duration
	generation  uint64
	held        bool
	heldSince   time.Time
	expires     time.Time
}

// Renew takes a grant that was asked for at sent and lasts for ttl.
func (l *Lease) Renew(sent time.Time, ttl time.Duration, g Grant) {
	if g.Generation < l.generation {
		return
	}
	if g.Held && (!l.held || !sent.Before(l.expires)) {
		l.heldSince = sent
	}
	l.generation, l.held = g.Generation, g.Held
	l.expires = sent.Add(ttl - safetyMargin)
}

// Generation returns the newest generation seen.
func (l *Lease) Generation() uint64 { return l.generation }

// Token returns the fencing token if the duty may be acted on now.
func (l *Lease) Token(now time.Time) (uint64, bool) {
	if !l.held || !now.Before(l.expires) || now.Sub(l.heldSince) < l.QuietPeriod {
		return 0, false
	}
	return l.generation, true
}

// Release gives the duty up.
func (l *Lease) Release() { l.held = false }

// Held reports whether the duty is this instance's, acted on or not.
func (l *Lease) Held(now time.Time) bool { return l.held && now.Before(l.expires) }

// Candidacy decides when an instance asks for a duty that nobody seems to hold.
// The zero value has seen no holder.
type Candidacy struct {
	// leaderSeen is when a holder was last heard of.
	leaderSeen time.Time
	// released is when a holder told that it holds the duty no more.
	released time.Time
	// isolatedSince is when most other instances were last heard.
	isolatedSince time.Time
}

// Times of a candidacy.
const (
	// leaderTTL is how long a holder that is not heard counts as one.
	leaderTTL = time.Second
	// rankDelay is what each better placed candidate delays this one by.
	rankDelay = 600 * time.Millisecond
	// isolationTimeout is how long an instance that hears no other waits.
	isolationTimeout = 4 * time.Second
)

// ObserveLeader notes that another instance held the duty at a moment.
func (c *Candidacy) ObserveLeader(at time.Time) {
	if at.After(c.leaderSeen) && at.After(c.released) {
		c.leaderSeen = at
	}
}

// LeaderAge returns how long ago another instance was known to hold the duty; ok is
// false if that is not known.
func (c *Candidacy) LeaderAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(c.leaderSeen), !c.leaderSeen.IsZero() && now.Sub(c.leaderSeen) < 2*leaderTTL
}

// LeaderReleased notes that the holder itself has told that it holds the duty no more.
func (c *Candidacy) LeaderReleased(now time.Time) {
	c.released = now
	if c.isolatedSince.IsZero() {
		c.leaderSeen = now.Add(-leaderTTL)
	}
}

// LeaderElsewhere reports whether another instance is known to hold the duty.
func (c *Candidacy) LeaderElsewhere(now time.Time) bool {
	return !c.leaderSeen.IsZero() && now.Sub(c.leaderSeen) < leaderTTL && c.isolatedSince.IsZero()
}

// MarkIsolated notes that most other instances can't be heard, so that a holder may
// live among them.
func (c *Candidacy) MarkIsolated(now time.Time) {
	if c.isolatedSince.IsZero() {
		c.isolatedSince = now
	}
	if now.Sub(c.isolatedSince) < isolationTimeout {
		c.ObserveLeader(now)
	}
}

// MarkConnected notes that most other instances can be heard.
func (c *Candidacy) MarkConnected() { c.isolatedSince = time.Time{} }

// ShouldApply reports whether an instance of this rank, 0 being the first, asks for
// the duty now. A duty moves with each change of the group, so only one
// instance is a member as a rule.
func (c *Candidacy) ShouldApply(now time.Time, rank int) bool {
	if c.leaderSeen.IsZero() {
		c.leaderSeen = now.Add(-leaderTTL)
	}
	return now.Sub(c.leaderSeen) >= leaderTTL+time.Duration(rank)*rankDelay
}
