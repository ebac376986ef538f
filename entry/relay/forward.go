package relay

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/core/canary"
	"crocusfold.dev/core/eventstream"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/retrypolicy"
	"crocusfold.dev/core/route"
	"crocusfold.dev/entry/guard"
	"crocusfold.dev/entry/replicas"
)

// Limits of the attempts of one request.
const (
	// maxAttempts bounds the number of replicas that one request is sent to.
	maxAttempts = 4
	// placementInterval is the pause between two attempts to choose a replica while
	// none can take the request.
	placementInterval = 15 * time.Millisecond
	// placementWaitShare is the share of the route's target latency for which a
	// request may wait for a replica before it is refused.
	placementWaitShare = 0.5
	// defaultPlacementWait is that time for routes without a target latency.
	defaultPlacementWait = 150 * time.Millisecond
	// discardTimeout and maxDiscardBytes bound how long and how much is read of the
	// response of a replica that refused the request.
	discardTimeout  = time.Second
	maxDiscardBytes = 4 << 10
	// maxGrantRequests bounds the number of limited replicas for which one request asks
	// for a grant before it waits for placementInterval.
	maxGrantRequests = 4
	// maxUngranted bounds how often one request is placed again because a replica stated a
	// limit, or that it leaves, before the request was sent.
	maxUngranted = 3
)

// retryAfterByReason has the Retry-After delay of refusals by their reason.
var retryAfterByReason = map[pool.Reason]time.Duration{
	pool.NoReplica: time.Second,
	pool.Reloading: 400 * time.Millisecond,
	pool.Cold:      500 * time.Millisecond,
	pool.Failing:   600 * time.Millisecond,
	pool.Full:      400 * time.Millisecond,
	pool.Limited:   400 * time.Millisecond,
	pool.Erring:    400 * time.Millisecond,

	rolloutsUnknown: 300 * time.Millisecond,
	versionPending:  300 * time.Millisecond,
	versionUnusable: withdrawnRetry,
}

// Failures of one attempt.
var (
	errRefused      = errors.New("the replica refused the request without running it")
	errWrongRequest = errors.New("the response belongs to another request")
	errServerError  = errors.New("the replica responded with a server error")
	errUnproven     = errors.New("the response refuses a request, but not provably this one")
	errNotFinal     = errors.New("the response has no status of a final response")
	errFalsePromise = errors.New("the replica states that it did not run a request that it may have run")
	errUnverified   = errors.New("the replica may have started again with another software version")
	errNotGranted   = errors.New("the replica may not be sent the request: it leaves, wants no requests for a time, or has stated a limit within which the request was not granted")
)

// failureName returns the label of a failure in the metrics.
func failureName(err error) string {
	switch {
	case errors.Is(err, errRefused):
		return "refused"
	case errors.Is(err, errWrongRequest):
		return "crossed"
	case errors.Is(err, errServerError):
		return "erred"
	case errors.Is(err, errUnproven):
		return "unproven"
	case errors.Is(err, errFalsePromise):
		return "false-promise"
	case errors.Is(err, errNotFinal):
		return "not-final"
	case errors.Is(err, errUnverified):
		return "unverified"
	}
	return "unusable"
}

// forward sends the request to one replica after the other until one responds. It
// returns nil if the caller has received a response, and otherwise the refusal to send.
func (c *call) forward() *refusal {
	c.contended = c.relay.Replicas.Contended(c.service.Name)
	c.queued = c.contended && c.relay.Queue
	for {
		pl, ref := c.place()
		if ref != nil {
			return ref
		}
		if ref := c.checkBreaker(); ref != nil {
			c.releasePlacement(pl)
			return ref
		}
		done, runState, err := c.attemptPlaced(pl)
		if done {
			return nil
		}
		if errors.Is(err, errNotGranted) && c.ungranted < maxUngranted {
			c.ungranted++
			continue
		}
		c.attemptedReplicas[pl.ID] = true
		c.hadError = errors.Is(err, errServerError) || errors.Is(err, errFalsePromise)
		if ref := c.afterFailure(runState, err); ref != nil {
			return ref
		}
	}
}

