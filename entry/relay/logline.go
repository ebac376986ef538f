package relay

import (
	"strconv"
	"time"
)

// log writes the line of the request when it has ended.
func (c *call) log() {
	routeName := ""
	var version uint64
	if c.route != nil {
		routeName = c.route.Name
	}
	if c.intent != nil {
		version = c.intent.Table.Version
	}
	firstEvent, lastEvent := c.events.IDs()
	skipped, repeated := c.events.Disorder()
	stopping := ""
	if s := c.relay.shutdown.Load(); s != nil {
		stopping = c.began.Sub(s.Began).Round(time.Millisecond).String()
	}
	_ = c.relay.Logger.Log("id", c.info.ID, "route", routeName, "account", c.account.Name, "config", version,
		"proof", c.summary.proofAge.Round(time.Millisecond), "replica", c.summary.replica, "software", c.summary.software, "resumes", c.info.Resumes, "after", c.info.ResumeAfter, "origin", c.summary.origin, "weights", c.summary.version, "context", c.summary.context,
		"running", c.summary.estimate.Running, "fill", strconv.FormatFloat(c.summary.estimate.MemoryFill, 'f', 2, 64),
		"unread", c.summary.estimate.PendingPrefill, "expected", c.summary.estimate.Delay.Round(time.Millisecond), "reading", c.summary.prefillTokens,
		"expected-events", c.summary.expectedEvents, "slowdown", strconv.FormatFloat(c.summary.estimate.Slowdown, 'f', 2, 64),
		"expected-first", c.summary.estimate.Answer.First.Round(time.Millisecond), "measured-first", c.sincePlaced(c.summary.firstEventTime),
		"expected-last", c.summary.estimate.Answer.Last.Round(time.Millisecond), "measured-last", c.sincePlaced(c.summary.lastEventTime),
		"tries", c.summary.attempts, "timeout", c.info.Timeout, "handed-on", c.summary.timeLeft.Round(time.Millisecond), "gave-up", c.summary.giveUpReason, "outcome", c.summary.outcome, "status", c.summary.status,
		"framing", c.summary.framing, "bytes", c.summary.bytes, "events", c.summary.events, "in-event", c.summary.inEvent,
		"first-event", firstEvent, "last-event", lastEvent, "skipped", skipped, "repeated", repeated, "blocked-part", c.summary.blockedPart,
		"placed", c.summary.placementTime.Round(time.Millisecond), "first", c.summary.firstByteTime.Round(time.Millisecond),
		"took", c.relay.Now().Sub(c.began).Round(time.Millisecond), "stopping", stopping)
}

// sincePlaced returns the time of an event since the choice of the replica, as the estimates of
// the choice count it; 0 if the event was not measured.
func (c *call) sincePlaced(event time.Duration) time.Duration {
	if event == 0 {
		return 0
	}
	return max(event-c.summary.placementTime, 0).Round(time.Millisecond)
}
