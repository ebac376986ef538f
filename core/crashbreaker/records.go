package crashbreaker

import (
	"cmp"
	"slices"
	"time"

	"crocusfold.dev/core/quarantine"
)

// clockTolerance is the largest difference between two instances' times of one event that
// the delay of their messages explains. A later time of a success is ignored within it,
// since each instance would pass on what the others add.
const clockTolerance = 250 * time.Millisecond

// Merge merges a record of another instance, and reports whether that changed
// anything.
func (b *Breaker) Merge(now time.Time, remote Record) bool {
	if remote.Part {
		return b.mergePart(now, remote)
	}
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
	if remote.ClearedUntil.Sub(rec.ClearedUntil) > clockTolerance && rec.clearUntil(remote.ClearedUntil) {
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
// that has all changes before it. A whole request's record of at most one crash is
// returned only by instances that observed a change of it themselves, since a replica
// may run many requests when it crashes.
func (b *Breaker) ChangedSince(now, since time.Time) []Record {
	if now.After(b.sentAt) {
		b.sentAt = now
	}
	if b.changed.Before(since) {
		return nil
	}
	var out []Record
	for _, rec := range b.records {
		if !rec.changed.Before(since) && (rec.Part || rec.observedHere || rec.crashCount() > 1) && !rec.expired(now) {
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
	if r.tripped() {
		ttl = blockedTTL
	}
	newest := r.ClearedUntil
	if r.Part {
		newest = r.changed
	}
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
