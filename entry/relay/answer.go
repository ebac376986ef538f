package relay

import (
	"net/http"
	"strconv"
	"time"

	"crocusfold.dev/entry/replicas"
)

// boundAnswer sets when the response is due and its expected length, by which a replica is
// chosen where requests compete for replicas.
func (c *call) boundAnswer(req *replicas.PlacementRequest) {
	req.Deadline, req.Bytes = c.deadline, c.body.Size
	if c.route.TargetLatency > 0 {
		req.Target = c.began.Add(c.route.TargetLatency)
	}
	if c.service.Engine != nil {
		req.Stride = c.service.Engine.Stride
		req.Events = expectedEvents(c.info.EstimateOutput(), req.Stride)
	}
	if c.resumes() {
		// The ids of events are their numbers, and a resumed stream has those after the last
		// one. How many these are is not known with other ids.
		after, err := strconv.Atoi(c.info.ResumeAfter)
		if req.Events = max(req.Events-after, 1); err != nil {
			req.Events = 0
		}
	}
}

// expectedEvents returns the expected number of events of a response with a number of tokens.
// An engine makes one token for each request in a step of its batch, and an event after each
// stride of steps; 0 means that the stride is not known.
func expectedEvents(tokens, stride int) int {
	stride = max(stride, 1)
	return (tokens + stride - 1) / stride
}

const (
	// minObservedGap is the least time between two observations of a stream. Shorter gaps are
	// observed as their mean, so that the cost of observing does not grow with their number.
	minObservedGap = 100 * time.Millisecond
	// maxWriteTime is how long passing on events may take. Beyond it, the caller reads slowly,
	// and what arrives next says nothing about the replica.
	maxWriteTime = 5 * time.Millisecond
)

// eventTimes follows the times of the events of a stream.
type eventTimes struct {
	// readAt is when the events were read that are not passed on yet; zero if none are.
	// observedAt is the time of the last observation, zero if it was dropped, and observed the
	// number of events at that time.
	readAt, observedAt time.Time
	observed           int
}

// observeTimes has the pool learn from the events of a stream, and records their times for the
// log. It is called after each read.
func (c *call) observeTimes(pl *replicas.Placement) {
	t, events := &c.times, c.summary.events
	if !pl.Contended || c.summary.status >= http.StatusMultipleChoices || events == t.observed {
		return
	}
	now := c.relay.Now()
	t.readAt = now
	c.summary.lastEventTime = now.Sub(c.began)
	switch {
	case t.observed == 0:
		c.summary.firstEventTime = now.Sub(c.began)
		c.relay.Replicas.ResponseStarted(now, pl)
		c.relay.Replicas.ObserveFirstEvent(now, pl)
	case t.observedAt.IsZero():
	case now.Sub(t.observedAt) < minObservedGap:
		return
	default:
		c.relay.Replicas.ObserveGap(now, pl, now.Sub(t.observedAt)/time.Duration(events-t.observed))
	}
	t.observedAt, t.observed = now, events
}

// written is called when what was read is passed on. It drops the observation in progress if
// that took long.
func (t *eventTimes) written(now func() time.Time) {
	if !t.readAt.IsZero() && now().Sub(t.readAt) > maxWriteTime {
		t.observedAt = time.Time{}
	}
	t.readAt = time.Time{}
}

// observeComplete has the pool learn from the length of a complete response. That of a resumed
// stream has only its last part.
func (c *call) observeComplete(pl *replicas.Placement) {
	if pl.Contended && c.summary.events > 0 && c.summary.status < http.StatusMultipleChoices && !c.resumes() {
		c.relay.Replicas.ObserveResponse(c.relay.Now(), pl, c.summary.events)
	}
}

// estimateOutcome compares the expected time of the last event with the measured one, for the
// metrics. It is empty if the response has no events that were measured to the end.
func (c *call) estimateOutcome() string {
	expected, measured := c.summary.estimate.Answer.Last, c.sincePlaced(c.summary.lastEventTime)
	if c.summary.outcome != "ok" || expected <= 0 || measured <= 0 {
		return ""
	}
	const off = 2
	switch {
	case expected > off*measured:
		return "too-long"
	case measured > off*expected:
		return "too-short"
	}
	return "close"
}
