// Package canary decides on the rollout of a software version of a service: which
// requests its replicas get, whether the version is bad, and when the rollout ends. It is
// built for some 30 to 200 instances that each see a small part of the requests, and for
// rollouts that take from some ten seconds to hours.
//
// An instance begins to act on an order when Apply has it. It asks Choose about each
// request, tells Record each outcome, and exchanges Export and Merge with its peers. Step
// decides on all of them; on the leader, Due says which status to record.
package canary

import (
	"slices"
	"time"

	"crocusfold.dev/core/topicview"
)

const (
	// relearnAfter is how long the base may be without replicas until another version
	// becomes the base, while there is no order. It is longer than replicas take to start
	// again after a crash.
	relearnAfter = 30 * time.Second
	// maxWithdrawn bounds the rolled back versions that are remembered.
	maxWithdrawn = 8
)

// Canary is one instance's view of the rollouts of one service. Set the exported fields
// before the first call; Bounds may change later. The zero value of the others knows no
// orders, and allows no request until Apply. It is not safe for concurrent use.
type Canary struct {
	Service string
	// Self is the process of this instance.
	Self   Process
	Bounds Bounds

	// known is true once Apply was called, surveyed once Step was told of replicas.
	known, surveyed bool
	recorded        Status
	// base is the version that gets the requests which no target gets; empty if it is not
	// known. It has no replicas since baseGone, if that is not zero.
	base     string
	baseGone time.Time
	// withdrawn has the targets that were rolled back since base changed.
	withdrawn []string
	// heard is when a peer's state was last received.
	heard time.Time
	// rollouts counts the attempts; the present one is nil if there is no order.
	rollouts uint64
	attempt  *attempt
}

// attempt is one attempt at an order. Its evidence, exposure and decisions begin anew with
// each attempt.
type attempt struct {
	// order has the first Duration and the newest Position of the order.
	order Order
	// began and guessed are as in State.
	began   topicview.Position
	guessed bool
	// rejoined is true if this process found the rollout under way, and heard once a peer
	// has told of it.
	rejoined, heard bool
	// joined is when this process learned of the attempt.
	joined time.Time
	// start is when an instance first saw the order, by this instance's clock.
	start time.Time

	decision   Decision
	phaseStart time.Time
	// reason is why the present phase began, if this instance has decided it.
	reason string
	// bad and why are the verdict.
	bad bool
	why string
	// final is the final state that was recorded or handed out for recording.
	final string

	targetReplicas, oldReplicas int
	// sawOld is true once there were replicas of other versions.
	sawOld bool

	exposure exposure
	evidence evidence
	findings findings
	reports  map[Process]*reportEntry
}

// VersionReplicas describes the replicas of the service that have one software version
// and are in use.
type VersionReplicas struct {
	Version  string
	Replicas int
	// Oldest is when the first of them started, zero if that is not known.
	Oldest time.Time
}

// Surroundings is what an instance knows of its service and of the other instances.
type Surroundings struct {
	// Leader is true if this instance holds the lease of the leader, and Apply has had a
	// status that was read since the lease began; a status of the last leader must not be
	// missed. Generation is the generation of the lease.
	Leader     bool
	Generation uint64
	// Reachable has the names of the other instances that are reachable from the leader.
	// Only the leader needs it.
	Reachable []string
	// Versions has the software versions of the service, in any order.
	Versions []VersionReplicas
	// OldRunning is the number of this instance's requests that run on versions other than
	// the target, from the choice on.
	OldRunning int
	// LongestTimeout is the longest that a request of the service may run, over its
	// routes; 0 if it is not known. If outcomes state their Duration, the longest one is
	// used in its place.
	LongestTimeout time.Duration
}

// Apply takes in the present order of the service, nil if there is none, as the proven
// view of the operators' records has it, and the recorded status. age is the time since
// the order was first seen or written, as far as this instance knows. Call it once both views are
// proven, and after each change of either; repeated calls do no harm.
func (c *Canary) Apply(now time.Time, order *Order, age time.Duration, recorded Status) {
	if !c.known || !sameStatus(recorded, c.recorded) {
		c.adopt(recorded)
	}
	c.known, c.recorded = true, recorded
	a := c.attempt
	switch {
	case order == nil:
		c.end()
		return
	case a == nil || a.order.Target != order.Target || c.isNewAttempt(a, order):
		c.end()
		c.begin(now, *order, age)
	default:
		a.order.Position = order.Position
	}
	c.conclude()
}

// adopt takes in what a recorded status says of the versions.
func (c *Canary) adopt(st Status) {
	switch st.State {
	case Completed:
		c.base, c.withdrawn = st.Target, nil
	case RolledBack:
		c.withdraw(append(slices.Clone(st.Withdrawn), st.Target)...)
	case Serving:
		c.withdraw(st.Withdrawn...)
	}
	if c.base == "" && st.Base != "" {
		c.base = st.Base
	}
}

// withdraw remembers versions as rolled back.
func (c *Canary) withdraw(versions ...string) {
	for _, v := range versions {
		if v == "" || v == c.base || slices.Contains(c.withdrawn, v) {
			continue
		}
		// The list is shared with states and statuses, so it is not changed in place.
		c.withdrawn = append(slices.Clone(c.withdrawn), v)
		if n := len(c.withdrawn) - maxWithdrawn; n > 0 {
			c.withdrawn = c.withdrawn[n:]
		}
	}
}

// isNewAttempt reports whether the order was written again after the attempt a ended as
// rolled back. A restored log makes operators write their orders again, so an order of
// another era is the same one.
func (c *Canary) isNewAttempt(a *attempt, order *Order) bool {
	if order.Position.Era != a.order.Position.Era {
		return a.phase() == Withdrawn && order.Duration != a.order.Duration
	}
	return c.rolledBackBefore(order) && covers(c.recorded.Position, a.began)
}

