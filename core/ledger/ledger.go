// Package ledger replays the configuration stream. Every reader of the same
// records reaches the same state and the same verdict on each change.
package ledger

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/intent"
)

// maxOutcomes bounds the outcomes kept for the audit trail and for detecting a
// change that was appended twice. Above it, the older half is dropped.
const maxOutcomes = 1024

// maxPending bounds the records buffered until the first snapshot is read.
const maxPending = 1 << 16

// ErrGap is returned if records that the ledger has not applied are missing,
// for example because they expired.
var ErrGap = errors.New("records of the configuration stream are missing")

// Ledger holds the configuration in force at one offset of the stream. The zero
// value is an empty ledger at offset 0. It is not safe for concurrent use.
type Ledger struct {
	next         uint64
	objects      map[string]change.Object
	outcomes     []change.Outcome
	outcomeIndex map[string]int
	refs         references
	// pending buffers the records read after a start in the middle of the
	// stream, until a snapshot provides the state before them.
	pending      []pendingRecord
	pendingFrom  uint64
	needSnapshot bool
	// lastSnapshot is the offset of the newest snapshot record read, or the
	// first offset after a restored snapshot.
	lastSnapshot uint64
	hasSnapshot  bool
	revision     uint64
}

type pendingRecord struct {
	offset uint64
	rec    change.Record
}

// Next returns the offset of the first record that the ledger has not read.
func (l *Ledger) Next() uint64 {
	if l.needSnapshot {
		return l.pendingFrom + uint64(len(l.pending))
	}
	return l.next
}

// Ready reports whether the state is complete up to Next.
func (l *Ledger) Ready() bool { return !l.needSnapshot }

// SinceSnapshot returns the number of records since the newest snapshot, or
// since offset 0 if there was none.
func (l *Ledger) SinceSnapshot() uint64 {
	if !l.hasSnapshot {
		return l.Next()
	}
	return l.Next() - l.lastSnapshot
}

// Revision returns a number that grows with each change that takes effect and
// each snapshot that is loaded. A view built from the ledger is up to date as
// long as the revision is the same.
func (l *Ledger) Revision() uint64 { return l.revision }

// Skip moves the ledger to the oldest record that the stream still has; an
// offset up to Next has no effect. The state is not usable until a snapshot is
// read. Skip returns ErrGap if the ledger already has a state, which would
// otherwise be lost.
func (l *Ledger) Skip(oldest uint64) error {
	if oldest <= l.Next() {
		return nil
	}
	if l.next > 0 {
		return fmt.Errorf("skipping from offset %d to %d: %w", l.next, oldest, ErrGap)
	}
	l.needSnapshot = true
	l.pending = nil
	l.pendingFrom = oldest
	return nil
}

// Reset drops the state. It is for a reader that fell behind the log's retention.
func (l *Ledger) Reset() { *l = Ledger{} }

// Apply applies the record at an offset and returns the outcome if the record
// is a change. The outcome is zero for other records and for those buffered
// until a snapshot is read. Records before Next are ignored, so that a repeated
// or stale read has no effect. Apply returns ErrGap for a record after Next, and
// another error if there are too many records before the first snapshot.
func (l *Ledger) Apply(offset uint64, rec change.Record) (change.Outcome, error) {
	if offset < l.Next() {
		return change.Outcome{}, nil
	}
	if offset > l.Next() {
		return change.Outcome{}, fmt.Errorf("applying the record at offset %d, want offset %d: %w", offset, l.Next(), ErrGap)
	}
	if snap, ok := rec.(change.Snapshot); ok {
		l.lastSnapshot, l.hasSnapshot = offset, true
		if l.needSnapshot {
			return change.Outcome{}, l.applyFirstSnapshot(offset, snap)
		}
	}
	if l.needSnapshot {
		if len(l.pending) >= maxPending {
			return change.Outcome{}, errors.New("too many records before the first snapshot")
		}
		l.pending = append(l.pending, pendingRecord{offset, rec})
		return change.Outcome{}, nil
	}
	l.next = offset + 1
	c, ok := rec.(change.Change)
	if !ok {
		return change.Outcome{}, nil
	}
	return l.applyChange(offset, c), nil
}

