// Package topicview maintains a compacted view of an ordered topic: the newest record
// of each key, and the latest time at which the view is known to have been complete.
package topicview

import "time"

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
	// Era is the era of the offset. It is set in held records only.
	Era uint64 `json:",omitempty"`
}

// Position is a position in a topic: the offset of a record, or that after the last one.
// When the log comes back from a copy, offsets are given out again under a higher era, so
// that an offset names a record only within its era.
type Position struct {
	Era, Offset uint64
}

// Before reports whether p is in an earlier era than q, or in the same one at a lower
// offset.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}

// View is the compacted view of one topic. The zero value has no records and is not
// loaded. It is not safe for concurrent use.
type View struct {
	// Newer, if set, reports whether a record is newer than a held one of its key, by what
	// the two state. known is false if that does not tell.
	Newer func(held, rec Record) (newer, known bool)

	// records has the records that the log has in the current era.
	records map[string]Record
	next    Position
	loaded  bool
	proof   time.Time
	// deleted holds the latest deletions in the order in which they were applied.
	// It has all deletions since offset deletedFrom.
	deleted     []Record
	deletedFrom uint64
	// held has the newest records of earlier eras that the log has lost. They take
	// precedence over those of the log, until their key is written in the current era.
	// A record without a value is a lost deletion.
	held map[string]Record
	// heldTo is the position of an earlier era up to which held has what the log has lost.
	heldTo Position
	// inherited is the offset below which the log's records come from a copy.
	inherited uint64
}

// minDeleted is the number of latest deletions that are always kept. The list is
// trimmed to it when it has twice as many.
const minDeleted = 1024

// Next returns the position from which the topic is to be read next.
func (v *View) Next() Position { return v.next }

// Loaded reports whether Replace has applied a complete view at least once.
func (v *View) Loaded() bool { return v.loaded }

// Records returns the newest record of each key that is not deleted, in no
// particular order.
func (v *View) Records() []Record {
	out := make([]Record, 0, len(v.records)+len(v.held))
	for key, rec := range v.records {
		if _, ok := v.held[key]; !ok {
			out = append(out, rec)
		}
	}
	for _, rec := range v.held {
		if len(rec.Value) > 0 {
			out = append(out, rec)
		}
	}
	return out
}

// LogRecords returns the newest record of each key that the log has, in no particular
// order.
func (v *View) LogRecords() []Record {
	out := make([]Record, 0, len(v.records))
	for _, rec := range v.records {
		out = append(out, rec)
	}
	return out
}

// ChangedSince returns the records of the log, and the deletions, at or after the given
// position. A record without a value is a deletion. It returns false if the view is not
// loaded, the position is of another era or some of the deletions are no longer kept.
func (v *View) ChangedSince(from Position) (changed []Record, ok bool) {
	if !v.loaded || from.Era != v.next.Era || from.Offset < v.deletedFrom {
		return nil, false
	}
	for _, rec := range v.deleted {
		if rec.Offset >= from.Offset {
			changed = append(changed, rec)
		}
	}
	for _, rec := range v.records {
		if rec.Offset >= from.Offset {
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

// Apply applies records that were read from the topic up to the position next, and
// returns those that changed the view. Records of another era, or before the view is
// loaded, change nothing.
func (v *View) Apply(records []Record, next Position) []Record {
	if !v.loaded || next.Era != v.next.Era {
		return nil
	}
	var changed []Record
	for _, rec := range records {
		if v.putIfNewer(rec) {
			changed = append(changed, rec)
		}
	}
	v.next = Position{next.Era, max(v.next.Offset, next.Offset)}
	return changed
}

// Replace replaces the view by a complete one as of the position next, and returns the
// records that changed it. Keys missing from records are deleted at offset next, except
// those whose record is at or after next. If the loaded view is already past next,
// nothing changes. A view of a later era is merged with what is known from the earlier one.
func (v *View) Replace(records []Record, next Position) []Record {
	switch {
	case !v.loaded:
		v.loaded, v.deletedFrom, v.inherited = true, next.Offset, next.Offset
		v.next.Era = next.Era
	case next.Before(v.next):
		return nil
	case next.Era > v.next.Era:
		return v.restore(records, next)
	}
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.Key] = true
	}
	var changed []Record
	for key, rec := range v.records {
		if !present[key] && rec.Offset < next.Offset {
			deletion := Record{Key: key, Offset: next.Offset}
			v.recordDeletion(deletion)
			delete(v.records, key)
			if _, ok := v.held[key]; !ok {
				changed = append(changed, deletion)
			}
		}
	}
	return append(changed, v.Apply(records, next)...)
}

// putIfNewer applies a record of the log unless the view has one of its key that is as
// new or newer, and reports whether the view changed.
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
	} else {
		if v.records == nil {
			v.records = map[string]Record{}
		}
		v.records[rec.Key] = rec
	}
	if held, isHeld := v.held[rec.Key]; isHeld {
		if !v.supersedes(held, rec) {
			return false
		}
		delete(v.held, rec.Key)
		return len(held.Value) > 0 || len(rec.Value) > 0
	}
	return ok || len(rec.Value) > 0
}

// RecordProof records that the view up to the position next was complete at a point in
// time. It does nothing if the view is not loaded, is of another era or has not reached
// next, or if there is a later proof.
func (v *View) RecordProof(at time.Time, next Position) {
	if v.loaded && v.next.Era == next.Era && v.next.Offset >= next.Offset && at.After(v.proof) {
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
