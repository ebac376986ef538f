package topics

import (
	"time"

	"crocusfold.dev/entry/adapter"
)

// Proven is an intent with the proof that it is current. It is immutable, so that what was
// looked up in the intent is never judged by the proof of a later one.
type Proven struct {
	// Intent is nil if there is none yet.
	Intent *adapter.Intent
	// Complete is true if the operators' records were complete at some time after the
	// latest restore of the log. Before that, records that were confirmed may be missing.
	Complete bool
	// provenAt is when the operators' records were complete; zero if that is not known.
	provenAt time.Time
}

// Age returns the age of the proof; ok is false if there is none. After a restore of the
// log, it is that of the last proof before until the operators have had the time to write
// again.
func (p *Proven) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(p.provenAt), !p.provenAt.IsZero()
}

// Proven returns the intent in force with its proof. It does not wait for a change that is
// being applied.
func (t *Topics) Proven() *Proven {
	if p := t.proven.Load(); p != nil {
		return p
	}
	return &Proven{Complete: true}
}

// publish makes the state of the operators' records visible to callers of Proven. The caller
// holds the lock.
func (t *Topics) publish() {
	proof := t.views[adapter.Operations].Proof()
	t.proven.Store(&Proven{Intent: t.intent, Complete: t.restore.covers(proof), provenAt: t.restore.operationsProof(proof)})
}
