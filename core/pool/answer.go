package pool

import (
	"math"
	"time"

	"crocusfold.dev/core/answertime"
)

// Weights of the choice for services whose requests compete for replicas. They are the delays
// of a first event that a caller would accept to avoid the effect.
const (
	// lateDelay is added for a response that ends after its deadline or starts after its
	// target, and in part if that is likely. The largest of the sites' targets is 1.5 s.
	lateDelay = 2 * time.Second
	// eventsWeight is the weight of the time after the first event. It counts little as long
	// as the deadline is met.
	eventsWeight = 0.1
	// othersWeight is the weight of the delay of each request of other instances that runs at
	// the replica, whose deadline is not known. It is that of a response of 10 s that is
	// expected to take half of it.
	othersWeight = 0.1
)

// ServiceContended reports whether requests of a service compete for replicas.
func (p *Pool) ServiceContended(service string) bool { return p.contended(service) }

// contended reports whether requests of a service compete for replicas, so that replicas are
// chosen by the whole response.
func (p *Pool) contended(service string) bool { return p.Contended || p.stating[service] }

// ObserveSlowdown records how many times longer than usual work takes at a replica, as it
// stated; 0 if it stated nothing.
func (p *Pool) ObserveSlowdown(now time.Time, id string, slowdown float64) {
	r, ok := p.replicas[id]
	if !ok || slowdown <= 0 {
		return
	}
	if p.stating == nil {
		p.stating = map[string]bool{}
	}
	p.stating[r.Service] = true
	r.speed.State(now, slowdown)
}

// timesOf returns the times of a service's responses.
func (p *Pool) timesOf(service string) *answertime.Times {
	t, ok := p.times[service]
	if !ok {
		if p.times == nil {
			p.times = map[string]*answertime.Times{}
		}
		t = &answertime.Times{}
		p.times[service] = t
	}
	return t
}

// answer returns the expected times of a request's response at a replica that runs a number
// of requests.
func (p *Pool) answer(now time.Time, req Request, r *replica, load Load, running int) answertime.Estimate {
	t := p.timesOf(req.Service)
	t.SetStride(req.Stride)
	return t.Estimate(now, &r.speed, answertime.Answer{
		Load:     answertime.Load{Running: running + 1, PendingPrefill: load.PendingPrefill + req.PrefillTokens},
		Transfer: load.PendingTransfer + transferTime(req.Transfers, r.DataCentre),
		Waiting:  max(0, running-r.Slots+1), Slots: r.Slots, Events: req.Events,
	})
}

// answerCost returns the cost of a response that is expected at given times, as a delay.
func (p *Pool) answerCost(now time.Time, req Request, r *replica, running int, e answertime.Estimate) time.Duration {
	cost := e.First + time.Duration(eventsWeight*float64(e.Last-e.First))
	cost += time.Duration((lateness(now, e.First, req.Target) + lateness(now, e.Last, req.Deadline)) * float64(lateDelay))
	t := p.timesOf(req.Service)
	delay := t.Prefill(now, &r.speed, req.PrefillTokens) + time.Duration(req.Events)*t.StepCost(now, &r.speed)
	others := float64(max(running-r.own.Running, 0))
	return cost + time.Duration((othersWeight*others+float64(r.own.Urgency)/1000)*float64(delay))
}

// heldDelay is added for each mebibyte of the bodies that a replica of a plain service holds. The
// memory of replicas is not stated, and one whose memory is exceeded crashes, so that the bodies
// are spread. The largest body allowed is 4 MB.
const heldDelay = 20 * time.Millisecond

// plainAnswer returns the expected time of a response that is no stream, at a replica with a
// number of running requests and slots. median is the median delay of the service.
func plainAnswer(median time.Duration, running, slots int, slowdown float64) answertime.Estimate {
	took := time.Duration(float64(median) * slowdown * (1 + float64(running)/float64(slots)))
	return answertime.Estimate{First: took, Last: took}
}

