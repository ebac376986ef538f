// Package topicview keeps the newest record of each key of an ordered topic, and how
// recently that view was proven complete.
package topicview

import "time"

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// View is the view of one topic. The zero value has read nothing. It is not
// safe for concurrent use.
type View struct {
	records map[string]Record
	next    uint64
	loaded  bool
	proof   time.Time
	// deleted has the last deletions in the order in which they were taken, and
	// deletedFrom the offset from which they are complete.
	deleted     []Record
	deletedFrom uint64
}

// deletedLimit bounds the deletions that are kept.
const deletedLimit = 1024

// Next returns the offset of the first record that was not read yet.
func (f *View) Next() uint64 { return f.next }

// Loaded reports whether a whole view was read at least once.
func (f *View) Loaded() bool { return f.loaded }

// Records returns the records in force, in no order.
func (f *View) Records() []Record {
	out := make([]Record, 0, len(f.records))
	for _, rec := range f.records {
		out = append(out, rec)
	}
	return out
}

// ChangedSince returns the records that changed the view at or after an offset; ok is
// false if the deletions since then are no longer known.
func (f *View) ChangedSince(offset uint64) (changed []Record, ok bool) {
	if !f.loaded || offset < f.deletedFrom {
		return nil, false
	}
	for _, rec := range f.deleted {
		if rec.Offset >= offset {
			changed = append(changed, rec)
		}
	}
	for _, rec := range f.records {
		if rec.Offset >= offset {
			changed = append(changed, rec)
		}
	}
	return changed, true
}

// recordDeletion keeps a deletion for Since.
func (f *View) recordDeletion(rec Record) {
	f.deleted = append(f.deleted, rec)
	if len(f.deleted) < 2*deletedLimit {
		return
	}
	for _, old := range f.deleted[:deletedLimit] {
		f.deletedFrom = max(f.deletedFrom, old.Offset+1)
	}
	f.deleted = append([]Record(nil), f.deleted[deletedLimit:]...)
}

// Apply takes records read from the topic up to next, and returns those that
// change the view.
func (f *View) Apply(records []Record, next uint64) []Record {
	var changed []Record
	for _, rec := range records {
		if f.putIfNewer(rec) {
			changed = append(changed, rec)
		}
	}
	f.next = max(f.next, next)
	return changed
}

// Replace takes a whole view as of next. Keys that it lacks are deleted, except
// those with a record at or after next. A view that is older than this one
// changes nothing.
func (f *View) Replace(records []Record, next uint64) []Record {
	if f.loaded && next < f.next {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.Key] = true
	}
	var changed []Record
	for key, rec := range f.records {
		if !listed[key] && rec.Offset < next {
			delete(f.records, key)
			gone := Record{Key: key, Offset: next}
			f.recordDeletion(gone)
			changed = append(changed, gone)
		}
	}
	if !f.loaded {
		f.deletedFrom = next
	}
	f.loaded = true
	return append(changed, f.Apply(records, next)...)
}

// putIfNewer keeps a record that is newer than the one of its key.
func (f *View) putIfNewer(rec Record) bool {
	old, ok := f.records[rec.Key]
	if ok && rec.Offset <= old.Offset {
		return false
	}
	if len(rec.Value) == 0 {
		delete(f.records, rec.Key)
		if ok {
			f.recordDeletion(rec)
		}
		return ok
	}
	if f.records == nil {
		f.records = map[string]Record{}
	}
	f.records[rec.Key] = rec
	return true
}

// RecordProof notes that the view up to next was complete at a moment. A view that
// has not read as far is not proven.
func (f *View) RecordProof(at time.Time, next uint64) {
	if f.loaded && f.next >= next && at.After(f.proof) {
		f.proof = at
	}
}

// Proof returns the latest moment at which the view is known to have been
// complete; the zero time if there is none.
func (f *View) Proof() time.Time { return f.proof }

// Current reports whether the view was complete within limit before now.
func (f *View) Current(now time.Time, limit time.Duration) bool {
	return !f.proof.IsZero() && now.Sub(f.proof) < limit
}
