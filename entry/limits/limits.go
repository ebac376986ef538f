// Package limits holds client accounts to their limits over all instances, by
// leases from the instance that owns the account.
package limits

import (
	"context"
	"sync"
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/quota"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/follow"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/clock"
)

// Times and amounts of leases.
const (
	renewInterval = 300 * time.Millisecond
	askLimit      = 150 * time.Millisecond
	// idleAfter is how long an account without requests is renewed.
	idleAfter = 2 * time.Second
	// spareSlots is asked for above the requests in flight.
	spareSlots = 1
	// askTries is how often one request asks for a token and a slot.
	askTries = 3
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
	// asking is held by the one request that asks the owner for all.
	asking chan struct{}

	mu       sync.Mutex
	tokens   int
	slots    int
	until    time.Time
	wait     time.Duration
	inFlight int
	// waiting is the number of requests that want a token and a slot.
	waiting int
	last    time.Time
}

// Attach prepares to answer peers. It comes before Run.
func (l *Limits) Attach() {
	l.local = map[string]*local{}
	l.quotas = map[string]*quota.Quota{}
	l.Mesh.Handle(l.handle)
}

// Run renews leases until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	clock.Every(ctx, renewInterval, func() {
		l.prepareOwned(time.Now())
		l.renew(ctx)
	})
}

// prepareOwned makes the quotas of newly owned accounts before they are asked
// for, so that their waiting time has passed by then.
func (l *Limits) prepareOwned(now time.Time) {
	live := l.Follow.Live(now)
	accounts := l.Follow.View().Intent.Accounts
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.settled.IsZero() && len(accounts) > 0 {
		l.settled = now.Add(quota.LeaseTTL)
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
		q = &quota.Quota{HandoverUntil: now.Add(quota.LeaseTTL)}
		if l.known != nil && !l.known[name] {
			q.HandoverUntil = now
		}
		l.quotas[name] = q
	}
	return q
}

// renew keeps the slots of accounts that are in use.
func (l *Limits) renew(ctx context.Context) {
	l.mu.Lock()
	active := map[string]*local{}
	for name, lo := range l.local {
		active[name] = lo
	}
	l.mu.Unlock()
	for name, lo := range active {
		a, ok := l.Follow.View().AccountByName(name)
		if ok && !lo.idle(time.Now()) {
			go l.ask(ctx, a, lo)
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
	lo.arrive(time.Now())
	defer lo.decide()
	for range askTries {
		if lo.take(time.Now()) {
			return lo.release, 0, true
		}
		l.ask(ctx, a, lo)
	}
	if lo.take(time.Now()) {
		return lo.release, 0, true
	}
	return nil, lo.retryAfter(), false
}

func (l *Limits) account(name string) *local {
	l.mu.Lock()
	defer l.mu.Unlock()
	lo, ok := l.local[name]
	if !ok {
		lo = &local{asking: make(chan struct{}, 1)}
		l.local[name] = lo
	}
	return lo
}

// ask gets tokens and slots from the account's owner, for all that wait. Only
// one request asks at a time; the others find what it brought.
func (l *Limits) ask(ctx context.Context, a account.Account, lo *local) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	select {
	case lo.asking <- struct{}{}:
		defer func() { <-lo.asking }()
	case <-ctx.Done():
		return
	}
	sent := time.Now()
	want, needed := lo.want(sent)
	if !needed {
		return
	}
	live := l.Follow.Live(sent)
	owner, ok := roster.Owner("account/"+a.Name, live)
	if !ok {
		return
	}
	rep, err := mesh.Ask[message.QuotaReply](ctx, l.Mesh, owner, message.QuotaAsk{Account: a.Name, Want: want})
	if err != nil {
		l.Follow.Failed(time.Now(), owner.Name)
		lo.fallBack(time.Now(), quota.FallbackLease(limit(a), len(live)))
		return
	}
	lo.renew(sent, rep.Lease)
}

func (l *Limits) handle(_ context.Context, from string, msg message.Message) (message.Message, bool, error) {
	m, ok := msg.(message.QuotaAsk)
	if !ok {
		return nil, false, nil
	}
	a, known := l.Follow.View().AccountByName(m.Account)
	if !known {
		return message.QuotaReply{}, true, nil
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.quota(now, m.Account)
	return message.QuotaReply{Lease: q.Grant(now, from, len(l.Follow.Live(now)), limit(a), m.Want)}, true, nil
}

func limit(a account.Account) quota.Limit {
	return quota.Limit{Rate: a.Rate, Burst: a.Burst, Slots: a.Concurrent}
}

func (lo *local) arrive(now time.Time) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.last = now
	lo.waiting++
}

func (lo *local) decide() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.waiting--
}

func (lo *local) idle(now time.Time) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.inFlight == 0 && now.Sub(lo.last) > idleAfter
}

// want returns what to ask for. Nothing is needed if another request has just
// brought enough for all that wait.
func (lo *local) want(now time.Time) (quota.Request, bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	enough := now.Before(lo.until) && lo.tokens >= lo.waiting && lo.slots >= lo.inFlight+lo.waiting
	if lo.waiting > 0 && enough {
		return quota.Request{}, false
	}
	return quota.Request{
		Tokens: max(0, lo.waiting-lo.tokens),
		Slots:  lo.inFlight + lo.waiting + spareSlots,
		Held:   lo.inFlight,
	}, true
}

// renew takes a lease. It counts from before it was asked for, so that it ends
// here before it ends at the owner.
func (lo *local) renew(sent time.Time, l quota.Lease) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if !sent.Before(lo.until) {
		lo.tokens = 0
	}
	lo.tokens += l.Tokens
	lo.slots, lo.wait, lo.until = l.Slots, l.Wait, sent.Add(quota.LeaseTTL)
}

// fallBack takes a share once the last lease has run out.
func (lo *local) fallBack(now time.Time, l quota.Lease) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if now.Before(lo.until) {
		return
	}
	lo.tokens, lo.slots, lo.wait, lo.until = l.Tokens, l.Slots, l.Wait, now.Add(quota.LeaseTTL)
}

// take uses one token and one slot, if both are there.
func (lo *local) take(now time.Time) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if !now.Before(lo.until) || lo.tokens < 1 || lo.inFlight >= lo.slots {
		return false
	}
	lo.tokens--
	lo.inFlight++
	return true
}

func (lo *local) release() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.inFlight--
}

func (lo *local) retryAfter() time.Duration {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return max(lo.wait, renewInterval)
}
