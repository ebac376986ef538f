// Package crashbreaker is a circuit breaker per request fingerprint, opened by
// replica crashes: requests that crash each replica that runs them are kept from
// further ones. Records of several instances merge in any order. A crash counts
// once, whichever instances report it and however often. crocus-edge uses this package,
// crocus-entry core/quarantine.
package crashbreaker

import (
	"cmp"
	"encoding/binary"
	"slices"
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
	// firstTrialDelay is the block time before the first trial. It applies only on
	// the instance that observed the last crash, whose trial serves all instances.
	// It is short because a harmless request may have run on three replicas that
	// crashed at the same moment.
	firstTrialDelay = 5 * time.Second
	// responseMargin is how long after a crash a response may still arrive that was
	// sent before the crash.
	responseMargin = 200 * time.Millisecond
	// trialTimeout is how long other requests wait for the outcome of a trial.
	trialTimeout = 10 * time.Second
	// maxRecords and maxPending bound the records and the pending runs in memory.
	maxRecords = 2000
	maxPending = 2000
	// maxPersisted bounds the records in this instance's record on the platform.
	maxPersisted = 200
)

// blockTimes has how long a fingerprint is blocked after its last crash, by the
// number of crashes from crashThreshold on; jitter adds up to as much again. After
// each block time one trial is allowed, so that a harmless request is not blocked
// for long and a harmful one crashes few more replicas.
var blockTimes = [...]time.Duration{time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour}

// Run is one run of a request at a replica.
type Run struct {
	Fingerprint quarantine.Fingerprint
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
	// Retracted is true if a later response has proved that the replica is alive.
	Retracted bool
}

// Record has the crashes of one fingerprint.
type Record struct {
	Fingerprint quarantine.Fingerprint
	Crashes     []Crash
	// ClearedUntil is when the last successful run was sent; zero if there was
	// none. Crashes up to then don't count.
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
	// changed is when any record last changed.
	changed time.Time
}

type record struct {
	Record
	// changed is when the record last changed on this instance, and observedHere is
	// true if any of its changes came from a run of this instance.
	changed      time.Time
	observedHere bool
	// lastObserved is the time of the newest crash that this instance observed.
	lastObserved time.Time
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
	rec := b.record(now, run.Fingerprint)
	digest := DigestReplica(run.Replica, run.Incarnation)
	seq := 0
	for _, c := range rec.Crashes {
		if c.ReplicaDigest != digest {
			continue
		}
		if !c.Retracted && !c.At.Before(run.SentAt) {
			return
		}
		// That crash was retracted or came before the run, so this is another one.
		seq = max(seq, c.Seq+1)
	}
	rec.Crashes = append(rec.Crashes, Crash{ReplicaDigest: digest, Seq: seq, At: now})
	b.markChanged(now, rec)
	rec.observedHere, rec.lastObserved = true, now
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
				c.Retracted, retracted = true, true
				b.markChanged(now, rec)
				rec.observedHere = true
			}
		}
	}
	return retracted
}

// RecordPending records a run whose response was not complete when its deadline
// passed or its caller left. RecordReplicaCrash counts it if the replica is found
// to have crashed within pendingTTL.
func (b *Breaker) RecordPending(now time.Time, run Run) {
	for len(b.pending) > 0 && (len(b.pending) >= maxPending || now.Sub(b.pending[0].since) > pendingTTL) {
		b.pending = b.pending[1:]
	}
	b.pending = append(b.pending, pendingRun{run, now})
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
	b.pending = kept
	return crashed
}

// RecordSuccess records that the run sent at sentAt succeeded, which clears the
// fingerprint's crashes up to then. Later crashes still count.
func (b *Breaker) RecordSuccess(now time.Time, fp quarantine.Fingerprint, sentAt time.Time) {
	rec, ok := b.records[fp]
	if !ok || !rec.clearUntil(sentAt) {
		return
	}
	b.markChanged(now, rec)
	rec.observedHere = true
}

func (b *Breaker) markChanged(now time.Time, rec *record) { b.changed, rec.changed = now, now }

// Blocked reports whether the breaker of a fingerprint is open, and until when.
// The time is zero if the fingerprint is below the threshold or has expired, and
// in the past if a trial is due.
func (b *Breaker) Blocked(now time.Time, fp quarantine.Fingerprint) (until time.Time, blocked bool) {
	rec, known := b.records[fp]
	if !known || rec.crashCount() < crashThreshold || rec.expired(now) {
		return time.Time{}, false
	}
	last := rec.lastCrash()
	if rec.crashCount() == crashThreshold && rec.lastObserved.Equal(last) {
		until = last.Add(firstTrialDelay)
		return until, now.Before(until)
	}
	blockTime := blockTimes[min(rec.crashCount()-crashThreshold, len(blockTimes)-1)]
	until = last.Add(blockTime + time.Duration(b.jitter(fp)*float64(blockTime)))
	return until, now.Before(until)
}

// jitter returns a fraction in [0, 1) that is fixed for an instance and a
// fingerprint.
func (b *Breaker) jitter(fp quarantine.Fingerprint) float64 {
	sum := xxhash.Sum64(binary.BigEndian.AppendUint64(fp[:], b.Seed))
	return float64(sum>>11) / (1 << 53)
}

