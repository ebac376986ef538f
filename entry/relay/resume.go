package relay

import (
	"time"

	"crocusfold.dev/core/route"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/streams"
)

// Delays in the Retry-After header of refused streams.
const (
	// unknownOriginRetry is the delay if the origin of a stream is not known, which other
	// instances may know a moment later.
	unknownOriginRetry = 300 * time.Millisecond
	// movedServiceRetry is the delay if the route no longer leads to the service that
	// began the stream.
	movedServiceRetry = time.Second
)

// isResumable reports whether the request is for a stream that may be resumed.
func (c *call) isResumable() bool { return c.route.Kind == route.Streaming && c.route.Resumable }

// resumes reports whether the request resumes a stream.
func (c *call) resumes() bool { return c.isResumable() && c.info.ResumeAfter != "" }

// findOrigin finds out which service and software version began the stream that the request
// resumes, if any. It returns a refusal if that is not known, or the route no longer leads
// there.
func (c *call) findOrigin() *refusal {
	if !c.resumes() {
		return nil
	}
	origin, source := c.relay.Streams.Origin(c.ctx, c.relay.Now(), c.info.Resumes, c.service.Name)
	c.summary.origin = source
	c.relay.Metrics.countResumed(source)
	switch {
	case source == streams.Unknown || origin.Version == "":
		return notRun("stream-origin-unknown", unknownOriginRetry)
	case !c.route.Uses(origin.Service):
		return notRun("stream-service-moved", movedServiceRetry)
	}
	c.service, c.software = c.intent.Table.Services[origin.Service], origin.Version
	c.budget = c.relay.Budgets.Service(c.service.Name)
	return nil
}

// recordOrigin records which software version a stream comes from.
func (c *call) recordOrigin(pl *replicas.Placement) {
	if !c.isResumable() {
		return
	}
	began := c.info.ID
	if c.resumes() && c.info.Resumes != "" {
		began = c.info.Resumes
	}
	c.relay.Streams.Began(c.relay.Now(), began, c.service.Name, streams.Connection{Replica: pl.Replica, OpenedAt: c.connOpened})
}

// checkSoftware returns an error if the response may come from another software version than
// the one that must go on with a resumed stream: its replica may have started again with
// another one.
func (c *call) checkSoftware(pl *replicas.Placement) error {
	if c.software == "" || c.relay.Streams.Verify(c.ctx, streams.Connection{Replica: pl.Replica, OpenedAt: c.connOpened}) {
		return nil
	}
	return errUnverified
}
