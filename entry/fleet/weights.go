package fleet

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
func (f *Fleet) reconcile(ctx context.Context, u upstream.Upstream, reported string) {
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

func (f *Fleet) wantedVersion(u upstream.Upstream) (string, bool) {
	for _, w := range f.Follow.View().Intent.Works {
		if w.Role == u.Role && w.Model != "" {
			return w.Version, true
		}
	}
	return "", false
}

// startLoad makes sure that this instance sends an engine one order at a time.
func (f *Fleet) startLoad(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loading[name] {
		return false
	}
	f.loading[name] = true
	return true
}

func (f *Fleet) endLoad(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loading, name)
}

// load gets a permit and sends the order. What is wanted is looked up again
// after the permit, right before the order is sent.
func (f *Fleet) load(ctx context.Context, u upstream.Upstream) error {
	owner, ok := roster.Owner(loadsOwner, f.Follow.Live(time.Now()))
	if !ok {
		return nil
	}
	rep, err := peerrpc.Call[message.PermitResponse](ctx, f.Mesh, owner, message.LoadPermit{Upstream: u.Name})
	if err != nil {
		return fmt.Errorf("asking for a load: %w", err)
	}
	if !rep.Granted {
		return nil
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitLimit)
		defer cancel()
		_, _ = f.Mesh.Call(ctx, owner, message.LoadPermit{Upstream: u.Name, Release: true})
	}()
	want, ok := f.wantedVersion(u)
	if !ok || !f.Follow.MayTakeWork(time.Now()) {
		return nil
	}
	return f.order(ctx, u, weightOrder{want, f.Follow.View().Offset})
}

func (f *Fleet) order(ctx context.Context, u upstream.Upstream, o weightOrder) error {
	if err := jsoncall.Post(ctx, f.Client, "http://"+u.Address.String()+"/orders", o, nil); err != nil {
		return fmt.Errorf("sending an order to %s: %w", u.Name, err)
	}
	_ = f.Logger.Log("msg", "An engine loaded weights.", "upstream", u.Name, "version", o.Version, "fence", o.Fence)
	return nil
}

// permitLoad answers for the limit on loads. An instance that was not the owner
// a moment ago waits first.
func (f *Fleet) permitLoad(now time.Time, m message.LoadPermit) bool {
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
