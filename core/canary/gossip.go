package canary

import (
	"time"

	"crocusfold.dev/core/topicview"
)

// State is what instances tell each other of the rollout of a service. The state that
// one instance sends also has what it has heard from others.
type State struct {
	Order Order `cbor:"1,keyasint"`
	// Began is the position of the record that began this attempt of the order.
	// Order.Position is that of the newest record of it. Guessed is true if the sender
	// has only seen the newest one and has no status.
	Began   topicview.Position `cbor:"2,keyasint"`
	Guessed bool               `cbor:"3,keyasint,omitempty"`
	// Age is the time since an instance first saw the order.
	Age time.Duration `cbor:"4,keyasint"`
	// Decision is the newest one of a leader.
	Decision Decision `cbor:"5,keyasint"`
	// Bad is true once an instance has found the target bad, for the reason Why. It is
	// final.
	Bad bool   `cbor:"6,keyasint,omitempty"`
	Why string `cbor:"7,keyasint,omitempty"`
	// Base is Status.Base, Ended has the targets that were rolled back before.
	Base  string   `cbor:"8,keyasint,omitempty"`
	Ended []string `cbor:"9,keyasint,omitempty"`
	// Reports and Counts have an element for each process known to the sender that has
	// changed since the time that Export was asked for.
	Reports []Report `cbor:"10,keyasint,omitempty"`
	Counts  []Counts `cbor:"11,keyasint,omitempty"`
}

// Decision is what the leader has decided.
type Decision struct {
	// Generation is that of the leader's lease. Of two decisions, that of the higher
	// generation counts, then the one of the later phase.
	Generation uint64 `cbor:"1,keyasint,omitempty"`
	Phase      Phase  `cbor:"2,keyasint,omitempty"`
	// Age is the time since that phase began.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Report is what one process says of its own requests at old replicas.
type Report struct {
	Process Process `cbor:"1,keyasint"`
	// Seq orders the reports of a process.
	Seq uint64 `cbor:"2,keyasint"`
	// SendsOld is true while the process still sends requests to old replicas.
	SendsOld bool `cbor:"3,keyasint,omitempty"`
	// Running is the number of its requests that run there.
	Running int `cbor:"4,keyasint,omitempty"`
}

// Export returns the state to send to a peer that has all that was exported before
// since; a zero since exports everything. It returns false if there is nothing to send.
func (c *Canary) Export(now, since time.Time) (State, bool) {
	if c.order.Target == "" {
		return State{}, false
	}
	st := State{Order: c.order, Began: c.began, Guessed: c.guessed, Age: now.Sub(c.start),
		Decision: c.decision, Bad: c.bad, Why: c.why, Base: c.base, Ended: c.withdrawn}
	st.Decision.Age = now.Sub(c.phaseStart)
	for _, r := range c.reports {
		st.Reports = append(st.Reports, *r)
	}
	for _, n := range c.counts {
		st.Counts = append(st.Counts, *n)
	}
	return st, true
}

// Merge takes in the state of a peer, which may be old, repeated or from an earlier
// rollout. transit is the time since the peer exported it, as far as known.
func (c *Canary) Merge(now time.Time, st State, transit time.Duration) {
	if st.Order.Target != c.order.Target || st.Began != c.began {
		return
	}
	if begun := now.Add(-st.Age - transit); begun.Before(c.start) {
		c.start = begun
	}
	if st.Bad && !c.bad {
		c.bad, c.why = true, st.Why
	}
	d := st.Decision
	if d.Generation > c.decision.Generation || d.Generation == c.decision.Generation && d.Phase > c.decision.Phase {
		c.decision, c.phaseStart = d, now.Add(-d.Age-transit)
	}
	for _, r := range st.Reports {
		if old := c.reports[r.Process]; r.Process != c.Self && (old == nil || old.Seq < r.Seq) {
			c.reports[r.Process] = &r
		}
	}
	for _, n := range st.Counts {
		if n.Process != c.Self {
			c.counts[n.Process] = &n
		}
	}
}
