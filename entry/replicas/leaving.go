package replicas

import (
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
)

// ObserveLeaving records that a replica has stated in a response that it leaves. It reports
// whether peers must be notified at once.
func (rs *Replicas) ObserveLeaving(now time.Time, r pool.Replica) bool {
	return rs.observeLeaving(now, r.ID, r.Incarnation, "response", 0)
}

// ObserveReport records that a replica leaves if its report states that, both for the listed
// incarnation and for the one that reported: a replica may have started again since its entry
// was read. It reports whether peers must be notified at once.
func (rs *Replicas) ObserveReport(now time.Time, listed pool.Replica, report adapter.Report) bool {
	if !report.Leaving {
		return false
	}
	urgent := rs.observeLeaving(now, listed.ID, listed.Incarnation, "report", 0)
	if report.Incarnation != 0 {
		urgent = rs.observeLeaving(now, listed.ID, report.Incarnation, "report", 0) || urgent
	}
	return urgent
}

// MergeLeaving merges the replicas that leave according to a peer, whose message was delayed
// by the given time. It reports whether peers must be notified at once.
func (rs *Replicas) MergeLeaving(now time.Time, peer string, delay time.Duration, all []message.LeavingReplica) bool {
	urgent := false
	for _, r := range all {
		urgent = rs.observeLeaving(now, r.Replica, r.Incarnation, peer, delay+r.Age) || urgent
	}
	return urgent
}

// observeLeaving records and logs that a replica leaves, as a source stated some time ago.
func (rs *Replicas) observeLeaving(now time.Time, id string, incarnation int64, source string, age time.Duration) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !rs.pool.ObserveLeaving(rs.afterFilled(now), id, incarnation) {
		return false
	}
	_ = rs.Logger.Log("msg", "A replica states that it leaves.", "replica", id, "incarnation", incarnation, "source", source, "age", age)
	return true
}

// leaving reports whether a replica leaves, as far as is known now.
func (rs *Replicas) leaving(r pool.Replica) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.pool.Leaving(r.ID, r.Incarnation)
}
