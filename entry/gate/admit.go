package gate

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/workload"
)

// batchShare is the part of the instance's room that batch work may fill.
const batchShare = 0.8

// identify finds the caller's account.
func (g *Gate) identify(c call) (account.Account, error) {
	a, ok := g.Follow.View().AccountByToken(c.token)
	if !ok {
		return a, refuse(c.id, http.StatusUnauthorized, "account-unknown", "the bearer token belongs to no client account")
	}
	return a, nil
}

// open checks that the instance may start new work now.
func (g *Gate) open(c call) error {
	if !g.Follow.MayTakeWork(time.Now()) {
		return refuse(c.id, http.StatusServiceUnavailable, "not-current",
			"this instance can't tell whether its configuration is current").retry(retrySoon)
	}
	return nil
}

// admit lets a request in under the limits of its account and of the instance.
// The returned function must be called when the request has ended.
func (g *Gate) admit(ctx context.Context, c call, a account.Account, w workload.Workload) (func(), error) {
	if !w.AllowsAccount(a.Name) {
		return nil, refuse(c.id, http.StatusForbidden, "work-forbidden",
			fmt.Sprintf("account %s may not use %s", a.Name, w.Name))
	}
	room := float64(g.Settings.MaxRequests)
	if c.priority == batch {
		room *= batchShare
	}
	if n := g.inFlight.Add(1); float64(n) > room {
		g.inFlight.Add(-1)
		return nil, refuse(c.id, http.StatusServiceUnavailable, "instance-full", "this instance has no room").retry(retrySoon)
	}
	release, wait, ok := g.Limits.Admit(ctx, a)
	if !ok {
		g.inFlight.Add(-1)
		return nil, refuse(c.id, http.StatusTooManyRequests, "account-limit",
			fmt.Sprintf("account %s is over its limits", a.Name)).retry(wait)
	}
	g.budget.Deposit()
	return func() {
		release()
		g.inFlight.Add(-1)
	}, nil
}
