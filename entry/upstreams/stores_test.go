package upstreams

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

// TestDutyIsAskedWithoutLock: the duty asks for the state of replicas under its
// own lock, so both would wait for each other for ever if it were asked under
// the lock of the upstreams.
func TestDutyIsAskedWithoutLock(t *testing.T) {
	is := is.New(t)
	asked, free := false, false
	u := &Upstreams{Logger: log.NewNopLogger(), Now: func() time.Time { return time.UnixMilli(1_000_000) }}
	u.Cleans = func(time.Time) bool {
		asked = true
		if free = u.mu.TryLock(); free {
			u.mu.Unlock()
		}
		return true
	}
	u.Directory(func(d *directory.Directory) {
		d.Configure(map[string]directory.StoreConfig{"kept": {Capacity: 1000}})
		d.Replace(u.Now(), "kept", directory.Listing{Epoch: 1})
	})
	listed := u.Now()
	is.NoErr(u.readStore(t.Context(), emptyStore{}, "kept", netip.AddrPort{}, &listed))
	is.True(asked)
	is.True(free) // no lock is held meanwhile
}
