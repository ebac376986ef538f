// Package crashbreaker finds requests that take down each replica that runs them, and
// keeps them from further ones. What instances know is merged without an order:
// an end of a replica counts once, whoever tells of it and however often.
package crashbreaker

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/quarantine"
)

// Bounds of what is kept.
const (
	// crashThreshold is the number of replicas that a request may take down.
	crashThreshold = 3
	// crashTTL is how long the ends count of a request that is not barred.
	crashTTL = 2 * time.Minute
	// blockedTTL is how long they count of one that is; it is longer than any bar.
	blockedTTL = 48 * time.Hour
	// pendingTTL is how long a run without an answer may turn out to have ended with
	// its replica. The list of replicas tells after three heartbeats and its lag.
	pendingTTL = 15 * time.Second
	// firstTrialDelay is when the instance that noticed the last end allows the first
	// trial, for all: an innocent request may have been at three ends of one moment.
	firstTrialDelay = 5 * time.Second
	// responseMargin is how long an answer may still arrive that was sent before the
	// replica ended.
	responseMargin = 200 * time.Millisecond
	// trialTimeout is how long others wait for the outcome of a trial.
	trialTimeout = 10 * time.Second
	// maxRecords and maxOpen bound the requests and the runs that are kept.
	maxRecords = 2000
	maxPending = 2000
	// maxPersisted bounds the requests in the record for the platform.
	maxPersisted = 200
)

// blockTimes has how long a request is barred after its last end, by the number of
// ends from mostEnds on. After each bar one trial is allowed, so that an innocent
// request is not barred for long and a guilty one takes down few more.
var blockTimes = [...]time.Duration{time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour}

// Run is one run of a request at a replica.
type Run struct {
	Fingerprint quarantine.Fingerprint
	// Replica and Incarnation name the replica, Began is when the run was sent.
	Replica     string
	Incarnation int64
	SentAt      time.Time
}

// Crash is one end of a replica that ran a request. Replica and Round are the same
// at all instances that noticed it.
type Crash struct {
	// ReplicaDigest is the digest of the replica's incarnation.
	ReplicaDigest uint64
	// Seq tells the ends of one incarnation apart whose restart is not known yet.
	Seq int
	At  time.Time
	// Retracted is true if the replica has proved since that it lives.
	Retracted bool
}

// Record is what is known of one request.
type Record struct {
	Fingerprint quarantine.Fingerprint
	Crashes     []Crash
	// ClearedUntil is the start of the last run that was answered with success; zero if
	// there was none. Ends before it don't count.
	ClearedUntil time.Time
}

// Breaker holds the ends of all requests. The zero value is empty. It is not
// safe for concurrent use.
type Breaker struct {
	// Seed differs between instances, so that they don't allow trials together.
	Seed    uint64
	records map[quarantine.Fingerprint]*record
	pending []pendingRun
	// changed is when any record last changed.
	changed time.Time
}

type record struct {
	Record
	// changed is when the record last changed here, and noticed is true if that
	// was ever by a run of this instance.
	changed      time.Time
	observedHere bool
	// lastObserved is the newest end that this instance noticed.
	lastObserved time.Time
	// trial is the request that may run until trialUntil although the record bars
	// its content.
	trial      string
	trialUntil time.Time
}

type pendingRun struct {
	Run
	since time.Time
}

// CrashCount returns the number of ends of a content.
func (g *Breaker) CrashCount(c quarantine.Fingerprint) int {
	if rec, ok := g.records[c]; ok {
		return rec.crashCount()
	}
	return 0
}

// Sweep forgets what no longer counts.
func (g *Breaker) Sweep(now time.Time) {
	for c, rec := range g.records {
		if rec.expired(now) {
			delete(g.records, c)
		}
	}
}

// Empty reports whether no request is known.
func (g *Breaker) Empty() bool { return len(g.records) == 0 }

// RecordCrash notes that a run ended with its replica.
func (g *Breaker) RecordCrash(now time.Time, r Run) {
	rec := g.record(now, r.Fingerprint)
	replica := DigestReplica(r.Replica, r.Incarnation)
	round := 0
	for _, e := range rec.Crashes {
		if e.ReplicaDigest != replica {
			continue
		}
		if !e.Retracted && !e.At.Before(r.SentAt) {
			return
		}
		// That one is void or was before the run began, so this is another.
		round = max(round, e.Seq+1)
	}
	rec.Crashes = append(rec.Crashes, Crash{ReplicaDigest: replica, Seq: round, At: now})
	g.markChanged(now, rec)
	rec.observedHere, rec.lastObserved = true, now
}

