package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Cache is a stand-in for a store of KV cache.
type Cache struct {
	mu     sync.Mutex
	addr   string
	server *http.Server
	epoch  int
	held   map[[2]string]heldPart
	events [][]any
}

// heldPart is a part that is whole, or is still being written.
type heldPart struct {
	tokens int
	madeBy string
	whole  bool
}

func startCache() *Cache {
	ln := listen("127.0.0.1")
	c := &Cache{addr: ln.Addr().String()}
	c.serve(ln)
	return c
}

func (c *Cache) serve(ln net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	c.held, c.events = map[[2]string]heldPart{}, nil
	c.server = &http.Server{Handler: c}
	server := c.server
	go func() { _ = server.Serve(ln) }()
}

// Crash ends the store with all its channels, and starts it again, empty, after the time
// down.
func (c *Cache) Crash(down time.Duration) error {
	_ = c.server.Close()
	c.mu.Lock()
	c.held = nil
	c.mu.Unlock()
	time.Sleep(down)
	ln, err := net.Listen("tcp", c.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	c.serve(ln)
	return nil
}

// Reserve begins the write of a part. It returns a number for Complete, or false if the
// store is down, or has the part or a write of it already.
func (c *Cache) Reserve(salt, id string, tokens int, madeBy string) (epoch int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{salt, id}
	if _, taken := c.held[key]; taken || c.held == nil {
		return 0, false
	}
	c.held[key] = heldPart{tokens: tokens, madeBy: madeBy}
	return c.epoch, true
}

// Complete ends the write of a part that Reserve began in an epoch.
func (c *Cache) Complete(epoch int, salt, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{salt, id}
	part, ok := c.held[key]
	if !ok || epoch != c.epoch {
		return
	}
	part.whole = true
	c.held[key] = part
	c.events = append(c.events, []any{len(c.events) + 1, "+", salt, id, part.tokens, "m"})
}

// Put stores a part that a tenant's request made, unless it is held already: a part that a
// store holds stays as it was first made.
func (c *Cache) Put(salt, id string, tokens int, madeBy string) {
	if epoch, ok := c.Reserve(salt, id, tokens, madeBy); ok {
		c.Complete(epoch, salt, id)
	}
}

// Get returns the tenant whose request made a part.
func (c *Cache) Get(salt, id string) (madeBy string, ok bool) {
	part, ok := c.Look(salt, id)
	return part.madeBy, ok
}

// Look returns the state of a part.
func (c *Cache) Look(salt, id string) (heldPart, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	part, ok := c.held[[2]string{salt, id}]
	return part, ok
}

// ServeHTTP serves the calls of a store.
func (c *Cache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clock := time.Now().UnixMilli()
	switch r.URL.Path {
	case "/api/kv-list":
		c.mu.Lock()
		defer c.mu.Unlock()
		held, partial := [][]any{}, [][]any{}
		for key, part := range c.held {
			if part.whole {
				held = append(held, []any{key[0], key[1], part.tokens, "m"})
			} else {
				partial = append(partial, []any{key[0], key[1], 0, part.tokens})
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"bootEpoch": 77120 + c.epoch, "nextToken": len(c.events), "held": held, "partialEntries": partial, "clock_ms": clock})
	case "/api/kv-events":
		from, _ := strconv.Atoi(r.URL.Query().Get("startedAt"))
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		events := [][]any{}
		next, epoch := from, 0
		for until := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
			c.mu.Lock()
			epoch = 77120 + c.epoch
			if from < len(c.events) {
				events, next = append(events, c.events[from:]...), len(c.events)
			}
			c.mu.Unlock()
			if len(events) > 0 || time.Now().After(until) || r.Context().Err() != nil {
				break
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"bootEpoch": epoch, "nextToken": next, "lost": false, "events": events, "clock_ms": time.Now().UnixMilli()})
	case "/api/kv-free":
		var in struct {
			Parts [][2]string `json:"parts"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, key := range in.Parts {
			if _, ok := c.held[key]; ok {
				delete(c.held, key)
				c.events = append(c.events, []any{len(c.events) + 1, "-", key[0], key[1], 0, "m"})
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
