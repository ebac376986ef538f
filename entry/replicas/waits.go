package replicas

import (
	"time"

	"crocusfold.dev/core/pool"
)

// ObserveWait records that a replica wants no requests of this instance for a time, and logs
// the begin of that.
func (rs *Replicas) ObserveWait(now time.Time, r pool.Replica, d time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.pool.WaitLeft(now, r.ID, r.Incarnation) == 0 {
		_ = rs.Logger.Log("msg", "A replica wants no requests for a time.", "replica", r.ID, "incarnation", r.Incarnation, "wait", d)
	}
	rs.pool.ObserveWait(now, r.ID, r.Incarnation, d)
}

// waitLeft returns how much longer a replica wants no requests of this instance.
func (rs *Replicas) waitLeft(now time.Time, r pool.Replica) time.Duration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.pool.WaitLeft(now, r.ID, r.Incarnation)
}
