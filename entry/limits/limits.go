// Package limits enforces the limits of client accounts over all instances. The
// instance that owns an account grants the others leases of its limit.
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

// Limits of requests for leases.
const (
	renewInterval  = 300 * time.Millisecond
	requestTimeout = 150 * time.Millisecond
	// idleTimeout is how long after its last request the lease of an account is
	// renewed, if no request is in flight.
	idleTimeout = 2 * time.Second
	// spareSlots is the number of slots requested above those of the requests that are
	// in flight or waiting.
	spareSlots = 1
	// maxLeaseRequests is the maximum number of leases that Admit requests for one
	// request.
	maxLeaseRequests = 3
)

// Limits admits requests under the limits of their accounts. The exported fields must
// be set before Attach is called. It is safe for concurrent use.
type Limits struct {
	Self     roster.Member
	Follower *configsync.Follower
	Endpoint *peerrpc.Endpoint

	mu       sync.Mutex
	accounts map[string]*accountState
	// quotas holds the quotas of the accounts that this instance owns.
	quotas map[string]*quota.Quota
	// knownAccounts holds the accounts of the view at the last renewal; nil if the view
	// was not proven current then. No instance can have granted leases of an account
	// that is not in it.
	knownAccounts map[string]bool
	// readyAt is when the leases granted by previous owners have expired, after which
	// this instance's quotas are granted in full; zero before there are accounts.
	readyAt time.Time
}

// accountState is this instance's state for one account.
type accountState struct {
	// requesting is a semaphore for requests to the owner: one at a time requests a
	// lease, on behalf of all callers that wait.
	requesting chan struct{}

	mu sync.Mutex
	// tokens is the number of tokens left of the lease, slots the number of leased
	// slots, and expires is when the lease expires.
	tokens  int
	slots   int
	expires time.Time
	// wait is the time until the next token is available, as of the last lease.
	wait time.Duration
	// inFlight is the number of admitted requests that have not ended.
	inFlight int
	// waiting is the number of requests waiting to be admitted.
	waiting     int
	lastArrival time.Time
}

// Attach initialises the state and registers the handler for the peers' requests for
// leases. It must be called once, before Run.
func (l *Limits) Attach() {
	l.accounts = map[string]*accountState{}
	l.quotas = map[string]*quota.Quota{}
	l.Endpoint.Handle(l.handle)
}

// Run prepares the quotas of owned accounts and renews leases, until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	clock.Every(ctx, renewInterval, func() {
		l.prepareOwnedQuotas(time.Now())
		l.renewLeases(ctx)
	})
}

// prepareOwnedQuotas creates the quotas of newly owned accounts before their first
// lease is requested, so that the handover time, quota.LeaseTTL, has passed by then.
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
			// If the account is owned again later, its handover starts anew.
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

// Ready reports whether the instance has had a configuration for long enough to grant
// full leases of the accounts that it owns.
func (l *Limits) Ready(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.readyAt.IsZero() && !now.Before(l.readyAt)
}

// quota returns the quota of an account, and creates it if necessary. The caller must
// hold l.mu.
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

// renewLeases requests new leases for the accounts that are in use, so that they keep
// their slots. It does not wait for the responses.
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

// Admit admits a request if its account has no limits, or a token and a slot left. If
// it returns true, the returned function must be called when the request has ended. If
// it returns false, the duration is the time after which a retry may succeed.
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

// state returns the state of an account, and creates it if necessary.
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

// requestLease requests a lease from the account's owner, for all requests that wait.
// One caller at a time does so; the others then use the lease that it received. If the
// owner does not respond, the fallback lease applies.
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

// handle handles a request for a lease. An unknown account gets an empty lease.
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

// leaseRequest returns the request to send to the owner. It returns false if requests
// wait and the current lease suffices for all of them, since another caller has just
// received it.
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

// applyLease applies a lease that was requested at the time sent. The lease is valid
// from then on, so that it expires here before it does at the owner.
func (st *accountState) applyLease(sent time.Time, l quota.Lease) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !sent.Before(st.expires) {
		st.tokens = 0
	}
	st.tokens += l.Tokens
	st.slots, st.wait, st.expires = l.Slots, l.Wait, sent.Add(quota.LeaseTTL)
}

// applyFallback applies a fallback lease if the last lease has expired.
func (st *accountState) applyFallback(now time.Time, l quota.Lease) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if now.Before(st.expires) {
		return
	}
	st.tokens, st.slots, st.wait, st.expires = l.Tokens, l.Slots, l.Wait, now.Add(quota.LeaseTTL)
}

// acquire takes one token and one slot. It returns false if one of them is missing.
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
