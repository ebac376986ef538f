// Package quota divides the limits of a client account among the entry instances.
// One instance owns the account: it grants rate-limit tokens and leases slots for
// concurrent requests to all instances, so that their sum stays within the limit.
package quota

import (
	"math"
	"time"
)

// LeaseTTL is how long granted tokens and slots remain valid without renewal.
const LeaseTTL = time.Second

// Limit is the limit of an account over all instances together.
type Limit struct {
	// Rate is in requests per second, Burst in requests. A Rate of 0 means unlimited;
	// a Burst below 1 counts as 1.
	Rate, Burst float64
	// Slots is the number of concurrent requests; 0 means unlimited.
	Slots int
}

// Request is what an instance requests of the account's owner.
type Request struct {
	// Tokens is the number of tokens requested, one for each request to start.
	Tokens int `json:"tokens"`
	// Slots is the number of concurrent requests that the instance wants to run.
	Slots int `json:"slots"`
	// Held is the number of requests in flight; a lease never has fewer slots.
	Held int `json:"held"`
}

// Lease is what an instance may use until the lease expires.
type Lease struct {
	Tokens int `json:"tokens"`
	Slots  int `json:"slots"`
	// Wait is the time until the next token is available, if none was granted.
	Wait time.Duration `json:"wait"`
}

// FallbackLease returns the lease of an instance while the leases of the others are
// not known: half of an even share of the limit, and at least one request, so that
// every instance serves the account while its owner changes.
func FallbackLease(l Limit, instances int) Lease {
	instances = max(instances, 1)
	lease := Lease{Tokens: math.MaxInt32, Slots: math.MaxInt32, Wait: LeaseTTL}
	if l.Rate > 0 {
		lease.Tokens = max(1, int(l.Rate*LeaseTTL.Seconds())/(2*instances))
	}
	if l.Slots > 0 {
		lease.Slots = max(1, l.Slots/(2*instances))
	}
	return lease
}

// Quota grants leases of one account's limit. The zero value has granted none. It
// is not safe for concurrent use.
type Quota struct {
	// HandoverUntil is when all leases granted by a previous owner have expired.
	// Until then an instance gets no more than its FallbackLease.
	HandoverUntil time.Time
	bucket        Bucket
	leases        map[string]slotLease
}

type slotLease struct {
	slots   int
	expires time.Time
}

// Grant grants up to req.Tokens tokens and replaces the instance's lease of slots by
// up to req.Slots of those that no other instance leases. The lease has at least
// req.Held slots, even if that exceeds the limit.
func (q *Quota) Grant(now time.Time, instance string, instances int, limit Limit, req Request) Lease {
	handover := now.Before(q.HandoverUntil)
	fallback := FallbackLease(limit, instances)
	if handover {
		req.Tokens = min(req.Tokens, fallback.Tokens)
		q.bucket.halveIfUnused(limit.Burst)
	}
	lease := Lease{Tokens: req.Tokens}
	if limit.Rate > 0 {
		lease.Tokens, lease.Wait = q.bucket.Take(now, limit.Rate, limit.Burst, req.Tokens)
	}
	lease.Slots = q.availableSlots(now, instance, limit, req)
	if handover {
		lease.Slots = min(req.Slots, fallback.Slots)
	}
	lease.Slots = max(lease.Slots, req.Held)
	if q.leases == nil {
		q.leases = map[string]slotLease{}
	}
	q.leases[instance] = slotLease{lease.Slots, now.Add(LeaseTTL)}
	return lease
}

// availableSlots returns how many of the requested slots no other instance leases,
// and drops expired leases.
func (q *Quota) availableSlots(now time.Time, instance string, limit Limit, req Request) int {
	if limit.Slots == 0 {
		return math.MaxInt32
	}
	leased := 0
	for name, l := range q.leases {
		switch {
		case !now.Before(l.expires):
			delete(q.leases, name)
		case name != instance:
			leased += l.slots
		}
	}
	return max(0, min(req.Slots, limit.Slots-leased))
}

// Bucket is a token bucket. The zero value is full. It is not safe for concurrent
// use.
type Bucket struct {
	// used is the number of tokens that a full bucket has more than this one had at the
	// time last.
	used float64
	last time.Time
}

// halveIfUnused makes a bucket from which no tokens were taken yet half full, since
// a previous owner may have granted the rest of the burst.
func (b *Bucket) halveIfUnused(burst float64) {
	if b.last.IsZero() {
		b.used = burst / 2
	}
}

// Debit takes n tokens, even if fewer are left.
func (b *Bucket) Debit(n float64) { b.used += n }

// Take takes up to n tokens and returns how many. If none is available, it returns 0
// and the time until the next one. The rate is in tokens per second; a burst below 1
// counts as 1.
func (b *Bucket) Take(now time.Time, rate, burst float64, n int) (int, time.Duration) {
	if !b.last.IsZero() {
		b.used = max(0, b.used-rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	free := max(burst, 1) - b.used
	if free >= 1 || n <= 0 {
		taken := min(n, int(free))
		b.used += float64(taken)
		return taken, 0
	}
	return 0, time.Duration((1 - free) / rate * float64(time.Second))
}
