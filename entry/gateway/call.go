package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"crocusfold.dev/entry/callerconns"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 8 << 20
	// bodyReadTimeout is how long reading a body may take, without the time for which it waits
	// for memory. The largest one takes 6.7 s at 10 Mbit/s.
	bodyReadTimeout = 20 * time.Second
	// memoryRetry is the delay in the Retry-After header of a request that gets no memory.
	memoryRetry = time.Second
)

// writerKey is the key of the http.ResponseWriter in the context of decodeCall.
type writerKey struct{}

// maxTimeout is the maximum timeout of a request. A larger X-Timeout-Ms is reduced to
// it.
const maxTimeout = 10 * time.Minute

// call is a request of a caller, read completely.
type call struct {
	id string
	// idFromCaller is true if the caller sent the id, and false if it was generated.
	idFromCaller   bool
	token          string
	method         string
	path           string
	query          string
	body           []byte
	contentType    string
	idempotencyKey string
	// keyTime is when the caller created the idempotency key; zero if not known.
	keyTime  time.Time
	priority string
	session  string
	// timeout is the one that the caller requested; 0 if none.
	timeout time.Duration
	// start is when the headers were received, before the body is read.
	start time.Time
}

// priorityBatch is the priority of requests that are refused first when the instance
// is full: they may use only maxBatchShare of its capacity.
const priorityBatch = "batch"

// decodeCall reads a request with its body. Its errors are of type *callError.
func decodeCall(ctx context.Context, r *http.Request) (any, error) {
	c := call{
		id: r.Header.Get("X-Request-Id"), method: r.Method, path: r.URL.Path, query: r.URL.RawQuery,
		contentType: r.Header.Get("Content-Type"), idempotencyKey: r.Header.Get("Idempotency-Key"),
		session: r.Header.Get("X-Session-Id"), start: time.Now(),
	}
	c.idFromCaller = c.id != ""
	if !c.idFromCaller {
		c.id = uuid.NewString()
	}
	c.token, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if err := c.parseHeaders(r.Header); err != nil {
		return nil, newCallError(c.id, http.StatusBadRequest, "bad-header", err.Error())
	}
	if err := c.readBody(ctx, r); err != nil {
		return nil, err
	}
	return c, nil
}

// readBody reads the body as far as there is memory for it. After an error the connection is
// closed with the response, and the rest of the body is not read.
func (c *call) readBody(ctx context.Context, r *http.Request) error {
	w, ok := ctx.Value(writerKey{}).(http.ResponseWriter)
	if !ok || r.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(w)
	deadline := time.Now().Add(bodyReadTimeout)
	_ = conn.SetReadDeadline(deadline)
	body, err := callerconns.ReadBody(r, maxBodyBytes, func(waited time.Duration) {
		deadline = deadline.Add(waited)
		_ = conn.SetReadDeadline(deadline)
	})
	if err != nil {
		callerconns.StopReading(w)
	}
	switch {
	case errors.Is(err, callerconns.ErrBodyTooLarge):
		return newCallError(c.id, http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("the body may have %d bytes", maxBodyBytes))
	case errors.Is(err, callerconns.ErrNoMemory):
		return newCallError(c.id, http.StatusServiceUnavailable, "memory-full", "the instance has no memory for the request").withRetryAfter(memoryRetry)
	case err != nil:
		return newCallError(c.id, http.StatusBadRequest, "body-broken", "the request's body did not arrive whole")
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.body = body.Bytes()
	return nil
}

func (c *call) parseHeaders(h http.Header) error {
	c.priority = h.Get("X-Priority")
	switch c.priority {
	case "":
		c.priority = "interactive"
	case "interactive", priorityBatch:
	default:
		return errors.New("X-Priority must be interactive or batch")
	}
	if v := h.Get("X-Timeout-Ms"); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			return errors.New("X-Timeout-Ms must be a number of milliseconds above 0")
		}
		c.timeout = min(time.Duration(ms)*time.Millisecond, maxTimeout)
	}
	return c.parseKeyTime(h.Get("Idempotency-Key-Time"))
}

// parseKeyTime sets keyTime from the header or, if there is none, from an idempotency
// key that is a UUIDv7. It leaves keyTime zero if neither contains a time.
func (c *call) parseKeyTime(header string) error {
	if header != "" {
		t, err := time.Parse(time.RFC3339, header)
		if err != nil {
			return errors.New("Idempotency-Key-Time must be a time such as 2026-01-02T15:04:05Z")
		}
		c.keyTime = t
		return nil
	}
	if id, err := uuid.Parse(c.idempotencyKey); err == nil && id.Version() == 7 {
		c.keyTime = time.Unix(id.Time().UnixTime())
	}
	return nil
}

// deadline returns the time by which the response must be sent. The timeout applies if
// the caller requested none.
func (c *call) deadline(timeout time.Duration) time.Time {
	if c.timeout > 0 {
		timeout = c.timeout
	}
	return c.start.Add(timeout)
}
