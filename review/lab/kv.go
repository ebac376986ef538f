package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type part struct{ salt, id string }

// KV is a stand-in for a store of kept KV cache that drops nothing by itself (managed).
type KV struct {
	Name, Address string
	Capacity      int
	mu            sync.Mutex
	held          map[part]int
	makers        map[part]string
	used          int
	events        [][]any
	changed       chan struct{}
}

func newKV(name string, capacity int) *KV {
	return &KV{Name: name, Capacity: capacity, held: map[part]int{}, makers: map[part]string{}, changed: make(chan struct{})}
}

// Save keeps a part that a request of a tenant made, if there is room.
func (k *KV) Save(p part, tokens int, maker string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	size := (tokens + 15) / 16 * 16
	if _, ok := k.held[p]; ok || k.used+size > k.Capacity {
		return
	}
	k.held[p], k.makers[p] = tokens, maker
	k.used += size
	k.event("+", p, tokens)
}

// Maker returns whose request made a part that the store keeps.
func (k *KV) Maker(p part) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.held[p]
	return k.makers[p], ok
}

func (k *KV) event(sign string, p part, tokens int) {
	k.events = append(k.events, []any{len(k.events) + 1, sign, p.salt, p.id, tokens, "m1"})
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/kv-list":
		k.mu.Lock()
		held := make([][]any, 0, len(k.held))
		for p, n := range k.held {
			held = append(held, []any{p.salt, p.id, n, "m1"})
		}
		last := len(k.events)
		k.mu.Unlock()
		writeJSON(w, map[string]any{"bootEpoch": 7, "nextToken": last, "held": held, "partialEntries": [][]any{}, "clock_ms": time.Now().UnixMilli()})
	case "/api/kv-events":
		k.serveEvents(w, r)
	case "/api/kv-free":
		var f struct {
			Parts [][2]string `json:"parts"`
		}
		_ = json.NewDecoder(r.Body).Decode(&f)
		k.mu.Lock()
		for _, row := range f.Parts {
			p := part{row[0], row[1]}
			if n, ok := k.held[p]; ok {
				delete(k.held, p)
				k.used -= (n + 15) / 16 * 16
				k.event("-", p, n)
			}
		}
		k.mu.Unlock()
		writeJSON(w, map[string]any{})
	case "/api/report":
		k.mu.Lock()
		defer k.mu.Unlock()
		writeJSON(w, map[string]any{"kvUsed": k.used, "kvTotal": k.Capacity, "bootEpoch": 7})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (k *KV) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("startedAt"))
	ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	end := time.After(time.Duration(min(ms, 1000)) * time.Millisecond)
	for {
		k.mu.Lock()
		n := len(k.events)
		var out [][]any
		if after < n {
			out = append(out, k.events[after:min(n, after+2000)]...)
		}
		changed := k.changed
		k.mu.Unlock()
		if len(out) > 0 || ms == 0 {
			writeJSON(w, map[string]any{"bootEpoch": 7, "nextToken": after + len(out), "lost": false, "events": append([][]any{}, out...), "clock_ms": time.Now().UnixMilli()})
			return
		}
		select {
		case <-changed:
		case <-end:
			ms = 0
		case <-r.Context().Done():
			return
		}
	}
}
