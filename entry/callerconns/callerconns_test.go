package callerconns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// heldConn is a connection whose Read returns the bytes of a request once it is released,
// also if it was closed meanwhile.
type heldConn struct {
	net.Conn
	reading, release chan struct{}
}

func (c *heldConn) Read(b []byte) (int, error) {
	close(c.reading)
	<-c.release
	return copy(b, "POST /"), nil
}

func (c *heldConn) Close() error { return nil }

type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// TestClosedIdleConnectionDeliversNoRequest guards against a request that is served although
// its connection was closed as idle while the request arrived.
func TestClosedIdleConnectionDeliversNoRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		state  http.ConnState
		closed bool
	}{
		{"idle", http.StateIdle, true},
		{"new", http.StateNew, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			held := &heldConn{reading: make(chan struct{}), release: make(chan struct{})}
			l := &Listener{Listener: oneConn{conn: held}}
			conn, err := l.Accept()
			is.NoErr(err)
			l.Observe(conn, c.state)
			go func() {
				<-held.reading
				l.CloseIdle(time.Now())
				close(held.release)
			}()
			n, err := conn.Read(make([]byte, 100))
			is.Equal(errors.Is(err, net.ErrClosed), c.closed)
			is.Equal(n == 0, c.closed)
			is.Equal(l.Crossed() == 1, c.closed)
			l.Observe(conn, http.StateClosed)
			is.Equal(len(l.conns), 0)
		})
	}
}

// TestNewConnectionMayBeIdle checks that the time for a header counts from its first byte, and
// that a header that is then too slow, or a connection that is idle for too long, is closed.
func TestNewConnectionMayBeIdle(t *testing.T) {
	const headerTimeout, idleTimeout = 300 * time.Millisecond, time.Second
	for _, c := range []struct {
		name        string
		idle, pause time.Duration
		served      bool
	}{
		{"idle for longer than a header may take", 500 * time.Millisecond, 20 * time.Millisecond, true},
		{"slow header", 0, 600 * time.Millisecond, false},
		{"idle for too long", 1500 * time.Millisecond, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller, accepted := net.Pipe()
				ln := make(pipeListener, 1)
				ln <- accepted
				l := &Listener{Listener: ln, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
				server := &http.Server{
					Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
					ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: l.Observe,
				}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				var wg sync.WaitGroup
				defer wg.Wait()
				defer caller.Close()
				time.Sleep(c.idle)
				wg.Go(func() {
					_, _ = io.WriteString(caller, "GET / HT")
					time.Sleep(c.pause)
					_, _ = io.WriteString(caller, "TP/1.1\r\nHost: h.example\r\n\r\n")
				})
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				is.Equal(err == nil && resp.StatusCode == http.StatusOK, c.served)
			})
		})
	}
}

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error { close(l); return nil }

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestResetOnClose guards against a body of HTTP/1.0 that looks complete although it was not:
// the connection is reset unless that was taken back.
func TestResetOnClose(t *testing.T) {
	for _, complete := range []bool{false, true} {
		is := is.New(t)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l := &Listener{Listener: inner}
		go func() {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			ctx := l.Context(context.Background(), accepted)
			_, _ = accepted.Read(make([]byte, 1))
			ResetOnClose(ctx, true)
			_, _ = io.WriteString(accepted, "part")
			if complete {
				ResetOnClose(ctx, false)
			}
			// The end of a process closes the descriptor and nothing else.
			_ = accepted.(*conn).Conn.Close()
		}()
		caller, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(caller, "x")
		is.NoErr(err)
		_, err = io.ReadAll(caller)
		is.Equal(err == nil, complete)
		_ = caller.Close()
		_ = inner.Close()
	}
}
