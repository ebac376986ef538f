// Package guard asks an attempt for permission right before the first byte of its
// request is written to a connection. A request that was given up before is then
// certain not to have been sent.
package guard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"crocusfold.dev/core/attempt"
)

// Conn is a connection whose writes need the permission of the attempt that it is
// bound to.
type Conn struct {
	net.Conn
	att      atomic.Pointer[attempt.Attempt]
	firstUse atomic.Pointer[time.Time]
	refused  atomic.Bool
	// requestWritten is true once the request that was last bound to the connection was written.
	requestWritten atomic.Bool
}

// RequestWritten reports whether the request that was last bound to the connection was written as
// a whole.
func (c *Conn) RequestWritten() bool { return c.requestWritten.Load() }

// BelieveRefusal decides whether a refusal with the id got, received on this connection,
// belongs to the request with the id want (see attempt.ProvesNotRun). It closes the
// connection unless it can be used again: after a refusal that belongs to another request,
// and after one without an id, since a copy of that could not be told from a new one.
func (c *Conn) BelieveRefusal(want, got string) bool {
	proven := attempt.ProvesNotRun(want, got, c.refused.Swap(true))
	if !proven || got == "" {
		_ = c.Close()
	}
	return proven
}

// FirstUse returns when the connection was first used. The first call sets that time
// to now.
func (c *Conn) FirstUse(now time.Time) *time.Time {
	c.firstUse.CompareAndSwap(nil, &now)
	return c.firstUse.Load()
}

// Bind attributes all later writes to an attempt.
func (c *Conn) Bind(a *attempt.Attempt) { c.att.Store(a) }

// Write calls Begin of the bound attempt and then writes b. If no attempt is bound or
// Begin returns an error, it writes nothing and returns an error.
func (c *Conn) Write(b []byte) (int, error) {
	a := c.att.Load()
	if a == nil {
		// Without an attempt, nothing would record that the request was sent.
		return 0, errors.New("writing a request: no attempt is bound to the connection")
	}
	if err := a.Begin(time.Now()); err != nil {
		return 0, fmt.Errorf("writing the request: %w", err)
	}
	return c.Conn.Write(b)
}

// Dialer opens a connection. It has the signature of http.Transport.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Transport makes t wrap each connection that it dials in a Conn, and returns t.
// t.DialContext must be set. Each request through t must have a context from
// WithAttempt.
func Transport(t *http.Transport) *http.Transport {
	dial := Dialer(t.DialContext)
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
	return t
}

// WithAttempt returns a context for one request of an attempt. When the transport
// has chosen a connection for the request, new or idle, the connection is bound to
// the attempt and passed to each of onConn, before the request is written to it.
func WithAttempt(ctx context.Context, a *attempt.Attempt, onConn ...func(*Conn)) context.Context {
	var conn atomic.Pointer[Conn]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.requestWritten.Store(false)
				conn.Store(c)
				c.Bind(a)
				for _, f := range onConn {
					f(c)
				}
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := conn.Load(); c != nil && info.Err == nil {
				c.requestWritten.Store(true)
			}
		},
	})
}
