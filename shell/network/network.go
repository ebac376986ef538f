// Package network opens the listeners and connections of a process. The zero Network is
// the machine's own network; tests replace it with a network in memory.
package network

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on connections.
const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	maxIdlePerHost  = 128
	// maxHeaderBytes bounds the header of a response, since a faulty server may send one
	// without end.
	maxHeaderBytes = 64 << 10
)

// Detection of connections whose peer became unreachable without a reset. A connection is
// closed if its peer acknowledges neither data nor keep-alive probes for userTimeout.
const (
	userTimeout       = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// setUserTimeout sets TCP_USER_TIMEOUT, the time after which unacknowledged data closes a
// connection, to userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); cerr != nil {
		return fmt.Errorf("reaching a socket: %w", cerr)
	}
	if err != nil {
		return fmt.Errorf("bounding the silence of a connection: %w", err)
	}
	return nil
}

// Network opens listeners and connections.
type Network struct {
	// ListenOn, if set, replaces net.Listen.
	ListenOn func(address netip.AddrPort) (net.Listener, error)
	// DialTo, if set, replaces net.Dialer.
	DialTo func(ctx context.Context, address string) (net.Conn, error)
}

// Listen opens a TCP listener on an address.
func (n Network) Listen(address netip.AddrPort) (net.Listener, error) {
	if n.ListenOn != nil {
		return n.ListenOn(address)
	}
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return ln, nil
}

// Dial opens a TCP connection within dialTimeout. It has the signature of
// http.Transport.DialContext.
func (n Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if n.DialTo != nil {
		inner, err := n.DialTo(ctx, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner}, nil
	}
	d := net.Dialer{Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	inner, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return &conn{Conn: inner}, nil
}

// Transport returns an HTTP transport that dials over n.
func (n Network) Transport() *http.Transport {
	return &http.Transport{
		DialContext: n.Dial, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
