package engine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"crocusfold.dev/core/block"
	"crocusfold.dev/standin/fault"
	"crocusfold.dev/standin/kvstore"
)

// transferTimeout bounds one call between an engine and a store.
const transferTimeout = 2 * time.Second

// maxBlock bounds one block, in bytes.
const maxBlock = 1 << 20

type importRequest struct {
	Store  netip.AddrPort     `json:"store"`
	Blocks []kvstore.Location `json:"blocks"`
}

// importBlock fetches one block and checks that it is the one that was located:
// the same incarnation and generation, and the same length and hash.
func (e *Engine) importBlock(ctx context.Context, req *importRequest, i int, key block.Key) bool {
	loc := req.Blocks[i]
	if loc.Key != key.String() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/blocks/%s?incarnation=%s&generation=%d", req.Store, key, loc.Incarnation, loc.Generation)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := e.client().Do(httpReq)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBlock))
	sum := sha256.Sum256(data)
	if err != nil || resp.StatusCode != http.StatusOK || len(data) != loc.Length || hex.EncodeToString(sum[:]) != loc.Hash {
		return false
	}
	wait(ctx, e.Params.ImportTime)
	return string(data) == content(key)
}

func (e *Engine) client() *http.Client {
	if e.Client == nil {
		return http.DefaultClient
	}
	return e.Client
}

// content is what the stand-in writes as a block's KV data.
func content(key block.Key) string { return strings.Repeat(key.String(), 8) }

type exportRequest struct {
	Store netip.AddrPort `json:"store"`
	Keys  []block.Key    `json:"keys"`
}

type exportResponse struct {
	Exported int `json:"exported"`
}

// export writes the asked blocks that are still in the cache to a store.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	e.abortIfDown()
	var req exportRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "the export can't be read", http.StatusBadRequest)
		return
	}
	n := 0
	for _, key := range req.Keys[:e.cachedBlocks(req.Keys)] {
		if !e.exportBlock(r.Context(), req.Store, key) {
			break
		}
		n++
	}
	fault.WriteJSON(w, exportResponse{n})
}

func (e *Engine) exportBlock(ctx context.Context, store netip.AddrPort, key block.Key) bool {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/blocks/%s", store, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader([]byte(content(key))))
	if err != nil {
		return false
	}
	resp, err := e.client().Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addEvent adds a cache event. The caller holds mu.
func (e *Engine) addEvent(kind string, key block.Key) {
	seq := uint64(1)
	if n := len(e.events); n > 0 {
		seq = e.events[n-1].Seq + 1
	}
	e.events = append(e.events, Event{seq, kind, key, time.Now()})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents/2:]
	}
}

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 10_000

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	e.abortIfDown()
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	f := e.faults.Get()
	until := time.Now().Add(-time.Duration(f.EventLagMillis) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []Event{}
	for _, ev := range e.events {
		if ev.Seq >= from && !ev.at.After(until) && (!f.EventGap || ev.Seq%2 == 0) {
			out = append(out, ev)
		}
	}
	fault.WriteJSON(w, map[string]any{"incarnation": e.incarnation(), "events": out})
}

type loadCommand struct {
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// fetchWeights gets a version from the weight store.
func (e *Engine) fetchWeights(ctx context.Context, version string) error {
	if !e.WeightStore.IsValid() {
		return nil
	}
	url := fmt.Sprintf("http://%s/weights/%s/%s", e.WeightStore, e.Model, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("preparing to load weights: %w", err)
	}
	resp, err := e.client().Do(req)
	if err != nil {
		return fmt.Errorf("loading weights: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("loading weights: status %d", resp.StatusCode)
	}
	return nil
}

// loadWeights loads another weight version. Running requests end on their own.
func (e *Engine) loadWeights(w http.ResponseWriter, r *http.Request) {
	e.abortIfDown()
	var cmd loadCommand
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil || cmd.Version == "" {
		http.Error(w, "the order can't be read", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stale := e.Fencing && cmd.Fence < e.fence
	e.mu.Unlock()
	if stale {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	if err := e.fetchWeights(r.Context(), cmd.Version); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fence = max(e.fence, cmd.Fence)
	e.setVersion(cmd.Version)
}

// swapVersion changes the version without an order, as an engine does that was
// restarted with other weights.
func (e *Engine) swapVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setVersion(version)
}

// setVersion drops the cache with the old weights. The caller holds mu.
func (e *Engine) setVersion(version string) {
	if version == e.Version {
		return
	}
	e.Version = version
	e.cache = map[block.Key]int{}
	e.insertOrder = nil
}
