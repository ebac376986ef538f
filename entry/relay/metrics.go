package relay

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/route"
	"crocusfold.dev/core/stall"
	"crocusfold.dev/entry/streams"
)

// Metrics counts requests, attempts and replica crashes. The number of series is
// bounded: the labels are the kinds of routes, the classes of accounts, the services,
// and the outcomes defined in this package.
type Metrics struct {
	scope tally.Scope

	mu         sync.Mutex
	counters   map[labels]tally.Counter
	histograms map[labels]tally.Histogram
	waiting    map[string]tally.Gauge
	fetched    tally.Counter
	saved      tally.Counter
	prefilled  tally.Counter
	coldGrants tally.Counter
	// crashes counts the crashes that this instance observed, and the crash records
	// received from peers or the platform that changed its own.
	crashes struct{ observed, received tally.Counter }
}

// labels identify one series. An empty label is left out.
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

// NewMetrics returns metrics that are reported to a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		scope: scope, counters: map[labels]tally.Counter{}, histograms: map[labels]tally.Histogram{}, waiting: map[string]tally.Gauge{},
		fetched: scope.Counter("parts_fetched"), saved: scope.Counter("parts_saved"),
		prefilled: scope.Counter("parts_read"), coldGrants: scope.Counter("cold_grants"),
	}
	m.crashes.observed = scope.Tagged(map[string]string{"by": "this-instance"}).Counter("ends_counted")
	m.crashes.received = scope.Tagged(map[string]string{"by": "others"}).Counter("ends_counted")
	return m
}

// timeBuckets are the bucket bounds of the histograms, from 5 ms to 5.12 s.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

var kindNames = map[route.Kind]string{
	route.NonIdempotent: "non-idempotent", route.Idempotent: "idempotent", route.Streaming: "streaming",
}

// accountClass returns the class of an account. Metrics are labelled by class, since
// there may be many accounts.
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

// countRequest counts a finished request.
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
	if outcome := c.estimateOutcome(); outcome != "" {
		m.counter(labels{metric: "estimates", service: c.service.Name, outcome: outcome}).Inc(1)
	}
	skipped, repeated := c.events.Disorder()
	if skipped > 0 {
		m.counter(labels{metric: "stream_events_disordered", outcome: "skipped"}).Inc(int64(skipped))
	}
	if repeated > 0 {
		m.counter(labels{metric: "stream_events_disordered", outcome: "repeated"}).Inc(int64(repeated))
	}
	if c.summary.firstByteTime > 0 {
		m.histogram(labels{metric: "first_byte", kind: kind}).RecordDuration(c.summary.firstByteTime)
	}
}

// countFailedAttempt counts a failed attempt at a replica of a service.
func (m *Metrics) countFailedAttempt(service, failure string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "tries_failed", service: service, outcome: failure}).Inc(1)
}

// countResumed counts a resumed stream by how its origin was found out.
func (m *Metrics) countResumed(source streams.Source) {
	m.scope.Tagged(map[string]string{"origin": string(source)}).Counter("streams_resumed").Inc(1)
}

// countStall counts a suspicion that a replica of a service has stalled, by its evidence.
func (m *Metrics) countStall(service string, evidence stall.Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "stalls_suspected", service: service, outcome: string(evidence)}).Inc(1)
}

// countDeniedRetry counts a request of a service that was not retried because the
// retry budget was used up.
func (m *Metrics) countDeniedRetry(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "tries_denied", service: service}).Inc(1)
}

// countAllowedRetry counts another attempt that a request of a service was allowed. It is
// charged to the retry budget if the failed one reached its replica.
func (m *Metrics) countAllowedRetry(service string, charged bool) {
	outcome := "free"
	if charged {
		outcome = "charged"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "tries_allowed", service: service, outcome: outcome}).Inc(1)
}

// countRefusedEarly counts a request that was refused on arrival or in favour of others, and
// countRefusedAgain one whose caller had been refused before.
func (m *Metrics) countRefusedEarly(service, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "refused_early", service: service, outcome: reason}).Inc(1)
}

func (m *Metrics) countRefusedAgain(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter(labels{metric: "refused_again", service: service}).Inc(1)
}

// setWaiting sets the number of requests that wait for a service.
func (m *Metrics) setWaiting(service string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.waiting[service]
	if !ok {
		g = m.scope.Tagged(map[string]string{"service": service}).Gauge("waiting")
		m.waiting[service] = g
	}
	g.Update(float64(n))
}

// recordWait records how long a request waited in the queue.
func (m *Metrics) recordWait(service string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.histogram(labels{metric: "queue_wait", service: service}).RecordDuration(d)
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
