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
	// SilentEnd ends each stream after that many tokens as if it were whole,
	// but without the end marker.
	SilentEnd int `json:"silent-end,omitempty"`
	// LoadLagMillis delays load reports.
	LoadLagMillis int `json:"load-lag-millis,omitempty"`
	// EventLagMillis delays cache events.
	EventLagMillis int `json:"event-lag-millis,omitempty"`
	// EventGap drops every second cache event.
	EventGap bool `json:"event-gap,omitempty"`
	// Crossed gives the answer, and the id, of another request.
	Crossed bool `json:"crossed,omitempty"`
	// IgnoreVersion runs requests that expect another weight version.
	IgnoreVersion bool `json:"ignore-version,omitempty"`
}

// Timing and sizes of the engine. Zero fields take the defaults.
type Timing struct {
	Token, Prefill, Import, Restart, WarmUp time.Duration
	CacheBlocks, ColdLimit, WarmLimit       int
}

var defaults = Timing{
	Token: 2 * time.Millisecond, Prefill: 20 * time.Millisecond, Import: 2 * time.Millisecond,
	Restart: 300 * time.Millisecond, WarmUp: 8 * time.Second, CacheBlocks: 64, ColdLimit: 4, WarmLimit: 16,
}

// Engine is one replica. Name, Model and Version should be set. It is safe for
// concurrent use.
type Engine struct {
	Name, Model, Version string
	// Weights is the address of the weight store; if it is not valid, weights
	// load at once.
	Weights netip.AddrPort
	// Fencing is true if orders with an old number are refused.
	Fencing bool
	Timing  Timing
	// Client calls the stores; nil means http.DefaultClient.
	Client *http.Client

	faults fault.Switch[Faults]
	mu     sync.Mutex
	life   context.Context
	die    context.CancelFunc
	born   time.Time
	downTo time.Time
	lives  int
	// running and peakCold are in requests at once.
	running, peakCold int
	// coldRoom is the least room below its limit that the engine had while cold.
	coldRoom int
	// prefilling is the number of blocks that are to be computed.
	prefilling time.Duration
	deaths     int
	// started counts the requests that were begun.
	started int
	fence   uint64
	cache   map[block.Key]int
	order   []block.Key
	events  []Event
	reports []loadReport
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
	e.Timing = e.Timing.orDefaults()
	e.mu.Lock()
	e.coldRoom = e.Timing.ColdLimit
	e.start(time.Now())
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("POST /kv/export", e.export)
	mux.HandleFunc("POST /orders", e.takeOrder)
	mux.Handle(fault.Path, &e.faults)
	mux.HandleFunc("POST /stand-in/crash", func(http.ResponseWriter, *http.Request) { e.crash() })
	mux.HandleFunc("POST /stand-in/swap/{version}", func(_ http.ResponseWriter, r *http.Request) { e.swap(r.PathValue("version")) })
	mux.HandleFunc("GET /stand-in/seen", e.seen)
	return mux
}

func (t Timing) orDefaults() Timing {
	pick := func(v, d time.Duration) time.Duration {
		if v == 0 {
			return d
		}
		return v
	}
	count := func(v, d int) int {
		if v == 0 {
			return d
		}
		return v
	}
	return Timing{
		pick(t.Token, defaults.Token), pick(t.Prefill, defaults.Prefill), pick(t.Import, defaults.Import),
		pick(t.Restart, defaults.Restart), pick(t.WarmUp, defaults.WarmUp),
		count(t.CacheBlocks, defaults.CacheBlocks), count(t.ColdLimit, defaults.ColdLimit), count(t.WarmLimit, defaults.WarmLimit),
	}
}

// start begins a new incarnation with an empty cache. The caller holds mu.
func (e *Engine) start(now time.Time) {
	e.lives++
	e.born = now
	e.cache = map[block.Key]int{}
	e.order = nil
	e.running = 0
	e.life, e.die = context.WithCancel(context.Background())
}

// crash ends the incarnation: every connection breaks, and the engine is away
// for its restart time.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
	e.deaths++
	e.downTo = time.Now().Add(e.Timing.Restart)
	e.start(e.downTo)
}

// alive aborts the connection while the engine is away.
func (e *Engine) alive() {
	e.mu.Lock()
	away := time.Now().Before(e.downTo)
	e.mu.Unlock()
	if away {
		fault.Abort()
	}
}

func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s-%d-%d", e.Name, e.lives, e.born.UnixNano())
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.alive()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{now, Load{e.incarnation(), e.running, e.Model, e.Version, int(e.prefilling * e.Timing.Prefill / time.Millisecond)}})
	lag := time.Duration(e.faults.Get().LoadLagMillis) * time.Millisecond
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= lag {
		e.reports = e.reports[1:]
	}
	fault.WriteJSON(w, e.reports[0].Load)
}

func (e *Engine) seen(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault.WriteJSON(w, map[string]any{
		"deaths": e.deaths, "peak-cold": e.peakCold, "cold-room": e.coldRoom, "running": e.running, "started": e.started, "version": e.Version,
	})
}

// queuePause is how often a waiting request looks for room.
const queuePause = 5 * time.Millisecond

// yieldToInteractive lets batch work wait while the batch is full.
func (e *Engine) yieldToInteractive(r *http.Request) {
	for r.Header.Get("X-Priority") == "batch" && r.Context().Err() == nil {
		e.mu.Lock()
		full := e.running >= e.Timing.WarmLimit
		e.mu.Unlock()
		if !full {
			return
		}
		time.Sleep(queuePause)
	}
}

// enter counts a request in. A cold engine that gets more than it bears dies.
func (e *Engine) enter() (life context.Context, cold bool) {
	e.mu.Lock()
	e.running++
	e.started++
	cold = time.Since(e.born) < e.Timing.WarmUp
	if cold {
		e.peakCold = max(e.peakCold, e.running)
	}
	limit := e.coldLimit(time.Now())
	if cold {
		e.coldRoom = min(e.coldRoom, limit-e.running)
	}
	over := cold && e.running > limit
	life = e.life
	e.mu.Unlock()
	if over {
		e.crash()
	}
	return life, cold
}

// coldLimit grows from the cold to the warm limit while the engine warms up.
func (e *Engine) coldLimit(now time.Time) int {
	part := float64(now.Sub(e.born)) / float64(e.Timing.WarmUp)
	return e.Timing.ColdLimit + int(max(0, part)*float64(e.Timing.WarmLimit-e.Timing.ColdLimit))
}

func (e *Engine) leave(life context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == life {
		e.running--
	}
}