// DigestReplica names a replica's incarnation.
func DigestReplica(replica string, incarnation int64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(replica), uint64(incarnation)))
}

// RetractCrashes takes an answer of a replica on a connection that was first used at
// opened. Ends between the two were none, since the connection outlived them. It
// reports whether there were such.
func (g *Breaker) RetractCrashes(now time.Time, replica string, incarnation int64, opened time.Time) bool {
	if len(g.records) == 0 {
		return false
	}
	digest, any := DigestReplica(replica, incarnation), false
	for _, rec := range g.records {
		for i := range rec.Crashes {
			e := &rec.Crashes[i]
			if e.ReplicaDigest == digest && !e.Retracted && opened.Before(e.At) && now.Sub(e.At) > responseMargin {
				e.Retracted, any = true, true
				g.markChanged(now, rec)
				rec.observedHere = true
			}
		}
	}
	return any
}

// RecordPending notes a run of which nothing was heard before its time was over or
// its caller left. It counts if its replica turns out to have ended.
func (g *Breaker) RecordPending(now time.Time, r Run) {
	for len(g.pending) > 0 && (len(g.pending) >= maxPending || now.Sub(g.pending[0].since) > pendingTTL) {
		g.pending = g.pending[1:]
	}
	g.pending = append(g.pending, pendingRun{r, now})
}

// RecordReplicaCrash takes the end of a replica's incarnation, which was not asked for,
// and returns the runs that ended with it.
func (g *Breaker) RecordReplicaCrash(now time.Time, replica string, incarnation int64) []Run {
	var ended []Run
	kept := g.pending[:0]
	for _, o := range g.pending {
		switch {
		case now.Sub(o.since) > pendingTTL:
		case o.Replica == replica && o.Incarnation == incarnation:
			g.RecordCrash(now, o.Run)
			ended = append(ended, o.Run)
		default:
			kept = append(kept, o)
		}
	}
	g.pending = kept
	return ended
}

// RecordSuccess notes a run that was answered with success. Ends since it began
// still count.
func (g *Breaker) RecordSuccess(now time.Time, c quarantine.Fingerprint, began time.Time) {
	rec, ok := g.records[c]
	if !ok || !rec.clearUntil(began) {
		return
	}
	g.markChanged(now, rec)
	rec.observedHere = true
}

// markChanged marks a record as changed.
func (g *Breaker) markChanged(now time.Time, rec *record) { g.changed, rec.changed = now, now }

// Blocked returns until when a content must not run; ok is false if it may.
func (g *Breaker) Blocked(now time.Time, c quarantine.Fingerprint) (until time.Time, ok bool) {
	rec, known := g.records[c]
	if !known || rec.crashCount() < crashThreshold || rec.expired(now) {
		return time.Time{}, false
	}
	last := rec.lastCrash()
	if rec.crashCount() == crashThreshold && rec.lastObserved.Equal(last) {
		until = last.Add(firstTrialDelay)
		return until, now.Before(until)
	}
	bar := blockTimes[min(rec.crashCount()-crashThreshold, len(blockTimes)-1)]
	until = last.Add(bar + time.Duration(g.jitter(c)*float64(bar)))
	return until, now.Before(until)
}

// jitter is between 0 and 1, differently for each instance and content.
func (g *Breaker) jitter(c quarantine.Fingerprint) float64 {
	sum := xxhash.Sum64(binary.BigEndian.AppendUint64(c[:], g.Seed))
	return float64(sum>>11) / (1 << 53)
}

// Admit decides whether a request may be sent to a replica now. If not, it
// returns when to come back.
func (g *Breaker) Admit(now time.Time, c quarantine.Fingerprint, request string) (after time.Duration, ok bool) {
	until, barred := g.Blocked(now, c)
	if barred {
		return until.Sub(now), false
	}
	if until.IsZero() {
		return 0, true
	}
	rec := g.records[c]
	if rec.trial != request && now.Before(rec.trialUntil) {
		return rec.trialUntil.Sub(now), false
	}
	rec.trial, rec.trialUntil = request, now.Add(trialTimeout)
	return 0, true
}

