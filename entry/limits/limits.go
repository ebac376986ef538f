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
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/clock"
)

// Times and amounts of leases.
const (
	renewInterval  = 300 * time.Millisecond
	requestTimeout = 150 * time.Millisecond
	// idleTimeout is how long an account without requests is renewed.
	idleTimeout = 2 * time.Second
	// spareSlots is asked for above the requests in flight.
	spareSlots = 1
	// maxLeaseRequests is how often one request asks for a token and a slot.
	maxLeaseRequests = 3
)

// Limits admits requests. The exported fields must be set before Attach. It is
// safe for concurrent use.
type Limits struct {
	Self     roster.Member
	Follower *configsync.Follower
	Endpoint *peerrpc.Endpoint

	mu       sync.Mutex
	accounts map[string]*accountState
	quotas   map[string]*quota.Quota
	// knownAccounts lists the accounts of the last view that was proven current. An
	// account that is not in it can't have been leased by anybody.
	knownAccounts map[string]bool
	// readyAt is when this instance's own quotas may first be leased.
	readyAt time.Time
}

// accountState is this instance's state for one account.
type accountState struct {
	// requesting is held by the one request that asks the owner for all.
	requesting chan struct{}

	mu       sync.Mutex
	tokens   int
	slots    int
	expires  time.Time
	wait     time.Duration
	inFlight int
	// waiting is the number of requests that want a token and a slot.
	waiting     int
	lastArrival time.Time
}

// Attach prepares to answer peers. It comes before Run.
func (l *Limits) Attach() {
	l.accounts = map[string]*accountState{}
	l.quotas = map[string]*quota.Quota{}
	l.Endpoint.Handle(l.handle)
}

// Run renews leases until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	clock.Every(ctx, renewInterval, func() {
		l.prepareOwnedQuotas(time.Now())
		l.renewLeases(ctx)
	})
}

// prepareOwnedQuotas makes the quotas of newly owned accounts before they are asked
// for, so that their waiting time has passed by then.
func (l *Limits) prepareOwnedQuotas(now time.Time) {
	live := l.Follower.Live(now)
	accounts := l.Follower.View().Intent.Accounts
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readyAt.IsZero() && len(accounts) > 0 {
		l.readyAt = now.Add(quota.LeaseTTL)
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
	l.knownAccounts = nil
	if l.Follower.Freshness(now) == freshness.Current {
		l.knownAccounts = present
	}
}

// Ready reports whether the instance has been there long enough to lease.
func (l *Limits) Ready(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.readyAt.IsZero() && !now.Before(l.readyAt)
}

// quota returns the quota of an account. The caller holds mu.
func (l *Limits) quota(now time.Time, name string) *quota.Quota {
	q, ok := l.quotas[name]
	if !ok {
		q = &quota.Quota{HandoverUntil: now.Add(quota.LeaseTTL)}
		if l.knownAccounts != nil && !l.knownAccounts[name] {
			q.HandoverUntil = now
		}
		l.quotas[name] = q
	}
	return q
}

// renewLeases keeps the slots of accounts that are in use.
func (l *Limits) renewLeases(ctx context.Context) {
	l.mu.Lock()
	active := map[string]*accountState{}
	for name, st := range l.accounts {
		active[name] = st
	}
	l.mu.Unlock()
	for name, st := range active {
		a, ok := l.Follower.View().AccountByName(name)
		if ok && !st.idle(time.Now()) {
			go l.requestLease(ctx, a, st)
		}
	}
}

// Admit lets a request of an account in, or says when to come back. The
// returned function must be called when the request has ended.
func (l *Limits) Admit(ctx context.Context, a account.Account) (func(), time.Duration, bool) {
	if a.Rate == 0 && a.Concurrent == 0 {
		return func() {}, 0, true
	}
	st := l.state(a.Name)
	st.addWaiting(time.Now())
	defer st.removeWaiting()
	for range maxLeaseRequests {
		if st.acquire(time.Now()) {
			return st.release, 0, true
		}
		l.requestLease(ctx, a, st)
	}
	if st.acquire(time.Now()) {
		return st.release, 0, true
	}
	return nil, st.retryAfter(), false
}

func (l *Limits) state(name string) *accountState {
	l.mu.Lock()
	defer l.mu.Unlock()
	st, ok := l.accounts[name]
	if !ok {
		st = &accountState{requesting: make(chan struct{}, 1)}
		l.accounts[name] = st
	}
	return st
}

// requestLease gets tokens and slots from the account's owner, for all that wait. Only
// one request asks at a time; the others find what it brought.
func (l *Limits) requestLease(ctx context.Context, a account.Account, st *accountState) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case st.requesting <- struct{}{}:
		defer func() { <-st.requesting }()
	case <-ctx.Done():
		return
	}
	sent := time.Now()
	req, needed := st.leaseRequest(sent)
	if !needed {
		return
	}
	live := l.Follower.Live(sent)
	owner, ok := roster.Owner("account/"+a.Name, live)
	if !ok {
		return
	}
	resp, err := peerrpc.Call[message.QuotaResponse](ctx, l.Endpoint, owner, message.QuotaRequest{Account: a.Name, Request: req})
	if err != nil {
		l.Follower.MarkUnreachable(time.Now(), owner.Name)
		st.applyFallback(time.Now(), quota.FallbackLease(quotaLimit(a), len(live)))
		return
	}
	st.applyLease(sent, resp.Lease)
}

