// Package gate serves callers and operators over HTTP.
package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/placement"
	"crocusfold.dev/core/retry"
	"crocusfold.dev/entry/cache"
	"crocusfold.dev/entry/claims"
	"crocusfold.dev/entry/config"
	"crocusfold.dev/entry/engineclient"
	"crocusfold.dev/entry/explain"
	"crocusfold.dev/entry/fleet"
	"crocusfold.dev/entry/follow"
	"crocusfold.dev/entry/isolation"
	"crocusfold.dev/entry/limits"
	"crocusfold.dev/shell/network"
)

// Gate answers requests. The exported fields must be set before Handler.
type Gate struct {
	Settings config.Settings
	Follow   *follow.Follower
	Desk     *claims.Claims
	Fleet    *fleet.Fleet
	Limits   *limits.Limits
	Strikes  *isolation.Isolation
	Cache    *cache.Cache
	Engines  *engineclient.Client
	// Network opens the connections of orders, one for each.
	Network network.Network
	Metrics tally.Scope
	// MetricsPage serves the metrics to the scraper.
	MetricsPage http.Handler
	Logger      log.Logger

	book     explain.Book
	budget   retry.Budget
	placing  placement.Placement
	inFlight atomic.Int64
	queued   atomic.Int64
	metrics  metrics
}

// recomputeWeight is what a recomputed block costs above its time under the
// preset that weighs recomputation more.
const recomputeWeight = 40 * time.Millisecond

// Handler returns the HTTP interface of the instance.
func (g *Gate) Handler() http.Handler {
	if g.Settings.Preset == "recompute" {
		g.placing.RecomputeWeight = recomputeWeight
	}
	g.metrics = newMetrics(g.Metrics)
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", g.serve(g.chat))
	mux.Handle("GET /v1/models", g.serve(g.models))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "alive") })
	mux.HandleFunc("GET /readyz", g.ready)
	mux.Handle("GET /metrics", g.MetricsPage)
	mux.Handle("/operator/", g.operator())
	mux.Handle("/", g.serve(g.service))
	return mux
}

// answer is what an endpoint leaves to be written.
type answer interface {
	write(w http.ResponseWriter)
}

// serve makes an HTTP handler of an endpoint that takes a call.
func (g *Gate) serve(run func(ctx context.Context, c call) (answer, error)) http.Handler {
	var ep endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return run(ctx, request.(call))
	}
	return kithttp.NewServer(ep, decodeCall, encodeAnswer, kithttp.ServerErrorEncoder(g.encodeError))
}

func encodeAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	response.(answer).write(w)
	return nil
}

func (g *Gate) ready(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	if !g.Follow.Ready(now) || !g.Limits.Settled(now) {
		writeJSON(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, "ready")
}

// InFlight is the number of requests that the instance works on.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }
