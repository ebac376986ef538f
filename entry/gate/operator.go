package gate

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
	"crocusfold.dev/core/rollout"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
)

// Times of a confirmation.
const (
	rolloutLimit = 6 * time.Second
	rolloutPause = 100 * time.Millisecond
	// maxChange bounds a change, in bytes.
	maxChange = 4 << 20
)

// Confirmed is the answer to a confirmed plan.
type Confirmed struct {
	Outcome change.Outcome  `json:"outcome"`
	Rollout rollout.Rollout `json:"rollout"`
	// Took is the time from the confirmation to the answer.
	Took time.Duration `json:"took"`
}

// Statuses is the answer to a status query.
type Statuses struct {
	Instances []message.Status `json:"instances"`
}

// operator serves the operators' interface under /operator/.
func (g *Gate) operator() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, run func(ctx context.Context, r *http.Request) (any, error)) {
		mux.Handle(pattern, kithttp.NewServer(
			func(ctx context.Context, request any) (any, error) { return run(ctx, request.(*http.Request)) },
			g.decodeOperator, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(g.encodeError)))
	}
	handle("GET /operator/state", g.operatorState)
	handle("GET /operator/status", g.operatorStatus)
	handle("GET /operator/explain/{request}", g.operatorExplain)
	handle("POST /operator/changes", g.operatorConfirm)
	return mux
}

func (g *Gate) decodeOperator(_ context.Context, r *http.Request) (any, error) {
	want := "Bearer " + g.Settings.OperatorToken
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		return nil, refuse("", http.StatusUnauthorized, "operator-unknown", "the operator token is wrong")
	}
	return r, nil
}

func (g *Gate) operatorState(context.Context, *http.Request) (any, error) {
	return g.Follow.Snapshot(), nil
}

func (g *Gate) operatorStatus(ctx context.Context, _ *http.Request) (any, error) {
	return Statuses{g.Follow.Statuses(ctx)}, nil
}

func (g *Gate) operatorExplain(_ context.Context, r *http.Request) (any, error) {
	id := r.PathValue("request")
	e, ok := g.book.Get(id)
	if !ok {
		return nil, refuse(id, http.StatusNotFound, "request-unknown", "this instance does not remember the request")
	}
	return e, nil
}

// operatorConfirm appends a change and follows it until it is in force.
func (g *Gate) operatorConfirm(ctx context.Context, r *http.Request) (any, error) {
	start := time.Now()
	var c change.Change
	d := json.NewDecoder(io.LimitReader(r.Body, maxChange))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil || c.ID == "" || c.Operator == "" {
		return nil, refuse(c.ID, http.StatusBadRequest, "bad-change", fmt.Sprintf("the change needs an id, an operator and steps: %v", err))
	}
	out, err := g.Follow.Submit(ctx, c)
	switch {
	case errors.Is(err, configsync.ErrNotWritten):
		return nil, refuse(c.ID, http.StatusServiceUnavailable, "log-unavailable", err.Error()).retry(retryLater)
	case err != nil:
		return nil, refuse(c.ID, http.StatusServiceUnavailable, "change-unknown", err.Error()).state("unknown").retry(retrySoon)
	}
	done := Confirmed{Outcome: out}
	if out.Verdict == change.Accepted {
		done.Rollout = g.followRollout(ctx, out.Offset)
	}
	done.Took = time.Since(start)
	return done, nil
}

func (g *Gate) followRollout(ctx context.Context, offset uint64) rollout.Rollout {
	accepted := time.Now()
	for {
		now := time.Now()
		r := rollout.New(now, accepted, offset, seen(g.Follow.Statuses(ctx)))
		if r.InForce || now.Sub(accepted) > rolloutLimit || ctx.Err() != nil {
			return r
		}
		time.Sleep(rolloutPause)
	}
}

func seen(all []message.Status) []rollout.Instance {
	out := make([]rollout.Instance, 0, len(all))
	for _, st := range all {
		out = append(out, rollout.Instance{Name: st.Name, Reachable: st.View != "unreachable", Leaving: st.Leaving, Next: st.Offset})
	}
	return out
}