// plainCost returns the cost of a response that is no stream, as a delay.
func plainCost(load Load, e answertime.Estimate) time.Duration {
	return e.First + time.Duration(float64(load.Bytes)/(1<<20)*float64(heldDelay))
}

// tooLateFactor is how many times longer than the time left a response is expected to take if
// its request is refused. In TestAnswers the logarithms of estimates deviate from the measured
// ones by 0.2 to 0.4, so that twice the time is about two deviations.
const tooLateFactor = 2

// tooLate reports whether a response can't end in time at any replica: not even at an idle one
// with the usual speed.
func (p *Pool) tooLate(now time.Time, req Request) bool {
	if req.Memory == 0 || req.Deadline.IsZero() || !p.contended(req.Service) {
		return false
	}
	t := p.timesOf(req.Service)
	t.SetStride(req.Stride)
	if !t.Known() {
		return false
	}
	e := t.Estimate(now, &answertime.Speed{}, answertime.Answer{
		Load: answertime.Load{Running: 1, PendingPrefill: req.PrefillTokens}, Slots: 1, Events: req.Events,
	})
	return e.Last > tooLateFactor*req.Deadline.Sub(now)
}

// Urgency returns the urgency that a chosen request adds to the load of its replica.
func (c Choice) Urgency(now, deadline time.Time) int {
	left := deadline.Sub(now)
	if !c.Contended || deadline.IsZero() || left <= 0 {
		return 0
	}
	// This is lateDelay times the derivative of lateness.
	u := float64(c.Estimate.Answer.Last) / float64(left)
	slope := 4 * math.Pow(u, 3) / math.Pow(1+math.Pow(u, 4), 2) / left.Seconds()
	return int(1000 * lateDelay.Seconds() * slope)
}

// lateness returns how likely something that is expected to take some time comes after a time;
// 0 if it is not bounded. It is a half if all of the time left is expected, and 0.06 if half of
// it is. Measured times differ from the estimate by up to a factor of two.
func lateness(now time.Time, expected time.Duration, until time.Time) float64 {
	left := until.Sub(now)
	switch {
	case until.IsZero():
		return 0
	case left <= 0:
		return 1
	}
	u := math.Pow(float64(expected)/float64(left), 4)
	return u / (1 + u)
}

// ObserveFirstEvent records the time from the choice of a replica to the first event of a
// response, with the estimate that it was chosen by and what the request added to the load.
func (p *Pool) ObserveFirstEvent(now time.Time, c Choice, own Load, took time.Duration) {
	if r, ok := p.observed(c); ok {
		load := answertime.Load{Running: c.Estimate.Running + 1, PendingPrefill: c.Estimate.PendingPrefill + own.PendingPrefill}
		p.timesOf(r.Service).ObserveFirst(now, &r.speed, load, took-c.Estimate.PendingTransfer-own.PendingTransfer)
	}
}

// ObserveGap records that an event came at a replica a gap after the one before it.
func (p *Pool) ObserveGap(now time.Time, c Choice, gap time.Duration) {
	if r, ok := p.observed(c); ok {
		load := r.load(now)
		p.timesOf(r.Service).ObserveGap(now, &r.speed, answertime.Load{Running: load.Running, PendingPrefill: load.PendingPrefill}, gap)
	}
}

// ObserveResponse records a complete response with its number of events, of which expected were
// expected, and the time since the choice of its replica.
func (p *Pool) ObserveResponse(now time.Time, c Choice, events, expected int, took time.Duration) {
	if r, ok := p.observed(c); ok {
		p.timesOf(r.Service).ObserveEnd(now, events, expected, took)
	}
}

// observed returns the replica of a choice, if its response is learned from and the replica was
// not replaced by another incarnation.
func (p *Pool) observed(c Choice) (*replica, bool) {
	r, ok := p.replicas[c.ID]
	return r, ok && c.Contended && r.Incarnation == c.Incarnation
}
