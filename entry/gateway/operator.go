package gateway

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/propagation"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
)

// Limits of a confirmation.
const (
	// propagationTimeout is how long a confirmation waits for an accepted change to be in
	// force on all instances.
	propagationTimeout      = 6 * time.Second
	propagationPollInterval = 100 * time.Millisecond
	// maxChangeBytes is the maximum size of a change.
	maxChangeBytes = 4 << 20
)

// ConfirmResponse is the response to POST /operator/changes.
type ConfirmResponse struct {
	Outcome change.Outcome `json:"outcome"`
	// Propagation is the last known state of an accepted change.
	Propagation propagation.Propagation `json:"rollout"`
	// Duration is the time from the request to the response.
	Duration time.Duration `json:"took"`
}

// StatusResponse is the response to GET /operator/status.
type StatusResponse struct {
	Instances []message.Status `json:"instances"`
}

// operator returns the handler of the operators' requests, under /operator/.
func (g *Gateway) operator() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, run func(ctx context.Context, r *http.Request) (any, error)) {
		mux.Handle(pattern, kithttp.NewServer(
			func(ctx context.Context, request any) (any, error) { return run(ctx, request.(*http.Request)) },
			g.decodeOperatorRequest, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(g.encodeError)))
	}
	handle("GET /operator/state", g.operatorState)
	handle("GET /operator/status", g.operatorStatus)
	handle("GET /operator/explain/{request}", g.operatorExplain)
	handle("POST /operator/changes", g.operatorConfirm)
	return mux
}

// decodeOperatorRequest returns the request unchanged if it has the operator token.
func (g *Gateway) decodeOperatorRequest(_ context.Context, r *http.Request) (any, error) {
	want := "Bearer " + g.Settings.OperatorToken
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		return nil, newCallError("", http.StatusUnauthorized, "operator-unknown", "the operator token is wrong")
	}
	return r, nil
}

func (g *Gateway) operatorState(context.Context, *http.Request) (any, error) {
	return g.Follower.Snapshot(), nil
}

func (g *Gateway) operatorStatus(ctx context.Context, _ *http.Request) (any, error) {
	return StatusResponse{g.Follower.Statuses(ctx)}, nil
}

func (g *Gateway) operatorExplain(_ context.Context, r *http.Request) (any, error) {
	id := r.PathValue("request")
	e, ok := g.history.Get(id)
	if !ok {
		return nil, newCallError(id, http.StatusNotFound, "request-unknown", "this instance does not remember the request")
	}
	return e, nil
}

// operatorConfirm appends a change to the configuration stream. If the change is
// accepted, it waits until the change is in force on all instances, at most
// propagationTimeout.
func (g *Gateway) operatorConfirm(ctx context.Context, r *http.Request) (any, error) {
	start := time.Now()
	var c change.Change
	d := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil || c.ID == "" || c.Operator == "" {
		return nil, newCallError(c.ID, http.StatusBadRequest, "bad-change", fmt.Sprintf("the change needs an id, an operator and steps: %v", err))
	}
	out, err := g.Follower.Submit(ctx, c)
	switch {
	case errors.Is(err, configsync.ErrNotWritten):
		return nil, newCallError(c.ID, http.StatusServiceUnavailable, "log-unavailable", err.Error()).withRetryAfter(longRetryAfter)
	case err != nil:
		return nil, newCallError(c.ID, http.StatusServiceUnavailable, "change-unknown", err.Error()).withRunState("unknown").withRetryAfter(shortRetryAfter)
	}
	resp := ConfirmResponse{Outcome: out}
	if out.Verdict == change.Accepted {
		resp.Propagation = g.awaitPropagation(ctx, out.Offset)
	}
	resp.Duration = time.Since(start)
	return resp, nil
}

// awaitPropagation polls the instances until the change at the offset is in force, the
// propagationTimeout has passed, or ctx ends. It returns the last state.
func (g *Gateway) awaitPropagation(ctx context.Context, offset uint64) propagation.Propagation {
	accepted := time.Now()
	for {
		now := time.Now()
		r := propagation.New(now, accepted, offset, propagationInstances(g.Follower.Statuses(ctx)))
		if r.InForce || now.Sub(accepted) > propagationTimeout || ctx.Err() != nil {
			return r
		}
		time.Sleep(propagationPollInterval)
	}
}

func propagationInstances(all []message.Status) []propagation.Instance {
	out := make([]propagation.Instance, 0, len(all))
	for _, st := range all {
		out = append(out, propagation.Instance{Name: st.Name, Reachable: st.View != "unreachable", Leaving: st.Leaving, Next: st.Offset})
	}
	return out
}