// applyFirstSnapshot loads the snapshot and applies the pending records after
// it. If records between the snapshot and the first pending one are missing, the
// state stays unusable until a later snapshot; a heartbeat is buffered as the
// placeholder of this one.
func (l *Ledger) applyFirstSnapshot(offset uint64, snap change.Snapshot) error {
	pending := append(l.pending, pendingRecord{offset, change.Heartbeat{}})
	if snap.Next < l.pendingFrom {
		l.pending = pending
		return nil
	}
	l.load(snap)
	for _, p := range pending {
		if p.offset < snap.Next {
			continue
		}
		if _, err := l.Apply(p.offset, p.rec); err != nil {
			return fmt.Errorf("applying records after the snapshot: %w", err)
		}
	}
	return nil
}

// Restore loads a snapshot from a peer and reports whether it did. A snapshot
// that is not newer than the state is ignored, so that the state never goes back
// to an earlier offset.
func (l *Ledger) Restore(snap change.Snapshot) bool {
	if snap.Next <= l.next {
		return false
	}
	l.load(snap)
	l.lastSnapshot, l.hasSnapshot = snap.Next, true
	return true
}

func (l *Ledger) load(snap change.Snapshot) {
	l.needSnapshot = false
	l.pending = nil
	l.next = snap.Next
	l.revision++
	l.objects = make(map[string]change.Object, len(snap.Objects))
	l.refs = references{}
	for _, o := range snap.Objects {
		l.objects[o.Key] = o
		l.refs.add(o.Key, o.Value, 1)
	}
	l.outcomes = slices.Clone(snap.Outcomes)
	l.outcomeIndex = make(map[string]int, len(l.outcomes))
	for i, o := range l.outcomes {
		l.outcomeIndex[o.ID] = i
	}
}

// Snapshot returns the state in the form that Restore and Apply load.
func (l *Ledger) Snapshot() change.Snapshot {
	return change.Snapshot{Next: l.next, Objects: l.Objects(), Outcomes: slices.Clone(l.outcomes)}
}

