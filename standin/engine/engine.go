// Package engine stands in for a model engine: it batches requests, caches
// prompt prefixes in limited memory, streams a deterministic answer, exports
// and imports context, and fails in the ways that engines fail.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"crocusfold.dev/core/block"
	"crocusfold.dev/standin/fault"
)

// Faults are the failure modes of the engine.
type Faults struct {
	// CrashWord makes the engine die when a prompt has this word.
	CrashWord string `json:"crash-word,omitempty"`
	// BreakAfter breaks each stream after that many tokens.
	BreakAfter int `json:"break-after,omitempty"`
	// TruncateAfter ends each stream after that many tokens as if it were whole,
	// but without the end marker.
	TruncateAfter int `json:"silent-end,omitempty"`
	// LoadLagMillis delays load reports.
	LoadLagMillis int `json:"load-lag-millis,omitempty"`
	// EventLagMillis delays cache events.
	EventLagMillis int `json:"event-lag-millis,omitempty"`
	// EventGap drops every second cache event.
	EventGap bool `json:"event-gap,omitempty"`
	// WrongRequest gives the answer, and the id, of another request.
	WrongRequest bool `json:"crossed,omitempty"`
	// IgnoreVersion runs requests that expect another weight version.
	IgnoreVersion bool `json:"ignore-version,omitempty"`
}

// Params and sizes of the engine. Zero fields take the defaults.
type Params struct {
	TokenTime, PrefillTime, ImportTime, RestartTime, WarmUp time.Duration
	CacheBlocks, ColdLimit, WarmLimit                       int
}

var defaults = Params{
	TokenTime: 2 * time.Millisecond, PrefillTime: 20 * time.Millisecond, ImportTime: 2 * time.Millisecond,
	RestartTime: 300 * time.Millisecond, WarmUp: 8 * time.Second, CacheBlocks: 64, ColdLimit: 4, WarmLimit: 16,
}

// Engine is one replica. Name, Model and Version should be set. It is safe for
// concurrent use.
type Engine struct {
	Name, Model, Version string
	// WeightStore is the address of the weight store; if it is not valid, weights
	// load at once.
	WeightStore netip.AddrPort
	// Fencing is true if orders with an old number are refused.
	Fencing bool
	Params  Params
	// Client calls the stores; nil means http.DefaultClient.
	Client *http.Client

	faults       fault.Injector[Faults]
	mu           sync.Mutex
	ctx          context.Context
	cancel       context.CancelFunc
	startedAt    time.Time
	downUntil    time.Time
	incarnations int
	// runningRequests and peakCold are in requests at once.
	runningRequests, peakCold int
	// minColdHeadroom is the least room below its limit that the engine had while cold.
	minColdHeadroom int
	// pendingBlocks is the number of blocks that are to be computed.
	pendingBlocks time.Duration
	crashes       int
	// startedRequests counts the requests that were begun.
	startedRequests int
	fence           uint64
	cache           map[block.Key]int
	insertOrder     []block.Key
	events          []Event
	reports         []loadReport
}

// Event is one change of the prefix cache.
type Event struct {
	Seq  uint64    `json:"seq"`
	Kind string    `json:"kind"`
	Key  block.Key `json:"key"`
	at   time.Time
}

type loadReport struct {
	at time.Time
	Load
}

// Load is the engine's report of itself.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	// BacklogMillis is the computation of prompts that waits.
	BacklogMillis int `json:"backlog-millis"`
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.Params = e.Params.orDefaults()
	e.mu.Lock()
	e.minColdHeadroom = e.Params.ColdLimit
	e.start(time.Now())
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("POST /kv/export", e.export)
	mux.HandleFunc("POST /orders", e.loadWeights)
	mux.Handle(fault.Path, &e.faults)
	mux.HandleFunc("POST /stand-in/crash", func(http.ResponseWriter, *http.Request) { e.crash() })
	mux.HandleFunc("POST /stand-in/swap/{version}", func(_ http.ResponseWriter, r *http.Request) { e.swapVersion(r.PathValue("version")) })
	mux.HandleFunc("GET /stand-in/seen", e.counters)
	return mux
}

