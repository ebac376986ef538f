// Package answertime estimates when the first and the last event of a response come. It
// learns from the events of other responses how long these take at which load, by service,
// and how fast each replica is compared with that.
package answertime

import (
	"math"
	"time"
)

// Load is the work at a replica.
type Load struct {
	// Running is the number of requests, and PendingPrefill the number of prompt tokens that
	// are not prefilled yet.
	Running, PendingPrefill int
}

// Priors that apply until events were observed. They are rough figures of model engines in
// general; a step of a batch is what each running request gets a token from.
const (
	priorStep        = 3 * time.Millisecond
	priorStepRequest = 100 * time.Microsecond
	// priorPrefillRate is the number of prompt tokens that are prefilled per millisecond.
	priorPrefillRate = 80
	// priorOverhead is the part of the time to the first event that does not depend on load.
	priorOverhead = 10 * time.Millisecond
	priorDuration = time.Second
)

// Times are the times of a service's responses. The zero value has only the priors. It is not
// safe for concurrent use.
type Times struct {
	stride     int
	first, gap regression
	// running and pending are the means of the loads beside which events were made, and
	// duration that of the seconds that a response took.
	running, pending, duration mean
	// length is the mean ratio of the events of a response to the expected number.
	length mean
}

// SetStride sets the number of batch steps per event; 0 if it is not known. A change forgets
// what was learned.
func (t *Times) SetStride(stride int) {
	if t.stride != stride {
		*t = Times{stride: stride}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration {
	// Longer estimates say nothing, and the bound keeps sums of them in range.
	const longest = float64(time.Hour)
	return time.Duration(min(ms*float64(time.Millisecond), longest))
}

func (t *Times) priorGap() features {
	steps := float64(max(t.stride, 1))
	return features{steps * milliseconds(priorStep), steps * milliseconds(priorStepRequest) * runningScale, prefillScale / priorPrefillRate}
}

func (t *Times) priorFirst() features {
	f := t.priorGap()
	f[0] += milliseconds(priorOverhead)
	return f
}

// ObserveGap records that an event came at a replica a gap after the one before it, beside a
// load that includes its own request.
func (t *Times) ObserveGap(now time.Time, s *Speed, load Load, gap time.Duration) {
	if gap <= 0 {
		return
	}
	x, prior := featuresOf(load.Running, load.PendingPrefill), t.priorGap()
	ms, slowdown := milliseconds(gap), s.Now(now)
	// Before it is known what is usual, each replica would seem to differ from it.
	if usual := t.gap.value(now, prior, x); usual > 0 && t.gap.known() {
		s.observe(now, ms/usual)
	}
	t.gap.observe(now, prior, x, ms/slowdown)
	t.running.observe(now, float64(load.Running))
	t.pending.observe(now, float64(load.PendingPrefill))
}

// ObserveFirst records the time to the first event of a request, without the transfers of its
// context, beside a load that includes the request.
func (t *Times) ObserveFirst(now time.Time, s *Speed, load Load, took time.Duration) {
	if took > 0 {
		t.first.observe(now, t.priorFirst(), featuresOf(load.Running, load.PendingPrefill), milliseconds(took)/s.Now(now))
	}
}

// ObserveEnd records a complete response with its number of events, of which expected were
// expected.
func (t *Times) ObserveEnd(now time.Time, events, expected int, took time.Duration) {
	t.duration.observe(now, took.Seconds())
	if expected > 0 {
		// The expected number is the caller's, and one caller must not change the estimates of
		// all others by much.
		const most = 4
		t.length.observe(now, min(max(float64(events)/float64(expected), 1.0/most), most))
	}
}

// Answer is a response to be estimated.
type Answer struct {
	// Load is that of the replica with the new request.
	Load
	// Transfer is the time of the transfers before its prefill.
	Transfer time.Duration
	// Waiting is the number of requests for whose end it waits, and Slots the number that run
	// at once.
	Waiting, Slots int
	// Events is the expected number of events.
	Events int
}

// Estimate has the expected times to the first and to the last event.
type Estimate struct{ First, Last time.Duration }

// lengthPrior is the number of observations that the stated number of events counts as.
const lengthPrior = 5

// Estimate returns the expected times of a response at a replica.
func (t *Times) Estimate(now time.Time, s *Speed, a Answer) Estimate {
	speed, lasting := s.Now(now), s.Lasting(now)
	duration := t.Duration(now)
	x := featuresOf(a.Running, a.PendingPrefill)
	first := t.first.value(now, t.priorFirst(), x)*speed + milliseconds(a.Transfer)
	first += float64(a.Waiting) / float64(max(a.Slots, 1)) * milliseconds(duration)
	events := float64(a.Events) * t.length.value(now, 1, lengthPrior)
	// The load and the speed of now hold for a part of a long response only. Then the load is
	// as beside other responses, and the speed as it usually is at this replica.
	running := t.running.value(now, float64(a.Running), 1)
	pending := t.pending.value(now, 0, 1)
	c := t.gap.coefficients(now, t.priorGap())
	gap := func(running float64) float64 {
		// A fit of few observations can be below zero.
		return max(0, c[0]+c[1]*running/runningScale+c[2]*pending/prefillScale)
	}
	usual := fromMilliseconds(max(events-1, 0) * gap(running) * lasting)
	running += (float64(a.Running) - running) * share(duration, usual)
	slowdown := lasting + (speed-lasting)*share(statedTTL, usual)
	last := first + max(events-1, 0)*gap(running)*slowdown
	return Estimate{First: fromMilliseconds(first), Last: fromMilliseconds(last)}
}

// Known reports whether the times of events were learned, rather than priors.
func (t *Times) Known() bool { return t.gap.known() }

// share returns the share of a time for which a state holds that ends exponentially.
func share(holds, total time.Duration) float64 {
	if total <= 0 || holds <= 0 {
		return 1
	}
	x := float64(total) / float64(holds)
	return (1 - math.Exp(-x)) / x
}

// Duration returns the mean time that a response takes.
func (t *Times) Duration(now time.Time) time.Duration {
	return time.Duration(t.duration.value(now, priorDuration.Seconds(), lengthPrior) * float64(time.Second))
}

// Prefill returns the time that the prefill of prompt tokens takes at a replica, and so the
// delay for the streams that run there.
func (t *Times) Prefill(now time.Time, s *Speed, tokens int) time.Duration {
	c := t.first.coefficients(now, t.priorFirst())
	return fromMilliseconds(c[2] * float64(tokens) / prefillScale * s.Now(now))
}

// StepCost returns the delay for each stream at a replica for each event that another one
// makes there.
func (t *Times) StepCost(now time.Time, s *Speed) time.Duration {
	return fromMilliseconds(t.gap.coefficients(now, t.priorGap())[1] / runningScale * s.Lasting(now))
}
