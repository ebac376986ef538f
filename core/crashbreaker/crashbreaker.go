// Package crashbreaker is a circuit breaker per fingerprint, opened by replica crashes:
// requests that crash each replica that runs them are kept from further ones. A
// fingerprint identifies a whole request or one part of a prompt, which requests share.
// Records of several instances merge in any order. A crash counts once, whichever
// instances report it and however often. crocus-edge uses this package, crocus-entry
// core/quarantine.
package crashbreaker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/quarantine"
)

const (
	// crashThreshold is the number of crashes that opens the breaker.
	crashThreshold = 3
	// crashTTL is how long crashes count while their fingerprint is below the
	// threshold.
	crashTTL = 2 * time.Minute
	// blockedTTL is how long they count once the threshold is reached. It is longer
	// than any block time with its jitter.
	blockedTTL = 48 * time.Hour
	// pendingTTL is how long a run without a response may still be attributed to a
	// crash of its replica. The list of replicas shows a crash only after three
	// heartbeats and its own lag.
	pendingTTL = 15 * time.Second
	// responseMargin is how long after a crash a response may still arrive that was
	// sent before the crash.
	responseMargin = 200 * time.Millisecond
	// maxRecords and maxPending bound the records and the pending runs in memory.
	maxRecords = 2000
	maxPending = 2000
	// maxPendingParts bounds the parts of the pending runs together.
	maxPendingParts = 1 << 18
	// evictionShare is the share of the records that are evicted at once, so that the cost of
	// a record does not grow with their number.
	evictionShare = 1.0 / 16
	// evictionClasses is the number of classes of records by their crashes: 0, 1, or more.
	evictionClasses = 3
)

// Run is one run of a request at a replica.
type Run struct {
	// Fingerprint is that of the whole request, Parts has those of the shared parts of
	// its prompt that may have caused a crash.
	Fingerprint quarantine.Fingerprint
	Parts       []quarantine.Fingerprint
	// Replica and Incarnation identify the replica, SentAt is when the request was
	// sent to it.
	Replica     string
	Incarnation int64
	SentAt      time.Time
}

// Crash is one crash of a replica that ran a request. ReplicaDigest and Seq are
// the same on all instances that observed it.
type Crash struct {
	// ReplicaDigest is the result of DigestReplica for the incarnation that crashed.
	ReplicaDigest uint64
	// Seq numbers the crashes recorded under one incarnation. There are several if
	// a replica crashes again before its restart is known.
	Seq int
	At  time.Time
	// SentAt is when a run that it hit was sent, and Request the digest of that run's whole
	// request. Only crashes of parts have them.
	SentAt  time.Time
	Request uint64
	// Retracted is true if a later response has proved that the replica is alive or, for
	// a part, if a run with the part has succeeded since.
	Retracted bool
}

// Record has the crashes of one fingerprint.
type Record struct {
	Fingerprint quarantine.Fingerprint
	// Part is true if the fingerprint is that of a part of prompts.
	Part    bool
	Crashes []Crash
	// ClearedUntil is when the last successful run was sent or, for a part, when one last
	// succeeded, to within clockTolerance; zero if there was none. Crashes up to then
	// don't count.
	ClearedUntil time.Time
}

// Breaker holds the crashes of all fingerprints and decides which requests may
// run. The zero value is empty. It is not safe for concurrent use.
type Breaker struct {
	// Seed differs between instances, so that they don't allow trials at the same
	// time.
	Seed    uint64
	records map[quarantine.Fingerprint]*record
	pending []pendingRun
	// pendingParts is the number of parts of the pending runs.
	pendingParts int
	// answered has when the parts of recent successful runs last succeeded.
	answered recentTimes
	// changed is when any record last changed.
	changed time.Time
	// sentAt is the time of the latest call of ChangedSince.
	sentAt time.Time
	// evictedUntil has, by the number of crashes (0, 1, or more), the time of the newest
	// crash of an evicted record.
	evictedUntil [evictionClasses]time.Time
}

type record struct {
	Record
	// changed is when the record last changed on this instance, and ownChanged when it last
	// did because of a run of this instance or a message of a child in the overlay.
	changed, ownChanged time.Time
	// lastObserved is the time of the newest crash that this instance observed.
	lastObserved time.Time
	// disputed is true if another instance blocked the fingerprint because of crashes that do
	// not count here.
	disputed bool
	// trial is the id of the request that may run alone until trialUntil.
	trial      string
	trialUntil time.Time
}

type pendingRun struct {
	Run
	since time.Time
}

// CrashCount returns the number of crashes that count against a fingerprint.
func (b *Breaker) CrashCount(fp quarantine.Fingerprint) int {
	if rec, ok := b.records[fp]; ok {
		return rec.crashCount()
	}
	return 0
}

// Sweep deletes expired records.
func (b *Breaker) Sweep(now time.Time) {
	for fp, rec := range b.records {
		if rec.expired(now) {
			delete(b.records, fp)
		}
	}
}

// Empty reports whether there are no records.
func (b *Breaker) Empty() bool { return len(b.records) == 0 }

