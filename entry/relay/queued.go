package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/waitqueue"
	"crocusfold.dev/entry/replicas"
)

const (
	// The part of the target latency for which a request may wait leaves firstFactor times the
	// usual time to the response head, within these bounds. The smaller one is
	// placementWaitShare.
	maxPlacementWaitShare = 0.85
	firstFactor           = 1.25
	// wholeFactor times the usual time of a whole response are left to it before the deadline.
	wholeFactor = 1.25
	// averageWeight is the weight of a new observation in the moving averages of these times.
	averageWeight = 0.1
	// spreadShare bounds a delay that is spread by up to a half, as callers honour at most a third
	// of the time that they have left.
	spreadShare = 0.2
	// waitShareOfTimeLeft is the share of the time left for which a request waits at most. One
	// that could not be served in time goes on waiting, behind the others: if it were refused,
	// its caller would come back later for the same capacity.
	waitShareOfTimeLeft = 0.4
)

// placeQueued is place for services whose requests wait in the queue. They wait until their
// turn comes, until they can't be served in time, or not at all if that is known on arrival.
func (c *call) placeQueued() (*replicas.Placement, *refusal) {
	w := c.relay.Waiting()
	for {
		pl, ref := w.place(c)
		if ref != nil {
			if c.r.Context().Err() != nil {
				return nil, &refusal{code: "caller-left", abort: true}
			}
			if c.policy.Runs() > 0 {
				return nil, c.responseLost()
			}
			return nil, ref
		}
		if pl.Limited && !c.acquireGrant(pl, c.priority()) {
			c.releasePlacement(pl)
			continue
		}
		c.recordPlacement(c.relay.Now(), pl)
		return pl, nil
	}
}

// endPlacement stops counting a request as in flight, and has waiting ones take its place.
func (c *call) endPlacement(pl *replicas.Placement) {
	c.relay.Replicas.End(pl)
	if !c.queued {
		return
	}
	w := c.relay.Waiting()
	if !c.responded {
		w.mu.Lock()
		w.queue.Answered(c.service.Name, sizeOf(pl), false)
		w.mu.Unlock()
	}
	c.responded = false
	w.Wake(c.service.Name)
}

// restricted reports whether the request may not go to all replicas of its service.
func (c *call) restricted() bool { return len(c.attemptedReplicas) > 0 || c.software != "" }

// place returns a placement, after waiting for it if there is no room.
func (w *Waiting) place(c *call) (*replicas.Placement, *refusal) {
	began := w.relay.Now()
	w.mu.Lock()
	now := w.relay.Now()
	it := w.item(now, c)
	reason := pool.Full
	if count, _ := w.queue.Waiting(it.Service); count == 0 || w.stopping {
		pl, ref := w.tryPlace(now, c, it)
		if pl != nil {
			w.queue.StartedAtOnce(now, it)
			w.mu.Unlock()
			return pl, nil
		}
		if w.stopping {
			w.mu.Unlock()
			return nil, notRun(codeStopping, stoppingRetry)
		}
		if final(ref.Reason) || now.Add(ref.Wait).After(it.GiveUp) {
			defer w.mu.Unlock()
			return nil, w.refuse(now, c, it, ref)
		}
		reason = ref.Reason
	}
	w.observe(now, it.Service, c.service.Engine != nil && c.info.Model != "")
	decision, evicted := w.queue.Enter(now, it)
	for _, e := range evicted {
		wt := w.waiters[e.ID]
		w.end(wt, outcome{refusal: w.refuseEarly(now, wt.call, wt.item, waitqueue.Overflow, e.RetryAfter)})
	}
	if r, ok := decision.(waitqueue.Refuse); ok {
		defer w.mu.Unlock()
		return nil, w.refuseEarly(now, c, it, r.Reason, r.RetryAfter)
	}
	wt := &waiter{call: c, item: it, outcome: make(chan outcome, 1), reason: reason}
	w.waiters[it.ID] = wt
	w.count.Add(1)
	w.pass(now, it.Service)
	w.reportWaiting(it.Service)
	w.mu.Unlock()
	o := w.wait(wt)
	w.relay.Metrics.recordWait(it.Service, w.relay.Now().Sub(began))
	return o.placement, o.refusal
}

