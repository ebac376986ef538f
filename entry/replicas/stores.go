package replicas

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
	// eventsWait is how long a request for a store's events waits for the first one.
	eventsWait = time.Second
	// eventsInterval is the least time between the starts of two requests to a store,
	// which bounds their cost.
	eventsInterval = 120 * time.Millisecond
	// listInterval is the time after which the complete contents of a store are listed
	// again, since events may be lost.
	listInterval = 10 * time.Second
	// minListInterval is the least time between two listings, which are large, while
	// the directory is not synced with the store.
	minListInterval = 4 * time.Second
	// storesInterval is the interval at which the set of followed stores is updated.
	storesInterval = 300 * time.Millisecond
	// storeBackoff is the pause after a failed request to a store.
	storeBackoff = 400 * time.Millisecond
)

// FollowStores updates the directory from the stores until ctx ends, during the times
// when FollowsStores reports true.
func (rs *Replicas) FollowStores(ctx context.Context, control adapter.Control) {
	running := map[string]context.CancelFunc{}
	ticker := time.NewTicker(storesInterval)
	defer ticker.Stop()
	for {
		stores := map[string]netip.AddrPort{}
		if rs.FollowsStores(rs.Now()) {
			stores = rs.StoreAddresses()
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
				go rs.followStore(follow, control, name, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// StoreAddresses returns the addresses of the stores by name.
func (rs *Replicas) StoreAddresses() map[string]netip.AddrPort {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make(map[string]netip.AddrPort, len(rs.stores))
	for name, address := range rs.stores {
		out[name] = address
	}
	return out
}

// followStore updates the directory from one store until ctx ends. While the store
// can't be read, the directory has no state of it.
func (rs *Replicas) followStore(ctx context.Context, control adapter.Control, name string, address netip.AddrPort) {
	var listedAt time.Time
	failing := false
	for ctx.Err() == nil {
		startedAt := rs.Now()
		err := rs.readStore(ctx, control, name, address, &listedAt)
		pause := eventsInterval - rs.Now().Sub(startedAt)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			msg := "A store of context can be read again."
			if failing {
				msg = "A store of context can't be read."
			}
			_ = rs.Logger.Log("msg", msg, "store", name, "err", err)
		}
		if err != nil && ctx.Err() == nil {
			rs.WithDirectory(func(d *directory.Directory) { d.Forget(name) })
			listedAt = time.Time{}
			pause = storeBackoff
		}
		clock.Pause(ctx, pause)
	}
}

// readStore updates the directory from a listing of a store, if one is due, and else
// from the store's events. listedAt is the time of the last listing; zero requires one.
func (rs *Replicas) readStore(ctx context.Context, control adapter.Control, name string, address netip.AddrPort, listedAt *time.Time) error {
	now := rs.Now()
	synced := false
	var epoch, last uint64
	// CleansStores takes the lock of the leader. It is called before the lock is taken
	// here, which rules out a deadlock with a leader that calls Replicas under its own
	// lock.
	cleansStores := rs.CleansStores(now)
	rs.WithDirectory(func(d *directory.Directory) {
		synced = d.Synced(name) && !(cleansStores && d.HasPartial(name))
		epoch, last = d.Position(name)
	})
	age := now.Sub(*listedAt)
	if listedAt.IsZero() || age > listInterval || !synced && age > minListInterval {
		listing, clockMillis, err := control.List(ctx, address)
		if err != nil {
			return err
		}
		*listedAt = now
		rs.SetReplicaClock(rs.Now(), clockMillis)
		rs.WithDirectory(func(d *directory.Directory) { d.Replace(now, name, listing) })
		return nil
	}
	ev, err := control.Events(ctx, address, last, eventsWait)
	if err != nil {
		return err
	}
	rs.SetReplicaClock(rs.Now(), ev.ClockMillis)
	if ev.Epoch != epoch {
		_ = rs.Logger.Log("msg", "A store of context has restarted.", "store", name, "epoch", ev.Epoch)
		*listedAt = time.Time{}
	}
	rs.WithDirectory(func(d *directory.Directory) { d.Apply(name, ev.Epoch, ev.Last, ev.Lost, ev.Events) })
	return nil
}
