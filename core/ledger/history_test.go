package ledger

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/store"
)

// TestHistories runs random histories of the configuration stream: changes are
// planned on outdated versions, records are appended twice and expire, and
// readers start at offset 0, at the oldest record or from a peer's snapshot. It
// checks that readers at the same offset have the same objects, that the verdict
// on a change never differs, and that no restored reader goes back to an earlier
// offset.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, verdicts: map[string]change.Verdict{}, states: map[uint64][]change.Object{}}
		s.readers = []*Ledger{{}}
		for range rapid.IntRange(10, 100).Draw(t, "steps") {
			s.step()
		}
	})
}

// simulation is a configuration stream with its readers.
type simulation struct {
	t   *rapid.T
	log []change.Record
	// oldest is the offset of the first record that has not expired.
	oldest  int
	readers []*Ledger
	// ids counts the changes planned so far.
	ids int
	// verdicts has the verdict on each change by its id; states has the objects
	// of a reader by its offset.
	verdicts map[string]change.Verdict
	states   map[uint64][]change.Object
}

func (s *simulation) step() {
	r := s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(s.t, "reader")]
	switch rapid.SampledFrom([]string{"change", "change", "repeat", "read", "read", "snapshot", "expire", "start", "copy", "replay"}).Draw(s.t, "step") {
	case "change":
		s.ids++
		name := fmt.Sprintf("store-%d", rapid.IntRange(0, 2).Draw(s.t, "name"))
		s.log = append(s.log, s.planOn(r, fmt.Sprintf("change-%d", s.ids), name))
	case "repeat":
		if n := len(s.log); n > s.oldest {
			s.log = append(s.log, s.log[rapid.IntRange(s.oldest, n-1).Draw(s.t, "record")])
		}
	case "read":
		s.read(r, rapid.IntRange(1, 10).Draw(s.t, "records"))
	case "snapshot":
		if r.Ready() && r.Next() > 0 {
			s.log = append(s.log, r.Snapshot())
		}
	case "expire":
		s.expire()
	case "start":
		if len(s.readers) < 4 {
			s.readers = append(s.readers, &Ledger{})
		}
	case "copy":
		from := s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(s.t, "from")]
		before := r.Next()
		if from.Ready() && r.Ready() && r.Restore(from.Snapshot()) && r.Next() < before {
			s.t.Fatalf("a reader went from offset %d back to %d", before, r.Next())
		}
		s.check(r)
	case "replay":
		// A record is read again, as from a log replica that lags behind.
		if n := r.Next(); n > 0 && r.Ready() {
			at := uint64(rapid.IntRange(0, int(n)-1).Draw(s.t, "old"))
			if _, err := r.Apply(at, s.log[at]); err != nil {
				s.t.Fatal(err)
			}
			s.check(r)
		}
	}
}

// planOn returns a change that sets or removes a store, planned on the state of a
// reader, which may be outdated.
func (s *simulation) planOn(r *Ledger, id, name string) change.Change {
	var base change.Object
	for _, o := range r.Objects() {
		if o.Key == "store/"+name {
			base = o
		}
	}
	step := change.Step{Key: "store/" + name, Base: base.Version}
	if base.Removed() || rapid.Bool().Draw(s.t, "put") {
		st := store.Store{Name: name, DataCentre: "dc", Rate: int64(s.ids)}
		if err := st.Address.UnmarshalText([]byte("127.0.0.1:1")); err != nil {
			s.t.Fatal(err)
		}
		step.Store = &st
	}
	return change.Change{ID: id, Operator: "operator", Made: time.Unix(1, 0), Steps: []change.Step{step}}
}

// expire drops the records that the newest snapshot covers, as the log's retention
// does. The snapshot itself never expires, since instances write the next one
// before that.
func (s *simulation) expire() {
	for i := len(s.log) - 1; i > s.oldest; i-- {
		snap, ok := s.log[i].(change.Snapshot)
		if ok && int(snap.Next) > s.oldest {
			s.oldest = int(snap.Next)
			if s.oldest > i {
				s.oldest = i
			}
			return
		}
	}
}

// read applies up to n records to a reader, which skips what has expired.
func (s *simulation) read(r *Ledger, n int) {
	if r.Next() < uint64(s.oldest) {
		if r.Skip(uint64(s.oldest)) != nil {
			r.Reset()
			if err := r.Skip(uint64(s.oldest)); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	for ; n > 0 && r.Next() < uint64(len(s.log)); n-- {
		if _, err := r.Apply(r.Next(), s.log[r.Next()]); err != nil {
			s.t.Fatal(err)
		}
		s.check(r)
	}
}

// check compares a reader with those that were at the same offset before, and its
// verdicts with earlier ones.
func (s *simulation) check(r *Ledger) {
	if !r.Ready() {
		return
	}
	objects := r.Objects()
	if old, ok := s.states[r.Next()]; ok && !reflect.DeepEqual(old, objects) {
		s.t.Fatalf("the objects of two readers at offset %d differ:\n%v\n%v", r.Next(), old, objects)
	}
	s.states[r.Next()] = objects
	for _, o := range r.Outcomes() {
		if old, ok := s.verdicts[o.ID]; ok && old != o.Verdict {
			s.t.Fatalf("the verdict on %s was %s and is now %s", o.ID, old, o.Verdict)
		}
		s.verdicts[o.ID] = o.Verdict
	}
}
