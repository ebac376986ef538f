package gateway

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
	shortRetryAfter    = time.Second
	longRetryAfter     = 3 * time.Second
	retryJitterSeconds = 4
)

// Codes that decide whether a request waits.
const (
	// codeNoUpstream is that of a request that no upstream has room for.
	codeNoUpstream = "no-upstream"
	// codeSuspectBusy is that of a suspect while an equal one is being tried.
	codeSuspectBusy = "suspect-busy"
)

// callError is the final answer to a request that is given up.
type callError struct {
	id       string
	status   int
	code     string
	message  string
	runState attempt.RunState
	// retryAfter is when to come back; 0 means that it is of no use.
	retryAfter time.Duration
}

func (e *callError) Error() string { return e.code + ": " + e.message }

// newCallError is a refusal of a request that was not run.
func newCallError(id string, status int, code, message string) *callError {
	return &callError{id: id, status: status, code: code, message: message, runState: attempt.NotRun}
}

func (e *callError) withRetryAfter(after time.Duration) *callError {
	e.retryAfter = after
	return e
}

func (e *callError) withRunState(run attempt.RunState) *callError {
	e.runState = run
	return e
}

type errorBody struct {
	Error     errorDetail      `json:"error"`
	RunState  attempt.RunState `json:"run"`
	RequestID string           `json:"request-id"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (e *callError) body() errorBody {
	return errorBody{errorDetail{e.code, e.message}, e.runState, e.id}
}

// retryAfterSeconds returns the Retry-After value, spread by the request id.
func (e *callError) retryAfterSeconds() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.id))
	base := int((e.retryAfter + time.Second - 1) / time.Second)
	return max(1, base) + int(h.Sum32()%retryJitterSeconds)
}

func (g *Gateway) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var callErr *callError
	if !errors.As(err, &callErr) {
		callErr = newCallError("", http.StatusInternalServerError, "internal", err.Error()).withRunState(attempt.Unknown)
	}
	g.metrics.count(callErr.code)
	_ = g.Logger.Log("msg", "Refused a request.", "request", callErr.id, "code", callErr.code, "run", callErr.runState, "detail", callErr.message)
	w.Header().Set("X-Request-Id", callErr.id)
	w.Header().Set("X-Run", string(callErr.runState))
	if callErr.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(callErr.retryAfterSeconds()))
	}
	writeJSON(w, callErr.status, callErr.body())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
