// Package tries decides what follows when an upstream has failed a request:
// another try, or the final answer with a true statement on whether it ran.
package tries

import "crocusfold.dev/core/attempt"

// Allowed bounds what one request may use.
type Allowed struct {
	// Tries is the number of upstreams that may see it, Runs the number of those
	// that may run it.
	Tries, Runs int
}

// Failure is the end of one try without an answer for the caller.
type Failure struct {
	Run attempt.Run
	// Reached is false if the upstream never saw the request.
	Reached bool
	// Expired is true if the request's time is over.
	Expired bool
	// Paid is true if another try was taken off the retry budget already.
	Paid bool
}

// Decision is one of the types below.
type Decision interface{ decision() }

// Again allows another try.
type Again struct{}

// GiveUp ends the request. Run is what may be said of it.
type GiveUp struct {
	Run attempt.Run
	Why Reason
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

func (Again) decision()  {}
func (GiveUp) decision() {}

// Tries counts the tries of one request. The zero value has none.
type Tries struct {
	// tries is the number of upstreams that saw the request, runs the number of
	// those that may have run it.
	tries, runs int
}

// Runs returns the number of upstreams that may have run the request.
func (t *Tries) Runs() int { return t.runs }

// Said returns what may be said of the request now.
func (t *Tries) Said() attempt.Run {
	if t.runs > 0 {
		return attempt.Unknown
	}
	return attempt.NotRun
}

// MayRunAgain reports whether another run would be allowed after one that failed.
func (t *Tries) MayRunAgain(a Allowed) bool { return t.runs+1 < a.Runs }

// Failed notes a failed try and decides what follows. A request that was not
// run may always go to another upstream; one that may have run only within the
// allowed runs. Each try that an upstream sees after the first is a repeat, which
// withdraw must allow.
func (t *Tries) Failed(f Failure, a Allowed, withdraw func() bool) Decision {
	if f.Reached {
		t.tries++
	}
	if f.Run != attempt.NotRun {
		t.runs++
	}
	switch {
	case f.Expired:
		return GiveUp{t.Said(), Expired}
	case f.Run != attempt.NotRun && t.runs >= a.Runs:
		return GiveUp{t.Said(), Ran}
	case t.tries >= a.Tries:
		return GiveUp{t.Said(), Exhausted}
	case !f.Paid && f.Reached && !withdraw():
		return GiveUp{t.Said(), OverBudget}
	}
	return Again{}
}
