// Package order lets each non-idempotent order run at most once. A register
// groups the claims of one stream into few appends and decides by the order of
// the records in the log. It is the log's order that makes a decision right:
// two registers at work on the same stream reach the same decisions.
package order

import (
	"time"
)

// Limits of a register.
const (
	// appendInterval is the shortest time between two appends.
	appendInterval = 100 * time.Millisecond
	// retryInterval is the time between appends while the log fails.
	retryInterval = 250 * time.Millisecond
	// maxBatch is the number of records in one append.
	maxBatch = 256
	// maxClaims bounds the claims that a register holds in memory.
	maxClaims = 200_000
	// maxQueue bounds the records that wait for an append.
	maxQueue = 20_000
	// lostAppendWait is how long after a lost append its records are waited for.
	lostAppendWait = 500 * time.Millisecond
	// claimWait is how long a claim may take to appear in the log.
	claimWait = 3 * time.Second
	// maxKeySkew is how far ahead of this clock a key's time may be.
	maxKeySkew = 5 * time.Minute
)

// Registry decides the claims of one stream. Window must be set to the log's
// retention; the zero value of the rest is ready. It is not safe for concurrent use.
type Registry struct {
	// Retention is how long the log keeps records.
	Retention time.Duration

	claims map[Key]*claim
	// oldest lists the claims in log order, for expiry.
	oldest []Key
	next   uint64

	queue      []Record
	inFlight   []Record
	appending  bool
	nextAppend time.Time
	failing    bool

	waiting        map[Key][]waiter
	pendingReports map[string]bool
}

type claim struct {
	holder     string
	recordedAt time.Time
	done       bool
	response   Response
}

type waiter struct {
	claim    string
	deadline time.Time
	// claimDeadline is when a request whose claim is not in the log is refused.
	claimDeadline time.Time
	// mayBeInLog is true if the claim may be in the log although nobody has read it.
	mayBeInLog bool
}

// Next is the offset of the first record that the register has not read.
func (r *Registry) Next() uint64 { return r.next }

// Claims is the number of claims in memory.
func (r *Registry) Claims() int { return len(r.claims) }

// Skip moves the register to the oldest record that the log still has.
func (r *Registry) Skip(oldest uint64) { r.next = max(r.next, oldest) }

// Step takes one event and returns what to do.
func (r *Registry) Step(now time.Time, ev Event) []Action {
	if r.claims == nil {
		r.claims = map[Key]*claim{}
		r.waiting = map[Key][]waiter{}
		r.pendingReports = map[string]bool{}
	}
	var acts []Action
	switch e := ev.(type) {
	case Requested:
		acts = r.request(now, e)
	case Finished:
		acts = r.finish(e)
	case AppendDone:
		acts = r.appendDone(now, e)
	case Read:
		acts = r.read(e)
	case Ticked:
		acts = r.expireWaiters(now)
	}
	return append(acts, r.flush(now)...)
}

func (r *Registry) request(now time.Time, e Requested) []Action {
	if c, ok := r.claims[e.Key]; ok {
		switch {
		case c.done:
			return reply(e.Claim, Done, c.response)
		case c.holder == e.Claim:
			return reply(e.Claim, Granted, Response{})
		}
		r.addWaiter(e, time.Time{})
		return nil
	}
	switch {
	case r.keyTimeOutOfRange(now, e.KeyTime):
		return reply(e.Claim, KeyTooOld, Response{})
	case r.failing && (r.appending || now.Before(r.nextAppend)):
		return reply(e.Claim, LogUnavailable, Response{})
	case len(r.claims) >= maxClaims || len(r.queue) >= maxQueue:
		return reply(e.Claim, Full, Response{})
	}
	r.addWaiter(e, now.Add(claimWait))
	r.queue = append(r.queue, Claimed{e.Key, e.Claim})
	return nil
}

// keyTimeOutOfRange leaves a margin of a tenth of the window, since the caller's clock and
// the log's may differ.
func (r *Registry) keyTimeOutOfRange(now, keyTime time.Time) bool {
	if keyTime.IsZero() {
		return false
	}
	age := now.Sub(keyTime)
	return age > r.Retention-r.Retention/10 || age < -maxKeySkew
}

func (r *Registry) addWaiter(e Requested, claimDeadline time.Time) {
	r.waiting[e.Key] = append(r.waiting[e.Key], waiter{claim: e.Claim, deadline: e.Deadline, claimDeadline: claimDeadline})
}

func (r *Registry) finish(e Finished) []Action {
	if c, ok := r.claims[e.Key]; ok && c.done && c.holder == e.Claim {
		return reply(e.Claim, Recorded, Response{})
	}
	if len(r.queue) >= maxQueue {
		return reply(e.Claim, Full, Response{})
	}
	if !r.pendingReports[e.Claim] {
		r.pendingReports[e.Claim] = true
		r.queue = append(r.queue, Settled(e))
	}
	return nil
}

func (r *Registry) appendDone(now time.Time, e AppendDone) []Action {
	r.appending = false
	batch := r.inFlight
	r.inFlight = nil
	if !e.Failed && !e.Lost {
		r.failing = false
		return nil
	}
	r.failing = true
	r.nextAppend = now.Add(retryInterval)
	r.queue = append(onlySettled(batch), onlySettled(r.queue)...)
	if e.Failed {
		return r.refuseUnclaimed(now)
	}
	for _, ws := range r.waiting {
		for i := range ws {
			ws[i].claimDeadline = now.Add(lostAppendWait)
			ws[i].mayBeInLog = true
		}
	}
	return nil
}

