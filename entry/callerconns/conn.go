package callerconns

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"crocusfold.dev/core/memorybudget"
	"crocusfold.dev/shell/network"
)

const (
	// unreadTimeout is how long a caller may read nothing of its response. Machines of callers
	// stand still for up to some seconds, so that a shorter time would cut healthy ones.
	unreadTimeout = 10 * time.Second
	// writeInterval is how often a response that is not read is looked at.
	writeInterval = time.Second
	// refusalTime is how long a connection stays open after a refusal, since closing it at once
	// could reset it before the caller has read the refusal. It is that of net/http.
	refusalTime = 500 * time.Millisecond
	// maxDelayed bounds the connections of a listener that are kept open for refusalTime.
	maxDelayed = 32
	// endBytes is the length of the empty line after the header lines.
	endBytes = 2
	// readBuffer is the size of the buffer of an http.Server, which may have bytes of the next
	// request when a request ends.
	readBuffer = 4 << 10
)

var lineEnd = []byte{'\n'}

// state is what a connection does.
type state int

const (
	// fresh connections have had no byte yet.
	fresh state = iota
	inHead
	inRequest
	idle
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	account  *Account
	accepted time.Time
	// lastRead is when bytes came on a connection that was taken over, in nanoseconds.
	lastRead atomic.Int64
	// writeUntil is the deadline of writes. Only Write uses it, of which there is one at a time.
	writeUntil time.Time

	mu    sync.Mutex
	state state
	// head is the head of the request that arrives, of which the first byte came at headBegan.
	head      headScanner
	headBegan time.Time
	// charged is what the head cost so far, and buffered how many lines of the next head may
	// have been read already.
	charged  int64
	buffered int
	// crossed is true if bytes of a request arrived as the connection was closed, and refused if
	// it is to be closed because of a refusal of its head.
	closed, crossed, refused bool
}

func (c *conn) closeIfIdle(now time.Time) {
	limits := c.listener.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	// A caller may open a connection some time before it has a request for it, so that the
	// configured time, if shorter, does not apply.
	wait := max(limits.HeaderTimeout, c.listener.HeaderTimeout)
	unused := c.state == fresh && limits.IdleTimeout > 0 && now.Sub(c.accepted) >= wait
	if (c.state == idle || unused) && !c.closed {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// evict resets the connection, so that no response on it looks complete.
func (c *conn) evict(Reason) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.SetLinger(0)
	_ = c.Conn.Close()
}

// Read reads bytes of a request. It returns net.ErrClosed if the connection was closed as
// idle before they were delivered. Bytes of a head are delivered once there is memory for what
// it takes, and nothing more is read until then.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	if c.closed {
		crossed := n > 0 && !c.crossed
		c.crossed = c.crossed || crossed
		c.mu.Unlock()
		if crossed {
			c.listener.countCrossed()
		}
		return 0, net.ErrClosed
	}
	if n == 0 {
		c.mu.Unlock()
		return n, err
	}
	if c.state == inRequest {
		c.buffered = 0
		if c.listener.MaxUpgraded > 0 {
			c.lastRead.Store(time.Now().UnixNano())
		}
		if n <= readBuffer {
			c.buffered = bytes.Count(b[:n], lineEnd)
		}
		c.mu.Unlock()
		return n, err
	}
	limits := c.listener.limits()
	began := c.beginHead(limits)
	c.head.scan(b[:n])
	tooLarge := limits.HeaderBytes > 0 && max(c.head.bytes-endBytes, c.head.requestLine) > limits.HeaderBytes
	cost := c.headCost() - c.charged
	c.charged += cost
	c.mu.Unlock()
	if began {
		c.account.SetPhase(memorybudget.Receiving)
	}
	if tooLarge {
		if c.account != nil {
			c.account.memory.record(HeadTooLarge, c.account)
		}
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	}
	waited, rerr := c.account.Reserve(nil, memorybudget.Head, cost)
	if rerr != nil {
		return 0, c.refuse(http.StatusServiceUnavailable)
	}
	if waited > 0 {
		c.extendHead(waited)
	}
	return n, err
}

// beginHead starts a head with its first byte, and reports whether it did. The caller holds
// the lock.
func (c *conn) beginHead(limits Limits) bool {
	if c.state == inHead {
		return false
	}
	first := c.state == fresh
	c.state, c.headBegan = inHead, time.Now()
	c.head, c.charged = headScanner{lines: c.buffered}, 0
	if first && limits.IdleTimeout > 0 {
		_ = c.Conn.SetReadDeadline(c.headBegan.Add(limits.HeaderTimeout))
	}
	return true
}