// attemptPlaced makes an attempt at a placed replica and gives its place back, however it ends.
func (c *call) attemptPlaced(pl *replicas.Placement) (done bool, runState attempt.RunState, err error) {
	c.summary.attempts++
	choice := c.choice
	c.relay.Rollouts.Began(choice, pl.Software)
	defer c.endPlacement(pl)
	defer c.relay.Rollouts.Ended(choice, pl.Software)
	if done, runState, err = c.attempt(pl); done {
		c.observeEnd(pl)
	}
	return done, runState, err
}

// checkBreaker returns a refusal if the crash breaker does not allow the request now.
// Crashes may have been recorded since admit, while the request waited or in earlier
// attempts.
func (c *call) checkBreaker() *refusal {
	if c.relay.Crashes.empty() {
		return nil
	}
	v := c.relay.Crashes.admit(c.relay.Now(), c.info.ID, c.fingerprints())
	switch {
	case v.Allowed:
		return nil
	case c.policy.Runs() > 0:
		return c.responseLost()
	default:
		return c.refuseCrashing(v)
	}
}

// attemptLimits returns the limits of the request's attempts. Only retryable requests
// may run more than once.
func (c *call) attemptLimits() retrypolicy.Limits {
	if c.route.Retryable() {
		return retrypolicy.Limits{Attempts: maxAttempts, Runs: c.route.MaxAttempts}
	}
	return retrypolicy.Limits{Attempts: maxAttempts, Runs: 1}
}

// afterFailure returns the refusal after a failed attempt, or nil if the request may
// be retried.
func (c *call) afterFailure(runState attempt.RunState, err error) *refusal {
	if c.r.Context().Err() != nil {
		return &refusal{code: "caller-left", abort: true}
	}
	f := retrypolicy.Failure{
		RunState: runState, Reached: runState != attempt.NotRun || errors.Is(err, errRefused), Expired: c.ctx.Err() != nil, Withdrawn: c.retryWithdrawn,
	}
	c.retryWithdrawn = false
	end, ok := c.policy.RecordFailure(f, c.attemptLimits(), c.budget.Withdraw).(retrypolicy.GiveUp)
	c.summary.giveUpReason = end.Reason
	if end.Reason == retrypolicy.OverBudget {
		c.relay.Metrics.countDeniedRetry(c.service.Name)
	}
	switch {
	case !ok:
		c.relay.Metrics.countAllowedRetry(c.service.Name, f.Reached)
		_ = c.relay.Logger.Log("id", c.info.ID, "msg", "Allowed another attempt.", "service", c.service.Name, "after", c.summary.replica,
			"attempts", c.policy.Attempts(), "runs", c.policy.Runs(), "charged", f.Reached, "budget-left", strconv.FormatFloat(c.budget.Left(), 'f', 2, 64))
		return nil
	case end.RunState != attempt.NotRun:
		return c.responseLost()
	case end.Reason == retrypolicy.Expired:
		return notRun("not-started-in-time", retryAfterByReason[pool.Failing])
	default:
		return notRun("no-replica-took-it", retryAfterByReason[pool.Failing])
	}
}

// responseLost returns the refusal of a request that a replica may have run.
func (c *call) responseLost() *refusal {
	if c.ctx.Err() != nil {
		return &refusal{status: http.StatusGatewayTimeout, code: "timeout"}
	}
	return &refusal{status: http.StatusBadGateway, code: "answer-lost"}
}

// place chooses a replica, and has the request granted if the replica states a limit. If
// none can take the request now, it waits for at most placementWaitShare of the target
// latency, and then returns a refusal. It does not wait if no replica is eligible at all,
// if no limit has room within that time, or if the response would end after its deadline.
func (c *call) place() (*replicas.Placement, *refusal) {
	if c.queued {
		return c.placeQueued()
	}
	wait := defaultPlacementWait
	if c.route.TargetLatency > 0 {
		wait = time.Duration(placementWaitShare * float64(c.route.TargetLatency))
	}
	req := c.placementRequest()
	for asked := 0; ; {
		now := c.relay.Now()
		pl, ref := c.placeAllowed(now, req)
		if pl != nil && pl.Limited && !c.acquireGrant(pl, req.Priority) {
			c.releasePlacement(pl)
			if asked++; asked%maxGrantRequests != 0 && c.ctx.Err() == nil {
				continue
			}
			pl, ref = nil, replicas.Refusal{Reason: pool.Limited}
		}
		reason := ref.Reason
		if pl != nil {
			c.recordPlacement(now, pl)
			return pl, nil
		}
		if reason == versionUnusable {
			return nil, c.versionRefusal()
		}
		if now.Sub(c.began)+ref.Wait > wait || reason == pool.NoReplica || reason == pool.TooLate {
			if c.policy.Runs() > 0 {
				return nil, c.responseLost()
			}
			return nil, notRun(string(reason), max(retryAfterByReason[reason], ref.Wait))
		}
		timer := time.NewTimer(placementInterval)
		select {
		case <-timer.C:
		case <-c.ctx.Done():
			timer.Stop()
			if c.r.Context().Err() != nil {
				return nil, &refusal{code: "caller-left", abort: true}
			}
			if c.policy.Runs() > 0 {
				return nil, c.responseLost()
			}
			return nil, notRun("not-started-in-time", retryAfterByReason[reason])
		}
	}
}

