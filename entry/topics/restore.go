package topics

import (
	"time"

	"crocusfold.dev/entry/adapter"
)

// Times after the log has come back from a copy.
const (
	// operatorsRewriteTime is how long the operators may take to write again what was lost.
	// Until then an instance that did not know it can't know it.
	operatorsRewriteTime = 1500 * time.Millisecond
	// heldOperationsTime is how long a lost record of the operators is held that they neither
	// write again nor replace, and heldReplicasTime the same for an entry of a replica
	// of which the log has an older one.
	heldOperationsTime = 10 * time.Second
	heldReplicasTime   = 5 * time.Second
	// maxRestoreAge is the age from which a restore is no longer sent to peers.
	maxRestoreAge = 30 * time.Second
)

// firstEra is the era of a log that never came back from a copy.
const firstEra = 1

// restore is the latest restore of the log from a copy. The zero value is none.
type restore struct {
	era uint64
	// at is when the log came back, as far as known; zero if it never did or long ago.
	at time.Time
	// lastProof is the latest proof of the operators' records before the restore.
	lastProof time.Time
}

// covers reports whether a proof of the operators' records is from after the time in which
// they write again.
func (r restore) covers(proof time.Time) bool {
	return r.at.IsZero() || !proof.Before(r.at.Add(operatorsRewriteTime))
}

// operationsProof returns the time of the latest proof that the operators' records are
// complete, given that of the view.
func (r restore) operationsProof(proof time.Time) time.Time {
	if r.covers(proof) {
		return proof
	}
	return r.lastProof
}

// settlesIn returns how long the operators may still take to write again; 0 if the time is
// over.
func (r restore) settlesIn(now time.Time) time.Duration {
	if r.at.IsZero() {
		return 0
	}
	return max(0, r.at.Add(operatorsRewriteTime).Sub(now))
}

// age returns the time since the restore, or -1 if it was long ago or never.
func (r restore) age(now time.Time) time.Duration {
	if r.at.IsZero() || now.Sub(r.at) > maxRestoreAge {
		return -1
	}
	return max(0, now.Sub(r.at))
}

// observeEra records that the log is in an era, which began age ago or earlier; a negative
// age means long ago. The caller holds the lock.
func (t *Topics) observeEra(now time.Time, era uint64, age time.Duration) {
	r := &t.restore
	at := now.Add(-age)
	if age < 0 {
		at = time.Time{}
	}
	switch {
	case era < r.era:
		return
	case era == r.era:
		if at.Before(r.at) {
			r.at = at
		}
		return
	}
	first := r.era == 0
	if first && era <= firstEra {
		at = time.Time{}
	}
	if !first {
		// A proof from before an earlier restore that is not over yet does not count.
		r.lastProof = r.operationsProof(t.views[adapter.Operations].Proof())
		t.recoveredAt = now
		t.OnRestore()
	}
	_ = t.Logger.Log("msg", "The platform's log is in another era.", "era", era, "previous", r.era, "age", age)
	r.era, r.at = era, at
}

// ObserveEra records that the log has been read in an era.
func (t *Topics) ObserveEra(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	t.observeEra(t.Now(), era, 0)
}

// releaseHeld drops the held records of a topic whose writers have not repeated them in
// time.
func (t *Topics) releaseHeld(topic adapter.Topic) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	view := &t.views[topic]
	if !view.Holds() {
		return
	}
	now := t.Now()
	since := now.Sub(t.restore.at)
	if topic == adapter.Replicas {
		since = now.Sub(t.recoveredAt)
	}
	lacking, all := heldOperationsTime, heldOperationsTime
	if topic == adapter.Replicas {
		lacking, all = rewriteTime, heldReplicasTime
	}
	if since < lacking {
		return
	}
	released := view.Release(since < all)
	if len(released) > 0 {
		_ = t.Logger.Log("msg", "Dropped records that were lost and not written again.", "topic", topic, "records", len(released))
	}
	t.report(now, topic, released)
}
