// Package callerconns closes idle connections of callers without losing a request that
// arrives at that moment, and lets callers open connections before they have a request.
package callerconns

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts connections of callers and tracks which of them are idle. An http.Server
// may close a connection as idle after it has read a part of a request, and then serves that
// request nevertheless. A connection that a Listener closes delivers no more bytes.
//
// An http.Server counts the time for a header from the moment when a connection was accepted.
// If IdleTimeout is set, a new connection may be idle for so long, and HeaderTimeout counts
// from the first byte.
type Listener struct {
	net.Listener
	HeaderTimeout, IdleTimeout time.Duration

	mu    sync.Mutex
	conns map[*conn]struct{}
	// crossed is the number of connections on which bytes of a request arrived as they were
	// closed as idle.
	crossed int
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	accepted time.Time

	mu sync.Mutex
	// fresh is true until the first byte arrives.
	fresh bool
	// idle is true from the end of a response until bytes of the next request arrive.
	// crossed is true if such bytes arrived as the connection was closed.
	idle, closed, crossed bool
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, accepted: time.Now(), fresh: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// Observe is to be called with each state of a connection, as http.Server.ConnState is.
func (l *Listener) Observe(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = true
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Listener) countCrossed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crossed++
}

// Crossed returns the number of connections on which bytes of a request arrived as they were
// closed as idle. Those requests were not served.
func (l *Listener) Crossed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crossed
}

// CloseIdle closes the connections that are idle. Those on which no request has arrived yet
// stay open for HeaderTimeout after they were accepted.
func (l *Listener) CloseIdle(now time.Time) {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle(now)
	}
}

func (c *conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.listener
	unused := c.fresh && l.IdleTimeout > 0 && now.Sub(c.accepted) >= l.HeaderTimeout
	if (c.idle || unused) && !c.closed {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// Read reads bytes of a request. It returns net.ErrClosed if the connection was closed as
// idle before they were delivered.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		if n > 0 && !c.crossed {
			c.crossed = true
			c.listener.countCrossed()
		}
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
		if c.fresh && c.listener.IdleTimeout > 0 {
			_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.HeaderTimeout))
		}
		c.fresh = false
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads. Until the first byte arrives, it is that of an
// idle connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle := c.listener.IdleTimeout; c.fresh && idle > 0 && !t.IsZero() {
		t = c.accepted.Add(idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets the linger option of a TCP connection; it does nothing on others.
func (c *conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}
