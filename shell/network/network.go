// Package network is how a process reaches others. The zero value is the
// machine's own network; tests put a network in memory in its place.
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

// Limits of connections.
const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	maxIdlePerHost  = 128
	// maxHeaderBytes bounds the head of an answer, in bytes; a peer in trouble may send
	// one without end.
	maxHeaderBytes = 64 << 10
)

// Detection of connections that went silent without a reset. A peer that
// acknowledges nothing for silenceLimit loses the connection.
const (
	userTimeout       = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// setUserTimeout sets the time after which unacknowledged data ends a connection.
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

// Network listens and dials.
type Network struct {
	// ListenOn replaces net.Listen.
	ListenOn func(address netip.AddrPort) (net.Listener, error)
	// DialTo replaces net.Dialer.
	DialTo func(ctx context.Context, address string) (net.Conn, error)
}

// Listen opens a TCP listener.
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

// Dial opens a TCP connection. Its signature is that of http.Transport.
func (n Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if n.DialTo != nil {
		return n.DialTo(ctx, address)
	}
	d := net.Dialer{Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return conn, nil
}

// Transport returns an HTTP transport over the network.
func (n Network) Transport() *http.Transport {
	return &http.Transport{
		DialContext: n.Dial, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
