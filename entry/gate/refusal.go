package gate

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"crocusfold.dev/core/attempt"
)

// Retry delays that callers are told, spread so that they don't return together.
const (
	retrySoon   = time.Second
	retryLater  = 3 * time.Second
	retrySpread = 4
)

// Codes that decide whether a request waits.
const (
	// codeNoUpstream is that of a request that no upstream has room for.
	codeNoUpstream = "no-upstream"
	// codeSuspectBusy is that of a suspect while an equal one is being tried.
	codeSuspectBusy = "suspect-busy"
)

// refusal is the final answer to a request that is given up.
type refusal struct {
	id     string
	status int
	code   string
	text   string
	run    attempt.RunState
	// after is when to come back; 0 means that it is of no use.
	after time.Duration
}

func (r *refusal) Error() string { return r.code + ": " + r.text }

// refuse is a refusal of a request that was not run.
func refuse(id string, status int, code, text string) *refusal {
	return &refusal{id: id, status: status, code: code, text: text, run: attempt.NotRun}
}

func (r *refusal) retry(after time.Duration) *refusal {
	r.after = after
	return r
}

func (r *refusal) state(run attempt.RunState) *refusal {
	r.run = run
	return r
}

type errorBody struct {
	Error     errorDetail      `json:"error"`
	Run       attempt.RunState `json:"run"`
	RequestID string           `json:"request-id"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (r *refusal) body() errorBody {
	return errorBody{errorDetail{r.code, r.text}, r.run, r.id}
}

// seconds returns the Retry-After value, spread by the request id.
func (r *refusal) seconds() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.id))
	base := int((r.after + time.Second - 1) / time.Second)
	return max(1, base) + int(h.Sum32()%retrySpread)
}

func (g *Gate) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var r *refusal
	if !errors.As(err, &r) {
		r = refuse("", http.StatusInternalServerError, "internal", err.Error()).state(attempt.Unknown)
	}
	g.metrics.count(r.code)
	_ = g.Logger.Log("msg", "Refused a request.", "request", r.id, "code", r.code, "run", r.run, "detail", r.text)
	w.Header().Set("X-Request-Id", r.id)
	w.Header().Set("X-Run", string(r.run))
	if r.after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(r.seconds()))
	}
	writeJSON(w, r.status, r.body())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
