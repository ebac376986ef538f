// Package quota shares the limits of a client account among the entry
// instances. One instance owns an account: it hands out tokens of the rate and
// leases slots for concurrent requests, so that the sum stays within the limit.
package quota

import (
	"math"
	"time"
)

// LeaseTTL is how long leased slots and tokens may be used without renewal.
const LeaseTTL = time.Second

// Limit is what an account may use over all instances together.
type Limit struct {
	// Rate is in requests per second, Burst in requests; 0 means unlimited.
	Rate, Burst float64
	// Slots is the number of requests at once; 0 means unlimited.
	Slots int
}

// Request is what an instance asks for.
type Request struct {
	// Tokens is the number of requests that it wants to begin.
	Tokens int `json:"tokens"`
	// Slots is the number of requests at once that it wants to run.
	Slots int `json:"slots"`
	// Held is the number of requests in flight, which a lease never cuts.
	Held int `json:"held"`
}

// Lease is what an instance may use until the lease ends.
type Lease struct {
	Tokens int `json:"tokens"`
	Slots  int `json:"slots"`
	// Wait is the time until the next token, if there was none.
	Wait time.Duration `json:"wait"`
}

// FallbackLease is what an instance may use while nobody can tell what the others use:
// half of an even share, and at least one request, so that an account is
// served at every instance while its owner changes.
func FallbackLease(l Limit, members int) Lease {
	members = max(members, 1)
	share := Lease{Tokens: math.MaxInt32, Slots: math.MaxInt32, Wait: LeaseTTL}
	if l.Rate > 0 {
		share.Tokens = max(1, int(l.Rate*LeaseTTL.Seconds())/(2*members))
	}
	if l.Slots > 0 {
		share.Slots = max(1, l.Slots/(2*members))
	}
	return share
}

// Quota divides one account's limits. The zero value has handed out nothing.
// It is not safe for concurrent use.
type Quota struct {
	// HandoverUntil is when what a former owner handed out has run out. Until then
	// an instance gets no more than its Share.
	HandoverUntil time.Time
	bucket        Bucket
	leases        map[string]leased
}

type leased struct {
	slots int
	until time.Time
}

// Grant hands out tokens and replaces the instance's lease of slots, as far as
// the other leases have left any.
func (q *Quota) Grant(now time.Time, member string, members int, limit Limit, want Request) Lease {
	unsure := now.Before(q.HandoverUntil)
	share := FallbackLease(limit, members)
	if unsure {
		want.Tokens = min(want.Tokens, share.Tokens)
		q.bucket.halve(limit.Burst)
	}
	got := Lease{Tokens: want.Tokens}
	if limit.Rate > 0 {
		got.Tokens, got.Wait = q.bucket.Take(now, limit.Rate, limit.Burst, want.Tokens)
	}
	got.Slots = q.slots(now, member, limit, want)
	if unsure {
		got.Slots = min(want.Slots, share.Slots)
	}
	got.Slots = max(got.Slots, want.Held)
	if q.leases == nil {
		q.leases = map[string]leased{}
	}
	q.leases[member] = leased{got.Slots, now.Add(LeaseTTL)}
	return got
}

func (q *Quota) slots(now time.Time, member string, limit Limit, want Request) int {
	if limit.Slots == 0 {
		return math.MaxInt32
	}
	taken := 0
	for name, l := range q.leases {
		switch {
		case !now.Before(l.until):
			delete(q.leases, name)
		case name != member:
			taken += l.slots
		}
	}
	return max(0, min(want.Slots, limit.Slots-taken))
}

// Bucket is a token bucket. The zero value is full.
type Bucket struct {
	used float64
	last time.Time
}

// halve makes a bucket that nothing was taken from half full, since a former
// owner may have handed out the rest.
func (b *Bucket) halve(burst float64) {
	if b.last.IsZero() {
		b.used = burst / 2
	}
}

// Take takes up to n tokens. If there is none, it returns how long until one.
func (b *Bucket) Take(now time.Time, rate, burst float64, n int) (int, time.Duration) {
	if !b.last.IsZero() {
		b.used = max(0, b.used-rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	free := max(burst, 1) - b.used
	if free >= 1 || n <= 0 {
		got := min(n, int(free))
		b.used += float64(got)
		return got, 0
	}
	return 0, time.Duration((1 - free) / rate * float64(time.Second))
}
