package replicas

import (
	"net/http"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/guard"
)

// link is the connections to one incarnation of a replica.
type link struct {
	incarnation int64
	transport   *http.Transport
	keepAlive   time.Duration
}

func (u *Replicas) dropLink(id string) {
	if l, ok := u.links[id]; ok {
		l.transport.CloseIdleConnections()
		delete(u.links, id)
	}
}

// link returns the connections to a replica's incarnation.
func (u *Replicas) link(r pool.Replica) *link {
	l, ok := u.links[r.ID]
	if ok && l.incarnation == r.Incarnation {
		return l
	}
	if ok {
		l.transport.CloseIdleConnections()
	}
	if u.links == nil {
		u.links = map[string]*link{}
	}
	l = &link{incarnation: r.Incarnation, transport: u.transport(idleLimit)}
	u.links[r.ID] = l
	return l
}

func (u *Replicas) transport(idle time.Duration) *http.Transport {
	t := guard.Transport(u.Network.Transport())
	t.DisableCompression = true
	t.MaxIdleConnsPerHost = maxIdle
	t.IdleConnTimeout = idle
	return t
}

// SetKeepAlive takes the time that a replica lets connections stay idle.
func (u *Replicas) SetKeepAlive(id string, allowed time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, ok := u.links[id]
	if !ok || l.keepAlive == allowed {
		return
	}
	l.keepAlive = allowed
	idle := max(time.Duration(float64(allowed)*idleShare), shortestIdle)
	old := l.transport
	l.transport = u.transport(idle)
	old.CloseIdleConnections()
}
