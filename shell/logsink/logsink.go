// Package logsink writes log lines to a slow or standing reader without ever
// making the writer of a line wait, and bounds their number.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds on the lines.
const (
	// perSecond and burst bound the lines that are accepted.
	perSecond = 400
	burst     = 1200
	// maxQueuedLines bounds the lines that wait for the reader.
	maxQueuedLines = 1024
	// batchBytes is the number of bytes that are written at once.
	batchBytes = 32 << 10
	// flushInterval is how long a line may wait for others to be written with it.
	flushInterval = 100 * time.Millisecond
)

// Sink takes one line for each Write. It is safe for concurrent use.
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

// NewSink starts writing to out.
func NewSink(out io.Writer, now func() time.Time) *Sink {
	s := &Sink{out: out, now: now, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), tokens: burst}
	go s.run()
	return s
}

// Write accepts a line, or counts it as left out. It never waits.
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

// takeToken takes one line off the rate.
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

// Close writes what waits and ends.
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
	// The timer runs only while a line waits, so that an idle process sleeps on.
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

// write hands lines to the reader, and tells how many were left out.
func (s *Sink) write(buf []byte) {
	s.mu.Lock()
	dropped := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "part=log msg=\"Lines were left out.\" count=%d\n", dropped)
	}
	if len(buf) > 0 {
		// Nobody could be told that the log can't be written.
		_, _ = s.out.Write(buf)
	}
}
