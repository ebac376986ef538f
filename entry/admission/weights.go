package admission

import (
	"context"
	"fmt"
	"time"

	"crocusfold.dev/core/loadlimit"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/jsoncall"
)

// Times of loading weights.
const (
	loadLimit = 8 * time.Second
	// loadTakeOver is how long a new owner of the loads waits.
	loadTakeOver = 3 * time.Second
)

// loadsOwner is the key of the instance that limits the loads of weights.
const loadsOwner = "weight-loads"

type weightOrder struct {
	Version string `json:"version"`
	// Fence is the offset of the configuration that the order follows. It grows
	// in log order, so an order from before a pause carries an older number.
	Fence uint64 `json:"fence"`
}

// reconcile has an engine load the version that the intent states, if it
// reports another one. It compares with each report anew, so an engine that
// ignores fencing numbers and took an old order is put right again.
func (f *Admission) reconcile(ctx context.Context, u upstream.Upstream, reported string) {
	want, ok := f.wantedVersion(u)
	if !ok || want == reported || reported == "" {
		return
	}
	if !f.startLoad(u.Name) {
		return
	}
	go func() {
		defer f.endLoad(u.Name)
		ctx, cancel := context.WithTimeout(ctx, loadLimit)
		defer cancel()
		if err := f.load(ctx, u); err != nil {
			_ = f.Logger.Log("msg", "An engine did not load its weights.", "upstream", u.Name, "version", want, "err", err)
		}
	}()
}

func (f *Admission) wantedVersion(u upstream.Upstream) (string, bool) {
	for _, w := range f.Follower.View().Intent.Works {
		if w.Role == u.Role && w.Model != "" {
			return w.Version, true
		}
	}
	return "", false
}

// startLoad makes sure that this instance sends an engine one order at a time.
func (f *Admission) startLoad(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loading[name] {
		return false
	}
	f.loading[name] = true
	return true
}

func (f *Admission) endLoad(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loading, name)
}

// load gets a permit and sends the order. What is wanted is looked up again
// after the permit, right before the order is sent.
func (f *Admission) load(ctx context.Context, u upstream.Upstream) error {
	owner, ok := roster.Owner(loadsOwner, f.Follower.Live(time.Now()))
	if !ok {
		return nil
	}
	rep, err := mesh.Ask[message.PermitReply](ctx, f.Endpoint, owner, message.LoadPermit{Upstream: u.Name})
	if err != nil {
		return fmt.Errorf("asking for a load: %w", err)
	}
	if !rep.OK {
		return nil
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitLimit)
		defer cancel()
		_, _ = f.Endpoint.Call(ctx, owner, message.LoadPermit{Upstream: u.Name, Release: true})
	}()
	want, ok := f.wantedVersion(u)
	if !ok || !f.Follower.AllowsNewWork(time.Now()) {
		return nil
	}
	return f.order(ctx, u, weightOrder{want, f.Follower.View().Offset})
}

func (f *Admission) order(ctx context.Context, u upstream.Upstream, o weightOrder) error {
	if err := jsoncall.Post(ctx, f.Client, "http://"+u.Address.String()+"/orders", o, nil); err != nil {
		return fmt.Errorf("sending an order to %s: %w", u.Name, err)
	}
	_ = f.Logger.Log("msg", "An engine loaded weights.", "upstream", u.Name, "version", o.Version, "fence", o.Fence)
	return nil
}

// permitLoad answers for the limit on loads. An instance that was not the owner
// a moment ago waits first.
func (f *Admission) permitLoad(now time.Time, m message.LoadPermit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.weights == nil {
		f.weights = &loadlimit.LoadLimit{NotBefore: now.Add(loadTakeOver)}
	}
	if m.Release {
		f.weights.Release(m.Upstream)
		return true
	}
	return f.weights.Permit(now, m.Upstream)
}
