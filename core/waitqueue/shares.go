package waitqueue

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the age at which consumed capacity counts half. It is some times the
	// time that a request runs, so that a share is not used up by one large request.
	usageHalfLife = 2 * time.Second
	// kindGuarantee and accountGuarantee are the parts of its share that each kind and each
	// account gets before the order by priority applies. Within a priority, accounts have
	// their whole shares.
	kindGuarantee    = 0.25
	accountGuarantee = 0.5
	// maxExponent is the number of half-lives after which the consumed capacity is scaled
	// anew.
	maxExponent = 200
	// maxIdleConsumers bounds the accounts, and the kinds, that are remembered while nothing
	// of them waits.
	maxIdleConsumers = 512
)

// consumer is an account or a kind of requests. used is the capacity that it consumed lately,
// scaled by the decay clock.
type consumer struct {
	weight, used float64
	// arrived is the size of the requests of a kind that arrived until arrivedAt, counted less
	// with their age, and priority that of the last one.
	arrived   float64
	arrivedAt time.Time
	priority  int
	// distrust is by how much the learned share of a kind is below the largest one.
	distrust float64
	// flows is the number of flows with waiting requests.
	flows int
	// seen is the number of the pass of shares that counted it last. owed and over are what
	// that pass found, as in rank.
	seen       uint64
	owed, over bool
}

// decayClock gives new consumption a weight that doubles with each half-life, which has the
// same effect on shares as halving what was consumed before.
type decayClock struct {
	start time.Time
	pass  uint64
}

func (s *service) account(name string, weight float64) *consumer {
	c, ok := s.accounts[name]
	if !ok {
		c = &consumer{}
		s.accounts[name] = c
	}
	if c.weight = weight; weight <= 0 {
		c.weight = 1
	}
	return c
}

func (s *service) kind(key kindKey) *consumer {
	c, ok := s.kinds[key]
	if !ok {
		c = &consumer{weight: 1}
		s.kinds[key] = c
	}
	return c
}

// charge records that a request has started.
func (s *service) charge(now time.Time, it Item) {
	if s.clock.start.IsZero() || now.Before(s.clock.start) {
		s.clock.start = now
	}
	exponent := float64(now.Sub(s.clock.start)) / float64(usageHalfLife)
	if exponent > maxExponent {
		for _, c := range s.accounts {
			c.used *= math.Exp2(-exponent)
		}
		for _, c := range s.kinds {
			c.used *= math.Exp2(-exponent)
		}
		s.clock.start, exponent = now, 0
	}
	amount := it.Size * math.Exp2(exponent)
	s.account(it.Account, it.Weight).used += amount
	s.kind(kindKey{it.Kind, sizeClass(it.Size)}).used += amount
}

// prune bounds the memory for accounts and kinds of which nothing waits.
func (s *service) prune() {
	if len(s.accounts) > maxIdleConsumers {
		pruneIdle(s.accounts)
	}
	if len(s.kinds) > maxIdleConsumers {
		pruneIdle(s.kinds)
	}
}

// pruneIdle forgets the consumers of which nothing waits and that used less than the mean,
// and all of which nothing waits if that is not enough.
func pruneIdle[K comparable](all map[K]*consumer) {
	total := 0.0
	for _, c := range all {
		total += c.used
	}
	// Equal consumers must not stay because of rounding.
	mean := 1.001 * total / float64(len(all))
	for key, c := range all {
		if c.flows == 0 && c.used <= mean {
			delete(all, key)
		}
	}
}

// shares is what the waiting accounts and kinds consumed and are entitled to.
type shares struct {
	accountUsed, accountWeight float64
	kindUsed, kindWeight       float64
}

// shares sums up over the accounts and the kinds of which requests wait. The share of the
// others is lent to them.
func (s *service) shares() shares {
	s.clock.pass++
	var out shares
	for _, f := range s.list {
		if a := f.account; a.seen != s.clock.pass {
			a.seen = s.clock.pass
			out.accountUsed += a.used
			out.accountWeight += a.weight
		}
		if k := f.kind; k.seen != s.clock.pass {
			k.seen = s.clock.pass
			out.kindUsed += k.used
			out.kindWeight += k.weight
		}
	}
	for _, f := range s.list {
		f.account.owed, f.account.over = out.ofAccount(f.account)
		f.kind.owed = out.ofKind(f.kind)
	}
	return out
}

// ofAccount reports whether an account has less than its guarantee, and more than its share.
func (sh shares) ofAccount(a *consumer) (owed, over bool) {
	if a == nil {
		return true, false
	}
	used, share := a.used*sh.accountWeight, a.weight*sh.accountUsed
	return used < accountGuarantee*share, used > share
}

// ofKind reports whether a kind has less than its guarantee.
func (sh shares) ofKind(k *consumer) bool {
	return k == nil || k.used*sh.kindWeight < kindGuarantee*k.weight*sh.kindUsed
}

// rank is the place of a request in the order.
type rank struct {
	// late requests can no longer be served in time. owed is true if the kind or the account
	// has less than its guarantee, over true if the account has more than its share.
	late, owed, returned, over bool
	priority                   int
	density                    float64
	startBy                    time.Time
}

// place returns the place of a waiting request.
func (e *entry) place(now time.Time) rank {
	return rank{
		late: now.After(e.StartBy), owed: e.flow.kind.owed || e.flow.account.owed, over: e.flow.account.over,
		returned: e.Returned, priority: e.Priority, density: e.density, startBy: e.StartBy,
	}
}

// place returns the place of a request that does not wait yet.
func (s *service) place(now time.Time, it Item, sh shares) rank {
	accountOwed, over := sh.ofAccount(s.accounts[it.Account])
	return rank{
		late: now.After(it.StartBy), owed: accountOwed || sh.ofKind(s.kinds[keyOf(it).kind]), over: over,
		returned: it.Returned, priority: it.Priority, density: it.density(), startBy: it.StartBy,
	}
}

// density returns the value of a request for the capacity that it occupies.
func (it *Item) density() float64 {
	value := it.Value
	if value <= 0 {
		value = 1
	}
	return value / classSize(it.Size)
}

// before reports whether a goes before b.
func (a *rank) before(b *rank) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.owed != b.owed:
		return a.owed
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.returned != b.returned:
		return a.returned
	case a.over != b.over:
		return b.over
	case a.density != b.density:
		return a.density > b.density
	}
	return a.startBy.Before(b.startBy)
}
