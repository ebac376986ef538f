package relay

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/route"
)

// Metrics counts requests. Labels are bounded: the kinds of routes and the
// outcomes that this package names.
type Metrics struct {
	scope tally.Scope

	mu       sync.Mutex
	counters map[[2]string]tally.Counter
	first    map[string]tally.Histogram
	retries  tally.Counter
	fetched  tally.Counter
	saved    tally.Counter
}

// NewMetrics makes the metrics of a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope: scope, counters: map[[2]string]tally.Counter{}, first: map[string]tally.Histogram{},
		retries: scope.Counter("tries_again"), fetched: scope.Counter("parts_fetched"), saved: scope.Counter("parts_saved"),
	}
}

// firstBuckets are the bounds of the histogram of the time to the first byte.
var firstBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

var kindNames = map[route.Kind]string{
	route.NonIdempotent: "non-idempotent", route.Idempotent: "idempotent", route.Streaming: "streaming",
}

// count adds a finished request.
func (m *Metrics) count(c *call) {
	kind := "unknown"
	if c.route != nil {
		kind = kindNames[c.route.Kind]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := [2]string{kind, c.note.outcome}
	counter, ok := m.counters[key]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"kind": kind, "outcome": c.note.outcome}).Counter("requests")
		m.counters[key] = counter
	}
	counter.Inc(1)
	m.retries.Inc(int64(max(0, c.note.tries-1)))
	m.fetched.Inc(int64(c.note.fetched))
	m.saved.Inc(int64(c.note.saved))
	if c.note.firstByte == 0 {
		return
	}
	h, ok := m.first[kind]
	if !ok {
		h = m.scope.Tagged(map[string]string{"kind": kind}).Histogram("first_byte", firstBuckets)
		m.first[kind] = h
	}
	h.RecordDuration(c.note.firstByte)
}
