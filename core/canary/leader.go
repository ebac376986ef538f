package canary

import (
	"fmt"
	"time"
)

const (
	// minSettle is how long a phase takes at least, so that all instances hear of it.
	minSettle = 300 * time.Millisecond
	// enoughResponses is the number of the target's responses from which a version without
	// doubts is good enough to move to.
	enoughResponses = 20
	// someOld is the number of responses of the old version by which the target must have
	// had someTarget, or it does not respond at all.
	someOld    = 500
	someTarget = 3
	// ending is by how much longer than the longest request so far the running ones may
	// need.
	ending = 1.25
)

// lead makes the decisions of the leader.
func (a *attempt) lead(now time.Time, s Surroundings, base string, b Bounds) {
	a.decision.Generation = max(a.decision.Generation, s.Generation)
	if a.final != "" {
		return
	}
	next, why := a.next(now, s, base)
	if next == a.decision.Phase {
		return
	}
	a.decision.Phase, a.phaseStart, a.reason = next, now, why
}

// next returns the phase that follows, and why.
func (a *attempt) next(now time.Time, s Surroundings, base string) (Phase, string) {
	age, inPhase, phase := now.Sub(a.start), now.Sub(a.phaseStart), a.decision.Phase
	switch {
	case phase >= Done:
	case a.bad:
		return Withdrawn, a.why
	case phase == Watching && (base == a.order.Target || !a.sawOld && a.targetReplicas > 0):
		return Done, "the target serves already"
	case age >= a.order.Duration:
		return Withdrawn, fmt.Sprintf("the deadline passed while %s, with %.0f responses of the target", phase, a.findings.responses[1])
	case phase == Watching && a.targetReplicas > 0 && age >= a.moveTime(s):
		late := age >= a.moveTime(s)+a.part(doubtTime)
		if late && a.findings.condemns() {
			a.bad, a.why = true, a.findings.why
			return Withdrawn, a.why
		}
		if a.responsive() && (late || a.findings.calm() && a.findings.responses[1] >= enoughResponses) {
			return Moving, a.goodReason()
		}
	case phase == Moving && a.targetReplicas > 0:
		late := age >= a.part(settleBy)
		if late && a.findings.condemns() {
			a.bad, a.why = true, a.findings.why
			return Withdrawn, a.why
		}
		all := time.Duration(len(moveShares)) * a.step()
		if a.responsive() && (inPhase >= all && a.findings.calm() || late && inPhase >= min(minSettle, all)) {
			return Settling, a.goodReason()
		}
	case phase == Settling && a.targetReplicas > 0:
		if age >= a.order.Duration-completeBefore {
			return Done, "the deadline is near"
		}
		if inPhase >= minSettle && a.settled(s) {
			return Done, "no request runs on the old version"
		}
	}
	return phase, ""
}

func (a *attempt) goodReason() string {
	r := a.findings.responses
	return fmt.Sprintf("nothing speaks against the target: %.0f of its responses, %.0f of the old version", r[1], r[0])
}

// moveTime returns when moving may begin.
func (a *attempt) moveTime(s Surroundings) time.Duration {
	need := s.LongestTimeout
	if longest := time.Duration(ending * float64(a.evidence.longest)); longest > 0 && (need == 0 || longest < need) {
		need = longest
	}
	latest := a.order.Duration - completeBefore - time.Duration(len(moveShares))*a.step() - need
	return max(min(latest, a.part(moveAt)), a.part(earliestMove))
}

// responsive reports whether the target responds, compared with the old version.
func (a *attempt) responsive() bool {
	e, r := &a.evidence, a.findings.responses
	var sent [2]float64
	for i := range sent {
		sent[i] = max(float64(e.sent[i])-float64(e.unsent[i]), r[i])
	}
	if r[0] >= someOld && r[1] < someTarget {
		return false
	}
	return sent[1] < 2*someTarget || sent[0] == 0 || r[1]/sent[1] >= 0.5*r[0]/sent[0]
}

// settled reports whether all reachable instances have said that they send nothing more to
// old replicas and have no request there.
func (a *attempt) settled(s Surroundings) bool {
	if s.OldRunning > 0 {
		return false
	}
	newest := map[string]*reportEntry{}
	for p, r := range a.reports {
		if old := newest[p.Instance]; old == nil || old.changed.Before(r.changed) {
			newest[p.Instance] = r
		}
	}
	for _, name := range s.Reachable {
		if r := newest[name]; r == nil || r.SendsOld || r.Running > 0 {
			return false
		}
	}
	return true
}