// rolledBackBefore reports whether the recorded status is that of an earlier attempt of the
// order, which was written again in the same era.
func (c *Canary) rolledBackBefore(order *Order) bool {
	p := c.recorded.Position
	return c.recorded.State == RolledBack && c.recorded.Target == order.Target &&
		p != (topicview.Position{}) && p.Era == order.Position.Era && p.Offset < order.Position.Offset
}

// covers reports whether a status of the position p covers the attempt that began at q.
func covers(p, q topicview.Position) bool {
	return p == topicview.Position{} || p.Era != q.Era || p.Offset >= q.Offset
}

// begin begins an attempt at an order.
func (c *Canary) begin(now time.Time, order Order, age time.Duration) {
	c.rollouts++
	a := &attempt{order: order, began: order.Position, guessed: true, start: now.Add(-max(age, 0)), joined: now,
		decision: Decision{Phase: Watching}, phaseStart: now, reports: map[Process]*reportEntry{}}
	if c.recorded.Target == order.Target {
		switch {
		case c.recorded.State == Serving:
			a.rejoined, a.guessed = true, false
			if c.recorded.Position != (topicview.Position{}) {
				a.began = c.recorded.Position
			}
		case c.rolledBackBefore(&order):
			a.guessed = false
		}
	}
	if !a.rejoined {
		// An instance that begins with the others has until silentAfter to hear one.
		c.heard = now
	}
	c.withdrawn = slices.DeleteFunc(slices.Clone(c.withdrawn), func(v string) bool { return v == order.Target })
	c.attempt = a
}

// restart begins the present attempt anew, after peers have said that a later record of the
// order began it.
func (c *Canary) restart(now time.Time, began topicview.Position) {
	order := c.attempt.order
	c.end()
	c.begin(now, order, 0)
	c.attempt.began, c.attempt.guessed = began, false
}

// end ends the present attempt because there is no order or another one.
func (c *Canary) end() {
	a := c.attempt
	if a == nil {
		return
	}
	c.attempt = nil
	if a.phase() == Done {
		c.base, c.withdrawn = a.order.Target, nil
		return
	}
	c.withdraw(a.order.Target)
}

// conclude ends the present attempt in the recorded state, if that is final and is about
// this attempt.
func (c *Canary) conclude() {
	a, st := c.attempt, c.recorded
	if st.Target != a.order.Target {
		return
	}
	if st.State == Completed || st.State == RolledBack && covers(st.Position, a.began) {
		a.final = st.State
		a.evidence.conclude()
	}
}

// recover takes the start of the rollout from the status if no peer has told of it, as
// after the loss of all instances.
func (a *attempt) recover(now time.Time, st Status) {
	if a.rejoined && !a.heard && st.Target == a.order.Target && !st.Start.IsZero() && now.Sub(a.joined) >= silentAfter && st.Start.Before(a.start) {
		a.start = st.Start
	}
}

// phase returns the phase that this instance acts in.
func (a *attempt) phase() Phase {
	switch {
	case a == nil:
		return Idle
	case a.final == Completed:
		return Done
	case a.final == RolledBack:
		return Withdrawn
	case a.decision.Phase >= Done:
		return a.decision.Phase
	case a.bad:
		return Withdrawn
	}
	return a.decision.Phase
}

// Step decides what follows from the evidence and the time, as leader or not. Call it
// every 50 to 100 ms.
func (c *Canary) Step(now time.Time, s Surroundings) {
	c.survey(now, s.Versions)
	a := c.attempt
	if a == nil {
		return
	}
	a.recover(now, c.recorded)
	a.report(now, c.Self, s)
	if a.phase() < Done {
		a.evidence.refresh(now)
		a.judge()
	}
	if s.Leader {
		a.lead(now, s, c.base, c.Bounds)
	}
}

// survey takes in the versions that have replicas, and learns the base if it is not known.
func (c *Canary) survey(now time.Time, versions []VersionReplicas) {
	target := ""
	if c.attempt != nil {
		target = c.attempt.order.Target
	}
	var targetReplicas, oldReplicas int
	var candidates []VersionReplicas
	hasBase := false
	for _, v := range versions {
		if v.Replicas <= 0 {
			continue
		}
		c.surveyed = true
		hasBase = hasBase || v.Version == c.base
		switch {
		case c.attempt != nil && v.Version == target:
			targetReplicas += v.Replicas
		case slices.Contains(c.withdrawn, v.Version):
		default:
			oldReplicas += v.Replicas
			candidates = append(candidates, v)
		}
	}
	if a := c.attempt; a != nil {
		a.targetReplicas, a.oldReplicas = targetReplicas, oldReplicas
		a.sawOld = a.sawOld || oldReplicas > 0
	}
	c.learnBase(now, hasBase, candidates)
}

func (c *Canary) learnBase(now time.Time, hasBase bool, candidates []VersionReplicas) {
	switch {
	case hasBase:
		c.baseGone = time.Time{}
		return
	case c.base != "" && c.baseGone.IsZero():
		c.baseGone = now
		return
	case c.base != "" && (c.attempt != nil || now.Sub(c.baseGone) < relearnAfter):
		return
	}
	// Of several versions, the one that has served longest is the base. If that does not
	// tell, all of them are allowed.
	slices.SortFunc(candidates, func(a, b VersionReplicas) int { return a.Oldest.Compare(b.Oldest) })
	if n := len(candidates); n == 1 || n > 1 && !candidates[0].Oldest.IsZero() && candidates[0].Oldest.Before(candidates[1].Oldest) {
		c.base, c.baseGone = candidates[0].Version, time.Time{}
	}
}
