package upstreams

import (
	"context"
	"net/netip"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/shell/clock"
)

// Times of following the stores.
const (
	// eventsWait is how long a read of a store's events waits.
	eventsWait = time.Second
	// eventsEvery is the least time between two reads, which bounds their cost.
	eventsEvery = 120 * time.Millisecond
	// listEvery is how often the whole contents are compared, since events get lost.
	listEvery = 10 * time.Second
	// listAfterGap is the least time between two lists, which are large.
	listAfterGap = 4 * time.Second
	// storesEvery is the pause between two looks at which stores there are.
	storesEvery = 300 * time.Millisecond
	// storeBackoff is the pause after a store could not be reached.
	storeBackoff = 400 * time.Millisecond
)

// FollowStores keeps the directory up to date until ctx ends, while this instance is
// one that follows the stores itself.
func (u *Upstreams) FollowStores(ctx context.Context, control adapter.Control) {
	running := map[string]context.CancelFunc{}
	ticker := time.NewTicker(storesEvery)
	defer ticker.Stop()
	for {
		stores := map[string]netip.AddrPort{}
		if u.Follows(u.Now()) {
			stores = u.Stores()
		}
		for name, stop := range running {
			if _, ok := stores[name]; !ok {
				stop()
				delete(running, name)
			}
		}
		for name, address := range stores {
			if _, ok := running[name]; !ok {
				follow, stop := context.WithCancel(ctx)
				running[name] = stop
				go u.followStore(follow, control, name, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Stores returns the addresses of the stores by name.
func (u *Upstreams) Stores() map[string]netip.AddrPort {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]netip.AddrPort, len(u.stores))
	for name, address := range u.stores {
		out[name] = address
	}
	return out
}

func (u *Upstreams) followStore(ctx context.Context, control adapter.Control, name string, address netip.AddrPort) {
	var listed time.Time
	failing := false
	for ctx.Err() == nil {
		began := u.Now()
		err := u.readStore(ctx, control, name, address, &listed)
		rest := eventsEvery - u.Now().Sub(began)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			msg := "A store of context can be read again."
			if failing {
				msg = "A store of context can't be read."
			}
			_ = u.Logger.Log("msg", msg, "store", name, "err", err)
		}
		if err != nil && ctx.Err() == nil {
			u.Directory(func(d *directory.Directory) { d.Forget(name) })
			listed = time.Time{}
			rest = storeBackoff
		}
		clock.Pause(ctx, rest)
	}
}

func (u *Upstreams) readStore(ctx context.Context, control adapter.Control, name string, address netip.AddrPort, listed *time.Time) error {
	now := u.Now()
	synced := false
	var epoch, last uint64
	// The holder of the duty is asked without the lock, since it asks for the
	// state of replicas under a lock of its own.
	cleans := u.Cleans(now)
	u.Directory(func(d *directory.Directory) {
		synced = d.Synced(name) && !(cleans && d.HasPartial(name))
		epoch, last = d.Position(name)
	})
	age := now.Sub(*listed)
	if listed.IsZero() || age > listEvery || !synced && age > listAfterGap {
		l, clockMillis, err := control.List(ctx, address)
		if err != nil {
			return err
		}
		*listed = now
		u.SetClock(u.Now(), clockMillis)
		u.Directory(func(d *directory.Directory) { d.Replace(now, name, l) })
		return nil
	}
	ev, err := control.Events(ctx, address, last, eventsWait)
	if err != nil {
		return err
	}
	u.SetClock(u.Now(), ev.ClockMillis)
	if ev.Epoch != epoch {
		_ = u.Logger.Log("msg", "A store of context has restarted.", "store", name, "epoch", ev.Epoch)
		*listed = time.Time{}
	}
	u.Directory(func(d *directory.Directory) { d.Apply(name, ev.Epoch, ev.Last, ev.Lost, ev.Events) })
	return nil
}
