// Package lease tells whether an instance holds a duty, from its membership in
// a group of the platform's log. The group's generation is the fencing token.
package lease

import "time"

// margin is taken off a lease, for the time between the last check and the
// moment at which an action takes effect.
const margin = 300 * time.Millisecond

// Grant is the answer to a renewal.
type Grant struct {
	Generation uint64
	// Held is true if the duty is this instance's.
	Held bool
}

// Lease is one instance's hold on a duty. The zero value holds nothing. It is
// not safe for concurrent use.
type Lease struct {
	// Quiet is how long a new holder waits before it acts, so that actions of
	// the holder before it have arrived.
	Quiet      time.Duration
	generation uint64
	held       bool
	since      time.Time
	until      time.Time
}

// Renew takes a grant that was asked for at sent and lasts for ttl.
func (l *Lease) Renew(sent time.Time, ttl time.Duration, g Grant) {
	if g.Generation < l.generation {
		return
	}
	if g.Held && (!l.held || !sent.Before(l.until)) {
		l.since = sent
	}
	l.generation, l.held = g.Generation, g.Held
	l.until = sent.Add(ttl - margin)
}

// Generation returns the newest generation seen.
func (l *Lease) Generation() uint64 { return l.generation }

// Token returns the fencing token if the duty may be acted on now.
func (l *Lease) Token(now time.Time) (uint64, bool) {
	if !l.held || !now.Before(l.until) || now.Sub(l.since) < l.Quiet {
		return 0, false
	}
	return l.generation, true
}

// Drop gives the duty up.
func (l *Lease) Drop() { l.held = false }

// Held reports whether the duty is this instance's, acted on or not.
func (l *Lease) Held(now time.Time) bool { return l.held && now.Before(l.until) }

// Candidacy decides when an instance asks for a duty that nobody seems to hold.
// The zero value has seen no holder.
type Candidacy struct {
	// seen is when a holder was last heard of.
	seen time.Time
	// released is when a holder told that it holds the duty no more.
	released time.Time
	// aloneSince is when most other instances were last heard.
	aloneSince time.Time
}

// Times of a candidacy.
const (
	// holderLife is how long a holder that is not heard counts as one.
	holderLife = time.Second
	// rankDelay is what each better placed candidate delays this one by.
	rankDelay = 600 * time.Millisecond
	// aloneLimit is how long an instance that hears no other waits.
	aloneLimit = 4 * time.Second
)

// Heard notes that another instance held the duty at a moment.
func (c *Candidacy) Heard(at time.Time) {
	if at.After(c.seen) && at.After(c.released) {
		c.seen = at
	}
}

// Seen returns how long ago another instance was known to hold the duty; ok is
// false if that is not known.
func (c *Candidacy) Seen(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(c.seen), !c.seen.IsZero() && now.Sub(c.seen) < 2*holderLife
}

// Released notes that the holder itself has told that it holds the duty no more.
func (c *Candidacy) Released(now time.Time) {
	c.released = now
	if c.aloneSince.IsZero() {
		c.seen = now.Add(-holderLife)
	}
}

// Elsewhere reports whether another instance is known to hold the duty.
func (c *Candidacy) Elsewhere(now time.Time) bool {
	return !c.seen.IsZero() && now.Sub(c.seen) < holderLife && c.aloneSince.IsZero()
}

// Alone notes that most other instances can't be heard, so that a holder may
// live among them.
func (c *Candidacy) Alone(now time.Time) {
	if c.aloneSince.IsZero() {
		c.aloneSince = now
	}
	if now.Sub(c.aloneSince) < aloneLimit {
		c.Heard(now)
	}
}

// Among notes that most other instances can be heard.
func (c *Candidacy) Among() { c.aloneSince = time.Time{} }

// Apply reports whether an instance of this rank, 0 being the first, asks for
// the duty now. A duty moves with each change of the group, so only one
// instance is a member as a rule.
func (c *Candidacy) Apply(now time.Time, rank int) bool {
	if c.seen.IsZero() {
		c.seen = now.Add(-holderLife)
	}
	return now.Sub(c.seen) >= holderLife+time.Duration(rank)*rankDelay
}
