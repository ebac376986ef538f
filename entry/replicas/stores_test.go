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

// emptyStore is a platform with a store that holds nothing.
type emptyStore struct{ adapter.Control }

func (emptyStore) Events(context.Context, netip.AddrPort, uint64, time.Duration) (adapter.StoreEvents, error) {
	return adapter.StoreEvents{Epoch: 1}, nil
}

// TestCleansStoresCalledWithoutLock: the duty asks for the state of replicas under its
// own lock, so both would wait for each other for ever if it were asked under
// the lock of the upstreams.
func TestCleansStoresCalledWithoutLock(t *testing.T) {
	is := is.New(t)
	asked, free := false, false
	u := &Replicas{Logger: log.NewNopLogger(), Now: func() time.Time { return time.UnixMilli(1_000_000) }}
	u.CleansStores = func(time.Time) bool {
		asked = true
		if free = u.mu.TryLock(); free {
			u.mu.Unlock()
		}
		return true
	}
	u.WithDirectory(func(d *directory.Directory) {
		d.Configure(map[string]directory.StoreConfig{"kept": {Capacity: 1000}})
		d.Replace(u.Now(), "kept", directory.Listing{Epoch: 1})
	})
	listed := u.Now()
	is.NoErr(u.readStore(t.Context(), emptyStore{}, "kept", netip.AddrPort{}, &listed))
	is.True(asked)
	is.True(free) // no lock is held meanwhile
}
