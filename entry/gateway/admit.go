package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/workload"
)

// maxBatchShare is the part of the instance's room that batch work may fill.
const maxBatchShare = 0.8

// authenticate finds the caller's account.
func (g *Gateway) authenticate(c call) (account.Account, error) {
	a, ok := g.Follower.View().AccountByToken(c.token)
	if !ok {
		return a, newCallError(c.id, http.StatusUnauthorized, "account-unknown", "the bearer token belongs to no client account")
	}
	return a, nil
}

// checkCurrent checks that the instance may start new work now.
func (g *Gateway) checkCurrent(c call) error {
	if !g.Follower.AllowsNewWork(time.Now()) {
		return newCallError(c.id, http.StatusServiceUnavailable, "not-current",
			"this instance can't tell whether its configuration is current").withRetryAfter(shortRetryAfter)
	}
	return nil
}

// admit lets a request in under the limits of its account and of the instance.
// The returned function must be called when the request has ended.
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
		return nil, newCallError(c.id, http.StatusServiceUnavailable, "instance-full", "this instance has no room").withRetryAfter(shortRetryAfter)
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
