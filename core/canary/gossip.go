package canary

import (
	"time"

	"crocusfold.dev/core/topicview"
)

// State is what instances tell each other of the rollout of a service. The state that
// one instance sends also has what it has heard from others.
type State struct {
	// Order has no Target if there is no order; then only Base and Ended count.
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
	// Usual has what takes long at old replicas, where that has changed since then.
	Usual []Usual `cbor:"12,keyasint,omitempty"`
}

// Decision is what a leader has decided. Of two decisions, that of the later phase counts;
// later leaders go on from there.
type Decision struct {
	// Generation is that of the leader's lease.
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

type reportEntry struct {
	Report
	changed time.Time
}

// report makes this instance's own report.
func (a *attempt) report(now time.Time, self Process, s Surroundings) {
	r := a.reports[self]
	if r == nil {
		r = &reportEntry{Report: Report{Process: self}}
		a.reports[self] = r
	}
	sends := a.phase() != Settling && a.phase() != Done
	if r.Seq == 0 || r.SendsOld != sends || r.Running != s.OldRunning {
		r.Seq++
		r.SendsOld, r.Running, r.changed = sends, s.OldRunning, now
	}
}

// Export returns the state to send to a peer that has all that was exported before
// since; a zero since exports everything. It returns false if there is nothing to send.
func (c *Canary) Export(now, since time.Time) (State, bool) {
	return c.ExportPart(now, since, func(Process) bool { return true })
}

// ExportPart is Export with the reports and counts of those processes only that keep
// selects. An instance of a large fleet sends its own to its parent in the overlay, those
// that it aggregates to other roots, all to the leader, and none to its other children, which
// learn the decisions and what is usual. That is some kilobytes a second at each root.
func (c *Canary) ExportPart(now, since time.Time, keep func(Process) bool) (State, bool) {
	st := State{Base: c.base, Ended: c.withdrawn}
	a := c.attempt
	if a == nil {
		return st, c.base != "" || len(c.withdrawn) > 0
	}
	st.Order, st.Began, st.Guessed, st.Age = a.order, a.began, a.guessed, now.Sub(a.start)
	st.Decision, st.Bad, st.Why = a.decision, a.bad, a.why
	st.Decision.Age = now.Sub(a.phaseStart)
	if a.phase() >= Done {
		return st, true
	}
	for _, r := range a.reports {
		if !r.changed.Before(since) && keep(r.Process) {
			st.Reports = append(st.Reports, r.Report)
		}
	}
	st.Counts = a.evidence.export(since, keep)
	st.Usual = a.evidence.usual(since)
	return st, true
}

// Merge takes in the state of a peer, which may be old, repeated or from an earlier
// rollout. transit is the time since the peer exported it, as far as known.
func (c *Canary) Merge(now time.Time, st State, transit time.Duration) {
	a := c.attempt
	if c.base == "" && (a == nil || st.Base != a.order.Target) {
		c.base = st.Base
	}
	for _, v := range st.Ended {
		if a == nil || v != a.order.Target {
			c.withdraw(v)
		}
	}
	if a == nil || !c.isSameAttempt(now, st) {
		return
	}
	a = c.attempt
	c.heard, a.heard, a.exposure.bad = now, true, 0
	if begun := now.Add(-st.Age - transit); begun.Before(a.start) {
		a.start = begun
	}
	if st.Bad && !a.bad {
		a.bad, a.why = true, st.Why
	}
	a.follow(st.Decision, now.Add(-st.Decision.Age-transit))
	if a.phase() >= Done {
		return
	}
	for _, r := range st.Reports {
		if old := a.reports[r.Process]; r.Process != c.Self && (old == nil && len(a.reports) < maxProcesses || old != nil && old.Seq < r.Seq) {
			a.reports[r.Process] = &reportEntry{r, now}
		}
	}
	for _, n := range st.Counts {
		if n.Process != c.Self {
			a.evidence.merge(now, n)
		}
	}
	for _, u := range st.Usual {
		a.evidence.mergeUsual(now, u)
	}
}

// follow takes in a decision of a leader whose phase began at start.
func (a *attempt) follow(d Decision, start time.Time) {
	switch {
	case d.Phase > Withdrawn || d.Phase < a.decision.Phase:
	case d.Phase > a.decision.Phase:
		a.decision, a.phaseStart, a.reason = d, start, ""
	default:
		a.decision.Generation = max(a.decision.Generation, d.Generation)
		if start.Before(a.phaseStart) {
			a.phaseStart = start
		}
	}
}

// isSameAttempt reports whether a state of a peer is about the present attempt, after it
// has agreed with the peer on where that began, as far as either knows it.
func (c *Canary) isSameAttempt(now time.Time, st State) bool {
	a := c.attempt
	switch {
	case st.Order.Target != a.order.Target:
		return false
	case st.Began == a.began:
		a.guessed = a.guessed && st.Guessed
		return true
	case st.Began.Era != a.began.Era:
		// One of the two has not seen yet that the log was restored, or only knows the
		// order as it was written again.
		if a.guessed && !st.Guessed || a.guessed == st.Guessed && st.Began.Before(a.began) {
			a.began, a.guessed = st.Began, st.Guessed
		}
		return st.Order.Duration == a.order.Duration
	case st.Began.Before(a.began):
		if a.guessed && !st.Order.Position.Before(a.began) {
			a.began, a.guessed = st.Began, st.Guessed
			return true
		}
		return false
	case st.Guessed:
		// The peer will learn that the attempt began earlier, if it has seen no more than
		// this instance.
		return !a.order.Position.Before(st.Began)
	}
	if a.order.Position.Before(st.Began) {
		return false // this instance has not read the record yet
	}
	c.restart(now, st.Began)
	return true
}