// onlySettled drops claims from a failed batch: their askers are refused, and
// ask again with a new claim if they want to.
func onlySettled(batch []Record) []Record {
	var settled []Record
	for _, rec := range batch {
		if s, ok := rec.(Settled); ok {
			settled = append(settled, s)
		}
	}
	return settled
}

func (r *Registry) refuseUnclaimed(now time.Time) []Action {
	var acts []Action
	for key, ws := range r.waiting {
		if r.claims[key] != nil {
			continue
		}
		for _, w := range ws {
			if w.mayBeInLog {
				acts = append(acts, r.refuse(key, w)...)
				continue
			}
			// Its claim was refused by the log or never sent.
			acts = append(acts, reply(w.claim, LogUnavailable, Response{})...)
		}
		delete(r.waiting, key)
	}
	return append(acts, r.expireWaiters(now)...)
}

// refuse also queues a release, since the claim may be in the log all the same
// or get there late.
func (r *Registry) refuse(key Key, w waiter) []Action {
	if len(r.queue) < maxQueue {
		r.queue = append(r.queue, Settled{Key: key, Claim: w.claim, NotRun: true})
	}
	return reply(w.claim, LogUnavailable, Response{})
}

func (r *Registry) read(e Read) []Action {
	var acts []Action
	for i, rec := range e.Records {
		offset := e.Offset + uint64(i)
		if offset < r.next {
			continue
		}
		r.next = offset + 1
		switch rec := rec.(type) {
		case Claimed:
			acts = append(acts, r.readClaimed(e.Time, rec)...)
		case Settled:
			acts = append(acts, r.readSettled(rec)...)
		}
	}
	r.expireClaims(e.Time)
	return acts
}

func (r *Registry) readClaimed(at time.Time, rec Claimed) []Action {
	if _, taken := r.claims[rec.Key]; taken {
		return nil
	}
	r.claims[rec.Key] = &claim{holder: rec.Claim, recordedAt: at}
	r.oldest = append(r.oldest, rec.Key)
	for i, w := range r.waiting[rec.Key] {
		if w.claim == rec.Claim {
			r.removeWaiter(rec.Key, i)
			return reply(rec.Claim, Granted, Response{})
		}
	}
	return nil
}

func (r *Registry) readSettled(rec Settled) []Action {
	var acts []Action
	if r.pendingReports[rec.Claim] {
		delete(r.pendingReports, rec.Claim)
		acts = reply(rec.Claim, Recorded, Response{})
	}
	c, ok := r.claims[rec.Key]
	if !ok || c.holder != rec.Claim || c.done {
		return acts
	}
	if rec.NotRun {
		delete(r.claims, rec.Key)
		r.requeueClaims(rec.Key)
		return acts
	}
	c.done, c.response = true, rec.Response
	for _, w := range r.waiting[rec.Key] {
		acts = append(acts, reply(w.claim, Done, rec.Response)...)
	}
	delete(r.waiting, rec.Key)
	return acts
}

// requeueClaims renews the claims of those who wait for a key that was released.
func (r *Registry) requeueClaims(key Key) {
	for _, w := range r.waiting[key] {
		r.queue = append(r.queue, Claimed{key, w.claim})
	}
}

func (r *Registry) removeWaiter(key Key, i int) {
	ws := r.waiting[key]
	ws = append(ws[:i:i], ws[i+1:]...)
	if len(ws) == 0 {
		delete(r.waiting, key)
		return
	}
	r.waiting[key] = ws
}

func (r *Registry) expireWaiters(now time.Time) []Action {
	var acts []Action
	for key, ws := range r.waiting {
		var kept []waiter
		for _, w := range ws {
			claimOverdue := r.claims[key] == nil && !w.claimDeadline.IsZero() && !now.Before(w.claimDeadline)
			switch {
			case now.Before(w.deadline) && !claimOverdue:
				kept = append(kept, w)
			case r.claims[key] != nil:
				acts = append(acts, reply(w.claim, Running, Response{})...)
			default:
				acts = append(acts, r.refuse(key, w)...)
			}
		}
		if len(kept) == 0 {
			delete(r.waiting, key)
			continue
		}
		r.waiting[key] = kept
	}
	return acts
}

// expireClaims forgets what the log has forgotten, by the log's own times.
func (r *Registry) expireClaims(now time.Time) {
	for len(r.oldest) > 0 {
		key := r.oldest[0]
		c, ok := r.claims[key]
		if ok && now.Sub(c.recordedAt) <= r.Retention {
			return
		}
		if ok {
			delete(r.claims, key)
		}
		r.oldest = r.oldest[1:]
	}
}

func (r *Registry) flush(now time.Time) []Action {
	if r.appending || len(r.queue) == 0 || now.Before(r.nextAppend) {
		return nil
	}
	n := min(len(r.queue), maxBatch)
	r.inFlight = r.queue[:n:n]
	r.queue = r.queue[n:]
	r.appending = true
	r.nextAppend = now.Add(appendInterval)
	return []Action{Append{r.inFlight}}
}

func reply(claim string, v Verdict, resp Response) []Action {
	return []Action{Reply{Claim: claim, Verdict: v, Response: resp}}
}
