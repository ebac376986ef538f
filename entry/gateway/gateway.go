// Package gateway serves the HTTP interface of an instance of crocus-entry: chat
// completions, calls to plain services, and the operators' requests. It admits
// requests, sends them to upstreams, and retries or resumes them on others.
package gateway

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
	"crocusfold.dev/entry/admission"
	"crocusfold.dev/entry/cache"
	"crocusfold.dev/entry/claims"
	"crocusfold.dev/entry/config"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/engineclient"
	"crocusfold.dev/entry/explain"
	"crocusfold.dev/entry/isolation"
	"crocusfold.dev/entry/limits"
	"crocusfold.dev/shell/network"
)

// Gateway serves the HTTP interface of an instance. The exported fields must be set
// before Handler is called.
type Gateway struct {
	Settings  config.Settings
	Follower  *configsync.Follower
	Claims    *claims.Claims
	Admission *admission.Admission
	Limits    *limits.Limits
	Isolation *isolation.Isolation
	Cache     *cache.Cache
	Engines   *engineclient.Client
	// Network dials the connections to plain services, a new one for each call.
	Network network.Network
	Metrics tally.Scope
	// MetricsPage serves GET /metrics.
	MetricsPage http.Handler
	Logger      log.Logger

	history     explain.History
	retryBudget retry.Budget
	placement   placement.Placement
	inFlight    atomic.Int64
	queued      atomic.Int64
	metrics     metrics
}

// recomputeWeight is added to the time estimate for each recomputed block under the
// preset "recompute", for operators who prefer less computation to a shorter time to
// the first token.
const recomputeWeight = 40 * time.Millisecond

// Handler returns the handler of all paths that callers and operators use.
func (g *Gateway) Handler() http.Handler {
	if g.Settings.Preset == "recompute" {
		g.placement.RecomputeWeight = recomputeWeight
	}
	g.metrics = newMetrics(g.Metrics)
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", g.newHandler(g.chat))
	mux.Handle("GET /v1/models", g.newHandler(g.models))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "alive") })
	mux.HandleFunc("GET /readyz", g.ready)
	mux.Handle("GET /metrics", g.MetricsPage)
	mux.Handle("/operator/", g.operator())
	mux.Handle("/", g.newHandler(g.service))
	return mux
}

// response is the result of an endpoint, to be written to the caller.
type response interface {
	write(w http.ResponseWriter)
}

// newHandler returns an HTTP handler that decodes a call, passes it to serve, and
// writes the response or the error.
func (g *Gateway) newHandler(serve func(ctx context.Context, c call) (response, error)) http.Handler {
	var ep endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return serve(ctx, request.(call))
	}
	server := kithttp.NewServer(ep, decodeCall, encodeResponse, kithttp.ServerErrorEncoder(g.encodeError))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), writerKey{}, w)))
	})
}

func encodeResponse(_ context.Context, w http.ResponseWriter, resp any) error {
	resp.(response).write(w)
	return nil
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	if !g.Follower.Ready(now) || !g.Limits.Ready(now) {
		writeJSON(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, "ready")
}

// InFlight returns the number of admitted requests that have not ended.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }
