package admission

import (
	"context"
	"fmt"
	"time"

	"crocusfold.dev/core/loadlimit"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/jsoncall"
)

// Times of loading weights.
const (
	loadTimeout = 8 * time.Second
	// loadHandoverDelay is how long a new owner of the loads waits.
	loadHandoverDelay = 3 * time.Second
)

// loadLimitKey is the key of the instance that limits the loads of weights.
const loadLimitKey = "weight-loads"

type loadCommand struct {
	Version string `json:"version"`
	// Fence is the offset of the configuration that the order follows. It grows
	// in log order, so an order from before a pause carries an older number.
	Fence uint64 `json:"fence"`
}

// reconcile has an engine load the version that the intent states, if it
// reports another one. It compares with each report anew, so an engine that
// ignores fencing numbers and took an old order is put right again.
func (a *Admission) reconcile(ctx context.Context, u upstream.Upstream, reported string) {
	desired, ok := a.desiredVersion(u)
	if !ok || desired == reported || reported == "" {
		return
	}
	if !a.startLoad(u.Name) {
		return
	}
	go func() {
		defer a.endLoad(u.Name)
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		if err := a.load(ctx, u); err != nil {
			_ = a.Logger.Log("msg", "An engine did not load its weights.", "upstream", u.Name, "version", desired, "err", err)
		}
	}()
}

func (a *Admission) desiredVersion(u upstream.Upstream) (string, bool) {
	for _, w := range a.Follower.View().Intent.Works {
		if w.Role == u.Role && w.Model != "" {
			return w.Version, true
		}
	}
	return "", false
}

// startLoad makes sure that this instance sends an engine one order at a time.
func (a *Admission) startLoad(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loading[name] {
		return false
	}
	a.loading[name] = true
	return true
}

func (a *Admission) endLoad(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.loading, name)
}

// load gets a permit and sends the order. What is wanted is looked up again
// after the permit, right before the order is sent.
func (a *Admission) load(ctx context.Context, u upstream.Upstream) error {
	owner, ok := roster.Owner(loadLimitKey, a.Follower.Live(time.Now()))
	if !ok {
		return nil
	}
	resp, err := peerrpc.Call[message.PermitResponse](ctx, a.Endpoint, owner, message.LoadPermit{Upstream: u.Name})
	if err != nil {
		return fmt.Errorf("asking for a load: %w", err)
	}
	if !resp.Granted {
		return nil
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		_, _ = a.Endpoint.Call(ctx, owner, message.LoadPermit{Upstream: u.Name, Release: true})
	}()
	desired, ok := a.desiredVersion(u)
	if !ok || !a.Follower.AllowsNewWork(time.Now()) {
		return nil
	}
	return a.sendLoadCommand(ctx, u, loadCommand{desired, a.Follower.View().Offset})
}

func (a *Admission) sendLoadCommand(ctx context.Context, u upstream.Upstream, cmd loadCommand) error {
	if err := jsoncall.Post(ctx, a.Client, "http://"+u.Address.String()+"/orders", cmd, nil); err != nil {
		return fmt.Errorf("sending an order to %s: %w", u.Name, err)
	}
	_ = a.Logger.Log("msg", "An engine loaded weights.", "upstream", u.Name, "version", cmd.Version, "fence", cmd.Fence)
	return nil
}

// grantLoadPermit answers for the limit on loads. An instance that was not the owner
// a moment ago waits first.
func (a *Admission) grantLoadPermit(now time.Time, m message.LoadPermit) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loadLimit == nil {
		a.loadLimit = &loadlimit.LoadLimit{NotBefore: now.Add(loadHandoverDelay)}
	}
	if m.Release {
		a.loadLimit.Release(m.Upstream)
		return true
	}
	return a.loadLimit.Permit(now, m.Upstream)
}
