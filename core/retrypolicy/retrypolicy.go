// Package retrypolicy decides what follows when an upstream has failed a request:
// another attempt, or a final response that says truthfully whether it ran.
package retrypolicy

import "crocusfold.dev/core/attempt"

// Limits bounds the attempts of one request.
type Limits struct {
	// Attempts is the number of upstreams that may receive the request, Runs the
	// number of those that may run it.
	Attempts, Runs int
}

// Failure is an attempt that ended without a response for the caller.
type Failure struct {
	RunState attempt.RunState
	// Reached is false if the upstream never received the request.
	Reached bool
	// Expired is true if the request's deadline has passed.
	Expired bool
	// Withdrawn is true if the next attempt was withdrawn from the retry budget
	// already.
	Withdrawn bool
}

// Decision is Retry or GiveUp.
type Decision interface{ decision() }

// Retry allows another attempt.
type Retry struct{}

// GiveUp ends the request. RunState is that of the request over all attempts.
type GiveUp struct {
	RunState attempt.RunState
	Reason   Reason
}

// Reason says why a request is given up.
type Reason string

// The reasons, in the order in which they are checked.
const (
	// Expired means that the request's deadline has passed.
	Expired Reason = "expired"
	// Ran means that the request may have run Limits.Runs times.
	Ran Reason = "ran"
	// Exhausted means that Limits.Attempts upstreams have received the request.
	Exhausted Reason = "exhausted"
	// OverBudget means that the retry budget is used up.
	OverBudget Reason = "over-budget"
)

func (Retry) decision()  {}
func (GiveUp) decision() {}

// Policy counts the attempts of one request. The zero value has none. It is not
// safe for concurrent use.
type Policy struct {
	// attempts is the number of upstreams that received the request, runs the number
	// of those that may have run it.
	attempts, runs int
}

// Attempts returns the number of upstreams that received the request.
func (p *Policy) Attempts() int { return p.attempts }

// Runs returns the number of upstreams that may have run the request.
func (p *Policy) Runs() int { return p.runs }

// RunState returns Unknown if any failed attempt may have run the request, and
// NotRun otherwise.
func (p *Policy) RunState() attempt.RunState {
	if p.runs > 0 {
		return attempt.Unknown
	}
	return attempt.NotRun
}

// MayRunAgain reports whether another run would be allowed if the current one
// failed.
func (p *Policy) MayRunAgain(limits Limits) bool { return p.runs+1 < limits.Runs }

// RecordFailure records a failed attempt and decides what follows. A request that
// was not run may go to another upstream, one that may have run only while it has
// fewer than Limits.Runs runs. Retries after an attempt that reached its upstream
// are charged to the retry budget: withdraw reports whether the budget allows one.
// It is not called if f.Withdrawn is true.
func (p *Policy) RecordFailure(f Failure, limits Limits, withdraw func() bool) Decision {
	if f.Reached {
		p.attempts++
	}
	if f.RunState != attempt.NotRun {
		p.runs++
	}
	switch {
	case f.Expired:
		return GiveUp{p.RunState(), Expired}
	case f.RunState != attempt.NotRun && p.runs >= limits.Runs:
		return GiveUp{p.RunState(), Ran}
	case p.attempts >= limits.Attempts:
		return GiveUp{p.RunState(), Exhausted}
	case !f.Withdrawn && f.Reached && !withdraw():
		return GiveUp{p.RunState(), OverBudget}
	}
	return Retry{}
}
