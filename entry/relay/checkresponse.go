package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/retrypolicy"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/statedlimit"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/guard"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/replicas"
)

// discard reads the rest of a short response, so that its connection can be reused.
// It runs in its own goroutine, since the rest may never arrive.
func discard(body io.ReadCloser) {
	timer := time.AfterFunc(discardTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	_ = body.Close()
}

// connUse has the connection of an attempt and the time at which it was first used, both
// nil before the attempt has a connection.
type connUse struct {
	used      atomic.Pointer[guard.Conn]
	firstUsed atomic.Pointer[time.Time]
}

// believeRefusal reports whether a refusal with the id got belongs to the request with the
// id want.
func (u *connUse) believeRefusal(want, got string) bool {
	conn := u.used.Load()
	return conn == nil || conn.BelieveRefusal(want, got)
}

// requestWritten reports whether the whole request was written. A body that ends with its
// connection before that may have been broken off.
func (u *connUse) requestWritten() bool {
	conn := u.used.Load()
	return conn == nil || conn.RequestWritten()
}

// close closes the connection, whose next response belongs to no request.
func (u *connUse) close() {
	if conn := u.used.Load(); conn != nil {
		_ = conn.Close()
	}
}

// firstUse returns when the connection was first used, or now if it is not known.
func (u *connUse) firstUse(now time.Time) time.Time {
	if at := u.firstUsed.Load(); at != nil {
		return *at
	}
	return now
}

// observeResponse records what a response to a request sent at sentAt states about its
// replica: that it leaves, how long it wants no requests, its load, its limit, the keep-alive
// time of its connections and its weight version.
func (c *call) observeResponse(now time.Time, pl *replicas.Placement, info adapter.ResponseInfo, sentAt time.Time) {
	rs := c.relay.Replicas
	elsewhere := info.Replica != "" && info.Replica != pl.ID
	if info.Leaving && !elsewhere && rs.ObserveLeaving(now, pl.Replica) {
		c.relay.NotifyPeers()
		go c.relay.askWhichLeaves(pl.Replica)
	}
	if info.Wait > 0 && !elsewhere {
		rs.ObserveWait(now, pl.Replica, info.Wait)
	}
	c.observeLimit(now, pl, info, sentAt)
	if info.HasLoad {
		rs.WithPool(func(p *pool.Pool) { p.SetReportedLoad(now, pl.ID, info.Running, info.Waiting) })
		if info.Running < pl.Slots && c.queued {
			c.relay.Waiting().Wake(c.service.Name)
		}
	}
	if info.Slowdown > 0 && !elsewhere {
		rs.WithPool(func(p *pool.Pool) { p.ObserveSlowdown(now, pl.ID, info.Slowdown) })
	}
	if info.KeepAlive > 0 {
		rs.SetKeepAlive(pl.ID, info.KeepAlive)
	}
	if info.Version > pl.Version && pl.Version > 0 {
		rs.RecordLoaded(now, message.ReplicaVersion{Replica: pl.ID, Model: c.info.Model, Version: info.Version})
	}
}

// askWhichLeaves asks a replica that leaves which incarnation it is: its entry may be of an
// earlier start. If it does not answer, the next response of that incarnation tells.
func (rl *Relay) askWhichLeaves(r pool.Replica) {
	ctx := context.Background()
	report, err := rl.Control.Report(ctx, r.Address)
	if err != nil {
		_ = rl.Logger.Log("msg", "A replica that leaves did not report which start it is of.", "replica", r.ID, "err", err)
	}
	if rl.Replicas.ObserveReport(rl.Now(), r, report) {
		rl.NotifyPeers()
	}
	// Peers are notified first, since the grantors may take some time to respond.
	rl.Limits.Charge(ctx, r)
}

// observeLimit records the limit that a response states. A response without one shows the
// end of a limit only if the replica certainly ran the request, since an error may come
// from a part of it that states none.
func (c *call) observeLimit(now time.Time, pl *replicas.Placement, info adapter.ResponseInfo, sentAt time.Time) {
	if info.LimitInvalid {
		c.relay.Replicas.ObserveInvalidLimit(pl.Replica)
		return
	}
	elsewhere := info.Replica != "" && info.Replica != pl.ID
	if elsewhere || info.ID != c.info.ID && info.ID != "" || !info.HasLimit && !info.Succeeded {
		return
	}
	s := statedlimit.Statement{Limited: info.HasLimit, Rate: info.Limit, SentAt: sentAt, ReceivedAt: now}
	if c.relay.Replicas.ObserveLimit(now, pl, s) {
		c.relay.NotifyPeers()
	}
}

// checkResponse returns an error if a response must not be passed on to the caller. The
// response came on conn.
func (c *call) checkResponse(now time.Time, pl *replicas.Placement, resp *http.Response, info adapter.ResponseInfo, conn *connUse) error {
	rs := c.relay.Replicas
	if c.route.Kind == route.Idempotent && !info.Refused && c.contended {
		rs.WithPool(func(p *pool.Pool) {
			p.IdempotentResponse(now, pl.ID, resp.StatusCode >= http.StatusInternalServerError)
		})
	}
	switch {
	case info.Refused && !conn.believeRefusal(c.info.ID, info.ID):
		rs.WithPool(func(p *pool.Pool) { p.Failed(now, pl.ID) })
		return errUnproven
	case info.Misdirected && info.Replica != "" && info.Replica != pl.ID:
		rs.WithPool(func(p *pool.Pool) { p.Misdirected(now, pl.ID) })
		return errRefused
	case info.Refused:
		rs.WithPool(func(p *pool.Pool) { p.Refused(now, pl.ID) })
		return errRefused
	case info.ID != c.info.ID && (info.ID != "" || resp.StatusCode < http.StatusMultipleChoices):
		rs.WithPool(func(p *pool.Pool) { p.Failed(now, pl.ID) })
		return errWrongRequest
	case resp.Header.Get("Content-Encoding") != "":
		rs.WithPool(func(p *pool.Pool) { p.ReturnedError(now, pl.ID) })
		return fmt.Errorf("the response has the content encoding %q, which was not requested", resp.Header.Get("Content-Encoding"))
	case resp.StatusCode >= http.StatusInternalServerError, attempt.PromisesNotRun(resp.StatusCode):
		rs.WithPool(func(p *pool.Pool) { p.ReturnedError(now, pl.ID) })
		return c.checkError(resp.StatusCode)
	}
	return nil
}

// checkError returns an error if an error status of a response must not be passed on: since it
// promises that the request has not run, or since the request may run again, which is withdrawn
// from the budget here. Otherwise it is a response of the service.
func (c *call) checkError(status int) error {
	switch {
	case attempt.PromisesNotRun(status):
		return errFalsePromise
	case !c.policy.MayRunAgain(c.attemptLimits()) || c.ctx.Err() != nil:
		return nil
	case c.budget.Withdraw():
		c.retryWithdrawn = true
		return errServerError
	}
	c.summary.giveUpReason = retrypolicy.OverBudget
	c.relay.Metrics.countDeniedRetry(c.service.Name)
	return nil
}
