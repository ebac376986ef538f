package edge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/callerconns"
)

// metricsInterval is the interval at which counters are reported.
const metricsInterval = 2 * time.Second

// newMetrics creates the root scope of the metrics, the handler of the metrics page and
// the gauges.
func (e *Edge) newMetrics() tally.Scope {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{Namespace: "crocusfold"}))
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocusfold", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
	}, metricsInterval)
	e.metricsPage, e.closeMetrics = reporter.HTTPHandler(), closer
	proofAge := scope.Gauge("proof_age_seconds")
	isLeader := scope.Gauge("duty_held")
	inFlight := scope.Gauge("in_flight")
	root := scope.Gauge("overlay_root")
	aliveMembers := scope.Gauge("overlay_living")
	limitsInForce := scope.Gauge("limits_in_force")
	leaving := scope.Gauge("replicas_leaving")
	waiting := scope.Gauge("replicas_waiting")
	blockedParts := scope.Gauge("parts_blocked")
	sharers := scope.Gauge("retry_sharers")
	callerConns, callersWaiting := scope.Gauge("caller_connections"), scope.Gauge("callers_waiting")
	e.updateGauges = func(now time.Time) {
		if age, ok := e.topics.Proven().Age(now); ok {
			proofAge.Update(age.Seconds())
		}
		place, alive := e.gossip.OverlayState()
		root.Update(gaugeValue(place.Root))
		aliveMembers.Update(float64(alive))
		isLeader.Update(gaugeValue(e.leader.IsLeader(now)))
		e.replicas.WithPool(func(p *pool.Pool) { limitsInForce.Update(float64(p.CountLimited())) })
		e.replicas.WithPool(func(p *pool.Pool) { waiting.Update(float64(p.CountWaiting(now))) })
		e.replicas.WithPool(func(p *pool.Pool) { leaving.Update(float64(p.CountLeaving())) })
		blockedParts.Update(float64(e.crashes.BlockedParts(now)))
		inFlight.Update(float64(e.relay.InFlight()))
		held, conns, waiting := e.memory.Usage()
		callerConns.Update(float64(conns))
		callersWaiting.Update(float64(waiting))
		for cause, bytes := range held {
			scope.Tagged(map[string]string{"cause": cause}).Gauge("held_bytes").Update(float64(bytes))
		}
		sharers.Update(float64(e.retryBudgets.Instances()))
		for _, s := range e.rollouts.Summaries(now) {
			tagged := scope.Tagged(map[string]string{"service": s.Order.Service})
			tagged.Gauge("rollout_share").Update(s.Share)
			tagged.Gauge("rollout_phase").Update(float64(s.Phase))
			counts := map[string][2]uint64{"old": {}, "target": {}}
			for _, r := range s.Routes {
				version := "old"
				if r.Target {
					version = "target"
				}
				n := counts[version]
				counts[version] = [2]uint64{n[0] + r.Responses, n[1] + r.Failed + r.Lost + r.Slow}
			}
			for version, n := range counts {
				side := tagged.Tagged(map[string]string{"version": version})
				side.Gauge("rollout_requests").Update(float64(n[0]))
				side.Gauge("rollout_bad").Update(float64(n[1]))
			}
		}
		for service, left := range e.retryBudgets.Left() {
			scope.Tagged(map[string]string{"service": service}).Gauge("retries_left").Update(left)
		}
	}
	return scope
}

// newEndCounter returns a function that counts closed connections and refused requests of
// callers by their reason.
func newEndCounter(scope tally.Scope) func(callerconns.Reason) {
	counters := map[callerconns.Reason]tally.Counter{}
	for _, r := range callerconns.Reasons() {
		counters[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("callers_ended")
	}
	return func(r callerconns.Reason) { counters[r].Inc(1) }
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// handleMetrics updates the gauges and serves the metrics page.
func (e *Edge) handleMetrics(w http.ResponseWriter, r *http.Request) {
	e.updateGauges(e.now())
	e.metricsPage.ServeHTTP(w, r)
}
