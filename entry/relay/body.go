package relay

import (
	"errors"
	"net/http"
	"time"

	"crocusfold.dev/core/memorybudget"
	"crocusfold.dev/core/route"
	"crocusfold.dev/entry/callerconns"
)

const (
	// bodyReadTimeout is how long reading the body of a request may take, without the time for
	// which it waits for memory. The largest body of 4 MiB takes 3.4 s at 10 Mbit/s, the slowest
	// machine's.
	bodyReadTimeout = 10 * time.Second
	// refusedBodyTime is how long a refusal waits for the rest of a body that is not used. After
	// that, the connection is closed with the response.
	refusedBodyTime = 500 * time.Millisecond
	// defaultBodyBytes is the maximum size of a body if the configuration sets none.
	defaultBodyBytes = 4 << 20
	// memoryRetry is the delay in the Retry-After header of a request that gets no memory.
	memoryRetry = time.Second
)

// readBody reads the body of the request into c.body, as far as there is memory for it.
func (c *call) readBody(table *route.Table) *refusal {
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	// The deadline bounds the time for which a stalled caller occupies the instance.
	// It is cleared after the body, since it would end the request too. After an error
	// it stays, which keeps net/http from reading the rest of the body.
	c.bodyUnread = false
	conn := http.NewResponseController(c.w)
	deadline := time.Now().Add(bodyReadTimeout)
	if c.r.ContentLength != 0 {
		_ = conn.SetReadDeadline(deadline)
	}
	body, err := callerconns.ReadBody(c.r, limit, func(waited time.Duration) {
		deadline = deadline.Add(waited)
		_ = conn.SetReadDeadline(deadline)
	})
	switch {
	case errors.Is(err, callerconns.ErrBodyTooLarge):
		callerconns.StopReading(c.w)
		return &refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	case errors.Is(err, callerconns.ErrNoMemory):
		callerconns.StopReading(c.w)
		return notRun("memory-full", memoryRetry)
	case err != nil:
		// The caller's connection is broken, so no response is possible.
		return &refusal{code: "body-broken", abort: true}
	}
	c.body = body
	if c.r.ContentLength != 0 {
		_ = conn.SetReadDeadline(time.Time{})
	}
	return nil
}

// reserve reserves the memory that serving the request takes besides its head and body.
func (c *call) reserve() *refusal {
	_, err := callerconns.AccountOf(c.r.Context()).Reserve(c.ctx.Done(), memorybudget.Response, memorybudget.ResponseCost)
	if err != nil {
		return notRun("memory-full", memoryRetry)
	}
	return nil
}
