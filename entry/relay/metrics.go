package relay

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/route"
)

// Metrics counts requests. Labels are bounded: the kinds of routes, the classes
// of accounts, the services, and the outcomes that this package names.
type Metrics struct {
	scope tally.Scope

	mu         sync.Mutex
	counters   map[labels]tally.Counter
	histograms map[labels]tally.Histogram
	fetched    tally.Counter
	saved      tally.Counter
	prefilled  tally.Counter
	coldGrants tally.Counter
	// crashes counts the ends of replicas that were held against a request, by who
	// noticed them.
	crashes struct{ seen, told tally.Counter }
}

// labels tell the series of one metric apart.
type labels struct {
	metric, kind, class, service, outcome string
}

func (l labels) tags() map[string]string {
	out := map[string]string{}
	for name, value := range map[string]string{"kind": l.kind, "class": l.class, "service": l.service, "outcome": l.outcome} {
		if value != "" {
			out[name] = value
		}
	}
	return out
}

// NewMetrics makes the metrics of a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		scope: scope, counters: map[labels]tally.Counter{}, histograms: map[labels]tally.Histogram{},
		fetched: scope.Counter("parts_fetched"), saved: scope.Counter("parts_saved"),
		prefilled: scope.Counter("parts_read"), coldGrants: scope.Counter("cold_grants"),
	}
	m.crashes.seen = scope.Tagged(map[string]string{"by": "this-instance"}).Counter("ends_counted")
	m.crashes.told = scope.Tagged(map[string]string{"by": "others"}).Counter("ends_counted")
	return m
}

// timeBuckets are the bounds of the histograms.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

var kindNames = map[route.Kind]string{
	route.NonIdempotent: "non-idempotent", route.Idempotent: "idempotent", route.Streaming: "streaming",
}

// accountClass groups accounts, of which there may be many.
func accountClass(a route.Account) string {
	switch {
	case a.Name == "":
		return "none"
	case a.Isolated:
		return "isolated"
	case a.HasPriority:
		return "ranked"
	}
	return "plain"
}

// countRequest adds a finished request.
func (m *Metrics) countRequest(c *call) {
	kind := "unknown"
	if c.route != nil {
		kind = kindNames[c.route.Kind]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "requests", kind: kind, class: accountClass(c.account), outcome: c.summary.outcome}).Inc(1)
	if c.summary.attempts > 1 {
		m.counter(labels{metric: "tries_again", service: c.service.Name}).Inc(int64(c.summary.attempts - 1))
	}
	m.fetched.Inc(int64(c.summary.fetched))
	m.saved.Inc(int64(c.summary.saved))
	m.prefilled.Inc(int64(c.summary.parts - c.summary.fetched - c.summary.saved))
	if c.summary.replica != "" {
		m.histogram(labels{metric: "placed", kind: kind}).RecordDuration(c.summary.placementTime)
	}
	if c.summary.firstByteTime > 0 {
		m.histogram(labels{metric: "first_byte", kind: kind}).RecordDuration(c.summary.firstByteTime)
	}
}

// countFailedAttempt adds a failed try at a replica of a service.
func (m *Metrics) countFailedAttempt(service, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "tries_failed", service: service, outcome: how}).Inc(1)
}

// countDeniedRetry adds a request of a service that was not tried again for lack of budget.
func (m *Metrics) countDeniedRetry(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "tries_denied", service: service}).Inc(1)
}

func (m *Metrics) counter(l labels) tally.Counter {
	c, ok := m.counters[l]
	if !ok {
		c = m.scope.Tagged(l.tags()).Counter(l.metric)
		m.counters[l] = c
	}
	return c
}

func (m *Metrics) histogram(l labels) tally.Histogram {
	h, ok := m.histograms[l]
	if !ok {
		h = m.scope.Tagged(l.tags()).Histogram(l.metric, timeBuckets)
		m.histograms[l] = h
	}
	return h
}
