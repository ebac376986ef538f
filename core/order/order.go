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
	// readWait is how long after a lost append its records are waited for.
	readWait = 500 * time.Millisecond
	// claimWait is how long a claim may take to appear in the log.
	claimWait = 3 * time.Second
	// maxKeyLead is how far ahead of this clock a key's time may be.
	maxKeyLead = 5 * time.Minute
)

// Register decides the claims of one stream. Window must be set to the log's
// retention; the zero value of the rest is ready. It is not safe for concurrent use.
type Register struct {
	// Window is how long the log keeps records.
	Window time.Duration

	claims map[Key]*claim
	// oldest lists the claims in log order, for expiry.
	oldest []Key
	next   uint64

	queue     []Record
	inFlight  []Record
	appending bool
	nextTry   time.Time
	failing   bool

	waiting   map[Key][]waiter
	reporting map[string]bool
}

type claim struct {
	holder string
	at     time.Time
	done   bool
	answer Answer
}

type waiter struct {
	claim    string
	deadline time.Time
	// giveUp is when a request whose claim is not in the log is refused.
	giveUp time.Time
	// maybe is true if the claim may be in the log although nobody has read it.
	maybe bool
}

// Next is the offset of the first record that the register has not read.
func (r *Register) Next() uint64 { return r.next }

// Claims is the number of claims in memory.
func (r *Register) Claims() int { return len(r.claims) }

// Skip moves the register to the oldest record that the log still has.
func (r *Register) Skip(oldest uint64) { r.next = max(r.next, oldest) }

