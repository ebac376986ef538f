package relay

import (
	"time"

	"crocusfold.dev/core/route"
	"crocusfold.dev/core/shutdown"
)

// stoppingRetry is the delay in the Retry-After header of a stopping instance. Callers
// return on a new connection, which leads to another one.
const stoppingRetry = 50 * time.Millisecond

// codeStopping is the code of refusals of an instance that stops.
const codeStopping = "instance-stops"

// BeginShutdown closes each caller's connection after the next response on it, and refuses
// requests that may not complete before the end.
func (rl *Relay) BeginShutdown(s shutdown.Shutdown) {
	rl.shutdown.Store(&s)
	rl.Waiting().stop()
}

// EndRequests ends all requests that run. Those without a response get their final one.
func (rl *Relay) EndRequests() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ended = true
	for _, cancel := range rl.running {
		cancel()
	}
}

// closeIfStopping makes the response the last one on the caller's connection if the instance
// is stopping. It must be called before the head of the response is written.
func (c *call) closeIfStopping() {
	if c.relay.shutdown.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
}

// checkShutdown returns a refusal if the instance is stopping and the request may not
// complete before the end, and bounds the deadline of the others.
func (c *call) checkShutdown(now time.Time) *refusal {
	s := c.relay.shutdown.Load()
	if s == nil {
		return nil
	}
	c.relay.mu.Lock()
	longest := c.relay.durations.Longest(c.route.Name)
	c.relay.mu.Unlock()
	if !s.Accepts(now, shutdown.Request{Repeatable: c.route.Retryable(), Streams: c.route.Kind == route.Streaming, TimeLeft: c.deadline.Sub(now), Longest: longest}) {
		return notRun(codeStopping, stoppingRetry)
	}
	c.deadline = s.Deadline(c.deadline)
	return nil
}
