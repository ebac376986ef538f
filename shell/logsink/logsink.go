// Package logsink writes log lines to an output that may be slow or blocked. Logging never
// blocks: lines above a rate, or for which the queue has no room, are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds on the log output.
const (
	// perSecond and burst are the rate and the burst of accepted lines.
	perSecond = 400
	burst     = 1200
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 1024
	// batchBytes is the number of buffered bytes that are written without waiting for
	// flushInterval.
	batchBytes = 32 << 10
	// flushInterval bounds the time that a line is buffered to be written with others.
	flushInterval = 100 * time.Millisecond
)

// Sink is an io.Writer of log lines, one line per Write. It is safe for concurrent use.
type Sink struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	dropped int
	closed  bool
}

// NewSink returns a Sink that writes to out until it is closed.
func NewSink(out io.Writer, now func() time.Time) *Sink {
	s := &Sink{out: out, now: now, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), tokens: burst}
	go s.run()
	return s
}

// Write queues a copy of a line, or drops and counts it. It never blocks, and always
// returns the line's length and no error. After Close, lines are discarded.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	if !s.takeToken(s.now()) {
		s.dropped++
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped++
	}
	return len(line), nil
}

// takeToken takes a token for one line from the rate limit's bucket, after refilling it. It
// returns false if there is none. The caller holds mu.
func (s *Sink) takeToken(now time.Time) bool {
	if !s.last.IsZero() {
		s.tokens = min(burst, s.tokens+now.Sub(s.last).Seconds()*perSecond)
	}
	s.last = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Close writes the queued lines and waits until the last is written.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	// The timer runs only while lines are buffered, so that an idle process isn't woken.
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	var buf []byte
	for {
		select {
		case line, ok := <-s.lines:
			if !ok {
				s.write(buf)
				return
			}
			if len(buf) == 0 {
				timer.Reset(flushInterval)
			}
			buf = append(buf, line...)
			if len(buf) < batchBytes {
				continue
			}
		case <-timer.C:
		}
		s.write(buf)
		buf = buf[:0]
	}
}

// write writes lines to the output, followed by the number of dropped lines, if any.
func (s *Sink) write(buf []byte) {
	s.mu.Lock()
	dropped := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "part=log msg=\"Lines were left out.\" count=%d\n", dropped)
	}
	if len(buf) > 0 {
		// A failure to write the log can't be reported.
		_, _ = s.out.Write(buf)
	}
}
