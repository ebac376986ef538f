package canary

import (
	"fmt"
	"math"
)

const (
	// falseAlarm bounds the part of the rollouts of good versions that are found bad over
	// the whole time, and lateFalseAlarm the part at one of the two times when it must be
	// decided, if bad responses are independent but for a single faulty replica. One
	// in a hundred rollouts of good versions may fail for any reason; the bounds are far from
	// what is measured (TestGoodVersions).
	falseAlarm     = 0.01
	lateFalseAlarm = 0.02
	// doubtful is how many times likelier than good a version must be bad for the decision
	// to be put off, for each comparison.
	doubtful = 3
	// badResponses is the number of bad responses from which the rollback time counts, and
	// countRule the number over what is usual that ends a rollout for itself. It leaves
	// room for what is on its way and for one replica that hardly counts.
	badResponses = 50
	countRule    = 20
	// minFailures is the least number of failures of a bad version, since the first ones
	// may have one cause.
	minFailures = 3
	// excess is by how much the part of bad responses must be over that of the old version.
	failureExcess = 0.003
	slowExcess    = 0.08
	// times over the old version's part that a bad version must have.
	minRatio = 2
	// afterwards is by how many times stronger the evidence must be when the old version no
	// longer gets requests to compare with, and minAfterwards the failures it needs.
	afterwards    = 4
	minAfterwards = 6
	// similar is the number of failures of the old version by which one stage may be over
	// twice what the earlier ones let expect, to be counted together with them, and
	// minSimilar the least number of its responses.
	similar    = 1
	minSimilar = 50
)

// ratios are the ratios of the parts of bad responses, target to old, that a bad version
// may have. The evidence for each is averaged.
var ratios = [...]float64{2, 4, 16, 64}

// measure says what makes a response bad.
type measure int

const (
	failures measure = iota
	slowness
	// losses counts each replica once each time that its responses are lost. It is compared
	// over all places together: a crash is no matter of the route or data centre, and
	// there are few.
	losses
	measures
)

// trials counts what was tried at old replicas and at the target, and how much of it was
// bad.
type trials struct{ n, bad [2]float64 }

// stratum holds responses that can be compared.
type stratum struct {
	place
	stage stage
}

// tried is what one replica of the target adds to a stratum.
type tried struct {
	stratum stratum
	replica uint32
	n, bad  [measures]float64
}

// findings is what follows from the evidence at one time.
type findings struct {
	version uint64
	known   bool
	// proof is the greatest log likelihood ratio of bad to good over all comparisons, with
	// the worst replica of the target evened; doubt the same with it as it is.
	proof, doubt float64
	// tests is the number of comparisons.
	tests float64
	why   string
	// responses and sent are those of the old version and of the target.
	responses [2]float64
}

// judge finds the target bad if the evidence says so.
func (a *attempt) judge() {
	f := &a.findings
	if f.known && f.version == a.evidence.version {
		return
	}
	t := newTable(&a.evidence, a.targetReplicas)
	*f = findings{version: a.evidence.version, known: true, tests: float64(2*(1+len(t.routes)) + 1)}
	for st := range t.strata {
		for i := range f.responses {
			f.responses[i] += t.strata[st][failures].n[i]
		}
	}
	for _, route := range append([]string{""}, t.routes...) {
		for m := range measures {
			if m == losses && route != "" {
				continue
			}
			proof, doubt, why := t.compare(route, m)
			f.doubt = max(f.doubt, doubt)
			if proof > f.proof {
				f.proof, f.why = proof, why
			}
		}
	}
	if a.bad {
		return
	}
	if f.proof >= math.Log(f.tests/falseAlarm) {
		a.bad, a.why = true, f.why
	} else if why, bad := t.countRule(); bad {
		a.bad, a.why = true, why
	} else if why, bad := t.compareAfterwards(); bad {
		a.bad, a.why = true, why
	}
}

// calm reports whether nothing speaks against the target.
func (f *findings) calm() bool { return f.doubt < math.Log(doubtful*f.tests) }

// condemns reports whether the target is to be found bad when it must be decided.
func (f *findings) condemns() bool { return f.proof >= math.Log(f.tests/lateFalseAlarm) }

