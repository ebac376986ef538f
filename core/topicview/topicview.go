// Package topicview maintains a compacted view of an ordered topic: the newest record
// of each key, and the latest time at which the view is known to have been complete.
package topicview

import "time"

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Position is a position in a topic: the offset of a record, or that after the last one.
// When the log comes back from a copy, offsets are given out again under a higher era, so
// that an offset names a record only within its era.
type Position struct {
	Era, Offset uint64
}

// View is the compacted view of one topic. The zero value has no records and is not
// loaded. It is not safe for concurrent use.
type View struct {
	records map[string]Record
	next    uint64
	loaded  bool
	proof   time.Time
	// deleted holds the latest deletions in the order in which they were applied.
	// It has all deletions since offset deletedFrom.
	deleted     []Record
	deletedFrom uint64
}

// minDeleted is the number of latest deletions that are always kept. The list is
// trimmed to it when it has twice as many.
const minDeleted = 1024

// Next returns the offset from which the topic is to be read next.
func (v *View) Next() uint64 { return v.next }

// Loaded reports whether Replace has applied a complete view at least once.
func (v *View) Loaded() bool { return v.loaded }

// Records returns the newest record of each key that is not deleted, in no
// particular order.
func (v *View) Records() []Record {
	out := make([]Record, 0, len(v.records))
	for _, rec := range v.records {
		out = append(out, rec)
	}
	return out
}

// ChangedSince returns the records in the view, and the deletions, with an offset at
// or after the given one. A record without a value is a deletion. It returns false if
// the view is not loaded or some of the deletions are no longer kept.
func (v *View) ChangedSince(offset uint64) (changed []Record, ok bool) {
	if !v.loaded || offset < v.deletedFrom {
		return nil, false
	}
	for _, rec := range v.deleted {
		if rec.Offset >= offset {
			changed = append(changed, rec)
		}
	}
	for _, rec := range v.records {
		if rec.Offset >= offset {
			changed = append(changed, rec)
		}
	}
	return changed, true
}

// recordDeletion keeps a deletion for ChangedSince.
func (v *View) recordDeletion(rec Record) {
	v.deleted = append(v.deleted, rec)
	if len(v.deleted) < 2*minDeleted {
		return
	}
	for _, old := range v.deleted[:minDeleted] {
		v.deletedFrom = max(v.deletedFrom, old.Offset+1)
	}
	v.deleted = append([]Record(nil), v.deleted[minDeleted:]...)
}

// Apply applies records that were read from the topic up to the offset next, and
// returns those that changed the view.
func (v *View) Apply(records []Record, next uint64) []Record {
	var changed []Record
	for _, rec := range records {
		if v.putIfNewer(rec) {
			changed = append(changed, rec)
		}
	}
	v.next = max(v.next, next)
	return changed
}

// Replace replaces the view by a complete one as of the offset next, and returns the
// records that changed it. Keys missing from records are deleted at offset next, except
// those whose record is at or after next. If the loaded view is already past next,
// nothing changes.
func (v *View) Replace(records []Record, next uint64) []Record {
	if v.loaded && next < v.next {
		return nil
	}
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.Key] = true
	}
	var changed []Record
	for key, rec := range v.records {
		if !present[key] && rec.Offset < next {
			delete(v.records, key)
			deletion := Record{Key: key, Offset: next}
			v.recordDeletion(deletion)
			changed = append(changed, deletion)
		}
	}
	if !v.loaded {
		v.deletedFrom = next
	}
	v.loaded = true
	return append(changed, v.Apply(records, next)...)
}

// putIfNewer applies a record unless the view has one of its key that is as new or
// newer, and reports whether the view changed.
func (v *View) putIfNewer(rec Record) bool {
	old, ok := v.records[rec.Key]
	if ok && rec.Offset <= old.Offset {
		return false
	}
	if len(rec.Value) == 0 {
		delete(v.records, rec.Key)
		if ok {
			v.recordDeletion(rec)
		}
		return ok
	}
	if v.records == nil {
		v.records = map[string]Record{}
	}
	v.records[rec.Key] = rec
	return true
}

// RecordProof records that the view up to the offset next was complete at a point in
// time. It does nothing if the view is not loaded or has not reached next, or if there
// is a later proof.
func (v *View) RecordProof(at time.Time, next uint64) {
	if v.loaded && v.next >= next && at.After(v.proof) {
		v.proof = at
	}
}

// Proof returns the latest time at which the view is known to have been complete, or
// the zero time if there is none.
func (v *View) Proof() time.Time { return v.proof }

// Current reports whether the view is known to have been complete less than limit
// before now.
func (v *View) Current(now time.Time, limit time.Duration) bool {
	return !v.proof.IsZero() && now.Sub(v.proof) < limit
}