// wait returns the outcome of a waiting request.
func (w *Waiting) wait(wt *waiter) outcome {
	timer := time.NewTimer(wt.item.GiveUp.Sub(w.relay.Now()))
	defer timer.Stop()
	select {
	case o := <-wt.outcome:
		return w.checked(wt, o)
	case <-timer.C:
	case <-wt.call.ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, waits := w.waiters[wt.item.ID]; !waits {
		return w.checked(wt, <-wt.outcome)
	}
	delete(w.waiters, wt.item.ID)
	w.count.Add(-1)
	defer w.reportWaiting(wt.item.Service)
	now := w.relay.Now()
	if wt.call.ctx.Err() != nil {
		w.queue.Remove(wt.item.ID)
		return outcome{refusal: notRun("not-started-in-time", retryAfterByReason[wt.reason])}
	}
	return outcome{refusal: w.refuse(now, wt.call, wt.item, replicas.Refusal{Reason: wt.reason})}
}

// checked replaces the outcome of a request whose time was over when it was to be placed.
func (w *Waiting) checked(wt *waiter, o outcome) outcome {
	if o.placement == nil && o.refusal == nil {
		return outcome{refusal: notRun("not-started-in-time", retryAfterByReason[wt.reason])}
	}
	return o
}

// refuse returns the refusal of a request that could not be placed in time.
func (w *Waiting) refuse(now time.Time, c *call, it waitqueue.Item, ref replicas.Refusal) *refusal {
	after := w.queue.Refused(now, it)
	if ref.Reason == pool.Full {
		return w.refusal(now, c, it, string(ref.Reason), after)
	}
	// These times are the same for all requests, so that the delay is spread as usual.
	longest := time.Duration(spreadShare * float64(c.deadline.Sub(now)))
	after = max(after, min(longest, max(retryAfterByReason[ref.Reason], ref.Wait)))
	out := w.refusal(now, c, it, string(ref.Reason), after)
	out.exact = false
	return out
}

// refuseEarly returns the refusal of a request that is refused on arrival, or in favour of others.
func (w *Waiting) refuseEarly(now time.Time, c *call, it waitqueue.Item, reason waitqueue.Reason, after time.Duration) *refusal {
	w.relay.Metrics.countRefusedEarly(it.Service, string(reason))
	return w.refusal(now, c, it, string(reason), after)
}

// refusal logs a refusal and what it is based on, and remembers the caller.
func (w *Waiting) refusal(now time.Time, c *call, it waitqueue.Item, code string, after time.Duration) *refusal {
	st := w.queue.State(now, it.Service)
	_ = w.relay.Logger.Log("id", c.info.ID, "msg", "Queue: refused a request.", "service", it.Service, "route", it.Kind, "account", it.Account, "reason", code,
		"size", it.Size, "returned", it.Returned, "patience", it.StartBy.Sub(now).Round(time.Millisecond), "retry-after", after.Round(time.Millisecond),
		"waiting", st.Waiting, "waiting-size", st.Size, "peers-size", st.PeersWaiting, "rate", strconv.FormatFloat(st.Rate, 'f', 1, 64))
	w.expect(now, c, after)
	return &refusal{status: http.StatusServiceUnavailable, code: code, retryAfter: after, exact: true}
}

// reportWaiting updates the metric of what waits for a service.
func (w *Waiting) reportWaiting(service string) {
	count, _ := w.queue.Waiting(service)
	w.relay.Metrics.setWaiting(service, count)
}

// expect remembers that the caller of a refused request will come back.
func (w *Waiting) expect(now time.Time, c *call, after time.Duration) {
	if c.returned {
		w.relay.Metrics.countRefusedAgain(c.service.Name)
	}
	w.returns.Add(now, after, c.returnKeys()...)
}

// returnKeys returns what the request of a caller that comes back may have in common with the
// refused one: its id, or else its content.
func (c *call) returnKeys() []uint64 {
	fp := c.fingerprint()
	keys := []uint64{xxhash.Sum64(fp[:])}
	if c.info.ID != "" {
		keys = append(keys, xxhash.Sum64String(c.account.Name+"\x00"+c.info.ID))
	}
	return keys
}

// item returns the request as the queue sees it.
func (w *Waiting) item(now time.Time, c *call) waitqueue.Item {
	w.lastID++
	times := w.times(c.route.Name)
	if !c.arrived {
		c.arrived = true
		c.returned = times.timeouts.Observe(c.info.Timeout)
		if !w.returns.Empty() {
			c.returned = w.returns.Take(now, c.returnKeys()...) || c.returned
		}
	}
	it := waitqueue.Item{
		ID: w.lastID, Service: c.service.Name, Account: c.account.Name, Kind: c.route.Name, Priority: c.priority(),
		Size: 1, Bytes: c.body.Size, Deadline: c.deadline, Returned: c.returned || c.policy.Attempts() > 0,
	}
	if c.service.Engine != nil && c.info.Model != "" {
		it.Size = float64(max(1, c.info.PromptTokens+c.info.EstimateOutput()))
	}
	it.StartBy = c.began.Add(defaultPlacementWait)
	if target := c.route.TargetLatency; target > 0 {
		wait := target - time.Duration(firstFactor*float64(times.first))
		if times.first == 0 {
			wait = 0
		}
		lowest, highest := time.Duration(placementWaitShare*float64(target)), time.Duration(maxPlacementWaitShare*float64(target))
		it.StartBy = c.began.Add(min(max(wait, lowest), highest))
	}
	// A response that begins later does not end before the deadline.
	latest := c.deadline.Add(-time.Duration(wholeFactor * float64(times.whole)))
	it.GiveUp = earlier(now.Add(time.Duration(waitShareOfTimeLeft*float64(c.deadline.Sub(now)))), latest)
	if it.Returned {
		it.GiveUp = latest
	}
	if it.Returned || it.GiveUp.Before(it.StartBy) {
		it.StartBy = it.GiveUp
	}
	return it
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// observeFirst records the time from the choice of a replica to its response head.
func (c *call) observeFirst(pl *replicas.Placement) {
	if !c.queued {
		return
	}
	w := c.relay.Waiting()
	w.mu.Lock()
	average(&w.times(c.route.Name).first, c.summary.firstByteTime-c.summary.placementTime)
	w.queue.Answered(c.service.Name, sizeOf(pl), true)
	c.responded = true
	w.mu.Unlock()
	w.Wake(c.service.Name)
}

// sizeOf returns the size of a placed request as the queue sees it.
func sizeOf(pl *replicas.Placement) float64 { return max(1, float64(pl.Load.Tokens)) }

// average adds an observation to a moving average, which is 0 before the first one.
func average(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
	}
	*mean += time.Duration(averageWeight * float64(d-*mean))
}

// observeEnd records how long the request occupied its replica.
func (c *call) observeEnd(pl *replicas.Placement) {
	if !c.queued {
		return
	}
	w := c.relay.Waiting()
	took := w.relay.Now().Sub(c.began) - c.summary.placementTime
	w.mu.Lock()
	defer w.mu.Unlock()
	average(&w.times(c.route.Name).whole, took)
	w.queue.Finished(c.service.Name, sizeOf(pl), took)
}

// final reports whether waiting does not help a request that was not placed.
func final(reason pool.Reason) bool {
	return reason == pool.NoReplica || reason == pool.TooLate || reason == versionUnusable
}
