// Package limiter grants requests to replicas within this instance's shares of the limits
// that the replicas state.
package limiter

import (
	"time"

	"crocusfold.dev/core/grantors"
	"crocusfold.dev/core/quota"
)

const (
	// MinRate is the lowest rate at which requests are granted, in requests per second. A
	// replica that states a lower limit still gets requests at this rate, since only a
	// response shows the end of the limit.
	MinRate = 0.4
	// burstTime is the time of unused grants that are kept.
	burstTime = 250 * time.Millisecond
	// urgentTTL is how long a denied request has precedence over less urgent ones.
	urgentTTL = 300 * time.Millisecond
	// urgentGrants is the number of requests that are granted before a less urgent one is,
	// while more urgent ones wait.
	urgentGrants = 3
	// maxQueued is the largest number of denied requests that the next ones queue behind.
	maxQueued = 6
	// maxWait bounds the time after which a denied request is to be repeated.
	maxWait = 4 * time.Second
	// idleTTL is how long the state of a replica is kept after the last request.
	idleTTL = time.Minute
)

// Share is this instance's share of the limit of a replica.
type Share struct {
	Replica string
	// Incarnation distinguishes the starts of a replica under one id.
	Incarnation int64
	// Rate is the limit of the replica in requests per second, and Fraction the part of
	// it that this instance grants. Rank is its rank among the grantors from 0.
	Rate, Fraction float64
	Rank           int
}

// rate returns the rate at which this instance grants, in requests per second.
func (s Share) rate() float64 { return max(s.Rate, MinRate) * s.Fraction }

func (s Share) burst() float64 { return max(1, s.rate()*burstTime.Seconds()) }

// Limiter grants requests to replicas. The zero value has granted none. It is not safe for
// concurrent use.
type Limiter struct {
	replicas map[string]*replica
}

type replica struct {
	incarnation int64
	bucket      quota.Bucket
	usedAt      time.Time
	// queued is the number of requests denied since the last grant.
	queued int
	// urgentAt is when a request with the priority urgent, the most urgent one, was last
	// denied, and lessUrgentAt when a less urgent one was. granted is the number of grants
	// of that priority or more urgent ones since the last grant of a less urgent one.
	urgentAt, lessUrgentAt time.Time
	urgent, granted        int
}

// Take grants one request with a priority, 0 being the most urgent. If it returns false,
// the wait is the time after which the request is to be repeated.
func (l *Limiter) Take(now time.Time, s Share, priority int) (wait time.Duration, ok bool) {
	if s.Fraction <= 0 {
		return maxWait, false
	}
	r := l.replica(now, s)
	if !r.hasTurn(now, priority) {
		r.recordDenial(now, priority)
		return r.deny(s, time.Duration(float64(time.Second)/s.rate())), false
	}
	taken, wait := r.bucket.Take(now, s.rate(), s.burst(), 1)
	if taken == 0 {
		r.recordDenial(now, priority)
		return r.deny(s, wait), false
	}
	r.queued = 0
	if r.granted++; priority > r.urgent {
		r.granted = 0
	}
	return 0, true
}

// hasTurn reports whether a request may be granted before those of other priorities that
// were denied shortly before.
func (r *replica) hasTurn(now time.Time, priority int) bool {
	if priority > r.urgent {
		return now.Sub(r.urgentAt) >= urgentTTL || r.granted >= urgentGrants
	}
	return now.Sub(r.lessUrgentAt) >= urgentTTL || r.granted < urgentGrants
}

func (r *replica) recordDenial(now time.Time, priority int) {
	if priority <= r.urgent || now.Sub(r.urgentAt) >= urgentTTL {
		if priority < r.urgent && now.Sub(r.urgentAt) < urgentTTL {
			r.lessUrgentAt = r.urgentAt
		}
		r.urgent, r.urgentAt = priority, now
		return
	}
	r.lessUrgentAt = now
}

// Charge counts a request that is sent in any case.
func (l *Limiter) Charge(now time.Time, s Share) {
	if s.Fraction > 0 {
		l.replica(now, s).bucket.Debit(1)
	}
}

// deny returns the time after which a denied request is to be repeated: the time until the
// next grant, and longer behind other denied requests.
func (r *replica) deny(s Share, wait time.Duration) time.Duration {
	wait += time.Duration(float64(r.queued) / 2 / s.rate() * float64(time.Second))
	r.queued = min(r.queued+1, maxQueued)
	return min(wait, maxWait)
}

// replica returns the state of a replica. A new one begins with as much of a request as
// its rank says, so that the first requests that the grantors grant are spread over time.
func (l *Limiter) replica(now time.Time, s Share) *replica {
	r, ok := l.replicas[s.Replica]
	if !ok || r.incarnation != s.Incarnation {
		if l.replicas == nil {
			l.replicas = map[string]*replica{}
		}
		r = &replica{incarnation: s.Incarnation}
		r.bucket.Debit(s.burst() - 1 + float64(s.Rank+1)/grantors.MaxPerKey)
		l.replicas[s.Replica] = r
	}
	r.usedAt = now
	return r
}

// Sweep drops the state of replicas that was not used for idleTTL.
func (l *Limiter) Sweep(now time.Time) {
	for id, r := range l.replicas {
		if now.Sub(r.usedAt) > idleTTL {
			delete(l.replicas, id)
		}
	}
}