// Admit reports whether a request, identified by its id, may be sent to a replica
// now. If not, after is how long to wait before the next call. Once the block time
// is over, Admit allows a trial: other requests with the fingerprint are refused
// until the trial's outcome is recorded or trialTimeout has passed.
func (b *Breaker) Admit(now time.Time, fp quarantine.Fingerprint, request string) (after time.Duration, ok bool) {
	until, blocked := b.Blocked(now, fp)
	if blocked {
		return until.Sub(now), false
	}
	if until.IsZero() {
		return 0, true
	}
	rec := b.records[fp]
	if rec.trial != request && now.Before(rec.trialUntil) {
		return rec.trialUntil.Sub(now), false
	}
	rec.trial, rec.trialUntil = request, now.Add(trialTimeout)
	return 0, true
}

// Merge merges a record of another instance, and reports whether that changed
// anything.
func (b *Breaker) Merge(now time.Time, remote Record) bool {
	rec := b.record(now, remote.Fingerprint)
	changed := false
	for _, c := range remote.Crashes {
		known := rec.crash(c)
		switch {
		case known != nil && c.Retracted && !known.Retracted:
			known.Retracted, changed = true, true
		case known == nil && c.At.After(rec.ClearedUntil):
			rec.Crashes = append(rec.Crashes, c)
			changed = true
		}
	}
	if rec.clearUntil(remote.ClearedUntil) {
		changed = true
	}
	switch {
	case changed:
		b.markChanged(now, rec)
	case len(rec.Crashes) == 0 && rec.ClearedUntil.IsZero():
		delete(b.records, remote.Fingerprint)
	}
	return changed
}

// ChangedSince returns the records that changed at or after a time, for a peer
// that has all changes before it. A record of at most one crash is returned only
// by instances that observed a change of it themselves, since a replica may run
// many requests when it crashes.
func (b *Breaker) ChangedSince(now, since time.Time) []Record {
	if b.changed.Before(since) {
		return nil
	}
	var out []Record
	for _, rec := range b.records {
		if !rec.changed.Before(since) && (rec.observedHere || rec.crashCount() > 1) && !rec.expired(now) {
			out = append(out, rec.copy())
		}
	}
	return out
}

// ToPersist returns the records that must outlive all instances: those with more
// than one crash, the ones with the most crashes first, at most maxPersisted.
func (b *Breaker) ToPersist(now time.Time) []Record {
	var found []*record
	for _, rec := range b.records {
		if rec.crashCount() > 1 && !rec.expired(now) {
			found = append(found, rec)
		}
	}
	slices.SortFunc(found, func(x, y *record) int {
		return cmp.Or(cmp.Compare(y.crashCount(), x.crashCount()), y.lastCrash().Compare(x.lastCrash()))
	})
	var out []Record
	for _, rec := range found[:min(len(found), maxPersisted)] {
		out = append(out, rec.copy())
	}
	return out
}

// record returns the record of a fingerprint. If there is none, or an expired one,
// it creates it and evicts another record at the limit.
func (b *Breaker) record(now time.Time, fp quarantine.Fingerprint) *record {
	rec, ok := b.records[fp]
	if ok && !rec.expired(now) {
		return rec
	}
	if b.records == nil {
		b.records = map[quarantine.Fingerprint]*record{}
	}
	if !ok && len(b.records) >= maxRecords {
		b.evict(now)
	}
	rec = &record{Record: Record{Fingerprint: fp}, changed: now}
	b.records[fp] = rec
	return rec
}

// evict deletes the expired records, or, if there are none, the least recently
// changed one of those with the fewest crashes.
func (b *Breaker) evict(now time.Time) {
	var least *record
	for fp, rec := range b.records {
		switch {
		case rec.expired(now):
			delete(b.records, fp)
		case least == nil || rec.crashCount() < least.crashCount() || rec.crashCount() == least.crashCount() && rec.changed.Before(least.changed):
			least = rec
		}
	}
	if len(b.records) >= maxRecords {
		delete(b.records, least.Fingerprint)
	}
}

// crash returns the entry of this record for the same crash as other, or nil.
func (r *record) crash(other Crash) *Crash {
	for i := range r.Crashes {
		if c := &r.Crashes[i]; c.ReplicaDigest == other.ReplicaDigest && c.Seq == other.Seq {
			return c
		}
	}
	return nil
}

// crashCount returns the number of crashes that are not retracted.
func (r *record) crashCount() int {
	n := 0
	for _, c := range r.Crashes {
		if !c.Retracted {
			n++
		}
	}
	return n
}

// lastCrash returns the time of the newest crash that is not retracted.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, c := range r.Crashes {
		if !c.Retracted && c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// clearUntil drops the crashes up to a time, and reports whether that time is later
// than ClearedUntil was.
func (r *record) clearUntil(until time.Time) bool {
	if !until.After(r.ClearedUntil) {
		return false
	}
	r.ClearedUntil = until
	kept := r.Crashes[:0:0]
	for _, c := range r.Crashes {
		if c.At.After(until) {
			kept = append(kept, c)
		}
	}
	r.Crashes = kept
	return true
}

func (r *record) expired(now time.Time) bool {
	ttl := crashTTL
	if r.crashCount() >= crashThreshold {
		ttl = blockedTTL
	}
	newest := r.ClearedUntil
	for _, c := range r.Crashes {
		if c.At.After(newest) {
			newest = c.At
		}
	}
	return !newest.IsZero() && now.Sub(newest) > ttl
}

func (r *record) copy() Record {
	out := r.Record
	out.Crashes = append([]Crash(nil), r.Crashes...)
	return out
}
