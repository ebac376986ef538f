package topicview

import "bytes"

// A log that comes back from a copy has lost the records after a certain offset, and gives
// out the offsets from there on again. Their writers repeat them, in any order and after
// some time. Until then, what the view knows is newer than what the log has:
//
//   - A record whose key the log has at a lower offset was lost. The log's record is older,
//     unless it was written after the restore or what it states is newer.
//   - A record whose key the log lacks was lost if it lies after an offset that is known to
//     be lost. Otherwise its key was deleted.

// newer reports whether a record is newer than a held one by what they state.
func (v *View) newer(held, rec Record) (newer, known bool) {
	if v.Newer == nil {
		return false, false
	}
	return v.Newer(held, rec)
}

// supersedes reports whether a record of the current era replaces a held one.
func (v *View) supersedes(held, rec Record) bool {
	if newer, known := v.newer(held, rec); known {
		return newer
	}
	return rec.Offset >= v.inherited
}

// restore merges the complete view of a later era, and returns the records that changed
// the view.
func (v *View) restore(records []Record, next Position) []Record {
	before := v.effective()
	listed := make(map[string]Record, len(records))
	for _, rec := range records {
		listed[rec.Key] = rec
	}
	known := v.known()
	// A key that the view lacks was deleted before its end.
	for key, rec := range listed {
		if _, ok := known[key]; !ok && rec.Offset < v.next.Offset {
			known[key] = Record{Key: key, Offset: v.next.Offset - 1}
		}
	}
	v.inherited = firstLost(known, listed, next.Offset)
	for key, held := range v.held {
		rec, ok := listed[key]
		newer, stated := v.newer(held, rec)
		if !stated {
			previous, isKnown := known[key]
			newer = rec.Offset >= v.inherited || !isKnown || rec.Offset > previous.Offset
		}
		if ok && newer {
			delete(v.held, key)
		}
		delete(known, key)
	}
	for key, old := range known {
		if rec, ok := listed[key]; v.isLost(old, rec, ok) {
			old.Era = v.next.Era
			v.hold(old)
		}
	}
	v.records, v.heldTo, v.next = listed, v.next, next
	v.deleted, v.deletedFrom = nil, next.Offset
	return v.changedFrom(before)
}

// known returns the newest record or deletion of each key, as far as deletions are kept.
func (v *View) known() map[string]Record {
	known := make(map[string]Record, len(v.records))
	for _, rec := range v.deleted {
		known[rec.Key] = rec
	}
	for key, rec := range v.records {
		known[key] = rec
	}
	return known
}

// firstLost returns the lowest offset that is known to be lost: an upper bound of the
// number of records of the copy. The log ends at end.
func firstLost(known, listed map[string]Record, end uint64) uint64 {
	first := end
	byOffset := make(map[uint64]string, len(listed))
	for key, rec := range listed {
		byOffset[rec.Offset] = key
	}
	for key, old := range known {
		rec, ok := listed[key]
		if other, taken := byOffset[old.Offset]; taken && other != key && len(old.Value) > 0 {
			first = min(first, old.Offset)
		}
		if ok && (rec.Offset < old.Offset || rec.Offset == old.Offset && !bytes.Equal(rec.Value, old.Value)) {
			first = min(first, old.Offset)
		}
	}
	return first
}

// isLost reports whether a record of the earlier era is newer than the log's record of its
// key, if the log has one.
func (v *View) isLost(old, rec Record, listed bool) bool {
	switch {
	case !listed:
		_, known := v.newer(old, Record{Key: old.Key})
		return len(old.Value) > 0 && (known || old.Offset >= v.inherited)
	case bytes.Equal(old.Value, rec.Value):
		return false
	}
	if newer, known := v.newer(old, rec); known {
		return !newer
	}
	return rec.Offset < old.Offset && rec.Offset < v.inherited
}

func (v *View) hold(rec Record) {
	if v.held == nil {
		v.held = map[string]Record{}
	}
	v.held[rec.Key] = rec
}

// Held returns the records of earlier eras that the log has lost, in no particular order.
// A record without a value is a deletion.
func (v *View) Held() []Record {
	var out []Record
	for _, rec := range v.held {
		out = append(out, rec)
	}
	return out
}

// Holds reports whether there are held records.
func (v *View) Holds() bool { return len(v.held) > 0 }

// HeldTo returns the position of an earlier era up to which Held has what the log has
// lost. It is zero before the first restore that the view has seen.
func (v *View) HeldTo() Position { return v.heldTo }

// MergeHeld takes over the held records of another view, which had read up to the position
// at and holds what was lost up to heldTo, and returns the records that changed this view.
// It does nothing if the eras differ or this view knows at least as much. Records of still
// earlier eras that this view holds stay, since the other one may never have known them.
func (v *View) MergeHeld(records []Record, heldTo, at Position) []Record {
	if !v.loaded || at.Era != v.next.Era || !v.heldTo.Before(heldTo) {
		return nil
	}
	before := v.effective()
	deletedAt := map[string]uint64{}
	for _, rec := range v.deleted {
		deletedAt[rec.Key] = rec.Offset
	}
	own := v.held
	v.held, v.heldTo = nil, heldTo
	for key, rec := range own {
		if rec.Era < heldTo.Era {
			v.hold(rec)
		}
		if newer, known := v.newer(rec, Record{Key: key}); known && !newer {
			v.hold(rec)
		}
	}
	for _, rec := range records {
		if other, ok := v.held[rec.Key]; ok {
			newer, known := v.newer(other, rec)
			if !known {
				newer = (Position{other.Era, other.Offset}).Before(Position{rec.Era, rec.Offset})
			}
			if !newer {
				continue
			}
		}
		written, ok := v.records[rec.Key]
		if !ok {
			written = Record{Key: rec.Key, Offset: deletedAt[rec.Key]}
		}
		newer, known := v.newer(rec, written)
		if !known {
			newer = written.Offset >= at.Offset
		}
		if !newer {
			v.hold(rec)
		}
	}
	return v.changedFrom(before)
}

// Release drops the held records whose writers have not repeated them in time, and returns
// the records that changed the view. With lackingOnly, it drops only those whose key the log
// lacks. Records that are newer than the log's by what they state stay.
func (v *View) Release(lackingOnly bool) []Record {
	if len(v.held) == 0 {
		return nil
	}
	before := v.effective()
	for key, held := range v.held {
		rec, ok := v.records[key]
		if !ok {
			rec = Record{Key: key}
		}
		if newer, known := v.newer(held, rec); ok && lackingOnly || known && !newer {
			continue
		}
		delete(v.held, key)
	}
	return v.changedFrom(before)
}

// effective returns the records of Records by their keys.
func (v *View) effective() map[string]Record {
	out := make(map[string]Record, len(v.records))
	for _, rec := range v.Records() {
		out[rec.Key] = rec
	}
	return out
}

// changedFrom returns the records whose values differ from those before, and deletions of
// those that the view no longer has.
func (v *View) changedFrom(before map[string]Record) []Record {
	var changed []Record
	for _, rec := range v.Records() {
		if old, ok := before[rec.Key]; !ok || !bytes.Equal(old.Value, rec.Value) {
			changed = append(changed, rec)
		}
		delete(before, rec.Key)
	}
	for key := range before {
		changed = append(changed, Record{Key: key, Offset: v.next.Offset})
	}
	return changed
}