// Step takes one event and returns what to do.
func (r *Register) Step(now time.Time, ev Event) []Action {
	if r.claims == nil {
		r.claims = map[Key]*claim{}
		r.waiting = map[Key][]waiter{}
		r.reporting = map[string]bool{}
	}
	var acts []Action
	switch e := ev.(type) {
	case Asked:
		acts = r.ask(now, e)
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

func (r *Register) ask(now time.Time, e Asked) []Action {
	if c, ok := r.claims[e.Key]; ok {
		switch {
		case c.done:
			return reply(e.Claim, Done, c.answer)
		case c.holder == e.Claim:
			return reply(e.Claim, Granted, Answer{})
		}
		r.wait(e, time.Time{})
		return nil
	}
	switch {
	case r.tooOld(now, e.KeyTime):
		return reply(e.Claim, KeyTooOld, Answer{})
	case r.failing && (r.appending || now.Before(r.nextTry)):
		return reply(e.Claim, LogUnavailable, Answer{})
	case len(r.claims) >= maxClaims || len(r.queue) >= maxQueue:
		return reply(e.Claim, Full, Answer{})
	}
	r.wait(e, now.Add(claimWait))
	r.queue = append(r.queue, Claimed{e.Key, e.Claim})
	return nil
}

// tooOld leaves a margin of a tenth of the window, since the caller's clock and
// the log's may differ.
func (r *Register) tooOld(now, keyTime time.Time) bool {
	if keyTime.IsZero() {
		return false
	}
	age := now.Sub(keyTime)
	return age > r.Window-r.Window/10 || age < -maxKeyLead
}

func (r *Register) wait(e Asked, giveUp time.Time) {
	r.waiting[e.Key] = append(r.waiting[e.Key], waiter{claim: e.Claim, deadline: e.Deadline, giveUp: giveUp})
}

func (r *Register) finish(e Finished) []Action {
	if c, ok := r.claims[e.Key]; ok && c.done && c.holder == e.Claim {
		return reply(e.Claim, Recorded, Answer{})
	}
	if len(r.queue) >= maxQueue {
		return reply(e.Claim, Full, Answer{})
	}
	if !r.reporting[e.Claim] {
		r.reporting[e.Claim] = true
		r.queue = append(r.queue, Settled(e))
	}
	return nil
}

func (r *Register) appendDone(now time.Time, e AppendDone) []Action {
	r.appending = false
	batch := r.inFlight
	r.inFlight = nil
	if !e.Failed && !e.Lost {
		r.failing = false
		return nil
	}
	r.failing = true
	r.nextTry = now.Add(retryInterval)
	r.queue = append(keepSettled(batch), keepSettled(r.queue)...)
	if e.Failed {
		return r.refuseUnclaimed(now)
	}
	for _, ws := range r.waiting {
		for i := range ws {
			ws[i].giveUp = now.Add(readWait)
			ws[i].maybe = true
		}
	}
	return nil
}

// keepSettled drops claims from a failed batch: their askers are refused, and
// ask again with a new claim if they want to.
func keepSettled(batch []Record) []Record {
	var kept []Record
	for _, rec := range batch {
		if s, ok := rec.(Settled); ok {
			kept = append(kept, s)
		}
	}
	return kept
}

func (r *Register) refuseUnclaimed(now time.Time) []Action {
	var acts []Action
	for key, ws := range r.waiting {
		if r.claims[key] != nil {
			continue
		}
		for _, w := range ws {
			if w.maybe {
				acts = append(acts, r.refuse(key, w)...)
				continue
			}
			// Its claim was refused by the log or never sent.
			acts = append(acts, reply(w.claim, LogUnavailable, Answer{})...)
		}
		delete(r.waiting, key)
	}
	return append(acts, r.expireWaiters(now)...)
}

// refuse also queues a release, since the claim may be in the log all the same
// or get there late.
func (r *Register) refuse(key Key, w waiter) []Action {
	if len(r.queue) < maxQueue {
		r.queue = append(r.queue, Settled{Key: key, Claim: w.claim, NotRun: true})
	}
	return reply(w.claim, LogUnavailable, Answer{})
}

func (r *Register) read(e Read) []Action {
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

func (r *Register) readClaimed(at time.Time, rec Claimed) []Action {
	if _, taken := r.claims[rec.Key]; taken {
		return nil
	}
	r.claims[rec.Key] = &claim{holder: rec.Claim, at: at}
	r.oldest = append(r.oldest, rec.Key)
	for i, w := range r.waiting[rec.Key] {
		if w.claim == rec.Claim {
			r.dropWaiter(rec.Key, i)
			return reply(rec.Claim, Granted, Answer{})
		}
	}
	return nil
}

func (r *Register) readSettled(rec Settled) []Action {
	var acts []Action
	if r.reporting[rec.Claim] {
		delete(r.reporting, rec.Claim)
		acts = reply(rec.Claim, Recorded, Answer{})
	}
	c, ok := r.claims[rec.Key]
	if !ok || c.holder != rec.Claim || c.done {
		return acts
	}
	if rec.NotRun {
		delete(r.claims, rec.Key)
		r.claimAgain(rec.Key)
		return acts
	}
	c.done, c.answer = true, rec.Answer
	for _, w := range r.waiting[rec.Key] {
		acts = append(acts, reply(w.claim, Done, rec.Answer)...)
	}
	delete(r.waiting, rec.Key)
	return acts
}

// claimAgain renews the claims of those who wait for a key that was released.
func (r *Register) claimAgain(key Key) {
	for _, w := range r.waiting[key] {
		r.queue = append(r.queue, Claimed{key, w.claim})
	}
}

func (r *Register) dropWaiter(key Key, i int) {
	ws := r.waiting[key]
	ws = append(ws[:i:i], ws[i+1:]...)
	if len(ws) == 0 {
		delete(r.waiting, key)
		return
	}
	r.waiting[key] = ws
}

func (r *Register) expireWaiters(now time.Time) []Action {
	var acts []Action
	for key, ws := range r.waiting {
		var kept []waiter
		for _, w := range ws {
			lost := r.claims[key] == nil && !w.giveUp.IsZero() && !now.Before(w.giveUp)
			switch {
			case now.Before(w.deadline) && !lost:
				kept = append(kept, w)
			case r.claims[key] != nil:
				acts = append(acts, reply(w.claim, Running, Answer{})...)
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
func (r *Register) expireClaims(now time.Time) {
	for len(r.oldest) > 0 {
		key := r.oldest[0]
		c, ok := r.claims[key]
		if ok && now.Sub(c.at) <= r.Window {
			return
		}
		if ok {
			delete(r.claims, key)
		}
		r.oldest = r.oldest[1:]
	}
}

func (r *Register) flush(now time.Time) []Action {
	if r.appending || len(r.queue) == 0 || now.Before(r.nextTry) {
		return nil
	}
	n := min(len(r.queue), maxBatch)
	r.inFlight = r.queue[:n:n]
	r.queue = r.queue[n:]
	r.appending = true
	r.nextTry = now.Add(appendInterval)
	return []Action{Append{r.inFlight}}
}

func reply(claim string, v Verdict, a Answer) []Action {
	return []Action{Reply{Claim: claim, Verdict: v, Answer: a}}
}
