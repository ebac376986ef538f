package crashbreaker

import (
	"cmp"
	"slices"
	"time"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/quarantine"
)

// clockTolerance is the largest difference between two instances' times of one event that
// the delay of their messages explains. A later time of a success is ignored within it,
// since each instance would pass on what the others add.
const clockTolerance = 250 * time.Millisecond

// Merge merges a record of another instance, and reports whether that changed anything.
// The argument from is the position of that instance in the overlay, relative to this one.
func (b *Breaker) Merge(now time.Time, remote Record, from peering.Relation) bool {
	if b.evictedBefore(remote) {
		return false
	}
	disputed := b.disputes(remote)
	changed := false
	if remote.Part {
		changed = b.mergePart(now, remote)
	} else {
		changed = b.mergeRequest(now, remote)
	}
	rec, ok := b.records[remote.Fingerprint]
	if !ok {
		return changed
	}
	if disputed {
		rec.disputed, changed = true, true
		b.markChanged(now, rec)
	}
	if changed && from == peering.Child {
		b.markOwnChange(now, rec)
	}
	return changed
}

// disputes reports whether another instance blocks a fingerprint because of crashes that do
// not count here.
func (b *Breaker) disputes(remote Record) bool {
	if !(&record{Record: remote}).tripped() {
		return false
	}
	var cleared time.Time
	if remote.Part {
		cleared = b.answered.get(remote.Fingerprint)
	}
	rec := b.records[remote.Fingerprint]
	if rec != nil && rec.ClearedUntil.After(cleared) {
		cleared = rec.ClearedUntil
	}
	for _, c := range remote.Crashes {
		if c.Retracted {
			continue
		}
		if !c.At.After(cleared) {
			return true
		}
		if rec == nil {
			continue
		}
		if known := rec.crash(c); known != nil && known.Retracted {
			return true
		}
	}
	return false
}

func (b *Breaker) mergeRequest(now time.Time, remote Record) bool {
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

// ChangedSince returns the records that changed at or after a time, for a peer that has all
// changes before it. The argument relation is the position of this instance in the overlay,
// relative to the peer. A crash hits many requests and parts, most of which are harmless, so
// that a record takes the shortest way to where it can add up with others: from the instance
// that observed it to its parent, and from there to all roots. Instances below these get it
// if it has several crashes. That of a blocked fingerprint goes to all by all ways.
func (b *Breaker) ChangedSince(now, since time.Time, relation peering.Relation) []Record {
	if now.After(b.sentAt) {
		b.sentAt = now
	}
	if b.changed.Before(since) {
		return nil
	}
	var out []Record
	for _, rec := range b.records {
		if !rec.changed.Before(since) && rec.sendTo(relation, since) && !rec.expired(now) {
			out = append(out, rec.copy())
		}
	}
	return out
}

// sendTo reports whether a peer that has all changes before the time since needs the record,
// by the position of this instance relative to the peer.
func (r *record) sendTo(relation peering.Relation, since time.Time) bool {
	switch {
	case r.tripped() || r.disputed:
		return true
	case relation == peering.Parent:
		return r.crashCount() > 1
	}
	return !r.ownChanged.IsZero() && !r.ownChanged.Before(since)
}

// ToPersist returns the records that must outlive all instances: those with more
// than one crash, the ones with the most crashes first.
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
	for _, rec := range found {
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

// evict deletes the expired records or, if there are none, evictionShare of the records: those
// with the fewest crashes and, of these, those with the oldest newest crashes.
func (b *Breaker) evict(now time.Time) {
	type candidate struct {
		fp      quarantine.Fingerprint
		crashes int
		newest  time.Time
	}
	var all []candidate
	for fp, rec := range b.records {
		if rec.expired(now) {
			delete(b.records, fp)
			continue
		}
		all = append(all, candidate{fp, rec.crashCount(), rec.newest()})
	}
	if len(b.records) < maxRecords {
		return
	}
	slices.SortFunc(all, func(x, y candidate) int { return cmp.Or(cmp.Compare(x.crashes, y.crashes), x.newest.Compare(y.newest)) })
	for _, c := range all[:max(1, int(evictionShare*maxRecords))] {
		class := min(c.crashes, evictionClasses-1)
		if c.newest.After(b.evictedUntil[class]) {
			b.evictedUntil[class] = c.newest
		}
		delete(b.records, c.fp)
	}
}

// evictedBefore reports whether this instance had to evict records that are newer than a
// remote record which it does not hold, and that have as many crashes. Taking such a record
// would evict another, and instances with more records than fit would send each other
// evicted ones without end.
func (b *Breaker) evictedBefore(remote Record) bool {
	if _, ok := b.records[remote.Fingerprint]; ok || len(b.records) < maxRecords {
		return false
	}
	return !remote.newest().After(b.evictedUntil[remote.evictionClass()].Add(clockTolerance))
}

// evictionClass returns the class of a record in Breaker.evictedUntil.
func (r *Record) evictionClass() int { return min(r.crashCount(), evictionClasses-1) }

// newest returns the time of the newest crash, also of a retracted one, or ClearedUntil if
// there is none.
func (r *Record) newest() time.Time {
	at := r.ClearedUntil
	for _, c := range r.Crashes {
		if c.At.After(at) {
			at = c.At
		}
	}
	return at
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
func (r *Record) crashCount() int {
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
