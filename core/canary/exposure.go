package canary

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ownDebt is the most that an instance uses of its part of the slack. One request is
// enough to begin with, and the rest covers instances that start again or don't know each
// other.
const ownDebt = 1

// exposure is the account of one instance's requests to the target.
type exposure struct {
	// balance is credited with the share of each request of the service, and debited with
	// each request sent to the target.
	balance float64
	// due has for each route what the target is owed of its share.
	due map[string]*float64
	// sent counts the requests sent to the target.
	sent uint64
	// bad counts the bad responses of the target since a peer was last heard.
	bad int
}

// Versions says on which software versions a request may run.
type Versions struct {
	// Only is the one version that it may run on. If it is empty, all versions are allowed
	// that Except doesn't list.
	Only   string
	Except []string
}

// Choice is the decision on one attempt of a request.
type Choice struct {
	// Allowed is false if the request may run on no version. Why has the reason.
	Allowed  bool
	Why      string
	Versions Versions
	// Target is true if the request may run on the target only. It then counts as sent
	// there until Unsent says that it was not.
	Target bool
	// Replicas is the number of the target's replicas that may get such a request: those
	// in use whose Rank is lowest. 0 allows all.
	Replicas int
	// Rollout identifies the rollout of the choice at this instance, and its stage; 0 if
	// there is none.
	Rollout uint64
}

// Choose decides where the first attempt of a request of a route may run, and counts it
// as one request of the service. now is the present time.
func (c *Canary) Choose(now time.Time, route string) Choice {
	a := c.attempt
	phase := a.phase()
	if !c.known || a == nil || phase == Withdrawn {
		return c.chooseOld(phase, stageNone)
	}
	if phase == Settling && c.isolated(now) && a.exposure.bad >= minFailures && a.oldReplicas > 0 {
		return c.chooseOld(phase, stageNone)
	}
	l := a.loadAt(now, c.Bounds)
	a.exposure.balance += c.Bounds.Share
	due := a.exposure.dueOf(route, c.Self, a.began.Offset)
	*due += l.share
	if *due < 1 {
		return c.chooseOld(phase, l.stage)
	}
	// What the bound withholds is not made up for later.
	*due--
	if phase < Settling && !c.mayExpose(now) {
		return c.chooseOld(phase, l.stage)
	}
	return c.chooseTarget(l)
}

// Again decides where a further attempt of a request may run. The request was counted by
// Choose. The target gets none while old replicas are allowed. If a part of the response
// was passed on already, use Resume.
func (c *Canary) Again(now time.Time, route string) Choice {
	switch phase := c.attempt.phase(); phase {
	case Settling, Done:
		return c.chooseTarget(load{1, 0, stageAll})
	default:
		return c.chooseOld(phase, stageNone)
	}
}

// Old decides where a request may run that was chosen for the target but found no
// replica there, after Unsent. It is the same as Again.
func (c *Canary) Old(now time.Time, route string) Choice { return c.Again(now, route) }

// Resume decides whether a response that version began may go on there, and counts it
// against the exposure if that is the target. A response of a rolled back version is
// refused, and no response goes on at another version.
func (c *Canary) Resume(now time.Time, route, version string) Choice {
	a := c.attempt
	phase := a.phase()
	isTarget := a != nil && version == a.order.Target
	switch {
	case !c.known:
		return Choice{Why: "the orders are not known yet"}
	case isTarget && phase == Withdrawn, !isTarget && slices.Contains(c.withdrawn, version):
		return Choice{Why: "version " + version + " was rolled back"}
	}
	ch := Choice{Allowed: true, Versions: Versions{Only: version}}
	if a != nil {
		ch.Rollout = c.rolloutOf(stageNone)
	}
	if isTarget {
		// A resumed response is not refused for the bound, but uses it up.
		ch.Target = true
		a.exposure.balance--
		a.exposure.sent++
	}
	return ch
}

// Unsent says that no replica got the request of a choice, so that it is not counted as
// sent.
func (c *Canary) Unsent(now time.Time, ch Choice) {
	a := c.attempt
	if a == nil || ch.Rollout>>stageBits != c.rollouts {
		return
	}
	if ch.Target {
		a.exposure.balance++
		a.exposure.sent--
	}
	if a.phase() < Done {
		a.evidence.countUnsent(c.Self, ch.Target)
	}
}

// mayExpose reports whether this instance may send one more request to a target that may
// still turn out bad.
func (c *Canary) mayExpose(now time.Time) bool {
	e, instances := &c.attempt.exposure, float64(max(c.Bounds.Instances, 1))
	debt := min(c.Bounds.Slack/instances, ownDebt)
	if c.attempt.rejoined {
		// The earlier process of this instance may have used the slack.
		debt = 0
	}
	if e.balance-1 < -debt {
		return false
	}
	limit := silentAfter
	if part := time.Duration(silentPart * float64(c.Bounds.Rollback)); part > 0 {
		limit = min(limit, part)
	}
	return instances == 1 || now.Sub(c.heard) < limit && !c.isolated(now)
}

// isolated reports whether this instance has heard no peer for a while and has had its part
// of the bad responses that end a rollout.
func (c *Canary) isolated(now time.Time) bool {
	instances := float64(max(c.Bounds.Instances, 1))
	return instances > 1 && now.Sub(c.heard) >= silentAfter/4 && float64(c.attempt.exposure.bad) >= max(badResponses/instances, 1)
}

func (c *Canary) chooseTarget(l load) Choice {
	a := c.attempt
	a.exposure.balance--
	a.exposure.sent++
	if a.phase() < Done {
		a.evidence.countSent(c.Self, true)
	}
	return Choice{Allowed: true, Versions: Versions{Only: a.order.Target}, Target: true, Replicas: l.replicas, Rollout: c.rolloutOf(l.stage)}
}

// chooseOld returns the choice for requests that are not for the target.
func (c *Canary) chooseOld(phase Phase, st stage) Choice {
	switch {
	case !c.known:
		return Choice{Why: "the orders are not known yet"}
	case c.base == "" && !c.surveyed:
		return Choice{Why: "the versions are not known yet"}
	}
	ch := Choice{Allowed: true, Versions: Versions{Only: c.base}}
	if c.base == "" {
		ch.Versions.Except = c.withdrawn
		if phase != Idle {
			ch.Versions.Except = append(slices.Clip(c.withdrawn), c.attempt.order.Target)
		}
	}
	if phase != Idle {
		ch.Rollout = c.rolloutOf(st)
	}
	if phase != Idle && phase < Done {
		c.attempt.evidence.countSent(c.Self, false)
	}
	return ch
}

func (c *Canary) rolloutOf(st stage) uint64 { return c.rollouts<<stageBits | uint64(st) }

// dueOf returns what the target is owed of the requests of a route. It begins at another
// fraction of one request at each instance, since each sees few requests.
func (e *exposure) dueOf(route string, self Process, salt uint64) *float64 {
	due := e.due[route]
	if due == nil {
		h := xxhash.New()
		h.WriteString(route)
		h.WriteString(self.Instance)
		h.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, self.Number), salt))
		due = new(float64)
		*due = float64(h.Sum64()>>11) / (1 << 53)
		if e.due == nil {
			e.due = map[string]*float64{}
		}
		e.due[route] = due
	}
	return due
}
