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

// transferTimeout bounds one request of an engine to a store.
const transferTimeout = 2 * time.Second

// maxBlock is the maximum size of a block, in bytes. Longer ones are truncated.
const maxBlock = 1 << 20

type importRequest struct {
	Store  netip.AddrPort     `json:"store"`
	Blocks []kvstore.Location `json:"blocks"`
}

// importBlock fetches block i of the request and checks that it is the one that was
// located: the same incarnation and generation, and the same length and hash. It
// returns false if the block can't be fetched or doesn't match.
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

// content returns the bytes that the stand-in stores as the KV data of a block.
func content(key block.Key) string { return strings.Repeat(key.String(), 8) }

type exportRequest struct {
	Store netip.AddrPort `json:"store"`
	Keys  []block.Key    `json:"keys"`
}

type exportResponse struct {
	Exported int `json:"exported"`
}

// export writes the requested blocks to a store, up to the first one that is not cached
// or can't be written, and returns the number of blocks written.
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

// exportBlock writes one block to a store and reports whether the store accepted it.
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

// addEvent appends a cache event. The caller holds mu.
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

// maxEvents is the maximum number of cache events that are kept for readers. The older
// half is dropped when it is exceeded.
const maxEvents = 10_000

// cacheEvents returns the cache events whose sequence number is at least the query
// parameter from, subject to the faults.
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

// fetchWeights loads a version from the weight store, if there is one.
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

// loadWeights handles a command to load another weight version. Running requests
// continue, and a stream that has started keeps its version.
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

// swapVersion changes the version without a load command, as a restart with other
// weights does.
func (e *Engine) swapVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setVersion(version)
}

// setVersion changes the version and drops the cache, which belongs to the old weights.
// The caller holds mu.
func (e *Engine) setVersion(version string) {
	if version == e.Version {
		return
	}
	e.Version = version
	e.cache = map[block.Key]int{}
	e.insertOrder = nil
}
