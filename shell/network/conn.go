package network

import (
	"io"
	"net"
	"sync"
)

// conn is a connection whose end counts only if nothing that was written may have been lost. The
// system gives the error of a reset to one call: if that is a write, the next read sees a proper
// end.
type conn struct {
	net.Conn

	mu sync.Mutex
	// writing is the number of writes under way, and failed is true once one has failed.
	writing int
	failed  bool
}

// Read returns io.ErrUnexpectedEOF at an end that may hide a reset.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 || c.failed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Write forwards the call and follows it.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.failed = c.failed || err != nil
	return n, err
}

// SetLinger sets the linger option of a TCP connection; it does nothing on others.
func (c *conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}
