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

// Values of the Retry-After header. Up to retryJitterSeconds-1 seconds are added, so
// that callers don't all retry at the same time.
const (
	shortRetryAfter    = time.Second
	longRetryAfter     = 3 * time.Second
	retryJitterSeconds = 4
)

// Error codes after which a request may wait and be attempted again.
const (
	// codeNoUpstream means that no upstream has capacity for the request.
	codeNoUpstream = "no-upstream"
	// codeSuspectBusy means that the request is suspected of crashing upstreams, and
	// that a request with the same fingerprint is running in isolation.
	codeSuspectBusy = "suspect-busy"
)

// callError is the error response to a request.
type callError struct {
	id      string
	status  int
	code    string
	message string
	// runState says whether an upstream ran the request.
	runState attempt.RunState
	// retryAfter is the base of the Retry-After header; 0 means that the header is left
	// out, since a retry would fail too.
	retryAfter time.Duration
}

func (e *callError) Error() string { return e.code + ": " + e.message }

// newCallError returns the error response to a request that was not run, without a
// Retry-After header.
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

// retryAfterSeconds returns the value of the Retry-After header. A hash of the request
// id selects the jitter.
func (e *callError) retryAfterSeconds() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.id))
	base := int((e.retryAfter + time.Second - 1) / time.Second)
	return max(1, base) + int(h.Sum32()%retryJitterSeconds)
}

// encodeError writes the response to a request that failed. An error that is not a
// callError gets the status 500.
func (g *Gateway) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var callErr *callError
	if !errors.As(err, &callErr) {
		callErr = newCallError("", http.StatusInternalServerError, "internal", err.Error()).withRunState(attempt.Unknown)
	}
	g.metrics.count(callErr.code)
	_ = g.Logger.Log("msg", "Returned an error response.", "request", callErr.id, "code", callErr.code, "run", callErr.runState, "detail", callErr.message)
	w.Header().Set("X-Request-Id", callErr.id)
	w.Header().Set("X-Run", string(callErr.runState))
	if callErr.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(callErr.retryAfterSeconds()))
	}
	writeJSON(w, attempt.FinalStatus(callErr.status, callErr.runState), callErr.body())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeBody(w, status, "application/json", append(raw, '\n'))
}

// writeBody writes a response with its length. Without one, the end of this process would look
// like that of the body to a caller of HTTP/1.0.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
