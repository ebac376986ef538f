package callerconns

import (
	"errors"
	"net"
	"net/http"
	"testing"

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
				l.CloseIdle()
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
