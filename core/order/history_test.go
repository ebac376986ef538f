package order

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is a log with faults, several registers that work on one stream at the
// same time, and holders that may pause.
type world struct {
	t         *rapid.T
	now       time.Time
	log       []Record
	late      [][]Record
	registers []*Registry
	read      []int
	appends   []*Append
	requests  map[string]*request
	order     []*request
	// runs counts, for each key, the requests that the service ran.
	runs map[Key]int
	ran  map[Key]string
	next int
}

type request struct {
	key     Key
	claim   string
	verdict Verdict
	// sent is true once the order was written to the service.
	sent bool
	told Verdict
}

// TestHistories runs random histories: two registers at once, appends whose
// answers are lost with or without effect, or that take effect late, holders
// that pause between grant and dispatch, reports that are lost, and requests
// that are repeated. Whatever happens, an order runs at most once, and an
// answer that is replayed is that of the run.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, now: time.Unix(1_000_000, 0), requests: map[string]*request{},
			runs: map[Key]int{}, ran: map[Key]string{},
		}
		for range 2 {
			w.registers = append(w.registers, &Registry{Retention: time.Hour})
			w.appends = append(w.appends, nil)
			w.read = append(w.read, 0)
		}
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for range steps {
			w.step()
			w.check()
		}
	})
}

func (w *world) step() {
	r := rapid.IntRange(0, len(w.registers)-1).Draw(w.t, "register")
	switch rapid.SampledFrom([]string{"ask", "ask-again", "append", "read", "tick", "dispatch", "late", "replace"}).Draw(w.t, "step") {
	case "ask":
		w.next++
		key := NewKey("account", fmt.Sprint(rapid.IntRange(0, 2).Draw(w.t, "key")))
		q := &request{key: key, claim: fmt.Sprintf("claim-%d", w.next)}
		w.requests[q.claim] = q
		w.order = append(w.order, q)
		w.ask(r, q)
	case "ask-again":
		// The owner changed or its answer was lost: the same claim is asked for
		// at another register.
		if q := w.pick(); q != nil && !q.sent {
			w.ask(r, q)
		}
	case "append":
		w.finishAppend(r)
	case "read":
		w.readSome(r)
	case "tick":
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "ms")) * time.Millisecond)
		w.apply(r, Ticked{})
	case "dispatch":
		w.dispatch(r)
	case "late":
		if len(w.late) > 0 {
			w.log = append(w.log, w.late[0]...)
			w.late = w.late[1:]
		}
	case "replace":
		// The instance dies; its successor knows only the log.
		w.registers[r] = &Registry{Retention: time.Hour}
		w.appends[r] = nil
		w.read[r] = 0
	}
}

func (w *world) ask(r int, q *request) {
	wait := time.Duration(rapid.IntRange(100, 5000).Draw(w.t, "wait")) * time.Millisecond
	w.apply(r, Requested{Key: q.key, Claim: q.claim, Deadline: w.now.Add(wait)})
}

func (w *world) pick() *request {
	if len(w.order) == 0 {
		return nil
	}
	return w.order[rapid.IntRange(0, len(w.order)-1).Draw(w.t, "request")]
}

func (w *world) apply(r int, ev Event) {
	for _, act := range w.registers[r].Step(w.now, ev) {
		switch a := act.(type) {
		case Append:
			w.appends[r] = &a
		case Reply:
			w.reply(a)
		}
	}
}

func (w *world) reply(a Reply) {
	q := w.requests[a.Claim]
	if q == nil || a.Verdict == Recorded {
		return
	}
	if q.told == "" {
		q.told = a.Verdict
	}
	if a.Verdict == Done && string(a.Response.Body) != w.ran[q.key] {
		w.t.Fatalf("%s was told the answer %q; the run gave %q", q.claim, a.Response.Body, w.ran[q.key])
	}
	// A holder takes the first verdict only; what comes later is too late.
	if a.Verdict == Granted && q.told == Granted {
		q.verdict = Granted
	}
}

// finishAppend ends an append with one of the log's faults.
func (w *world) finishAppend(r int) {
	a := w.appends[r]
	if a == nil {
		return
	}
	w.appends[r] = nil
	switch rapid.SampledFrom([]string{"ok", "ok", "lost-written", "lost", "lost-late", "failed"}).Draw(w.t, "append") {
	case "ok":
		w.log = append(w.log, a.Records...)
		w.apply(r, AppendDone{})
	case "lost-written":
		w.log = append(w.log, a.Records...)
		w.apply(r, AppendDone{Lost: true})
	case "lost":
		w.apply(r, AppendDone{Lost: true})
	case "lost-late":
		w.late = append(w.late, a.Records)
		w.apply(r, AppendDone{Lost: true})
	case "failed":
		w.apply(r, AppendDone{Failed: true})
	}
}

func (w *world) readSome(r int) {
	n := min(len(w.log)-w.read[r], rapid.IntRange(1, 20).Draw(w.t, "records"))
	if n <= 0 {
		return
	}
	from := w.read[r]
	w.read[r] += n
	w.apply(r, Read{Offset: uint64(from), Time: w.now, Records: w.log[from : from+n]})
}

// dispatch lets a holder go on that was granted a claim, perhaps long ago.
func (w *world) dispatch(r int) {
	q := w.pick()
	if q == nil || q.verdict != Granted || q.sent {
		return
	}
	q.sent = true
	if rapid.Bool().Draw(w.t, "refused") {
		// The service provably did not run it, so the claim is released.
		w.apply(r, Finished{Key: q.key, Claim: q.claim, NotRun: true})
		return
	}
	w.runs[q.key]++
	w.ran[q.key] = q.claim
	if rapid.Bool().Draw(w.t, "reported") {
		w.apply(r, Finished{Key: q.key, Claim: q.claim, Response: Response{Status: 200, Body: []byte(q.claim)}})
	}
}

func (w *world) check() {
	for key, n := range w.runs {
		if n > 1 {
			w.t.Fatalf("the order %x ran %d times", key, n)
		}
	}
}
