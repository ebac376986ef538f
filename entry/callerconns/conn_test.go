package callerconns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocusfold.dev/core/memorybudget"
)

func repeatedLines(size int) string { return strings.Repeat("a:\r\n", size/4) }

func differentLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "x%d:1\r\n", i)
	}
	return b.String()
}

// serveCaller serves a connection in memory with an http.Server, and returns the caller's end.
func serveCaller(t *testing.T, l *Listener, h http.Handler) net.Conn {
	t.Helper()
	caller, accepted := net.Pipe()
	ln := make(pipeListener, 1)
	ln <- accepted
	l.Listener = ln
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeaderBytes: 64 << 10,
		ConnState: l.Observe, ConnContext: l.Context,
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = caller.Close()
		_ = server.Close()
	})
	return caller
}

// ask sends a request and returns the status of the response, or 0.
func ask(caller net.Conn, r *bufio.Reader, header string) int {
	go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n"+header+"\r\n") }()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestHeadLimitIsThatOfTheConfiguration checks that a head of exactly the configured size is
// served, even if it consists of the shortest lines, that one byte more is refused, and that
// changes apply to the next request of an open connection.
func TestHeadLimitIsThatOfTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		memory := &Memory{}
		memory.SetLimits(memorybudget.Limits{MemoryMB: 112})
		l := &Listener{
			HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, Memory: memory,
			Current: func() Limits { return Limits{HeaderBytes: int(limit.Load())} },
		}
		caller := serveCaller(t, l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		r := bufio.NewReader(caller)
		host := "Host: abcde\r\n\r\n"[:13]
		for _, c := range []struct{ limit, size, status int }{
			{0, 40 << 10, http.StatusOK},
			{16384, 16384, http.StatusOK},
			{65536, 60000, http.StatusOK},
			{16384, 16388, http.StatusRequestHeaderFieldsTooLarge},
		} {
			limit.Store(int64(c.limit))
			fill := c.size - len(host)
			header := host + repeatedLines(fill)
			if rest := c.size - len(header); rest > 0 {
				// The last line takes the rest.
				header = strings.TrimSuffix(header, "a:\r\n") + "a:" + strings.Repeat("b", rest) + "\r\n"
			}
			if len(header) != c.size {
				t.Fatalf("the header has %d bytes, want %d", len(header), c.size)
			}
			if got := ask(caller, r, header); got != c.status {
				t.Errorf("limit %d, %d bytes: got %d, want %d", c.limit, c.size, got, c.status)
			}
		}
	})
}

// TestTimesAreThoseOfTheConfiguration checks that a connection that was idle for four fifths of
// the configured time is served, that one idle for longer than it is closed, and that a head has
// the configured time.
func TestTimesAreThoseOfTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		name        string
		idle, pause time.Duration
		served      bool
	}{
		{"four fifths of the idle time", 12 * time.Second, 0, true},
		{"longer than the idle time", 16 * time.Second, 0, false},
		{"head in time", 0, 2900 * time.Millisecond, true},
		{"head too slow", 0, 3100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Listener{
					HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
					Current: func() Limits { return Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second} },
				}
				caller := serveCaller(t, l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
				r := bufio.NewReader(caller)
				if got := ask(caller, r, "Host: x\r\n"); got != http.StatusOK {
					t.Fatalf("first request: got %d", got)
				}
				time.Sleep(c.idle)
				var wg sync.WaitGroup
				defer wg.Wait()
				defer caller.Close()
				wg.Go(func() {
					_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n")
					time.Sleep(c.pause)
					_, _ = io.WriteString(caller, "Host: x\r\n\r\n")
				})
				resp, err := http.ReadResponse(r, nil)
				if served := err == nil && resp.StatusCode == http.StatusOK; served != c.served {
					t.Errorf("served: got %v, want %v (%v)", served, c.served, err)
				}
			})
		})
	}
}

// TestUnreadResponses checks that a response that is not read is cut after unreadTimeout, and
// one that is read slowly, or late, is not.
func TestUnreadResponses(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		whole bool
	}{
		{"read slowly", unreadTimeout / 2, true},
		{"not read", unreadTimeout + 2*writeInterval, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 64 << 10
				memory := &Memory{}
				var cut atomic.Int64
				memory.OnEnd = func(Reason) { cut.Add(1) }
				l := &Listener{HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, Memory: memory}
				caller := serveCaller(t, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write(make([]byte, size))
				}))
				_, _ = io.WriteString(caller, "GET / HTTP/1.0\r\n\r\n")
				read, buf := 0, make([]byte, 16<<10)
				for {
					time.Sleep(c.pause)
					n, err := caller.Read(buf)
					read += n
					if err != nil {
						break
					}
				}
				if whole := read > size; whole != c.whole {
					t.Errorf("the caller has read %d bytes", read)
				}
				if got := cut.Load() == 0; got != c.whole {
					t.Errorf("%d connections were cut", cut.Load())
				}
			})
		})
	}
}

// TestWaitingConnectionIsNotRead checks that a connection waits for memory without being read,
// that its request is served once another one ends, and that one that waits too long gets a 503.
func TestWaitingConnectionIsNotRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		freed  time.Duration
		status int
	}{
		{"memory becomes free", 500 * time.Millisecond, http.StatusOK},
		{"no memory", time.Minute, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := &Memory{}
				memory.SetLimits(memorybudget.Limits{MemoryMB: 56})
				other := memory.open(func(Reason) {})
				other.SetPhase(memorybudget.Serving)
				other.Charge(memorybudget.Body, 8<<20-memorybudget.ConnectionCost)
				time.AfterFunc(c.freed, func() { other.Release(memorybudget.Body) })
				l := &Listener{HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, Memory: memory}
				caller := serveCaller(t, l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
				if got := ask(caller, bufio.NewReader(caller), "Host: x\r\n"); got != c.status {
					t.Errorf("got %d, want %d", got, c.status)
				}
			})
		})
	}
}

// TestReservationEndsWithItsRequest checks that a request that ends while it waits leaves
// nothing in the budget.
func TestReservationEndsWithItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &Memory{}
		memory.SetLimits(memorybudget.Limits{MemoryMB: 56})
		other, waiting := memory.open(func(Reason) {}), memory.open(func(Reason) {})
		other.Charge(memorybudget.Body, 8<<20)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := waiting.Reserve(ctx.Done(), memorybudget.Body, 1<<20); err == nil {
			t.Error("memory was granted that is not there")
		}
		waiting.close()
		other.close()
		held, conns, waits := memory.Usage()
		if held["body"] != 0 || held["connection"] != 0 || conns != 0 || waits != 0 {
			t.Errorf("left: %v, %d connections, %d waiting", held, conns, waits)
		}
	})
}

// BenchmarkAccount measures the calls of one request, as the front makes them.
func BenchmarkAccount(b *testing.B) {
	memory := &Memory{}
	memory.SetLimits(memorybudget.Limits{MemoryMB: 536})
	a := memory.open(func(Reason) {})
	for b.Loop() {
		a.SetPhase(memorybudget.Receiving)
		_, _ = a.Reserve(nil, memorybudget.Head, 4<<10)
		a.SetPhase(memorybudget.Serving)
		a.SetPhase(memorybudget.Receiving)
		_, _ = a.Reserve(nil, memorybudget.Body, 4<<10)
		a.SetPhase(memorybudget.Serving)
		_, _ = a.Reserve(nil, memorybudget.Response, memorybudget.ResponseCost)
		a.endRequest()
	}
}