func (p Params) orDefaults() Params {
	durationOr := func(v, d time.Duration) time.Duration {
		if v == 0 {
			return d
		}
		return v
	}
	countOr := func(v, d int) int {
		if v == 0 {
			return d
		}
		return v
	}
	return Params{
		durationOr(p.TokenTime, defaults.TokenTime), durationOr(p.PrefillTime, defaults.PrefillTime), durationOr(p.ImportTime, defaults.ImportTime),
		durationOr(p.RestartTime, defaults.RestartTime), durationOr(p.WarmUp, defaults.WarmUp),
		countOr(p.CacheBlocks, defaults.CacheBlocks), countOr(p.ColdLimit, defaults.ColdLimit), countOr(p.WarmLimit, defaults.WarmLimit),
	}
}

// start begins a new incarnation with an empty cache. The caller holds mu.
func (e *Engine) start(now time.Time) {
	e.incarnations++
	e.startedAt = now
	e.cache = map[block.Key]int{}
	e.insertOrder = nil
	e.runningRequests = 0
	e.ctx, e.cancel = context.WithCancel(context.Background())
}

// crash ends the incarnation: every connection breaks, and the engine is away
// for its restart time.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
	e.crashes++
	e.downUntil = time.Now().Add(e.Params.RestartTime)
	e.start(e.downUntil)
}

// abortIfDown aborts the connection while the engine is away.
func (e *Engine) abortIfDown() {
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		fault.Abort()
	}
}

func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s-%d-%d", e.Name, e.incarnations, e.startedAt.UnixNano())
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.abortIfDown()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{now, Load{e.incarnation(), e.runningRequests, e.Model, e.Version, int(e.pendingBlocks * e.Params.PrefillTime / time.Millisecond)}})
	lag := time.Duration(e.faults.Get().LoadLagMillis) * time.Millisecond
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= lag {
		e.reports = e.reports[1:]
	}
	fault.WriteJSON(w, e.reports[0].Load)
}

func (e *Engine) counters(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault.WriteJSON(w, map[string]any{
		"deaths": e.crashes, "peak-cold": e.peakCold, "cold-room": e.minColdHeadroom, "running": e.runningRequests, "started": e.startedRequests, "version": e.Version,
	})
}

// queuePollInterval is how often a waiting request looks for room.
const queuePollInterval = 5 * time.Millisecond

// yieldToInteractive lets batch work wait while the batch is full.
func (e *Engine) yieldToInteractive(r *http.Request) {
	for r.Header.Get("X-Priority") == "batch" && r.Context().Err() == nil {
		e.mu.Lock()
		full := e.runningRequests >= e.Params.WarmLimit
		e.mu.Unlock()
		if !full {
			return
		}
		time.Sleep(queuePollInterval)
	}
}

// beginRequest counts a request in. A cold engine that gets more than it bears dies.
func (e *Engine) beginRequest() (ctx context.Context, cold bool) {
	e.mu.Lock()
	e.runningRequests++
	e.startedRequests++
	cold = time.Since(e.startedAt) < e.Params.WarmUp
	if cold {
		e.peakCold = max(e.peakCold, e.runningRequests)
	}
	limit := e.coldLimit(time.Now())
	if cold {
		e.minColdHeadroom = min(e.minColdHeadroom, limit-e.runningRequests)
	}
	over := cold && e.runningRequests > limit
	ctx = e.ctx
	e.mu.Unlock()
	if over {
		e.crash()
	}
	return ctx, cold
}

// coldLimit grows from the cold to the warm limit while the engine warms up.
func (e *Engine) coldLimit(now time.Time) int {
	warmed := float64(now.Sub(e.startedAt)) / float64(e.Params.WarmUp)
	return e.Params.ColdLimit + int(max(0, warmed)*float64(e.Params.WarmLimit-e.Params.ColdLimit))
}

func (e *Engine) endRequest(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == ctx {
		e.runningRequests--
	}
}