// Objects returns the objects sorted by key, removed ones included.
func (l *Ledger) Objects() []change.Object {
	all := make([]change.Object, 0, len(l.objects))
	for _, o := range l.objects {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// Outcomes returns the latest outcomes, oldest first.
func (l *Ledger) Outcomes() []change.Outcome { return slices.Clone(l.outcomes) }

// Outcome returns the outcome of the change with the given id, and false if the
// change was not read or its outcome was dropped.
func (l *Ledger) Outcome(id string) (change.Outcome, bool) {
	i, ok := l.outcomeIndex[id]
	if !ok {
		return change.Outcome{}, false
	}
	return l.outcomes[i], true
}

// Intent returns the configuration in force.
func (l *Ledger) Intent() intent.Intent { return intentOf(l.Objects()) }

func intentOf(objects []change.Object) intent.Intent {
	var in intent.Intent
	for _, o := range objects {
		switch {
		case o.Account != nil:
			in.Accounts = append(in.Accounts, *o.Account)
		case o.Work != nil:
			in.Works = append(in.Works, *o.Work)
		case o.Upstream != nil:
			in.Upstreams = append(in.Upstreams, *o.Upstream)
		case o.Store != nil:
			in.Stores = append(in.Stores, *o.Store)
		case o.Drain:
			in.Drained = append(in.Drained, strings.TrimPrefix(o.Key, "drain/"))
		}
	}
	return in
}

func (l *Ledger) applyChange(offset uint64, c change.Change) change.Outcome {
	// A change that was appended twice keeps the outcome of its first record.
	if old, ok := l.Outcome(c.ID); ok {
		return old
	}
	out := change.Outcome{
		ID: c.ID, Offset: offset, Verdict: change.Accepted,
		Operator: c.Operator, Reason: c.Reason, Made: c.Made,
	}
	for _, s := range c.Steps {
		out.Keys = append(out.Keys, s.Key)
	}
	if detail := l.conflict(c); detail != "" {
		out.Verdict, out.Detail = change.LostRace, detail
	} else if err := l.validate(c); err != nil {
		out.Verdict, out.Detail = change.Invalid, err.Error()
	}
	if out.Verdict == change.Accepted {
		l.commit(offset, c)
	}
	l.recordOutcome(out)
	return out
}

// conflict describes the first step whose object was changed since the plan was
// made; it is empty if there is none.
func (l *Ledger) conflict(c change.Change) string {
	for _, s := range c.Steps {
		if have := l.objects[s.Key].Version; have != s.Base {
			return fmt.Sprintf("%s is at version %d; the plan was made on version %d", s.Key, have, s.Base)
		}
	}
	return ""
}

// indexAndCheck checks the intent that would result from the change. The plan was
// checked when it was made, but other changes may have been accepted since. Only
// the objects that the change touches are checked, so that the cost does not grow
// with the intent. If indexed is true, l.refs counts the change as made, also if
// an error is returned.
func (l *Ledger) indexAndCheck(c change.Change) (indexed bool, err error) {
	for _, s := range c.Steps {
		if err := checkKey(s); err != nil {
			return false, err
		}
		if err := checkValue(s.Value); err != nil {
			return false, err
		}
	}
	if err := checkDistinctKeys(c.Steps); err != nil {
		return false, err
	}
	l.updateReferences(c, true)
	for _, s := range c.Steps {
		if err := l.refs.check(l.objects[s.Key].Value); err != nil {
			return true, err
		}
		if err := l.refs.check(s.Value); err != nil {
			return true, err
		}
	}
	return true, nil
}

// validate checks a change. If the change is invalid, l.refs is left as it was.
func (l *Ledger) validate(c change.Change) error {
	indexed, err := l.indexAndCheck(c)
	if err != nil && indexed {
		l.updateReferences(c, false)
	}
	return err
}

// updateReferences replaces the references of the old values of a change's objects
// by those of the new values, or undoes this if forward is false.
func (l *Ledger) updateReferences(c change.Change, forward bool) {
	for _, s := range c.Steps {
		old, value := l.objects[s.Key].Value, s.Value
		if !forward {
			old, value = value, old
		}
		l.refs.add(s.Key, old, -1)
		l.refs.add(s.Key, value, 1)
	}
}

func checkDistinctKeys(steps []change.Step) error {
	seen := make(map[string]bool, len(steps))
	for _, s := range steps {
		if seen[s.Key] {
			return fmt.Errorf("step %s is given twice", s.Key)
		}
		seen[s.Key] = true
	}
	return nil
}

func checkValue(v change.Value) error {
	switch {
	case v.Account != nil:
		return v.Account.Check()
	case v.Work != nil:
		return v.Work.Check()
	case v.Upstream != nil:
		return v.Upstream.Check()
	case v.Store != nil:
		return v.Store.Check()
	default:
		return nil
	}
}

// checkKey returns an error if a step's key does not name the object in its value.
func checkKey(s change.Step) error {
	want := s.Key
	switch {
	case s.Account != nil:
		want = "account/" + s.Account.Name
	case s.Work != nil:
		want = "work/" + s.Work.Name
	case s.Upstream != nil:
		want = "upstream/" + s.Upstream.Name
	case s.Store != nil:
		want = "store/" + s.Store.Name
	case s.Drain && !strings.HasPrefix(s.Key, "drain/"):
		want = "drain/..."
	}
	if s.Key != want {
		return fmt.Errorf("step %s: key does not match its value %s", s.Key, want)
	}
	return nil
}

func (l *Ledger) commit(offset uint64, c change.Change) {
	if l.objects == nil {
		l.objects = map[string]change.Object{}
	}
	for _, s := range c.Steps {
		// A removed object stays with the version of its removal, so that a plan
		// made before the removal is rejected.
		l.objects[s.Key] = change.Object{Key: s.Key, Version: offset + 1, Value: s.Value}
	}
	l.revision++
}

func (l *Ledger) recordOutcome(out change.Outcome) {
	if l.outcomeIndex == nil {
		l.outcomeIndex = map[string]int{}
	}
	l.outcomes = append(l.outcomes, out)
	l.outcomeIndex[out.ID] = len(l.outcomes) - 1
	if len(l.outcomes) <= maxOutcomes {
		return
	}
	l.outcomes = slices.Clone(l.outcomes[len(l.outcomes)-maxOutcomes/2:])
	clear(l.outcomeIndex)
	for i, o := range l.outcomes {
		l.outcomeIndex[o.ID] = i
	}
}
