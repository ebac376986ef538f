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

// TestHistories runs random histories of the configuration stream: operators
// race on the same base, appends are repeated, records expire, and readers
// start at the beginning, at the oldest record, or from a peer's copy. Readers
// at the same offset must agree, verdicts must not change, and no reader steps
// back.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, verdicts: map[string]change.Verdict{}, states: map[uint64][]change.Object{}}
		w.readers = []*Ledger{{}}
		for range rapid.IntRange(10, 100).Draw(t, "steps") {
			w.step()
		}
	})
}

type world struct {
	t        *rapid.T
	log      []change.Record
	oldest   int
	readers  []*Ledger
	ids      int
	verdicts map[string]change.Verdict
	states   map[uint64][]change.Object
}

func (w *world) step() {
	r := w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(w.t, "reader")]
	switch rapid.SampledFrom([]string{"change", "change", "repeat", "read", "read", "snapshot", "expire", "start", "copy", "replay"}).Draw(w.t, "step") {
	case "change":
		w.ids++
		name := fmt.Sprintf("store-%d", rapid.IntRange(0, 2).Draw(w.t, "name"))
		w.log = append(w.log, w.planOn(r, fmt.Sprintf("change-%d", w.ids), name))
	case "repeat":
		if n := len(w.log); n > w.oldest {
			w.log = append(w.log, w.log[rapid.IntRange(w.oldest, n-1).Draw(w.t, "record")])
		}
	case "read":
		w.read(r, rapid.IntRange(1, 10).Draw(w.t, "records"))
	case "snapshot":
		if r.Ready() && r.Next() > 0 {
			w.log = append(w.log, r.Snapshot())
		}
	case "expire":
		w.expire()
	case "start":
		if len(w.readers) < 4 {
			w.readers = append(w.readers, &Ledger{})
		}
	case "copy":
		from := w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(w.t, "from")]
		before := r.Next()
		if from.Ready() && r.Ready() && r.Restore(from.Snapshot()) && r.Next() < before {
			w.t.Fatalf("a reader stepped from %d back to %d", before, r.Next())
		}
		w.check(r)
	case "replay":
		// An old record comes in again, as from a stale copy of the log.
		if n := r.Next(); n > 0 && r.Ready() {
			at := uint64(rapid.IntRange(0, int(n)-1).Draw(w.t, "old"))
			if _, err := r.Apply(at, w.log[at]); err != nil {
				w.t.Fatal(err)
			}
			w.check(r)
		}
	}
}

// planOn makes a change on the state that a reader has, which may be old.
func (w *world) planOn(r *Ledger, id, name string) change.Change {
	var base change.Object
	for _, o := range r.Objects() {
		if o.Key == "store/"+name {
			base = o
		}
	}
	step := change.Step{Key: "store/" + name, Base: base.Version}
	if base.Removed() || rapid.Bool().Draw(w.t, "put") {
		st := store.Store{Name: name, DataCentre: "dc", Rate: int64(w.ids)}
		if err := st.Address.UnmarshalText([]byte("127.0.0.1:1")); err != nil {
			w.t.Fatal(err)
		}
		step.Store = &st
	}
	return change.Change{ID: id, Operator: "operator", Made: time.Unix(1, 0), Steps: []change.Step{step}}
}

// expire drops records as the log does, but never the last snapshot, which an
// instance writes in time.
func (w *world) expire() {
	for i := len(w.log) - 1; i > w.oldest; i-- {
		snap, ok := w.log[i].(change.Snapshot)
		if ok && int(snap.Next) > w.oldest {
			w.oldest = int(snap.Next)
			if w.oldest > i {
				w.oldest = i
			}
			return
		}
	}
}

func (w *world) read(r *Ledger, n int) {
	if r.Next() < uint64(w.oldest) {
		if r.Skip(uint64(w.oldest)) != nil {
			r.Reset()
			if err := r.Skip(uint64(w.oldest)); err != nil {
				w.t.Fatal(err)
			}
		}
	}
	for ; n > 0 && r.Next() < uint64(len(w.log)); n-- {
		if _, err := r.Apply(r.Next(), w.log[r.Next()]); err != nil {
			w.t.Fatal(err)
		}
		w.check(r)
	}
}

func (w *world) check(r *Ledger) {
	if !r.Ready() {
		return
	}
	objects := r.Objects()
	if old, ok := w.states[r.Next()]; ok && !reflect.DeepEqual(old, objects) {
		w.t.Fatalf("two readers at %d differ:\n%v\n%v", r.Next(), old, objects)
	}
	w.states[r.Next()] = objects
	for _, o := range r.Outcomes() {
		if old, ok := w.verdicts[o.ID]; ok && old != o.Verdict {
			w.t.Fatalf("%s was %s and is %s", o.ID, old, o.Verdict)
		}
		w.verdicts[o.ID] = o.Verdict
	}
}
