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

// maxOutcomes bounds the verdicts that are kept for the audit trail and for
// recognising a change that was appended twice.
const maxOutcomes = 1024

// maxPending bounds the records that a reader holds before its first snapshot.
const maxPending = 1 << 16

// ErrGap reports that records between the ledger and the reader have expired.
var ErrGap = errors.New("records are missing between the ledger and the stream")

// Ledger is the configuration in force at one offset. The zero value is an
// empty ledger at offset 0. It is not safe for concurrent use.
type Ledger struct {
	next         uint64
	objects      map[string]change.Object
	outcomes     []change.Outcome
	outcomeIndex map[string]int
	refs         references
	// pending holds changes read after a start in the middle of the stream,
	// until a snapshot says what came before them.
	pending      []pendingRecord
	pendingFrom  uint64
	needSnapshot bool
	// lastSnapshot is the offset of the newest snapshot record seen.
	lastSnapshot uint64
	hasSnapshot  bool
	revision     uint64
}

type pendingRecord struct {
	offset uint64
	rec    change.Record
}

// Next is the offset of the first record that the ledger has not seen.
func (l *Ledger) Next() uint64 {
	if l.needSnapshot {
		return l.pendingFrom + uint64(len(l.pending))
	}
	return l.next
}

// Ready reports whether the state is complete up to Next.
func (l *Ledger) Ready() bool { return !l.needSnapshot }

// SinceSnapshot is the number of records read since the last snapshot record.
func (l *Ledger) SinceSnapshot() uint64 {
	if !l.hasSnapshot {
		return l.Next()
	}
	return l.Next() - l.lastSnapshot
}

// Revision is the number of changes that took effect; a reader can tell by it
// whether a view built earlier is still right.
func (l *Ledger) Revision() uint64 { return l.revision }

// Skip starts the ledger at the oldest record that the stream still has. The
// state is not usable until a snapshot is read. It returns ErrGap if the
// ledger already has a state, which would otherwise be lost.
func (l *Ledger) Skip(oldest uint64) error {
	if oldest <= l.Next() {
		return nil
	}
	if l.next > 0 {
		return fmt.Errorf("skipping from %d to %d: %w", l.next, oldest, ErrGap)
	}
	l.needSnapshot = true
	l.pending = nil
	l.pendingFrom = oldest
	return nil
}

// Reset forgets the state, for a reader that fell behind the log's retention.
func (l *Ledger) Reset() { *l = Ledger{} }

// Apply takes the record at an offset. Records before Next are ignored, so a
// replayed or stale read changes nothing. A record after Next is refused.
func (l *Ledger) Apply(offset uint64, rec change.Record) (change.Outcome, error) {
	if offset < l.Next() {
		return change.Outcome{}, nil
	}
	if offset > l.Next() {
		return change.Outcome{}, fmt.Errorf("applying offset %d at %d: %w", offset, l.Next(), ErrGap)
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

// applyFirstSnapshot makes the state usable if the records that the snapshot
// leaves out are all pending; otherwise the reader waits for the next one.
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

// Restore takes a snapshot from a peer. A snapshot that is older than the
// ledger is ignored, so the ledger never steps back.
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

// Snapshot returns the state in a form that another reader can restore.
func (l *Ledger) Snapshot() change.Snapshot {
	return change.Snapshot{Next: l.next, Objects: l.Objects(), Outcomes: slices.Clone(l.outcomes)}
}

// Objects returns the objects in force, sorted by key.
func (l *Ledger) Objects() []change.Object {
	all := make([]change.Object, 0, len(l.objects))
	for _, o := range l.objects {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// Outcomes returns the latest verdicts, oldest first.
func (l *Ledger) Outcomes() []change.Outcome { return slices.Clone(l.outcomes) }

// Outcome returns the verdict on a change by its id.
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
	// A change that is in the log twice keeps the verdict of its first record.
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

func (l *Ledger) conflict(c change.Change) string {
	for _, s := range c.Steps {
		if have := l.objects[s.Key].Version; have != s.Base {
			return fmt.Sprintf("%s is at version %d; the plan was made on version %d", s.Key, have, s.Base)
		}
	}
	return ""
}

// indexAndCheck checks the intent that the change would lead to. Checking again at
// this point matters because other changes came in after the plan was made.
// Only what the change touches is looked at, so the cost does not grow with the
// intent. The index of references is left as if the change had been made.
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

// validate checks a change and leaves the index as it was if it is invalid.
func (l *Ledger) validate(c change.Change) error {
	indexed, err := l.indexAndCheck(c)
	if err != nil && indexed {
		l.updateReferences(c, false)
	}
	return err
}

// updateReferences moves the references of a change's objects from the old values to the
// new ones, or back.
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

// checkKey makes sure that a step's key names the object in its value.
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
		// A removed object keeps its version, so that a plan made before the
		// removal still loses.
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
