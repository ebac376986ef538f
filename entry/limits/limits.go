// Package limits holds client accounts to their limits over all instances, by
// leases from the instance that owns the account.
package limits

import (
	"context"
	"math"
	"sync"
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/quota"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/follow"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
)

// Times and amounts of leases.
const (
	renewInterval = 300 * time.Millisecond
	askLimit      = 150 * time.Millisecond
	// idleAfter is how long an account without requests is renewed.
	idleAfter = 2 * time.Second
	// spareSlots is asked for above the requests in flight.
	spareSlots = 4
	// headroom multiplies the measured demand.
	headroom = 1.5
	// reserve is the part of a rate that is never leased but split evenly, so
	// that an account is served while its owner is away.
	reserve = 0.2
)

// Limits admits requests. The exported fields must be set before Attach. It is
// safe for concurrent use.
type Limits struct {
	Self   roster.Member
	Follow *follow.Follower
	Mesh   *mesh.Mesh

	mu     sync.Mutex
	local  map[string]*local
	quotas map[string]*quota.Quota
	// known lists the accounts of the last view that was proven current. An
	// account that is not in it can't have been leased by anybody.
	known map[string]bool
	// settled is when this instance's own quotas may first be leased.
	settled time.Time
}

// local is this instance's state for one account.
type local struct {
	mu       sync.Mutex
	bucket   quota.Bucket
	lease    quota.Lease
	until    time.Time
	inFlight int
	// seen and since measure the demand.
	seen  int
	since time.Time
	last  time.Time
	// demand is in requests per second.
	demand float64
}

// Attach prepares to answer peers. It comes before Run.
func (l *Limits) Attach() {
	l.local = map[string]*local{}
	l.quotas = map[string]*quota.Quota{}
	l.Mesh.Handle(l.handle)
}

// Run renews leases until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.prepareOwned(time.Now())
			l.renew(ctx)
		}
	}
}

// prepareOwned makes the quotas of newly owned accounts before they are asked
// for, so that their waiting time has passed by then.
func (l *Limits) prepareOwned(now time.Time) {
	live := l.Follow.Live(now)
	accounts := l.Follow.View().Intent.Accounts
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.settled.IsZero() && len(accounts) > 0 {
		l.settled = now.Add(quota.LeaseTime)
	}
	present := map[string]bool{}
	for _, a := range accounts {
		present[a.Name] = true
		m, ok := roster.Owner("account/"+a.Name, live)
		if !ok || m.Name != l.Self.Name {
			// A quota that was not owned for a while must wait again.
			delete(l.quotas, a.Name)
			continue
		}
		l.quota(now, a.Name)
	}
	l.known = nil
	if l.Follow.Verdict(now) == freshness.Current {
		l.known = present
	}
}

// Settled reports whether the instance has been there long enough to lease.
func (l *Limits) Settled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.settled.IsZero() && !now.Before(l.settled)
}

// quota returns the quota of an account. The caller holds mu.
func (l *Limits) quota(now time.Time, name string) *quota.Quota {
	q, ok := l.quotas[name]
	if !ok {
		q = &quota.Quota{NotBefore: now.Add(quota.LeaseTime)}
		if l.known != nil && !l.known[name] {
			q.NotBefore = now
		}
		l.quotas[name] = q
	}
	return q
}

func (l *Limits) renew(ctx context.Context) {
	l.mu.Lock()
	active := map[string]*local{}
	for name, lo := range l.local {
		active[name] = lo
	}
	l.mu.Unlock()
	for name, lo := range active {
		a, ok := l.Follow.View().AccountNamed(name)
		lo.mu.Lock()
		idle := lo.inFlight == 0 && time.Since(lo.last) > idleAfter
		lo.mu.Unlock()
		if ok && !idle {
			go l.lease(ctx, a, lo)
		}
	}
}

