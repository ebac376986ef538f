// Package quota shares the limits of a client account among the entry
// instances. One instance owns an account and leases parts of its limits; the
// leases in force never add up to more than the limit.
package quota

import "time"

// LeaseTime is how long a leased part may be used without renewal.
const LeaseTime = time.Second

// Want is what an instance asks for.
type Want struct {
	// Rate is in requests per second, Slots in requests at once.
	Rate  float64 `json:"rate"`
	Slots int     `json:"slots"`
	// Held is the number of requests in flight, which a lease never cuts.
	Held int `json:"held"`
}

// Lease is a part of an account's limits.
type Lease struct {
	Rate  float64 `json:"rate"`
	Slots int     `json:"slots"`
}

// Quota divides one account's limits. The zero value has leased nothing. It is
// not safe for concurrent use.
type Quota struct {
	// NotBefore delays the first lease of a new owner until the leases of the
	// one before it have run out.
	NotBefore time.Time
	leases    map[string]leased
}

type leased struct {
	Lease
	want  Want
	until time.Time
}

// Share is the part of the limits that an instance may use while nobody can
// tell what the others use: half of an even share, and at least one slot, so
// that an account is served at every instance while its owner changes.
func Share(limit Lease, members int) Lease {
	members = max(members, 1)
	return Lease{Rate: limit.Rate / float64(2*members), Slots: max(1, limit.Slots/(2*members))}
}

// Grant leases a part of the limits to one of the members, in place of its earlier
// lease. When the wants exceed a limit, each gets a part in proportion, as far
// as the other leases have left it.
func (q *Quota) Grant(now time.Time, member string, members int, limit Lease, want Want) Lease {
	if q.leases == nil {
		q.leases = map[string]leased{}
	}
	var taken Lease
	total := want
	for name, l := range q.leases {
		if !now.Before(l.until) {
			delete(q.leases, name)
			continue
		}
		if name != member {
			taken.Rate += l.Rate
			taken.Slots += l.Slots
			total.Rate += l.want.Rate
			total.Slots += l.want.Slots
		}
	}
	var got Lease
	got.Rate = min(want.Rate, limit.Rate-taken.Rate)
	if total.Rate > limit.Rate {
		got.Rate = min(got.Rate, limit.Rate*want.Rate/total.Rate)
	}
	got.Slots = min(want.Slots, limit.Slots-taken.Slots)
	if total.Slots > limit.Slots {
		fair := (limit.Slots*want.Slots + total.Slots - 1) / total.Slots
		got.Slots = min(got.Slots, fair)
	}
	if now.Before(q.NotBefore) {
		share := Share(limit, members)
		got = Lease{Rate: min(want.Rate, share.Rate), Slots: min(want.Slots, share.Slots)}
	}
	got.Rate, got.Slots = max(got.Rate, 0), max(got.Slots, want.Held)
	q.leases[member] = leased{got, want, now.Add(LeaseTime)}
	return got
}

// Bucket is a token bucket whose rate may change. The zero value is full.
type Bucket struct {
	used float64
	last time.Time
}

// Take takes one token, or returns how long until there is one.
func (b *Bucket) Take(now time.Time, rate, burst float64) (time.Duration, bool) {
	if !b.last.IsZero() {
		b.used = max(0, b.used-rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	burst = max(burst, 1)
	if b.used+1 <= burst {
		b.used++
		return 0, true
	}
	if rate <= 0 {
		return LeaseTime, false
	}
	return time.Duration((b.used + 1 - burst) / rate * float64(time.Second)), false
}
