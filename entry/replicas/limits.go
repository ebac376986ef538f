package replicas

import (
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/statedlimit"
	"crocusfold.dev/entry/message"
)

// grantTTL is how long a request may be sent after it was granted within the limit of its
// replica.
const grantTTL = 500 * time.Millisecond

// unmatchedTTL is how long a limit is kept for an incarnation that is not listed yet.
const unmatchedTTL = 30 * time.Second

// unmatchedLimit is a limit that a peer sent at a time.
type unmatchedLimit struct {
	statedlimit.Statement
	at time.Time
}

// start is an incarnation of a replica. Incarnations have no order: the clock that numbers
// them may be set back.
type start struct {
	replica     string
	incarnation int64
}

// ObserveLimit merges what a response to this instance stated about the limit of its
// replica. It reports whether peers must be notified at once.
func (rs *Replicas) ObserveLimit(now time.Time, p *Placement, s statedlimit.Statement) bool {
	return rs.observeLimit(now, p.ID, p.Incarnation, s, "response")
}

// MergeLimits merges the limits that a peer sent, whose message was delayed by the given
// time. It reports whether peers must be notified at once.
func (rs *Replicas) MergeLimits(now time.Time, peer string, delay time.Duration, limits []message.ReplicaLimit) bool {
	urgent := false
	for _, l := range limits {
		s := statedlimit.Statement{
			Limited: l.Limited, Rate: l.Rate, SentAt: now.Add(-delay - l.SentAge), ReceivedAt: now.Add(-delay - l.ReceivedAge),
		}
		urgent = rs.observeLimit(now, l.Replica, l.Incarnation, s, peer) || urgent
	}
	return urgent
}

// observeLimit merges a statement and logs an urgent change, with the source of it.
func (rs *Replicas) observeLimit(now time.Time, id string, incarnation int64, s statedlimit.Statement, source string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r, ok := rs.pool.Replica(id); !ok || r.Incarnation != incarnation {
		if rs.unmatchedLimits == nil {
			rs.unmatchedLimits = map[start]unmatchedLimit{}
		}
		rs.unmatchedLimits[start{id, incarnation}] = unmatchedLimit{s, now}
		return false
	}
	if rs.pool.ObserveLimit(rs.afterFilled(now), id, incarnation, s) != statedlimit.Urgent {
		return false
	}
	_ = rs.Logger.Log("msg", "The limit of a replica changed.", "replica", id, "incarnation", incarnation,
		"limited", s.Limited, "per-second", s.Rate, "source", source, "age", now.Sub(s.ReceivedAt))
	return true
}

// matchLimit applies a limit that was received before its replica was listed. A process
// that has just started receives the limits before the list.
func (rs *Replicas) matchLimit(now time.Time, r pool.Replica) {
	s := start{r.ID, r.Incarnation}
	l, ok := rs.unmatchedLimits[s]
	if !ok {
		return
	}
	delete(rs.unmatchedLimits, s)
	rs.pool.ObserveLimit(rs.afterFilled(now), r.ID, r.Incarnation, l.Statement)
}

// ObserveInvalidLimit logs a limit that can't be decoded, once for each incarnation.
func (rs *Replicas) ObserveInvalidLimit(r pool.Replica) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	c, ok := rs.conns[r.ID]
	if !ok || c.incarnation != r.Incarnation || c.invalidLimit {
		return
	}
	c.invalidLimit = true
	_ = rs.Logger.Log("msg", "Ignored a limit of a replica that is not a number of requests.", "replica", r.ID)
}

// Limit returns the limit of an incarnation of a replica; ok is false if it is not known to
// have stated one.
func (rs *Replicas) Limit(id string, incarnation int64) (limit statedlimit.Limit, ok bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.pool.Limit(id, incarnation)
}

// Granted records that a request placed at a limited replica may be sent, and plans the
// fetches and saves of its context.
func (rs *Replicas) Granted(now time.Time, p *Placement) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	p.grantedAt = now
	if p.request.Model == "" {
		return
	}
	rs.pool.EndPrefill(p.ID, p.Load)
	rs.pool.End(p.ID, p.Load)
	rs.planContext(now, p.request, p)
	rs.pool.Begin(p.ID, p.Load)
}

// MaySend reports whether a placed request may still be sent: its replica must not have
// stated meanwhile that it leaves or wants no requests, the request must have been granted
// within grantTTL if the replica states a limit now, and a request for a software version must
// find it there.
func (rs *Replicas) MaySend(now time.Time, p *Placement) bool {
	if rs.leaving(p.Replica) || rs.waitLeft(now, p.Replica) > 0 {
		return false
	}
	if (p.request.Software != "" || p.request.Versions.Restrict()) && !rs.runs(p.Replica, p.Software) {
		return false
	}
	limit, ok := rs.Limit(p.ID, p.Incarnation)
	return !ok || !limit.Limited || now.Sub(p.grantedAt) < grantTTL
}

// runs reports whether the list still has the replica's incarnation with a software version.
func (rs *Replicas) runs(r pool.Replica, software string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	current, ok := rs.pool.Replica(r.ID)
	return ok && current.Software == software && current.Incarnation == r.Incarnation
}