// recordPlacement records the replica that was chosen.
func (c *call) recordPlacement(now time.Time, pl *replicas.Placement) {
	c.summary.replica, c.summary.version, c.summary.context = pl.ID, pl.Version, pl.ContextSources()
	c.summary.software = pl.Software
	c.summary.parts, c.summary.fetched, c.summary.saved = pl.PartCounts()
	if pl.Cold {
		c.relay.Metrics.coldGrants.Inc(1)
	}
	c.summary.estimate, c.summary.prefillTokens = pl.Estimate, pl.Load.PendingPrefill
	c.summary.expectedEvents = pl.ExpectedEvents()
	c.summary.placementTime = now.Sub(c.began)
}

// acquireGrant requests the grant of a placed request to a limited replica. If it is
// denied, the replica gets no such request until a grant may be available.
func (c *call) acquireGrant(pl *replicas.Placement, priority int) bool {
	wait, ok := c.relay.Limits.Acquire(c.ctx, pl.Replica, priority)
	now := c.relay.Now()
	if !ok {
		c.relay.Replicas.WithPool(func(p *pool.Pool) { p.Defer(now, pl.ID, priority, now.Add(wait)) })
		return false
	}
	c.relay.Replicas.Granted(now, pl)
	return true
}

// placementRequest returns what the choice of a replica depends on.
func (c *call) placementRequest() replicas.PlacementRequest {
	req := replicas.PlacementRequest{Request: pool.Request{
		Service: c.service.Name, ColdRate: c.service.ColdRate, Tried: c.attemptedReplicas,
		// A data centre may have been closed since the request arrived.
		ClosedDataCentres: c.relay.Topics.Intent().ClosedDataCentres,
		Software:          c.software, SampleSeed: xxhash.Sum64String(c.info.ID) | 1, Priority: c.priority(),
		Repeatable: c.route.Retryable(),
	}}
	c.boundAnswer(&req)
	if c.contended {
		req.Idempotent, req.AvoidErring = c.route.Kind == route.Idempotent, c.hadError
	}
	if c.service.Engine == nil || c.info.Model == "" {
		return req
	}
	req.Model, req.Memory = c.info.Model, c.service.Engine.ContextTokens
	req.Tokens, req.PrefillTokens = c.info.PromptTokens+c.info.EstimateOutput(), c.info.PromptTokens
	req.Parts, req.PromptTokens, req.TargetLatency = c.info.Parts, c.info.PromptTokens, c.route.TargetLatency
	// The last part is not shared, so the context that is worth returning to ends with
	// the part before it.
	if n := len(c.info.Parts); n > 0 {
		req.AffinityKey = c.info.Parts[max(0, n-2)].ID
	}
	if c.account.Isolated {
		req.IsolatedAccount = c.account.Name
	}
	return req
}

