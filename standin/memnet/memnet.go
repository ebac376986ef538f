// Package memnet is an in-memory network. It connects the simulated hosts of a test
// and injects network partitions and host failures.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"crocusfold.dev/shell/network"
)

// Net is a network of named hosts. The zero value is an empty network. It is safe
// for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	// partitions holds the pairs of hosts that can't reach each other, in both orders.
	partitions map[[2]string]bool
	// changed is closed and replaced when a partition begins or ends. It is nil before
	// the first one.
	changed chan struct{}
	killed  map[string]bool
}

// Host returns the network as seen from the named host.
func (n *Net) Host(name string) network.Network {
	return network.Network{
		ListenOn: func(address netip.AddrPort) (net.Listener, error) { return n.listen(name, address) },
		DialTo:   func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, name, address) },
	}
}

// Partition stops all traffic between two hosts. Connections between them stay
// open and hang, as they do when packets are lost.
func (n *Net) Partition(a, b string) { n.setPartition(a, b, true) }

// Heal ends the partition between two hosts. Dials and writes that wait for it
// proceed.
func (n *Net) Heal(a, b string) { n.setPartition(a, b, false) }

// Kill closes the host's ends of all its connections and its listeners, as a crash of its
// process does: the other ends read what was sent and then a proper end. Later dials from the host are refused, so that nothing that the old process still
// does reaches another host.
func (n *Net) Kill(host string) {
	n.mu.Lock()
	var toClose []io.Closer
	for _, ln := range n.listeners {
		if ln.host == host {
			toClose = append(toClose, ln)
		}
	}
	for c := range n.conns {
		if c.from == host {
			toClose = append(toClose, c)
		}
	}
	if n.killed == nil {
		n.killed = map[string]bool{}
	}
	n.killed[host] = true
	n.mu.Unlock()
	for _, closer := range toClose {
		_ = closer.Close()
	}
}

// Revive lets a new process use the name of a killed host: its dials succeed again.
func (n *Net) Revive(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.killed, host)
}

func (n *Net) setPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions == nil {
		n.partitions = map[[2]string]bool{}
	}
	n.partitions[[2]string{a, b}] = partitioned
	n.partitions[[2]string{b, a}] = partitioned
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// waitReachable waits until two hosts can reach each other. It returns net.ErrClosed if
// done is closed first.
func (n *Net) waitReachable(a, b string, done <-chan struct{}) error {
	for {
		n.mu.Lock()
		partitioned := n.partitions[[2]string{a, b}]
		changed := n.changed
		n.mu.Unlock()
		if !partitioned {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

func (n *Net) listen(host string, address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if n.listeners[address.String()] != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, syscall.EADDRINUSE)
	}
	ln := &listener{net: n, host: host, address: address, queue: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address.String()] = ln
	return ln, nil
}

func (n *Net) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	ln := n.listeners[address]
	killed := n.killed[from]
	n.mu.Unlock()
	if ln == nil || killed {
		return nil, fmt.Errorf("connecting to %s: %w", address, syscall.ECONNREFUSED)
	}
	if err := n.waitReachable(from, ln.host, ctx.Done()); err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, ctx.Err())
	}
	client, server := net.Pipe()
	local, remote := newConn(n, client, from, ln.host), newConn(n, server, ln.host, from)
	local.peer, remote.peer = remote, local
	select {
	case ln.queue <- remote:
		return local, nil
	case <-ln.done:
		_, _ = local.Close(), remote.Close()
		return nil, fmt.Errorf("connecting to %s: %w", address, syscall.ECONNREFUSED)
	case <-ctx.Done():
		_, _ = local.Close(), remote.Close()
		return nil, fmt.Errorf("connecting to %s: %w", address, ctx.Err())
	}
}

type listener struct {
	net     *Net
	host    string
	address netip.AddrPort
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept waits for a connection. It returns net.ErrClosed once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Further connections are refused.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address.String())
		close(l.done)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// conn is one end of a connection. Its writes hang while its hosts are partitioned.
type conn struct {
	net.Conn
	net      *Net
	from, to string
	done     chan struct{}
	once     sync.Once
	// peer is the other end.
	peer *conn
	// resets is true if closing this end resets the connection.
	resets atomic.Bool
}

func newConn(n *Net, c net.Conn, from, to string) *conn {
	out := &conn{Conn: c, net: n, from: from, to: to, done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[*conn]bool{}
	}
	n.conns[out] = true
	return out
}

// Read reads from the connection. It returns ECONNRESET once the other end has reset the
// connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.peer.resets.Load() {
		return n, syscall.ECONNRESET
	}
	return n, err
}

// SetLinger with 0 makes Close reset the connection, as for a net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return nil
}

// Write waits until the other host is reachable, then writes b.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.net.waitReachable(c.from, c.to, c.done); err != nil {
		return 0, fmt.Errorf("writing to %s: %w", c.to, err)
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A write that waits for the end of a partition fails
// with net.ErrClosed.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		delete(c.net.conns, c)
	})
	return c.Conn.Close()
}
