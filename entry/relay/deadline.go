package relay

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// maxUnreadTime bounds the time for which a caller that reads slowly may exceed its deadline. The
// replica is occupied meanwhile, so that it is no longer than the default timeout of a request.
const maxUnreadTime = defaultTimeout

// writeBuffer is the size of the buffer of net/http for a response.
const writeBuffer = 2 << 10

// callerDeadline ends a request at its deadline. The time in which the response waits for its
// caller to read does not count: what is ready is delivered also when late.
type callerDeadline struct {
	context.Context
	at     time.Time
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	// blocked is how long writes to the caller took, and writing when the present one began.
	// granted is how much of that was added to the deadline.
	blocked, granted time.Duration
	writing          time.Time
}

// newCallerDeadline returns a context that ends after some time.
func newCallerDeadline(parent context.Context, left time.Duration) *callerDeadline {
	ctx, cancel := context.WithCancel(parent)
	d := &callerDeadline{Context: ctx, at: time.Now().Add(left), cancel: cancel}
	if left <= 0 {
		cancel()
		return d
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(left, d.expire)
	return d
}

// Deadline returns when the request ends if its caller reads at once.
func (d *callerDeadline) Deadline() (time.Time, bool) { return d.at, true }

// stop releases the resources of the context.
func (d *callerDeadline) stop() {
	d.mu.Lock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.mu.Unlock()
	d.cancel()
}

// expire ends the request, unless writes to the caller took a part of its time.
func (d *callerDeadline) expire() {
	d.mu.Lock()
	blocked := d.blocked
	if !d.writing.IsZero() {
		blocked += time.Since(d.writing)
	}
	more := min(blocked, maxUnreadTime) - d.granted
	if more > 0 {
		d.granted += more
		d.timer.Reset(more)
	}
	d.mu.Unlock()
	if more <= 0 {
		d.cancel()
	}
}

// beginWrite and endWrite enclose a write to the caller.
func (d *callerDeadline) beginWrite() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writing = time.Now()
}

func (d *callerDeadline) endWrite() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked += time.Since(d.writing)
	d.writing = time.Time{}
}

// write writes a part of the response to the caller.
func (c *call) write(b []byte, flush bool) error {
	// The first bytes of a body are buffered by net/http, so that writing them does not block.
	if d, ok := c.ctx.(*callerDeadline); ok && (flush || c.summary.bytes > writeBuffer) {
		d.beginWrite()
		defer d.endWrite()
	}
	_, err := c.w.Write(b)
	if err == nil && flush {
		err = http.NewResponseController(c.w).Flush()
	}
	return err
}