// attempt sends the request to one replica. done is true if the response was passed on
// to the caller, even if it broke off. Otherwise runState says whether the replica ran
// the request, and err why the attempt failed.
func (c *call) attempt(pl *replicas.Placement) (done bool, runState attempt.RunState, err error) {
	rs := c.relay.Replicas
	var ungranted atomic.Bool
	att := &attempt.Attempt{Guard: func(time.Time) error {
		if !rs.MaySend(c.relay.Now(), pl) || !c.relay.Rollouts.MaySend(c.relay.Now(), c.choice, pl.Software) {
			ungranted.Store(true)
			return errNotGranted
		}
		return nil
	}}
	sentAt := c.relay.Now()
	var conn connUse
	ctx := guard.WithAttempt(c.ctx, att, func(used *guard.Conn) {
		conn.firstUsed.Store(used.FirstUse(c.relay.Now()))
		conn.used.Store(used)
	})
	ctx = c.watchStall(ctx, pl, sentAt)
	defer c.endWatch()
	resp, err := pl.Transport.RoundTrip(c.request(ctx, pl))
	now := c.relay.Now()
	if err != nil {
		// A later write would contradict the run state that is reported from here on.
		att.Revoke()
		if att.RunState() == attempt.NotRun {
			// Nothing was written, so no replica got the request.
			c.relay.Rollouts.Unsent(now, c.choice)
		}
		if ungranted.Load() {
			return false, att.RunState(), errNotGranted
		}
		mayHaveRun, stalled := att.RunState() != attempt.NotRun, c.sent.endedByStall()
		if mayHaveRun {
			c.recordLost(now, pl, sentAt, time.Time{})
		}
		switch {
		case (c.ctx.Err() != nil || stalled) && mayHaveRun:
			c.relay.Crashes.recordPending(now, c.run(pl, sentAt))
		case c.ctx.Err() == nil && mayHaveRun:
			c.relay.Crashes.recordCrash(now, c.run(pl, sentAt), c.runInfo())
		}
		if c.ctx.Err() == nil {
			failure := "stalled"
			if !stalled {
				failure = "connection"
				rs.WithPool(func(p *pool.Pool) { p.Failed(now, pl.ID) })
			}
			c.relay.Metrics.countFailedAttempt(pl.Service, failure)
			_ = c.relay.Logger.Log("id", c.info.ID, "msg", "A try failed.", "replica", pl.ID, "run", att.RunState(), "handed-on", c.summary.timeLeft.Round(time.Millisecond), "err", err)
		}
		return false, att.RunState(), err
	}
	c.sent.headReceived(now, resp)
	c.connOpened = conn.firstUse(now)
	if !attempt.IsFinal(resp.StatusCode) {
		rs.WithPool(func(p *pool.Pool) { p.Failed(now, pl.ID) })
		err = errNotFinal
	} else {
		respInfo := c.relay.Dialect.ParseResponse(resp.StatusCode, resp.Header)
		c.observeResponse(now, pl, respInfo, sentAt)
		err = c.checkResponse(now, pl, resp, respInfo, &conn)
		if err == nil && respInfo.Succeeded {
			err = c.checkSoftware(pl)
		}
	}
	if err != nil && !errors.Is(err, errRefused) {
		c.recordOutcome(now, pl, canary.Outcome{Failed: true, FirstEvent: now.Sub(sentAt)})
	}
	if err != nil {
		_ = c.relay.Logger.Log("id", c.info.ID, "msg", "A try failed.", "replica", pl.ID, "status", resp.StatusCode, "handed-on", c.summary.timeLeft.Round(time.Millisecond), "err", err)
		c.relay.Metrics.countFailedAttempt(pl.Service, failureName(err))
		switch {
		case errors.Is(err, errRefused):
			att.MarkRefused()
			go discard(resp.Body)
		case errors.Is(err, errFalsePromise):
			go discard(resp.Body)
		case errors.Is(err, errWrongRequest):
			// The response to this request is still to come.
			conn.close()
			fallthrough
		default:
			_ = resp.Body.Close()
		}
		return false, att.RunState(), err
	}
	defer resp.Body.Close()
	c.relay.Crashes.retractCrashes(now, pl.ID, pl.Incarnation, conn.firstUse(now))
	if !pl.Contended || !eventstream.IsEventStream(resp.Header.Get("Content-Type")) {
		// A replica may send the head of a stream before it has prefilled the prompt. Where
		// requests compete for replicas, observeTimes records the start of a stream.
		rs.ResponseStarted(now, pl)
	}
	c.summary.firstByteTime = now.Sub(c.began)
	c.observeFirst(pl)
	if c.copyResponse(pl, resp, sentAt, &conn) {
		c.relay.Crashes.retractCrashes(c.relay.Now(), pl.ID, pl.Incarnation, conn.firstUse(now))
	}
	return true, attempt.Ran, nil
}

// priority returns the priority of the request; that of the account has precedence.
func (c *call) priority() int {
	if c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}
