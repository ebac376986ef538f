package replicas

import (
	"net/http"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/guard"
)

// replicaConns is the connections to one incarnation of a replica.
type replicaConns struct {
	incarnation int64
	transport   *http.Transport
	keepAlive   time.Duration
}

func (rs *Replicas) dropConns(id string) {
	if l, ok := rs.conns[id]; ok {
		l.transport.CloseIdleConnections()
		delete(rs.conns, id)
	}
}

// connsTo returns the connections to a replica's incarnation.
func (rs *Replicas) connsTo(r pool.Replica) *replicaConns {
	l, ok := rs.conns[r.ID]
	if ok && l.incarnation == r.Incarnation {
		return l
	}
	if ok {
		l.transport.CloseIdleConnections()
	}
	if rs.conns == nil {
		rs.conns = map[string]*replicaConns{}
	}
	l = &replicaConns{incarnation: r.Incarnation, transport: rs.newTransport(defaultIdleTimeout)}
	rs.conns[r.ID] = l
	return l
}

func (rs *Replicas) newTransport(idleTimeout time.Duration) *http.Transport {
	t := guard.Transport(rs.Network.Transport())
	t.DisableCompression = true
	t.MaxIdleConnsPerHost = maxIdleConns
	t.IdleConnTimeout = idleTimeout
	return t
}

// SetKeepAlive takes the time that a replica lets connections stay idle.
func (rs *Replicas) SetKeepAlive(id string, allowed time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	l, ok := rs.conns[id]
	if !ok || l.keepAlive == allowed {
		return
	}
	l.keepAlive = allowed
	idleTimeout := max(time.Duration(float64(allowed)*idleTimeoutShare), minIdleTimeout)
	old := l.transport
	l.transport = rs.newTransport(idleTimeout)
	old.CloseIdleConnections()
}
