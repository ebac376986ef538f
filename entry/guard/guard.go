// Package guard asks an attempt for leave right before the first byte of its
// request is written to a connection.
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

// Conn is a connection whose writes belong to the attempt that it is bound to.
type Conn struct {
	net.Conn
	att      atomic.Pointer[attempt.Attempt]
	firstUse atomic.Pointer[time.Time]
}

// FirstUse returns when the connection was first used, which is now if it was not
// used before.
func (c *Conn) FirstUse(now time.Time) *time.Time {
	c.firstUse.CompareAndSwap(nil, &now)
	return c.firstUse.Load()
}

// Bind makes the writes from here on those of an attempt.
func (c *Conn) Bind(a *attempt.Attempt) { c.att.Store(a) }

// Write begins the attempt before its first write. If the attempt may not
// begin, nothing is written.
func (c *Conn) Write(b []byte) (int, error) {
	a := c.att.Load()
	if a == nil {
		// Without an attempt nobody would know that something was written.
		return 0, errors.New("writing a request: no attempt is bound to the connection")
	}
	if err := a.Begin(time.Now()); err != nil {
		return 0, fmt.Errorf("writing the request: %w", err)
	}
	return c.Conn.Write(b)
}

// Dialer opens connections, as the DialContext of an http.Transport.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Transport makes a transport's connections guarded ones. Each request through
// it must have a context from With.
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

// WithAttempt returns a context for one request of an attempt. The transport tells
// which connection it took, new or kept, before it writes to it; onConn, if any,
// hears of it too.
func WithAttempt(ctx context.Context, a *attempt.Attempt, onConn ...func(*Conn)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Bind(a)
			for _, f := range onConn {
				f(c)
			}
		}
	}})
}