// table has the evidence in the form in which it is compared.
type table struct {
	strata map[stratum]*[measures]trials
	// tried has the part of the target, in any order.
	tried  []tried
	routes []string
	// single is true if the target has only one replica, which then counts.
	single bool
	// into has the stage with which the failures of each stage are counted.
	into [stageNone + 1]stage
}

func newTable(e *evidence, replicas int) *table {
	t := &table{strata: map[stratum]*[measures]trials{}, single: replicas == 1}
	routes := map[string]bool{}
	for k, cl := range e.cells {
		t.add(tried{stratum{place{k.route, k.dataCentre}, k.stage}, k.replica,
			[measures]float64{failures: float64(cl.Responses), slowness: float64(cl.Timed)},
			[measures]float64{failures: float64(cl.Failed), slowness: float64(cl.Slow)}}, k.target)
		t.add(tried{stratum{stage: k.stage}, k.replica, [measures]float64{losses: float64(cl.Responses)}, [measures]float64{}}, k.target)
		if k.target && !routes[k.route] {
			routes[k.route] = true
			t.routes = append(t.routes, k.route)
		}
	}
	for _, l := range e.losses {
		t.add(tried{stratum{stage: stage(l.Stage)}, l.Replica, [measures]float64{}, [measures]float64{losses: float64(l.Events)}}, l.Target)
	}
	t.pool()
	return t
}

// pool counts the failures of all stages together as far as the old version failed as
// rarely in the later ones as in the earlier ones. In the later stages few requests are left
// to the old version, so that less would follow from them alone.
func (t *table) pool() {
	var stages [stageNone + 1]trials
	for st, tr := range t.strata {
		i := st.stage
		if i < stageMove {
			i = stageWatch
		}
		stages[i].n[0] += tr[failures].n[0]
		stages[i].bad[0] += tr[failures].bad[0]
	}
	first := &stages[stageWatch]
	first.n[0] += stages[stageNone].n[0]
	first.bad[0] += stages[stageNone].bad[0]
	for i := range t.into {
		s := stages[i]
		t.into[i] = stageWatch
		if stage(i) >= stageMove && stage(i) < stageNone &&
			(s.n[0] < minSimilar || s.bad[0] > 2*s.n[0]*first.bad[0]/max(first.n[0], 1)+similar) {
			t.into[i] = stage(i)
		}
	}
	t.into[stageAll] = stageAll
}

// in returns the stratum in which a response of a stratum counts.
func (t *table) in(st stratum, m measure) stratum {
	if m != slowness {
		st.stage = t.into[st.stage]
	}
	return st
}

func (t *table) add(d tried, target bool) {
	st := t.strata[d.stratum]
	if st == nil {
		st = &[measures]trials{}
		t.strata[d.stratum] = st
	}
	version := 0
	if target {
		version = 1
		t.tried = append(t.tried, d)
	}
	for m := range measures {
		st[m].n[version] += d.n[m]
		st[m].bad[version] += d.bad[m]
	}
}

// evened returns the trials by stratum on a route (all if empty), with the bad responses of
// the target's worst replica reduced to those of its next worst one, or to one: a single
// faulty replica doesn't tell of the version. seen is the number of the target's replicas
// that were tried.
func (t *table) evened(route string, m measure) (out map[stratum]trials, seen int) {
	out = t.all(route, m)
	bad := map[uint32]float64{}
	for _, d := range t.tried {
		if route == "" || d.stratum.route == route {
			bad[d.replica] += d.bad[m]
		}
	}
	var worst uint32
	most, next := -1.0, -1.0
	for r, n := range bad {
		if n > most || n == most && r < worst {
			worst, most, next = r, n, most
		} else {
			next = max(next, n)
		}
	}
	if limit := max(next, 1); !t.single && most > limit {
		for _, d := range t.tried {
			st := t.in(d.stratum, m)
			if tr, ok := out[st]; ok && d.replica == worst {
				tr.bad[1] -= d.bad[m] * (1 - limit/most)
				out[st] = tr
			}
		}
	}
	return out, len(bad)
}

// all returns the trials by stratum on a route (all if empty).
func (t *table) all(route string, m measure) map[stratum]trials {
	out := make(map[stratum]trials, len(t.strata))
	for st, all := range t.strata {
		if route != "" && st.route != route {
			continue
		}
		st = t.in(st, m)
		tr := out[st]
		for i := range tr.n {
			tr.n[i] += all[m].n[i]
			tr.bad[i] += all[m].bad[i]
		}
		out[st] = tr
	}
	return out
}

