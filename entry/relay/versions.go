package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"crocusfold.dev/core/canary"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/route"
	"crocusfold.dev/entry/replicas"
)

// Reasons why a request is not placed because of the rollout of its service.
const (
	// rolloutsUnknown means that the orders are not known yet, so that no version is known to
	// be allowed.
	rolloutsUnknown pool.Reason = "rollouts-unknown"
	// versionUnusable means that the version that began a stream may not be used.
	versionUnusable pool.Reason = "version-unusable"
	// versionPending means that a software version of a service may not begin streams yet, and
	// that no replica of the others can take the request.
	versionPending pool.Reason = "version-pending"
)

// withdrawnRetry is the delay in the Retry-After header of streams of a version that was
// rolled back, which can't go on; their callers must begin anew.
const withdrawnRetry = time.Second

// placeAllowed chooses a replica among those of the software versions that the rollout of the
// service allows. If none of the target's replicas can take the request, the others are
// tried. A request without a replica is not counted as sent.
func (c *call) placeAllowed(now time.Time, req replicas.PlacementRequest) (*replicas.Placement, replicas.Refusal) {
	ro := c.relay.Rollouts
	switch {
	case c.software != "":
		c.choice = ro.Resume(now, c.service.Name, c.route.Name, c.software)
	case !c.counted:
		c.choice = ro.Choose(now, c.service.Name, c.route.Name)
	default:
		c.choice = ro.Again(now, c.service.Name, c.route.Name)
	}
	if !c.choice.Allowed {
		if c.choice.Known() {
			return nil, replicas.Refusal{Reason: versionUnusable}
		}
		return nil, replicas.Refusal{Reason: rolloutsUnknown}
	}
	c.counted = true
	pl, ref := c.placeAmong(now, req)
	if pl != nil {
		return pl, ref
	}
	ro.Unsent(now, c.choice)
	if !c.choice.Target || c.software != "" {
		return nil, ref
	}
	if c.choice = ro.Old(now, c.service.Name, c.route.Name); !c.choice.Allowed {
		return nil, ref
	}
	if pl, ref = c.placeAmong(now, req); pl == nil {
		ro.Unsent(now, c.choice)
	}
	return pl, ref
}

// placeAmong chooses a replica among those of the software versions of the choice. A stream
// that may be resumed begins only at an admitted version.
func (c *call) placeAmong(now time.Time, req replicas.PlacementRequest) (*replicas.Placement, replicas.Refusal) {
	req.Versions = c.relay.Rollouts.Allows(now, c.choice)
	pending := false
	if c.isResumable() && c.software == "" {
		req.Versions.Among, pending = c.relay.Streams.Admitted(c.service.Name)
	}
	pl, ref := c.relay.Replicas.Place(now, req)
	if pl == nil && pending && ref.Reason == pool.NoReplica {
		ref.Reason = versionPending
		c.relay.Streams.AdmissionNeeded()
	}
	return pl, ref
}

// versionRefusal returns the refusal of a request whose software version may not be used.
func (c *call) versionRefusal() *refusal {
	if c.policy.Runs() > 0 {
		return c.responseLost()
	}
	return notRun(string(versionUnusable), withdrawnRetry)
}

// eventPace has the times of the events of a response.
type eventPace struct {
	first, last time.Time
	events      int
}

// observe takes in the number of events that have been received by now.
func (p *eventPace) observe(now time.Time, events int) {
	if events == p.events {
		return
	}
	if p.first.IsZero() {
		p.first = now
	}
	p.last, p.events = now, events
}

// meanGap returns the mean time between events; 0 if there are too few.
func (p *eventPace) meanGap() time.Duration {
	if p.events < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.events-1)
}

// recordOutcome records what became of an attempt at a replica for the rollout.
func (c *call) recordOutcome(now time.Time, pl *replicas.Placement, o canary.Outcome) {
	o.Route, o.DataCentre = c.route.Name, pl.DataCentre
	o.Replica = pl.ID + "@" + strconv.FormatInt(pl.Incarnation, 10)
	o.Cold = now.Before(pl.ColdUntil)
	c.relay.Rollouts.Record(now, c.choice, o)
}

// recordVersionOutcome records a complete response for the rollout. One that is not what its route has counts as
// failed.
func (c *call) recordVersionOutcome(pl *replicas.Placement, sentAt time.Time, status int, stream bool, pace eventPace) {
	now := c.relay.Now()
	o := canary.Outcome{FirstEvent: now.Sub(sentAt), MeanGap: pace.meanGap(), Duration: now.Sub(sentAt)}
	if !pace.first.IsZero() {
		o.FirstEvent = pace.first.Sub(sentAt)
	}
	if all, fetched, _ := pl.PartCounts(); c.choice.Target && all > fetched {
		// Old replicas usually have the context that this one had to prefill.
		o.FirstEvent = 0
	}
	o.Failed = status >= http.StatusInternalServerError ||
		status < http.StatusMultipleChoices && c.route.Kind == route.Streaming && !stream
	c.recordOutcome(now, pl, o)
}

// recordLost records an attempt whose response is missing or broke off, with the time of its
// first event. An attempt that was still running at its deadline failed; one that the caller
// gave up, or that ended with this instance, shows nothing.
func (c *call) recordLost(now time.Time, pl *replicas.Placement, sentAt, firstEvent time.Time) {
	var o canary.Outcome
	switch {
	case c.r.Context().Err() != nil:
		return
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		o.Failed = true
	case c.ctx.Err() != nil:
		return
	default:
		o.Lost = true
	}
	o.Duration = now.Sub(sentAt)
	if o.FirstEvent = o.Duration; !firstEvent.IsZero() {
		o.FirstEvent = firstEvent.Sub(sentAt)
	}
	c.recordOutcome(now, pl, o)
}

// releasePlacement ends a placement whose request was not sent.
func (c *call) releasePlacement(pl *replicas.Placement) {
	c.relay.Rollouts.Unsent(c.relay.Now(), c.choice)
	c.endPlacement(pl)
}
