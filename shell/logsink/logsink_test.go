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

// reader is a reader of the log that can stand still.
type reader struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	stand chan struct{}
}

func (r *reader) Write(b []byte) (int, error) {
	if r.stand != nil {
		<-r.stand
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(b)
}

func (r *reader) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Split(strings.TrimSpace(r.buf.String()), "\n")
}

func TestLinesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reader{}
		s := NewSink(r, time.Now)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := s.Write([]byte(line))
			is.NoErr(err)
		}
		s.Close()
		is.Equal(r.lines(), []string{"a", "b", "c"})
	})
}

// TestStandingReader: a reader that takes nothing must not stop who logs.
func TestStandingReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reader{stand: make(chan struct{})}
		s := NewSink(r, time.Now)
		began := time.Now()
		for range 10 * maxQueuedLines {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0)) // no write waited
		close(r.stand)
		s.Close()
		lines := r.lines()
		is.True(strings.Contains(lines[len(lines)-1], "Lines were left out."))
	})
}

// TestRate: the number of lines is bounded, and what is left out is counted.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reader{}
		s := NewSink(r, time.Now)
		const seconds, perSecondWritten = 10, 1000
		for range seconds * perSecondWritten {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
			time.Sleep(time.Second / perSecondWritten)
		}
		s.Close()
		n := 0
		for _, line := range r.lines() {
			if line == "line" {
				n++
			}
		}
		is.True(n <= burst+seconds*perSecond) // at most the rate and one burst
		is.True(n >= seconds*perSecond)       // the rate itself is kept
	})
}

func BenchmarkWrite(b *testing.B) {
	s := NewSink(&reader{}, time.Now)
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		if _, err := s.Write(line); err != nil {
			b.Fatal(err)
		}
	}
	s.Close()
}