// compare returns the evidence against the target on a route (all if empty), with its worst
// replica evened and as it is.
func (t *table) compare(route string, m measure) (proof, doubt float64, why string) {
	all := summarize(t.all(route, m))
	doubt = all.likelihood()
	evened, seen := t.evened(route, m)
	if seen < 2 && !t.single {
		return 0, doubt, ""
	}
	rest := summarize(evened)
	excess := slowExcess
	if m != slowness {
		excess = failureExcess
	}
	if rest.bad < minFailures || rest.bad < minRatio*rest.expected || rest.bad-rest.expected < excess*rest.n {
		return 0, doubt, ""
	}
	return rest.likelihood(), doubt, all.describe(route, [...]string{"failed", "were slow", "were lost (by replica)"}[m])
}

// countRule reports whether the number of bad responses alone ends the rollout.
func (t *table) countRule() (why string, bad bool) {
	n, expected := 0.0, 0.0
	for m := range measures {
		evened, seen := t.evened("", m)
		if seen < 2 && !t.single {
			return "", false
		}
		s := summarize(evened)
		n, expected = n+s.bad, expected+s.expected
	}
	if n-expected < countRule || n < minRatio*expected {
		return "", false
	}
	return fmt.Sprintf("%.0f bad responses, where %.1f are usual", n, expected), true
}

// compareAfterwards compares the responses since all requests go to the target with those
// of the old version before.
func (t *table) compareAfterwards() (why string, bad bool) {
	all, _ := t.evened("", failures)
	before, after := map[place]trials{}, map[stratum]trials{}
	for st, tr := range all {
		old := before[st.place]
		old.n[0] += tr.n[0]
		old.bad[0] += tr.bad[0]
		before[st.place] = old
	}
	for st, tr := range all {
		if st.stage == stageAll {
			after[st] = trials{[2]float64{before[st.place].n[0], tr.n[1]}, [2]float64{before[st.place].bad[0], tr.bad[1]}}
		}
	}
	s := summarize(after)
	if s.bad < minAfterwards || s.bad < minRatio*s.expected || s.likelihood() < math.Log(afterwards/falseAlarm) {
		return "", false
	}
	return s.describe("", "failed after the old version"), true
}

// summary is a comparison over strata.
type summary struct {
	strata []trials
	// n and bad are those of the target, expected the bad ones if it were like the old
	// version. Strata in which only one version was tried don't count.
	n, bad, expected float64
	oldN, oldBad     float64
}

func summarize(strata map[stratum]trials) summary {
	var s summary
	for _, tr := range strata {
		if tr.n[0] <= 0 || tr.n[1] <= 0 {
			continue
		}
		s.strata = append(s.strata, tr)
		s.n += tr.n[1]
		s.bad += tr.bad[1]
		s.expected += tr.n[1] * tr.bad[0] / tr.n[0]
		s.oldN += tr.n[0]
		s.oldBad += tr.bad[0]
	}
	return s
}

// likelihood returns the logarithm of how many times likelier the bad responses fall on
// the two versions as they do if the target is bad than if it is like the old version.
// Each bad response then falls on the target with a probability that follows from the
// ratio and from the part of the responses that the target had. For a good version, the
// result ever exceeds x with a probability of exp(-x) at most.
func (s summary) likelihood() float64 {
	var logs [len(ratios)]float64
	for _, tr := range s.strata {
		part := tr.n[1] / (tr.n[0] + tr.n[1])
		for i, r := range ratios {
			logs[i] += tr.bad[1]*math.Log(r) - (tr.bad[0]+tr.bad[1])*math.Log(r*part+1-part)
		}
	}
	top := math.Inf(-1)
	for _, l := range logs {
		top = max(top, l)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(ratios)))
}

// describe names the evidence for logs and operators.
func (s summary) describe(route, what string) string {
	if route != "" {
		route = " on " + route
	}
	return fmt.Sprintf("%.0f of %.0f responses of the target%s %s, %.0f of %.0f of the old version", s.bad, s.n, route, what, s.oldBad, s.oldN)
}
