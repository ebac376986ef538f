package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockingWriter is an output whose writes block until unblock, if set, is closed.
type blockingWriter struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	unblock chan struct{}
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	if w.unblock != nil {
		<-w.unblock
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func (w *blockingWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.buf.String()), "\n")
}

func TestLinesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockingWriter{}
		s := NewSink(w, time.Now)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := s.Write([]byte(line))
			is.NoErr(err)
		}
		s.Close()
		is.Equal(w.lines(), []string{"a", "b", "c"})
	})
}

// TestBlockedOutput checks that an output whose writes block doesn't block the callers of
// Write, and that dropped lines are reported.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockingWriter{unblock: make(chan struct{})}
		s := NewSink(w, time.Now)
		start := time.Now()
		for range 10 * maxQueuedLines {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(start), time.Duration(0)) // no write waited
		close(w.unblock)
		s.Close()
		lines := w.lines()
		is.True(strings.Contains(lines[len(lines)-1], "Lines were left out."))
	})
}

// TestRate checks that the accepted lines are bounded by the rate and one burst.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockingWriter{}
		s := NewSink(w, time.Now)
		const seconds, perSecondWritten = 10, 1000
		for range seconds * perSecondWritten {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
			time.Sleep(time.Second / perSecondWritten)
		}
		s.Close()
		n := 0
		for _, line := range w.lines() {
			if line == "line" {
				n++
			}
		}
		is.True(n <= burst+seconds*perSecond) // at most the rate and one burst
		is.True(n >= seconds*perSecond)       // at least the rate
	})
}

func BenchmarkWrite(b *testing.B) {
	s := NewSink(&blockingWriter{}, time.Now)
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		if _, err := s.Write(line); err != nil {
			b.Fatal(err)
		}
	}
	s.Close()
}
