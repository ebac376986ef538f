package replicas

import (
	"net/http"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/guard"
)

// replicaConns has the connections to one incarnation of a replica.
type replicaConns struct {
	incarnation int64
	transport   *http.Transport
	// keepAlive is how long the replica keeps idle connections; 0 if it has not stated
	// a time.
	keepAlive time.Duration
	// invalidLimit is true after an invalid limit was logged.
	invalidLimit bool
}

// dropConns removes the connections to a replica and closes the idle ones.
func (rs *Replicas) dropConns(id string) {
	if c, ok := rs.conns[id]; ok {
		c.transport.CloseIdleConnections()
		delete(rs.conns, id)
	}
}

// connsTo returns the connections to the current incarnation of a replica, and closes
// idle connections to an earlier one.
func (rs *Replicas) connsTo(r pool.Replica) *replicaConns {
	c, ok := rs.conns[r.ID]
	if ok && c.incarnation == r.Incarnation {
		return c
	}
	if ok {
		c.transport.CloseIdleConnections()
	}
	if rs.conns == nil {
		rs.conns = map[string]*replicaConns{}
	}
	c = &replicaConns{incarnation: r.Incarnation, transport: rs.newTransport(defaultIdleTimeout)}
	rs.conns[r.ID] = c
	return c
}

func (rs *Replicas) newTransport(idleTimeout time.Duration) *http.Transport {
	t := guard.Transport(rs.Network.Transport())
	t.DisableCompression = true
	t.MaxIdleConnsPerHost = maxIdleConns
	t.IdleConnTimeout = idleTimeout
	return t
}

// SetKeepAlive sets how long a replica keeps idle connections. If the time has changed,
// later requests use new connections, which are kept idle for idleTimeoutShare of it.
func (rs *Replicas) SetKeepAlive(id string, allowed time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	c, ok := rs.conns[id]
	if !ok || c.keepAlive == allowed {
		return
	}
	c.keepAlive = allowed
	idleTimeout := max(time.Duration(float64(allowed)*idleTimeoutShare), minIdleTimeout)
	old := c.transport
	c.transport = rs.newTransport(idleTimeout)
	old.CloseIdleConnections()
}
