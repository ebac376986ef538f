// Package retrypolicy decides what follows when an upstream has failed a request:
// another try, or the final answer with a true statement on whether it ran.
package retrypolicy

import "crocusfold.dev/core/attempt"

// Limits bounds what one request may use.
type Limits struct {
	// Attempts is the number of upstreams that may see it, Runs the number of those
	// that may run it.
	Attempts, Runs int
}

// Failure is the end of one try without an answer for the caller.
type Failure struct {
	RunState attempt.RunState
	// Reached is false if the upstream never saw the request.
	Reached bool
	// Expired is true if the request's time is over.
	Expired bool
	// Withdrawn is true if another try was taken off the retry budget already.
	Withdrawn bool
}

// Decision is one of the types below.
type Decision interface{ decision() }

// Retry allows another try.
type Retry struct{}

// GiveUp ends the request. Run is what may be said of it.
type GiveUp struct {
	RunState attempt.RunState
	Reason   Reason
}

// Reason says why a request is given up.
type Reason string

// The reasons, in the order in which they are looked at.
const (
	// Expired: its time is over.
	Expired Reason = "expired"
	// Ran: it may have run as often as it may.
	Ran Reason = "ran"
	// Exhausted: as many upstreams have seen it as may.
	Exhausted Reason = "exhausted"
	// OverBudget: too many requests are being repeated.
	OverBudget Reason = "over-budget"
)

func (Retry) decision()  {}
func (GiveUp) decision() {}

// Policy counts the tries of one request. The zero value has none.
type Policy struct {
	// attempts is the number of upstreams that saw the request, runs the number of
	// those that may have run it.
	attempts, runs int
}

// Runs returns the number of upstreams that may have run the request.
func (t *Policy) Runs() int { return t.runs }

// RunState returns what may be said of the request now.
func (t *Policy) RunState() attempt.RunState {
	if t.runs > 0 {
		return attempt.Unknown
	}
	return attempt.NotRun
}

// MayRunAgain reports whether another run would be allowed after one that failed.
func (t *Policy) MayRunAgain(a Limits) bool { return t.runs+1 < a.Runs }

// RecordFailure notes a failed try and decides what follows. A request that was not
// run may always go to another upstream; one that may have run only within the
// allowed runs. Each try that an upstream sees after the first is a repeat, which
// withdraw must allow.
func (t *Policy) RecordFailure(f Failure, a Limits, withdraw func() bool) Decision {
	if f.Reached {
		t.attempts++
	}
	if f.RunState != attempt.NotRun {
		t.runs++
	}
	switch {
	case f.Expired:
		return GiveUp{t.RunState(), Expired}
	case f.RunState != attempt.NotRun && t.runs >= a.Runs:
		return GiveUp{t.RunState(), Ran}
	case t.attempts >= a.Attempts:
		return GiveUp{t.RunState(), Exhausted}
	case !f.Withdrawn && f.Reached && !withdraw():
		return GiveUp{t.RunState(), OverBudget}
	}
	return Retry{}
}
