// Package cache finds exported context in the stores and has new context exported.
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

// Limits on the use of stores and links.
const (
	lookupTimeout = 60 * time.Millisecond
	exportTimeout = 5 * time.Second
	// maxExports bounds the exports that run at once.
	maxExports = 8
	// failureBackoff is how long a store that failed is not asked.
	failureBackoff = time.Second
)

// Location names one whole block in a store, as the store acknowledged it.
type Location struct {
	Key         string `json:"key"`
	Incarnation string `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Length      int    `json:"length"`
	Hash        string `json:"hash"`
}

// LookupResult is what a store holds of a prompt.
type LookupResult struct {
	Store  netip.AddrPort `json:"store"`
	Blocks []Location     `json:"blocks"`
	// LinkWait is how long the store's link is taken by earlier transfers.
	LinkWait time.Duration `json:"-"`
}

// lookupResponse is a store's answer.
type lookupResponse struct {
	Blocks     []Location `json:"blocks"`
	WaitMillis int        `json:"wait-millis"`
}

// Cache talks to the stores. Client and Logger must be set. It is safe for
// concurrent use.
type Cache struct {
	Client *http.Client
	Logger log.Logger

	activeExports atomic.Int64
	backoffUntil  atomic.Pointer[time.Time]
}

// SelectStore returns the store for a session's context: computed by rendezvous
// hashing, so no directory is needed.
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

// Lookup returns the leading blocks that the session's store holds. A store
// that does not answer in time holds nothing.
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
		_ = c.Logger.Log("msg", "A store did not answer; its context is recomputed.", "store", st.Name, "err", err)
		return LookupResult{}
	}
	return LookupResult{Store: st.Address, Blocks: resp.Blocks, LinkWait: time.Duration(resp.WaitMillis) * time.Millisecond}
}

type exportRequest struct {
	Store netip.AddrPort `json:"store"`
	Keys  []block.Key    `json:"keys"`
}

// Export has an engine write the session's blocks to its store, in the
// background. It is dropped if too many exports run.
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
			_ = c.Logger.Log("msg", "An export failed.", "upstream", u.Name, "store", st.Name, "err", err)
		}
	}()
}

func (c *Cache) post(ctx context.Context, to netip.AddrPort, path string, body, out any) error {
	if err := jsoncall.Post(ctx, c.Client, "http://"+to.String()+path, body, out); err != nil {
		return fmt.Errorf("calling a store or engine: %w", err)
	}
	return nil
}
