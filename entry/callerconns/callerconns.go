// Package callerconns accepts connections of callers that are not trusted. It bounds the heads
// of their requests, closes callers that do not read, has connections wait while the instance
// has no memory for them, and closes idle ones without losing a request that arrives at that
// moment.
package callerconns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// socketBytes bounds the send and the receive buffer of a connection. The system lets them grow
// to several MB, which also count as memory of the machine.
const socketBytes = 128 << 10

// Limits bound the head of a request and the times of a connection. Those that are 0 are not
// set.
type Limits struct {
	// HeaderBytes bounds the request line, and the header lines together.
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// Listener accepts connections of callers and tracks which of them are idle. An http.Server
// may close a connection as idle after it has read a part of a request, and then serves that
// request nevertheless. A connection that a Listener closes delivers no more bytes.
//
// An http.Server counts the time for a header from the moment when a connection was accepted.
// If IdleTimeout is set, a new connection may be idle for so long, and HeaderTimeout counts
// from the first byte.
type Listener struct {
	net.Listener
	// HeaderBytes, HeaderTimeout and IdleTimeout hold for what Current does not set.
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
	// Current, if set, returns the limits that are in force now.
	Current func() Limits
	// Memory is shared with other listeners; nil means that there is no limit.
	Memory *Memory

	// MaxUpgraded bounds the connections that were taken over by their handlers; 0 is without
	// limit. A new one takes the place of that on which nothing has come for the longest time.
	MaxUpgraded int

	// delayed is the number of connections that are kept open after a refusal.
	delayed atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// upgraded has the connections that were taken over, if MaxUpgraded is set.
	upgraded map[*conn]struct{}
	// crossed is the number of connections on which bytes of a request arrived as they were
	// closed as idle.
	crossed int
}

// limits returns the limits in force.
func (l *Listener) limits() Limits {
	limits := Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
	if l.Current == nil {
		return limits
	}
	current := l.Current()
	if current.HeaderBytes > 0 {
		limits.HeaderBytes = current.HeaderBytes
	}
	if current.HeaderTimeout > 0 {
		limits.HeaderTimeout = current.HeaderTimeout
	}
	if current.IdleTimeout > 0 {
		limits.IdleTimeout = current.IdleTimeout
	}
	return limits
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBytes)
		_ = tcp.SetWriteBuffer(socketBytes)
	}
	c := &conn{Conn: accepted, listener: l, accepted: time.Now()}
	l.mu.Lock()
	if l.conns == nil {
		l.conns = map[*conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if l.Memory != nil {
		c.account = l.Memory.open(c.evict)
	}
	return c, nil
}

type connKey struct{}

// Context adds a connection to the context of its requests, as http.Server.ConnContext does.
func (l *Listener) Context(ctx context.Context, accepted net.Conn) context.Context {
	if c, ok := accepted.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// AccountOf returns the account of the connection that a request came on, or nil.
func AccountOf(ctx context.Context) *Account {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.account
	}
	return nil
}

// ResetOnClose sets whether the connection that a request came on is reset when it is closed. It
// holds for the end of the process too, which otherwise looks like the end of a response that
// ends with its connection.
func ResetOnClose(ctx context.Context, reset bool) {
	sec := -1
	if reset {
		sec = 0
	}
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		_ = c.SetLinger(sec)
	}
}

// Observe is to be called with each state of a connection, as http.Server.ConnState is.
func (l *Listener) Observe(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.beginIdle()
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
		if c.account != nil {
			c.account.close()
		}
		if state == http.StateHijacked && l.MaxUpgraded > 0 {
			l.upgrade(c)
		}
	}
}

// upgrade adds a connection that was taken over.
func (l *Listener) upgrade(c *conn) {
	c.lastRead.Store(time.Now().UnixNano())
	l.mu.Lock()
	if l.upgraded == nil {
		l.upgraded = map[*conn]struct{}{}
	}
	l.upgraded[c] = struct{}{}
	var silent *conn
	if len(l.upgraded) > l.MaxUpgraded {
		for other := range l.upgraded {
			if silent == nil || other.lastRead.Load() < silent.lastRead.Load() {
				silent = other
			}
		}
		delete(l.upgraded, silent)
	}
	l.mu.Unlock()
	if silent != nil {
		if l.Memory != nil {
			l.Memory.record(TooManyConnections, silent.account)
		}
		silent.evict(TooManyConnections)
	}
}

// beginDelay reports whether one more connection may be kept open after a refusal.
func (l *Listener) beginDelay() bool {
	if l.delayed.Add(1) <= maxDelayed {
		return true
	}
	l.delayed.Add(-1)
	return false
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.upgraded, c)
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
