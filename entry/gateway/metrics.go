package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the counters and histograms of the gate.
type metrics struct {
	requests   tally.Scope
	firstToken tally.Histogram
	reused     tally.Counter
	imported   tally.Counter
	recomputed tally.Counter
	retries    tally.Counter
	resumes    tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 20)
	return metrics{
		requests:   scope,
		firstToken: scope.Histogram("first_token_seconds", buckets),
		reused:     scope.Counter("blocks_reused"),
		imported:   scope.Counter("blocks_imported"),
		recomputed: scope.Counter("blocks_recomputed"),
		retries:    scope.Counter("retries"),
		resumes:    scope.Counter("resumes"),
	}
}

// count adds one request that ended with a code.
func (m metrics) count(code string) {
	m.requests.Tagged(map[string]string{"code": code}).Counter("requests").Inc(1)
}
