// Package cache looks up exported context in the KV stores and has engines export new
// context to them.
package cache

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/store"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/shell/jsoncall"
)

// Timeouts and bounds on the use of stores and links.
const (
	lookupTimeout = 60 * time.Millisecond
	exportTimeout = 5 * time.Second
	// maxExports bounds the exports that run at the same time.
	maxExports = 8
	// failureBackoff is how long no store is queried after a lookup has failed.
	failureBackoff = time.Second
)

// Location identifies one complete block in a store, as the store acknowledged it.
type Location struct {
	Key         string `json:"key"`
	Incarnation string `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Length      int    `json:"length"`
	Hash        string `json:"hash"`
}

// LookupResult lists the leading blocks of a prompt that a store holds.
type LookupResult struct {
	Store  netip.AddrPort `json:"store"`
	Blocks []Location     `json:"blocks"`
	// LinkWait is how long earlier transfers occupy the link to the store.
	LinkWait time.Duration `json:"-"`
}

// lookupResponse is a store's response to a lookup.
type lookupResponse struct {
	Blocks     []Location `json:"blocks"`
	WaitMillis int        `json:"wait-millis"`
}

// Cache is a client of the stores. Client and Logger must be set. It is safe for
// concurrent use.
type Cache struct {
	Client *http.Client
	Logger log.Logger

	activeExports atomic.Int64
	// backoffUntil is the end of the pause after the last failed lookup.
	backoffUntil atomic.Pointer[time.Time]
}

// SelectStore returns the store for a session's context, or false if there are no
// stores. It is computed by rendezvous hashing, so that no directory is needed.
func SelectStore(session string, stores []store.Store) (store.Store, bool) {
	var best store.Store
	var top uint64
	for i, s := range stores {
		if h := xxhash.Sum64String(session + "\x00" + s.Name); i == 0 || h > top {
			best, top = s, h
		}
	}
	return best, len(stores) > 0
}

// Lookup returns the leading blocks that the session's store holds. The result is empty
// if the lookup fails or exceeds lookupTimeout, and during the failureBackoff after a
// failed lookup of any store.
func (c *Cache) Lookup(ctx context.Context, now time.Time, session string, keys []block.Key, stores []store.Store) LookupResult {
	st, ok := SelectStore(session, stores)
	if !ok || len(keys) == 0 {
		return LookupResult{}
	}
	if d := c.backoffUntil.Load(); d != nil && now.Before(*d) {
		return LookupResult{}
	}
	var resp lookupResponse
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if err := c.post(ctx, st.Address, "/lookup", keys, &resp); err != nil {
		until := now.Add(failureBackoff)
		c.backoffUntil.Store(&until)
		_ = c.Logger.Log("msg", "A store lookup failed; the context is recomputed.", "store", st.Name, "err", err)
		return LookupResult{}
	}
	return LookupResult{Store: st.Address, Blocks: resp.Blocks, LinkWait: time.Duration(resp.WaitMillis) * time.Millisecond}
}

type exportRequest struct {
	Store netip.AddrPort `json:"store"`
	Keys  []block.Key    `json:"keys"`
}

// Export has an engine write the session's blocks to the session's store, in the
// background. The export is dropped if maxExports are running; a failure is logged.
func (c *Cache) Export(session string, u upstream.Upstream, keys []block.Key, stores []store.Store) {
	st, ok := SelectStore(session, stores)
	if !ok || len(keys) == 0 {
		return
	}
	if c.activeExports.Add(1) > maxExports {
		c.activeExports.Add(-1)
		return
	}
	go func() {
		defer c.activeExports.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		var resp struct {
			Exported int `json:"exported"`
		}
		if err := c.post(ctx, u.Address, "/kv/export", exportRequest{st.Address, keys}, &resp); err != nil {
			_ = c.Logger.Log("msg", "An export to a store failed.", "upstream", u.Name, "store", st.Name, "err", err)
		}
	}()
}

func (c *Cache) post(ctx context.Context, to netip.AddrPort, path string, body, out any) error {
	if err := jsoncall.Post(ctx, c.Client, "http://"+to.String()+path, body, out); err != nil {
		return fmt.Errorf("calling a store or engine: %w", err)
	}
	return nil
}
