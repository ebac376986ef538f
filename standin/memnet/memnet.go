// Package memnet is a network in memory. It connects the processes of a test
// and cuts the connections between them.
package memnet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"crocusfold.dev/shell/network"
)

// Net holds the listeners and cuts. The zero value is an empty network. It is
// safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	// partitions holds pairs of host names that can't hear each other.
	partitions map[[2]string]bool
	changed    chan struct{}
	killed     map[string]bool
}

// Host returns the network as one named host sees it.
func (n *Net) Host(name string) network.Network {
	return network.Network{
		ListenOn: func(address netip.AddrPort) (net.Listener, error) { return n.listen(name, address) },
		DialTo:   func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, name, address) },
	}
}

// Partition stops all traffic between two hosts. Connections between them stay open
// and hang, as they do when packets are lost.
func (n *Net) Partition(a, b string) { n.setPartition(a, b, true) }

// Heal lets two hosts hear each other again.
func (n *Net) Heal(a, b string) { n.setPartition(a, b, false) }

// Kill breaks all connections of a host and closes its listeners, as the end of
// its process does. What the host still does reaches nobody.
func (n *Net) Kill(host string) {
	n.mu.Lock()
	var toClose []io.Closer
	for _, ln := range n.listeners {
		if ln.host == host {
			toClose = append(toClose, ln)
		}
	}
	for c := range n.conns {
		if c.from == host || c.to == host {
			toClose = append(toClose, c)
		}
	}
	if n.killed == nil {
		n.killed = map[string]bool{}
	}
	n.killed[host] = true
	n.mu.Unlock()
	for _, c := range toClose {
		_ = c.Close()
	}
}

// Revive lets a killed host's name be used by a new process.
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

// waitReachable waits until two hosts hear each other or done is closed.
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
	select {
	case ln.queue <- newConn(n, server, ln.host, from):
		return newConn(n, client, from, ln.host), nil
	case <-ln.done:
		return nil, fmt.Errorf("connecting to %s: %w", address, syscall.ECONNREFUSED)
	case <-ctx.Done():
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

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; further connections are refused.
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

// conn is one end of a connection; its writes hang while the hosts are cut.
type conn struct {
	net.Conn
	net      *Net
	from, to string
	done     chan struct{}
	once     sync.Once
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

// Write sends once the other host can be heard.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.net.waitReachable(c.from, c.to, c.done); err != nil {
		return 0, fmt.Errorf("writing to %s: %w", c.to, err)
	}
	return c.Conn.Write(b)
}

// Close ends the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		delete(c.net.conns, c)
	})
	return c.Conn.Close()
}
