// Package engine is a stand-in for a model engine. It runs requests concurrently,
// caches prompt prefixes in limited memory, streams deterministic output, exports and
// imports context, and fails in the ways that engines fail.
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
	// CrashWord crashes the engine when a prompt contains this word.
	CrashWord string `json:"crash-word,omitempty"`
	// BreakAfter closes the connection of each stream after it sent that many tokens.
	BreakAfter int `json:"break-after,omitempty"`
	// TruncateAfter ends each stream after that many tokens of the response, without
	// an error but also without the final chunk and the end marker.
	TruncateAfter int `json:"silent-end,omitempty"`
	// LoadLagMillis delays load reports, in milliseconds: GET /load returns the newest
	// one of at least that age, or the oldest if there is none.
	LoadLagMillis int `json:"load-lag-millis,omitempty"`
	// EventLagMillis delays cache events, in milliseconds.
	EventLagMillis int `json:"event-lag-millis,omitempty"`
	// EventGap drops every second cache event.
	EventGap bool `json:"event-gap,omitempty"`
	// WrongRequest returns the output and the ID of another request.
	WrongRequest bool `json:"crossed,omitempty"`
	// IgnoreVersion runs requests whose expected weight version is not the loaded one.
	IgnoreVersion bool `json:"ignore-version,omitempty"`
}

// Params are the durations and limits of an engine. Zero fields take the defaults.
//
// TokenTime is spent on each output token, PrefillTime on each block of the prompt
// that is computed and ImportTime on each block that is fetched from a store. A crashed
// engine is down for RestartTime. A started engine is cold for WarmUp; its limit of
// concurrent requests grows from ColdLimit to WarmLimit in that time, and it crashes
// when the limit is exceeded. Batch requests wait while WarmLimit requests are running.
// CacheBlocks is the capacity of the prefix cache.
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
	// WeightStore is the address of the weight store. If it is not set, weights load
	// immediately.
	WeightStore netip.AddrPort
	// Fencing rejects load commands whose fencing token is lower than the highest one
	// of a completed command.
	Fencing bool
	Params  Params
	// Client sends the requests to the stores; nil means http.DefaultClient.
	Client *http.Client

	faults fault.Injector[Faults]
	mu     sync.Mutex
	// ctx is done when the current incarnation crashes.
	ctx    context.Context
	cancel context.CancelFunc
	// startedAt is when the current incarnation starts; after a crash that is at the
	// end of the restart, at downUntil.
	startedAt    time.Time
	downUntil    time.Time
	incarnations int
	// runningRequests is the number of requests in progress, peakCold its maximum while
	// the engine was cold.
	runningRequests, peakCold int
	// minColdHeadroom is the minimum of the limit less runningRequests while the engine
	// was cold. It is negative if the limit was exceeded.
	minColdHeadroom int
	// pendingBlocks is the number of prompt blocks that remain to be computed. It is a
	// Duration so that it can be multiplied by PrefillTime.
	pendingBlocks time.Duration
	crashes       int
	// startedRequests counts the requests since the engine was created, including those
	// rejected for their expected version.
	startedRequests int
	// fence is the highest fencing token of a completed load command.
	fence uint64
	// cache holds the cached blocks, insertOrder their keys, oldest first.
	cache       map[block.Key]int
	insertOrder []block.Key
	events      []Event
	reports     []loadReport
}

// Event is the insertion or eviction of one block of the prefix cache.
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

// Load is the engine's load report.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	// BacklogMillis is the time that the pending prefill takes, in milliseconds.
	BacklogMillis int `json:"backlog-millis"`
}

// Handler starts the first incarnation and returns the engine's HTTP handler.
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
	e.events = nil
	e.runningRequests = 0
	e.ctx, e.cancel = context.WithCancel(context.Background())
}

// crash ends the incarnation: every connection is closed, and the engine is down for
// RestartTime.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
	e.crashes++
	e.downUntil = time.Now().Add(e.Params.RestartTime)
	e.start(e.downUntil)
}

// abortIfDown aborts the connection while the engine is down.
func (e *Engine) abortIfDown() {
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		fault.Abort()
	}
}

// incarnation returns the ID of the current incarnation. The caller holds mu.
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

// counters returns the counters that tests check.
func (e *Engine) counters(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault.WriteJSON(w, map[string]any{
		"deaths": e.crashes, "peak-cold": e.peakCold, "cold-room": e.minColdHeadroom, "running": e.runningRequests, "started": e.startedRequests, "version": e.Version,
	})
}

// queuePollInterval is how often a waiting batch request checks for capacity.
const queuePollInterval = 5 * time.Millisecond

// yieldToInteractive makes a batch request wait while WarmLimit or more requests are
// running.
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

// beginRequest counts a request as running. It returns the context of the current
// incarnation and whether the engine is cold. A cold engine that exceeds its limit
// crashes, which ends the returned context.
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

// coldLimit returns the maximum number of concurrent requests of a cold engine. It
// grows linearly from ColdLimit to WarmLimit during WarmUp.
func (e *Engine) coldLimit(now time.Time) int {
	warmed := float64(now.Sub(e.startedAt)) / float64(e.Params.WarmUp)
	return e.Params.ColdLimit + int(max(0, warmed)*float64(e.Params.WarmLimit-e.Params.ColdLimit))
}

// endRequest counts a request as ended, unless the incarnation that ctx belongs to has
// crashed.
func (e *Engine) endRequest(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == ctx {
		e.runningRequests--
	}
}
