package canary

import (
	"slices"
	"time"

	"crocusfold.dev/core/topicview"
)

// Write is a status to record.
type Write struct {
	Status Status
	// Why says in a few words what led to it.
	Why string
}

func sameStatus(a, b Status) bool {
	return a.State == b.State && a.Target == b.Target && a.Position == b.Position && a.Base == b.Base && slices.Equal(a.Withdrawn, b.Withdrawn)
}

// Due returns the status that the leader should record next, false if the recorded one is
// right. Ask as leader only, after Step, and record it; Apply with the recorded status
// confirms it. A final state that was returned once stays, since it may be recorded even if
// that seems to have failed.
func (c *Canary) Due(now time.Time) (Write, bool) {
	a, rec := c.attempt, c.recorded
	if !c.known {
		return Write{}, false
	}
	if rec.State == Serving && (a == nil || rec.Target != a.order.Target) {
		w := Write{Status{State: RolledBack, Target: rec.Target, Position: rec.Position, Base: c.base, Withdrawn: c.withdrawn}, "the order was deleted"}
		if a != nil {
			w.Why = "another target was ordered"
		}
		if !slices.Contains(w.Status.Withdrawn, rec.Target) {
			w.Status.Withdrawn = append(slices.Clip(w.Status.Withdrawn), rec.Target)
		}
		return w, true
	}
	if a == nil {
		return Write{}, false
	}
	w := Write{Status{State: Serving, Target: a.order.Target, Position: a.began, Base: c.base, Withdrawn: c.withdrawn, Start: a.start}, "the order was read"}
	same := rec.Target == w.Status.Target
	switch a.phase() {
	case Done:
		w.Status.State, w.Status.Position, w.Why = Completed, a.order.Position, a.finalReason()
		w.Status.Base, w.Status.Withdrawn = a.order.Target, nil
	case Withdrawn:
		w.Status.State, w.Status.Position, w.Why = RolledBack, a.order.Position, a.finalReason()
		w.Status.Withdrawn = append(slices.Clip(c.withdrawn), a.order.Target)
		same = same && covers(rec.Position, a.began)
	}
	if same && rec.State == w.Status.State {
		// A restored log has the order in another era; a later record in that era is a new
		// attempt only if the status says which one it covers.
		if rec.State != RolledBack || rec.Position == (topicview.Position{}) || rec.Position.Era == w.Status.Position.Era {
			return Write{}, false
		}
	}
	if w.Status.State == Serving && rec.State == RolledBack && same && covers(rec.Position, a.began) {
		return Write{}, false
	}
	if w.Status.State != Serving {
		a.final = w.Status.State
	}
	return w, true
}

func (a *attempt) finalReason() string {
	switch {
	case a.phase() == Withdrawn && a.why != "":
		return a.why
	case a.reason != "":
		return a.reason
	}
	return "an earlier leader decided it"
}

// Summary describes a rollout for operators, metrics and logs.
type Summary struct {
	Order Order
	Phase Phase
	// Share is the part of the requests that goes to the target now, and Replicas the
	// number of its replicas that get them, 0 for all.
	Share    float64
	Replicas int
	// Age is the time since the order was first seen.
	Age time.Duration
	// Why is the reason of the verdict or, before there is one, of the phase. It is empty
	// if another instance has decided the phase.
	Why string
	// Routes has the evidence of all known instances, sorted by route, the old version
	// first.
	Routes []RouteSummary
	// Exposed is the number of requests that this instance sent to the target, and
	// Balance what it may still send there within the share.
	Exposed uint64
	Balance float64
}

// RouteSummary sums the evidence of one route and version.
type RouteSummary struct {
	Route                         string
	Target                        bool
	Responses, Failed, Lost, Slow uint64
}

// Summary returns the state of the rollout; its Phase is Idle if there is none.
func (c *Canary) Summary(now time.Time) Summary {
	a := c.attempt
	if a == nil {
		return Summary{}
	}
	l := a.loadAt(now, c.Bounds)
	s := Summary{Order: a.order, Phase: a.phase(), Share: l.share, Replicas: l.replicas, Age: now.Sub(a.start),
		Why: a.reason, Exposed: a.exposure.sent, Balance: a.exposure.balance}
	if a.bad {
		s.Why = a.why
	}
	for k, cl := range a.evidence.cells {
		i, found := slices.BinarySearchFunc(s.Routes, k, func(r RouteSummary, k key) int {
			switch {
			case r.Route < k.route || r.Route == k.route && !r.Target && k.target:
				return -1
			case r.Route == k.route && r.Target == k.target:
				return 0
			}
			return 1
		})
		if !found {
			s.Routes = slices.Insert(s.Routes, i, RouteSummary{Route: k.route, Target: k.target})
		}
		r := &s.Routes[i]
		r.Responses += uint64(cl.Responses)
		r.Failed += uint64(cl.Failed)
		r.Lost += uint64(cl.Lost)
		r.Slow += uint64(cl.Slow)
	}
	return s
}