// Merge merges what another instance knows, and reports whether it was new.
func (g *Breaker) Merge(now time.Time, heard Record) bool {
	rec := g.record(now, heard.Fingerprint)
	changed := false
	for _, e := range heard.Crashes {
		known := rec.crash(e)
		switch {
		case known != nil && e.Retracted && !known.Retracted:
			known.Retracted, changed = true, true
		case known == nil && e.At.After(rec.ClearedUntil):
			rec.Crashes = append(rec.Crashes, e)
			changed = true
		}
	}
	if rec.clearUntil(heard.ClearedUntil) {
		changed = true
	}
	switch {
	case changed:
		g.markChanged(now, rec)
	case len(rec.Crashes) == 0 && rec.ClearedUntil.IsZero():
		delete(g.records, heard.Fingerprint)
	}
	return changed
}

// ChangedSince returns the records for a peer that heard all up to a moment. One end
// alone is told only by the instance that noticed it, since many requests end
// with a replica.
func (g *Breaker) ChangedSince(now, moment time.Time) []Record {
	if g.changed.Before(moment) {
		return nil
	}
	var out []Record
	for _, rec := range g.records {
		if !rec.changed.Before(moment) && (rec.observedHere || rec.crashCount() > 1) && !rec.expired(now) {
			out = append(out, rec.copy())
		}
	}
	return out
}

// ToPersist returns the records that must outlive all instances: those of requests
// that were there at more than one end, the ones with the most ends first.
func (g *Breaker) ToPersist(now time.Time) []Record {
	var some []*record
	for _, rec := range g.records {
		if rec.crashCount() > 1 && !rec.expired(now) {
			some = append(some, rec)
		}
	}
	slices.SortFunc(some, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.crashCount(), a.crashCount()), b.lastCrash().Compare(a.lastCrash()))
	})
	var out []Record
	for _, rec := range some[:min(len(some), maxPersisted)] {
		out = append(out, rec.copy())
	}
	return out
}

// record returns the record of a content, and makes room for a new one.
func (g *Breaker) record(now time.Time, c quarantine.Fingerprint) *record {
	rec, ok := g.records[c]
	if ok && !rec.expired(now) {
		return rec
	}
	if g.records == nil {
		g.records = map[quarantine.Fingerprint]*record{}
	}
	if !ok && len(g.records) >= maxRecords {
		g.evict(now)
	}
	rec = &record{Record: Record{Fingerprint: c}, changed: now}
	g.records[c] = rec
	return rec
}

// evict drops what is over, or else the oldest record of those with the
// fewest ends.
func (g *Breaker) evict(now time.Time) {
	var least *record
	for c, rec := range g.records {
		switch {
		case rec.expired(now):
			delete(g.records, c)
		case least == nil || rec.crashCount() < least.crashCount() || rec.crashCount() == least.crashCount() && rec.changed.Before(least.changed):
			least = rec
		}
	}
	if len(g.records) >= maxRecords {
		delete(g.records, least.Fingerprint)
	}
}

// crash finds what is known of an end; nil is nothing.
func (r *record) crash(other Crash) *Crash {
	for i := range r.Crashes {
		if e := &r.Crashes[i]; e.ReplicaDigest == other.ReplicaDigest && e.Seq == other.Seq {
			return e
		}
	}
	return nil
}

// crashCount is the number of ends that count.
func (r *record) crashCount() int {
	n := 0
	for _, e := range r.Crashes {
		if !e.Retracted {
			n++
		}
	}
	return n
}

// lastCrash is the time of the newest end that counts.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, e := range r.Crashes {
		if !e.Retracted && e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// clearUntil drops the ends up to a moment, and reports whether that is news.
func (r *record) clearUntil(moment time.Time) bool {
	if !moment.After(r.ClearedUntil) {
		return false
	}
	r.ClearedUntil = moment
	kept := r.Crashes[:0:0]
	for _, e := range r.Crashes {
		if e.At.After(moment) {
			kept = append(kept, e)
		}
	}
	r.Crashes = kept
	return true
}

func (r *record) expired(now time.Time) bool {
	life := crashTTL
	if r.crashCount() >= crashThreshold {
		life = blockedTTL
	}
	newest := r.ClearedUntil
	for _, e := range r.Crashes {
		if e.At.After(newest) {
			newest = e.At
		}
	}
	return !newest.IsZero() && now.Sub(newest) > life
}

func (r *record) copy() Record {
	out := r.Record
	out.Crashes = append([]Crash(nil), r.Crashes...)
	return out
}
