package replicas

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/entry/adapter"
)

// emptyStore is a platform whose stores are empty.
type emptyStore struct{ adapter.Control }

func (emptyStore) Events(context.Context, netip.AddrPort, uint64, time.Duration) (adapter.StoreEvents, error) {
	return adapter.StoreEvents{Epoch: 1}, nil
}

// TestCleansStoresCalledWithoutLock checks that CleansStores is called without the lock
// of Replicas. It takes the lock of the leader, so that it would deadlock with a leader
// that calls Replicas under that lock.
func TestCleansStoresCalledWithoutLock(t *testing.T) {
	is := is.New(t)
	called, unlocked := false, false
	rs := &Replicas{Logger: log.NewNopLogger(), Now: func() time.Time { return time.UnixMilli(1_000_000) }}
	rs.CleansStores = func(time.Time) bool {
		called = true
		if unlocked = rs.mu.TryLock(); unlocked {
			rs.mu.Unlock()
		}
		return true
	}
	rs.WithDirectory(func(d *directory.Directory) {
		d.Configure(map[string]directory.StoreConfig{"kept": {Capacity: 1000}})
		d.Replace(rs.Now(), "kept", directory.Listing{Epoch: 1})
	})
	listed := rs.Now()
	is.NoErr(rs.readStore(t.Context(), emptyStore{}, "kept", netip.AddrPort{}, &listed))
	is.True(called)
	is.True(unlocked) // during the call
}
