package relay

import (
	"io"
	"net/http"
	"sync"
	"time"

	"crocusfold.dev/core/eventstream"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/callerconns"
	"crocusfold.dev/entry/replicas"
)

// framing is how a response states where its body ends; 0 if there is no response.
type framing int

const (
	// byLength is a Content-Length.
	byLength framing = iota + 1
	// byChunks is the chunked transfer coding.
	byChunks
	// byClose is the end of the connection.
	byClose
)

// String returns the name of the framing in the log.
func (f framing) String() string {
	return [...]string{"", "length", "chunks", "close"}[f]
}

// framingOf returns the framing of a response.
func framingOf(resp *http.Response) framing {
	switch {
	case resp.ContentLength >= 0:
		return byLength
	case len(resp.TransferEncoding) > 0:
		return byChunks
	}
	return byClose
}

// copyBuffers has the buffers of copyResponse, which are reused.
var copyBuffers = sync.Pool{New: func() any { return new([8 << 10]byte) }}

// copyResponse streams the response to the caller, and reports whether it is complete.
// If it breaks off, the caller's connection is closed or reset, so that the response does
// not look complete.
func (c *call) copyResponse(pl *replicas.Placement, resp *http.Response, sentAt time.Time, used *connUse) bool {
	h := c.w.Header()
	closing := h.Get("Connection")
	removeHopByHopHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	c.summary.status, c.summary.framing = resp.StatusCode, framingOf(resp)
	stream := eventstream.IsEventStream(resp.Header.Get("Content-Type"))
	c.events, c.times = eventstream.Scanner{}, eventTimes{}
	if c.resumes() {
		c.events.Resume(c.info.ResumeAfter)
	}
	flush := stream || resp.ContentLength < 0
	c.setFraming(stream)
	if stream && resp.StatusCode < http.StatusMultipleChoices {
		c.recordOrigin(pl)
	}
	c.w.WriteHeader(resp.StatusCode)
	buf := copyBuffers.Get().(*[8 << 10]byte)
	defer copyBuffers.Put(buf)
	c.answered = false
	var firstEvent time.Time
	var pace eventPace
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			c.summary.bytes += int64(n)
			seen := c.summary.events
			if stream {
				c.events.Scan(buf[:n])
				c.summary.events, c.summary.inEvent = c.events.Events(), c.events.InEvent()
				firstEvent = c.observeEvents(firstEvent)
				c.observeTimes(pl)
				pace.observe(c.relay.Now(), c.summary.events)
			}
			c.sent.received(c.relay.Now, !stream || c.summary.events > seen)
			werr := c.write(buf[:n], flush)
			c.sent.passedOn(c.relay.Now)
			c.times.written(c.relay.Now)
			if werr != nil {
				c.abortResponse(pl, "caller-left", false, sentAt)
				return false
			}
		}
		if err == io.EOF && (stream && c.brokeOff() || c.summary.framing == byClose && !used.requestWritten()) {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			c.endFraming()
			c.summary.outcome = "ok"
			c.observeComplete(pl)
			c.recordCompleted(pl, resp.StatusCode)
			c.recordVersionOutcome(pl, sentAt, resp.StatusCode, stream, pace)
			// A replica may return an error without running the request, so only a status
			// below 300 counts as a successful run.
			if resp.StatusCode < http.StatusMultipleChoices {
				c.recordSuccess(sentAt)
			}
			return true
		}
		if err != nil {
			c.recordLost(c.relay.Now(), pl, sentAt, pace.first)
			c.abortResponse(pl, "answer-broke-off", true, sentAt)
			return false
		}
	}
}

// recordCompleted records that a response of a replica was passed on completely. Where
// requests compete for replicas, an error does not lower the failure rate of its replica.
func (c *call) recordCompleted(pl *replicas.Placement, status int) {
	c.relay.Replicas.WithPool(func(p *pool.Pool) {
		switch {
		case !c.contended:
			p.Succeeded(pl.ID)
		case status >= http.StatusInternalServerError:
			p.CompletedError(pl.ID)
		default:
			p.Succeeded(pl.ID)
		}
	})
}

// recordSuccess records a complete response of a run that was sent at sentAt.
func (c *call) recordSuccess(sentAt time.Time) {
	now := c.relay.Now()
	if !c.relay.Crashes.empty() {
		c.relay.Crashes.recordSuccess(now, c.fingerprint(), sentAt)
	}
	c.recordAnswered(now)
}

// crashDelay is how long after its first event a run may still crash the replica because
// of a part of its prompt.
const crashDelay = 250 * time.Millisecond

// observeEvents clears the parts of the prompt once the stream has gone on for crashDelay
// after its first event, and returns the time of that event. It is called after each read.
func (c *call) observeEvents(first time.Time) time.Time {
	if c.answered || c.summary.events == 0 {
		return first
	}
	now := c.relay.Now()
	if first.IsZero() {
		return now
	}
	if now.Sub(first) >= crashDelay && c.summary.status < http.StatusMultipleChoices {
		c.recordAnswered(now)
	}
	return first
}

// recordAnswered records that no part of the prompt crashes its replica.
func (c *call) recordAnswered(now time.Time) {
	if parts := c.partFingerprints(); !c.answered && len(parts) > 0 {
		c.relay.Crashes.recordAnswered(now, parts)
	}
	c.answered = true
}

// setFraming sets how the response to the caller is framed: by its length, or else in chunks of
// the instance's own, whose last one is missing if the response breaks off or the instance ends.
// HTTP/1.0 has no chunks. Such a response ends with its connection, which is reset unless the
// response is complete.
func (c *call) setFraming(stream bool) {
	if stream {
		c.w.Header().Del("Content-Length")
	} else if c.summary.framing == byLength {
		return
	}
	if c.endsByClose = !c.r.ProtoAtLeast(1, 1); c.endsByClose {
		callerconns.ResetOnClose(c.r.Context(), true)
	}
}

// endFraming lets the response end, since it is complete.
func (c *call) endFraming() {
	if c.endsByClose {
		callerconns.ResetOnClose(c.r.Context(), false)
	}
}

// brokeOff reports whether a stream whose framing is complete was broken off: it ends
// inside an event, or with its connection before the first one.
func (c *call) brokeOff() bool {
	if c.r.Method == http.MethodHead {
		return false
	}
	empty := c.summary.framing == byClose && c.events.Events() == 0 && c.summary.status < http.StatusMultipleChoices
	return c.events.InEvent() || empty
}

// resetCaller resets the caller's connection, and reports whether it did. A response that
// ends with its connection would look complete if that were closed.
func (c *call) resetCaller() bool {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		return false
	}
	if l, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
	return true
}

// abortResponse records why a response can't be completed, and has the caller's
// connection closed. byReplica is true if reading from the replica failed, false if
// writing to the caller did.
func (c *call) abortResponse(pl *replicas.Placement, outcome string, byReplica bool, sentAt time.Time) {
	now := c.relay.Now()
	run := c.run(pl, sentAt)
	stalled := byReplica && c.sent.endedByStall()
	if c.ctx.Err() != nil || !byReplica || stalled {
		c.relay.Crashes.recordPending(now, run)
	}
	switch {
	case c.r.Context().Err() != nil:
		outcome = "caller-left"
	case c.ctx.Err() != nil:
		outcome = "timeout"
	case stalled:
		outcome = "replica-stalled"
	case byReplica:
		c.relay.Replicas.WithPool(func(p *pool.Pool) { p.Failed(now, pl.ID) })
		c.relay.Crashes.recordCrash(now, run, c.runInfo())
	}
	c.summary.outcome, c.abort = outcome, true
}
