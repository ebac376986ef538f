package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/workload"
)

// maxBatchShare is the share of the instance's capacity up to which requests with the
// priority batch are admitted.
const maxBatchShare = 0.8

// authenticate returns the client account that the call's bearer token belongs to.
func (g *Gateway) authenticate(c call) (account.Account, error) {
	a, ok := g.Follower.View().AccountByToken(c.token)
	if !ok {
		return a, newCallError(c.id, http.StatusUnauthorized, "account-unknown", "the bearer token belongs to no client account")
	}
	return a, nil
}

// checkCurrent returns an error if the configuration can't be proven current. The
// instance starts no requests then.
func (g *Gateway) checkCurrent(c call) error {
	if !g.Follower.AllowsNewWork(time.Now()) {
		return newCallError(c.id, http.StatusServiceUnavailable, "not-current",
			"this instance can't prove that its configuration is current").withRetryAfter(shortRetryAfter)
	}
	return nil
}

// admit admits a request if its account may use the workload, the instance has
// capacity, and the account is within its limits. The returned function must be called
// when the request has ended.
func (g *Gateway) admit(ctx context.Context, c call, a account.Account, w workload.Workload) (func(), error) {
	if !w.AllowsAccount(a.Name) {
		return nil, newCallError(c.id, http.StatusForbidden, "work-forbidden",
			fmt.Sprintf("account %s may not use %s", a.Name, w.Name))
	}
	capacity := float64(g.Settings.MaxRequests)
	if c.priority == priorityBatch {
		capacity *= maxBatchShare
	}
	if n := g.inFlight.Add(1); float64(n) > capacity {
		g.inFlight.Add(-1)
		return nil, newCallError(c.id, http.StatusServiceUnavailable, "instance-full", "this instance has no capacity for more requests").withRetryAfter(shortRetryAfter)
	}
	release, wait, ok := g.Limits.Admit(ctx, a)
	if !ok {
		g.inFlight.Add(-1)
		return nil, newCallError(c.id, http.StatusTooManyRequests, "account-limit",
			fmt.Sprintf("account %s is over its limits", a.Name)).withRetryAfter(wait)
	}
	g.retryBudget.Deposit()
	return func() {
		release()
		g.inFlight.Add(-1)
	}, nil
}