// headCost returns the memory that the head takes so far. The caller holds the lock.
func (c *conn) headCost() int64 {
	return int64(2*(c.head.bytes+c.head.requestLine) + memorybudget.LineCost*c.head.lines)
}

// extendHead gives a head the time back that it has waited for memory.
func (c *conn) extendHead(waited time.Duration) {
	limits := c.listener.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headBegan = c.headBegan.Add(waited)
	if c.state == inHead && limits.HeaderTimeout > 0 {
		_ = c.Conn.SetReadDeadline(c.headBegan.Add(limits.HeaderTimeout))
	}
}

// endHead is called when a head was read. A head that came whole with the request before it
// was not seen by Read; it is charged now.
func (c *conn) endHead() {
	c.mu.Lock()
	unseen := int64(0)
	if c.state == idle {
		unseen = int64(memorybudget.LineCost * c.buffered)
	}
	c.state, c.buffered = inRequest, 0
	c.mu.Unlock()
	if unseen > 0 {
		c.account.Charge(memorybudget.Head, unseen)
	}
	c.account.SetPhase(memorybudget.Serving)
}

func (c *conn) beginIdle() {
	c.mu.Lock()
	c.state = idle
	c.mu.Unlock()
	if c.account != nil {
		c.account.endRequest()
	}
}

// refuse writes a refusal of the request whose head arrives, closes the connection and returns
// an error for Read. The request has not run.
func (c *conn) refuse(status int) error {
	c.mu.Lock()
	c.closed, c.refused = true, true
	c.mu.Unlock()
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: 1\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeInterval))
	_, _ = io.WriteString(c.Conn, text+"\r\n")
	_ = c.CloseWrite()
	// net/http writes no response after a network error.
	return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

// Write writes a part of a response. If the caller reads nothing for unreadTimeout, it resets
// the connection. One that reads slowly, but steadily, is served.
func (c *conn) Write(b []byte) (int, error) {
	written, unread := 0, -1
	var progress time.Time
	for {
		c.extendWrite()
		n, err := c.Conn.Write(b[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			if unread >= 0 {
				c.account.SetPhase(memorybudget.Serving)
			}
			return written, err
		}
		now := time.Now()
		left := network.Unacknowledged(c.Conn)
		if n > 0 || unread < 0 || left < unread {
			progress = now
			c.account.SetPhase(memorybudget.Sending)
		}
		unread = left
		if now.Sub(progress) >= unreadTimeout-2*writeInterval {
			if c.account != nil {
				c.account.end(Unread)
			} else {
				c.evict(Unread)
			}
			return written, net.ErrClosed
		}
	}
}

// extendWrite gives the next write at least writeInterval. Setting a deadline costs more than
// the clock, so that it is not done for each event of a stream.
func (c *conn) extendWrite() {
	now := time.Now()
	if c.writeUntil.Sub(now) < writeInterval {
		c.writeUntil = now.Add(2 * writeInterval)
		_ = c.Conn.SetWriteDeadline(c.writeUntil)
	}
}

// SetReadDeadline sets the deadline of reads. Until the first byte of a request arrives, it is
// that of an idle connection, and until its head is complete that of a head.
func (c *conn) SetReadDeadline(t time.Time) error {
	limits := c.listener.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits.IdleTimeout > 0 && !t.IsZero() {
		switch c.state {
		case fresh:
			t = c.accepted.Add(limits.IdleTimeout)
		case idle:
			t = time.Now().Add(limits.IdleTimeout)
		case inHead:
			t = c.headBegan.Add(limits.HeaderTimeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection. After a refusal of a head, that is delayed by refusalTime, in
// which the connection holds no memory.
func (c *conn) Close() error {
	c.mu.Lock()
	delayed := c.refused
	c.refused = false
	c.mu.Unlock()
	if c.listener.MaxUpgraded > 0 {
		c.listener.remove(c)
	}
	if !delayed || !c.listener.beginDelay() {
		return c.Conn.Close()
	}
	time.AfterFunc(refusalTime, func() {
		_ = c.Conn.Close()
		c.listener.delayed.Add(-1)
	})
	return nil
}

// SetLinger sets the linger option of a TCP connection; it does nothing on others.
func (c *conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// CloseWrite closes the sending direction of a TCP connection, so that net/http can let the
// caller read a last response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