func (l *Limits) handle(_ context.Context, from string, msg message.Message) (message.Message, bool, error) {
	m, ok := msg.(message.QuotaRequest)
	if !ok {
		return nil, false, nil
	}
	a, known := l.Follower.View().AccountByName(m.Account)
	if !known {
		return message.QuotaResponse{}, true, nil
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.quota(now, m.Account)
	return message.QuotaResponse{Lease: q.Grant(now, from, len(l.Follower.Live(now)), quotaLimit(a), m.Request)}, true, nil
}

func quotaLimit(a account.Account) quota.Limit {
	return quota.Limit{Rate: a.Rate, Burst: a.Burst, Slots: a.Concurrent}
}

func (st *accountState) addWaiting(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastArrival = now
	st.waiting++
}

func (st *accountState) removeWaiting() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.waiting--
}

func (st *accountState) idle(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.inFlight == 0 && now.Sub(st.lastArrival) > idleTimeout
}

// leaseRequest returns what to ask for. Nothing is needed if another request has just
// brought enough for all that wait.
func (st *accountState) leaseRequest(now time.Time) (quota.Request, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	enough := now.Before(st.expires) && st.tokens >= st.waiting && st.slots >= st.inFlight+st.waiting
	if st.waiting > 0 && enough {
		return quota.Request{}, false
	}
	return quota.Request{
		Tokens: max(0, st.waiting-st.tokens),
		Slots:  st.inFlight + st.waiting + spareSlots,
		Held:   st.inFlight,
	}, true
}

// applyLease takes a lease. It counts from before it was asked for, so that it ends
// here before it ends at the owner.
func (st *accountState) applyLease(sent time.Time, l quota.Lease) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !sent.Before(st.expires) {
		st.tokens = 0
	}
	st.tokens += l.Tokens
	st.slots, st.wait, st.expires = l.Slots, l.Wait, sent.Add(quota.LeaseTTL)
}

// applyFallback takes a share once the last lease has run out.
func (st *accountState) applyFallback(now time.Time, l quota.Lease) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if now.Before(st.expires) {
		return
	}
	st.tokens, st.slots, st.wait, st.expires = l.Tokens, l.Slots, l.Wait, now.Add(quota.LeaseTTL)
}

// acquire uses one token and one slot, if both are there.
func (st *accountState) acquire(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !now.Before(st.expires) || st.tokens < 1 || st.inFlight >= st.slots {
		return false
	}
	st.tokens--
	st.inFlight++
	return true
}

func (st *accountState) release() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight--
}

func (st *accountState) retryAfter() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return max(st.wait, renewInterval)
}