// RecordCrash records that the replica crashed during a run. Runs on a replica
// that are hit by the same crash count once per fingerprint.
func (b *Breaker) RecordCrash(now time.Time, run Run) {
	b.recordCrash(now, b.record(now, run.Fingerprint), run)
	// Parts that have crashes count them first. The new records of a long prompt may evict the
	// others, those with one crash before all.
	var unknown []quarantine.Fingerprint
	for _, fp := range b.blamedParts(now, run.Parts) {
		if _, ok := b.records[fp]; !ok {
			unknown = append(unknown, fp)
			continue
		}
		b.recordCrash(now, b.partRecord(now, fp), run)
	}
	for _, fp := range unknown {
		b.recordCrash(now, b.partRecord(now, fp), run)
	}
}

func (b *Breaker) recordCrash(now time.Time, rec *record, run Run) {
	digest := DigestReplica(run.Replica, run.Incarnation)
	seq := 0
	for _, c := range rec.Crashes {
		if c.ReplicaDigest != digest {
			continue
		}
		// A part's crash stays the same one after a success has retracted it.
		if (rec.Part || !c.Retracted) && !c.At.Before(run.SentAt) {
			return
		}
		// That crash was retracted or came before the run, so this is another one.
		seq = max(seq, c.Seq+1)
	}
	crash := Crash{ReplicaDigest: digest, Seq: seq, At: now}
	if rec.Part {
		crash.SentAt, crash.Request = run.SentAt, binary.BigEndian.Uint64(run.Fingerprint[:])
		if !rec.add(crash) {
			return
		}
	} else {
		rec.Crashes = append(rec.Crashes, crash)
	}
	b.markOwnChange(now, rec)
	rec.lastObserved = now
}

// DigestReplica returns a hash that identifies an incarnation of a replica.
func DigestReplica(replica string, incarnation int64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(replica), uint64(incarnation)))
}

// RetractCrashes retracts the crashes of a replica that a response of it disproves,
// and reports whether there were any. The response arrived now on a connection
// that was first used at firstUse. Crashes recorded in between did not happen,
// since the connection outlived them.
func (b *Breaker) RetractCrashes(now time.Time, replica string, incarnation int64, firstUse time.Time) bool {
	if len(b.records) == 0 {
		return false
	}
	digest, retracted := DigestReplica(replica, incarnation), false
	for _, rec := range b.records {
		for i := range rec.Crashes {
			c := &rec.Crashes[i]
			if c.ReplicaDigest == digest && !c.Retracted && firstUse.Before(c.At) && now.Sub(c.At) > responseMargin {
				blocked := rec.tripped()
				c.Retracted, retracted = true, true
				b.markRetracted(now, rec, blocked)
			}
		}
	}
	return retracted
}

// RecordPending records a run whose response was not complete when its deadline
// passed or its caller left. RecordReplicaCrash counts it if the replica is found
// to have crashed within pendingTTL.
func (b *Breaker) RecordPending(now time.Time, run Run) {
	for len(b.pending) > 0 && (len(b.pending) >= maxPending || b.pendingParts+len(run.Parts) > maxPendingParts || now.Sub(b.pending[0].since) > pendingTTL) {
		b.pendingParts -= len(b.pending[0].Parts)
		b.pending[0] = pendingRun{}
		b.pending = b.pending[1:]
	}
	b.pending = append(b.pending, pendingRun{run, now})
	b.pendingParts += len(run.Parts)
}

// RecordReplicaCrash records the crash of an incarnation of a replica, as opposed
// to a shutdown on request, against its pending runs. It returns these runs.
func (b *Breaker) RecordReplicaCrash(now time.Time, replica string, incarnation int64) []Run {
	var crashed []Run
	kept := b.pending[:0]
	for _, p := range b.pending {
		switch {
		case now.Sub(p.since) > pendingTTL:
		case p.Replica == replica && p.Incarnation == incarnation:
			b.RecordCrash(now, p.Run)
			crashed = append(crashed, p.Run)
		default:
			kept = append(kept, p)
		}
	}
	clear(b.pending[len(kept):])
	b.pending, b.pendingParts = kept, 0
	for _, p := range kept {
		b.pendingParts += len(p.Parts)
	}
	return crashed
}

// RecordSuccess records that the run sent at sentAt succeeded, which clears the
// fingerprint's crashes up to then. Later crashes still count.
func (b *Breaker) RecordSuccess(now time.Time, fp quarantine.Fingerprint, sentAt time.Time) {
	rec, ok := b.records[fp]
	if !ok || !rec.clearUntil(sentAt) {
		return
	}
	b.markOwnChange(now, rec)
}

// markChanged marks a record as changed: not before the latest call of ChangedSince, since
// peers acknowledge all changes up to that.
func (b *Breaker) markChanged(now time.Time, rec *record) {
	if now.Before(b.sentAt) {
		now = b.sentAt
	}
	b.changed, rec.changed = now, now
}

// markOwnChange marks a record as changed because of a run of this instance or of one below
// it.
func (b *Breaker) markOwnChange(now time.Time, rec *record) {
	b.markChanged(now, rec)
	rec.ownChanged = rec.changed
}

// markRetracted marks a record as changed by a retraction. Each instance finds out by itself
// that a crash does not count, so only those that passed the crash on, or that blocked the
// fingerprint because of it, pass the retraction on.
func (b *Breaker) markRetracted(now time.Time, rec *record, blocked bool) {
	if blocked || !rec.ownChanged.IsZero() {
		b.markOwnChange(now, rec)
		return
	}
	b.markChanged(now, rec)
}