// Admit lets a request of an account in, or says when to come back. The
// returned function must be called when the request has ended.
func (l *Limits) Admit(ctx context.Context, a account.Account) (func(), time.Duration, bool) {
	if a.Rate == 0 && a.Concurrent == 0 {
		return func() {}, 0, true
	}
	lo := l.account(a.Name)
	now := time.Now()
	lo.note(now)
	if !lo.covered(now, a) {
		l.lease(ctx, a, lo)
	}
	wait, ok := lo.take(time.Now(), a, len(l.Follow.Live(now)))
	if !ok {
		return nil, wait, false
	}
	return lo.release, 0, true
}

func (l *Limits) account(name string) *local {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo, ok := l.local[name]
	if !ok {
		lo = &local{}
		l.local[name] = lo
	}
	return lo
}

// lease asks the account's owner for a part of the limits.
func (l *Limits) lease(ctx context.Context, a account.Account, lo *local) {
	sent := time.Now()
	owner, ok := roster.Owner("account/"+a.Name, l.Follow.Live(sent))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	rep, err := mesh.Ask[message.QuotaReply](ctx, l.Mesh, owner, message.QuotaAsk{Account: a.Name, Want: lo.want(sent, a)})
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if err != nil {
		if now := time.Now(); !now.Before(lo.until) {
			lo.lease, lo.until = quota.Share(leasable(a), len(l.Follow.Live(now))), now.Add(renewInterval)
		}
		return
	}
	// The lease counts from before it was asked for, so that it ends here
	// before it ends at the owner.
	lo.lease, lo.until = rep.Lease, sent.Add(quota.LeaseTime)
}

func (l *Limits) handle(_ context.Context, from string, msg message.Message) (message.Message, bool, error) {
	m, ok := msg.(message.QuotaAsk)
	if !ok {
		return nil, false, nil
	}
	a, known := l.Follow.View().AccountNamed(m.Account)
	if !known {
		return message.QuotaReply{}, true, nil
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.quota(now, m.Account)
	return message.QuotaReply{Lease: q.Grant(now, from, len(l.Follow.Live(now)), leasable(a), m.Want)}, true, nil
}

// leasable returns the part of an account's limits that its owner leases.
func leasable(a account.Account) quota.Lease {
	limit := quota.Lease{Rate: a.Rate * (1 - reserve), Slots: a.Concurrent}
	if a.Concurrent == 0 {
		limit.Slots = math.MaxInt32
	}
	return limit
}

// note counts a request for the measure of demand.
func (lo *local) note(now time.Time) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.last = now
	lo.seen++
	if lo.since.IsZero() {
		lo.since = now
	}
	if age := now.Sub(lo.since); age >= renewInterval {
		lo.demand = float64(lo.seen) / age.Seconds()
		lo.seen, lo.since = 0, now
	}
}

// covered reports whether the lease in force has room for one more request.
func (lo *local) covered(now time.Time, a account.Account) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if !now.Before(lo.until) {
		return false
	}
	return a.Concurrent == 0 || lo.inFlight < lo.lease.Slots
}

func (lo *local) want(now time.Time, a account.Account) quota.Want {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	w := quota.Want{Rate: max(1, lo.demand*headroom), Slots: lo.inFlight + spareSlots, Held: lo.inFlight}
	if now.Sub(lo.last) > idleAfter {
		w.Slots = lo.inFlight
		w.Rate = 0
	}
	if a.Rate == 0 {
		w.Rate = 0
	}
	return w
}

// take uses one token and one slot of what is leased and reserved.
func (lo *local) take(now time.Time, a account.Account, members int) (time.Duration, bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lease := lo.lease
	if !now.Before(lo.until) {
		lease = quota.Lease{}
	}
	if a.Concurrent > 0 && lo.inFlight >= lease.Slots {
		return renewInterval, false
	}
	if a.Rate > 0 {
		members = max(members, 1)
		rate := lease.Rate + a.Rate*reserve/float64(members)
		burst := max(1, a.Burst*rate/a.Rate)
		if wait, ok := lo.bucket.Take(now, rate, burst); !ok {
			return wait, false
		}
	}
	lo.inFlight++
	return 0, true
}

func (lo *local) release() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.inFlight--
}
