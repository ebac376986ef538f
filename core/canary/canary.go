// Package canary decides on the rollout of a software version of a service: which
// requests its replicas get, whether the version is bad, and when the rollout ends. It is
// built for some 30 to 200 instances that each see a small part of the requests, for
// rollouts of some ten seconds to minutes.
package canary

import (
	"time"

	"crocusfold.dev/core/topicview"
)

// Canary is one instance's view of the rollouts of one service. Set the exported fields
// before the first call; Bounds may change later. The zero value of the others knows no
// orders, and allows no request until Apply. It is not safe for concurrent use.
type Canary struct {
	Service string
	// Self is the process of this instance.
	Self   Process
	Bounds Bounds

	known     bool
	order     Order // Target is empty if there is none
	began     topicview.Position
	guessed   bool
	rollout   uint64
	start     time.Time
	recorded  Status
	base      string
	withdrawn []string

	decision   Decision
	phaseStart time.Time
	bad        bool
	why        string

	balance, due float64
	counts       map[Process]*Counts
	reports      map[Process]*Report
	seq          uint64
}

// VersionReplicas describes the replicas of the service that have one software version
// and are in use.
type VersionReplicas struct {
	Version  string
	Replicas int
	// Oldest is when the first of them started.
	Oldest time.Time
}

// Surroundings is what an instance knows of its service and of the other instances.
type Surroundings struct {
	// Leader is true if this instance holds the lease of the leader, and Generation the
	// generation of the lease.
	Leader     bool
	Generation uint64
	// Reachable has the other instances that are reachable from the leader. Only the
	// leader needs it.
	Reachable []string
	// Versions has the software versions of the service, in any order.
	Versions []VersionReplicas
	// OldRunning is the number of this instance's requests that run on versions other than
	// the target.
	OldRunning int
	// LongestTimeout is the longest that a request of the service may run, over its
	// routes.
	LongestTimeout time.Duration
}

// Apply takes in the present order of the service, nil if there is none, as the proven
// view of the operators' records has it, and the recorded status. age is the time since
// this instance first saw the order. Call it once the views are proven, and after each
// change of either; repeated calls do no harm.
func (c *Canary) Apply(now time.Time, order *Order, age time.Duration, recorded Status) {
	c.known = true
	c.recorded = recorded
	if order == nil {
		c.order, c.rollout = Order{}, 0
		return
	}
	if *order != c.order {
		c.order, c.began, c.start = *order, order.Position, now.Add(-age)
		c.rollout++
		c.decision, c.phaseStart = Decision{Phase: Watching}, now
		c.bad, c.why, c.balance, c.due = false, "", 0, 0
		c.counts, c.reports = map[Process]*Counts{}, map[Process]*Report{}
	}
}

// Step decides what follows from the evidence and the time, as leader or not. Call it
// every 50 to 100 ms.
func (c *Canary) Step(now time.Time, s Surroundings) {
	if c.order.Target == "" {
		return
	}
	c.seq++
	phase := c.phase(now)
	c.reports[c.Self] = &Report{Process: c.Self, Seq: c.seq, SendsOld: phase < Settling, Running: s.OldRunning}
	if !s.Leader {
		return
	}
	age, d := now.Sub(c.start), c.order.Duration
	next := phase
	switch {
	case phase == Watching && age > d*65/100:
		next = Moving
	case phase == Moving && age > d*90/100:
		next = Settling
	case phase == Settling && age > d-400*time.Millisecond:
		next = Done
	}
	if next != phase || s.Generation != c.decision.Generation {
		if next != phase {
			c.phaseStart = now
		}
		c.decision = Decision{Generation: s.Generation, Phase: next}
	}
}

// Write is a status to record.
type Write struct {
	Status Status
	// Why says in a few words what led to it.
	Why string
}

// Due returns the status that the leader should record next. It returns false if the
// recorded one is right. Apply with the status as recorded confirms it.
func (c *Canary) Due(now time.Time) (Write, bool) {
	if c.order.Target == "" {
		return Write{}, false
	}
	st := Status{State: Serving, Target: c.order.Target, Position: c.began, Base: c.base, Withdrawn: c.withdrawn}
	why := "the order was read"
	switch c.phase(now) {
	case Done:
		st.State, why = Completed, "all requests run on the target"
	case Withdrawn:
		st.State, why = RolledBack, c.why
	}
	return Write{st, why}, st.State != c.recorded.State || st.Target != c.recorded.Target
}

// phase returns the phase that this instance acts in.
func (c *Canary) phase(now time.Time) Phase {
	switch {
	case c.order.Target == "":
		return Idle
	case c.bad:
		return Withdrawn
	}
	return c.decision.Phase
}

// share returns the part of the requests that should go to the target now.
func (c *Canary) share(now time.Time) float64 {
	switch c.phase(now) {
	case Watching:
		return 0.4 * c.Bounds.Share
	case Moving:
		return min(1, 0.25*float64(1+now.Sub(c.phaseStart)/time.Second))
	case Settling, Done:
		return 1
	}
	return 0
}

// Summary describes a rollout for operators, metrics and logs.
type Summary struct {
	Order Order
	Phase Phase
	// Share is the part of the requests that goes to the target now.
	Share float64
	// Age is the time since the order was first seen.
	Age time.Duration
	// Why is the reason of the last decision, with the evidence.
	Why string
	// Sent, Responses, Failed, Lost and Slow count requests over all known instances, by
	// route and version.
	Routes []RouteSummary
	// Exposed is the number of requests that this instance sent to the target, and
	// Balance what it may still send there without going over the bound.
	Exposed uint64
	Balance float64
}

// RouteSummary sums the evidence of one route and version.
type RouteSummary struct {
	Route                               string
	Target                              bool
	Sent, Responses, Failed, Lost, Slow uint64
}

// Summary returns the state of the rollout; its Phase is Idle if there is none.
func (c *Canary) Summary(now time.Time) Summary {
	return Summary{Order: c.order, Phase: c.phase(now), Share: c.share(now), Age: now.Sub(c.start), Why: c.why, Balance: c.balance}
}
