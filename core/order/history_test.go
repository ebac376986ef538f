package order

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is a log with faults, several registers that work on one stream at the
// same time, and holders that may pause.
type simulation struct {
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
		s := &simulation{
			t: t, now: time.Unix(1_000_000, 0), requests: map[string]*request{},
			runs: map[Key]int{}, ran: map[Key]string{},
		}
		for range 2 {
			s.registers = append(s.registers, &Registry{Retention: time.Hour})
			s.appends = append(s.appends, nil)
			s.read = append(s.read, 0)
		}
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for range steps {
			s.step()
			s.check()
		}
	})
}

func (s *simulation) step() {
	r := rapid.IntRange(0, len(s.registers)-1).Draw(s.t, "register")
	switch rapid.SampledFrom([]string{"ask", "ask-again", "append", "read", "tick", "dispatch", "late", "replace"}).Draw(s.t, "step") {
	case "ask":
		s.next++
		key := NewKey("account", fmt.Sprint(rapid.IntRange(0, 2).Draw(s.t, "key")))
		q := &request{key: key, claim: fmt.Sprintf("claim-%d", s.next)}
		s.requests[q.claim] = q
		s.order = append(s.order, q)
		s.ask(r, q)
	case "ask-again":
		// The owner changed or its answer was lost: the same claim is asked for
		// at another register.
		if q := s.pick(); q != nil && !q.sent {
			s.ask(r, q)
		}
	case "append":
		s.finishAppend(r)
	case "read":
		s.readSome(r)
	case "tick":
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(s.t, "ms")) * time.Millisecond)
		s.apply(r, Ticked{})
	case "dispatch":
		s.dispatch(r)
	case "late":
		if len(s.late) > 0 {
			s.log = append(s.log, s.late[0]...)
			s.late = s.late[1:]
		}
	case "replace":
		// The instance dies; its successor knows only the log.
		s.registers[r] = &Registry{Retention: time.Hour}
		s.appends[r] = nil
		s.read[r] = 0
	}
}

func (s *simulation) ask(r int, q *request) {
	wait := time.Duration(rapid.IntRange(100, 5000).Draw(s.t, "wait")) * time.Millisecond
	s.apply(r, Requested{Key: q.key, Claim: q.claim, Deadline: s.now.Add(wait)})
}

func (s *simulation) pick() *request {
	if len(s.order) == 0 {
		return nil
	}
	return s.order[rapid.IntRange(0, len(s.order)-1).Draw(s.t, "request")]
}

func (s *simulation) apply(r int, ev Event) {
	for _, act := range s.registers[r].Step(s.now, ev) {
		switch a := act.(type) {
		case Append:
			s.appends[r] = &a
		case Reply:
			s.reply(a)
		}
	}
}

func (s *simulation) reply(a Reply) {
	q := s.requests[a.Claim]
	if q == nil || a.Verdict == Recorded {
		return
	}
	if q.told == "" {
		q.told = a.Verdict
	}
	if a.Verdict == Done && string(a.Response.Body) != s.ran[q.key] {
		s.t.Fatalf("%s was told the answer %q; the run gave %q", q.claim, a.Response.Body, s.ran[q.key])
	}
	// A holder takes the first verdict only; what comes later is too late.
	if a.Verdict == Granted && q.told == Granted {
		q.verdict = Granted
	}
}

// finishAppend ends an append with one of the log's faults.
func (s *simulation) finishAppend(r int) {
	a := s.appends[r]
	if a == nil {
		return
	}
	s.appends[r] = nil
	switch rapid.SampledFrom([]string{"ok", "ok", "lost-written", "lost", "lost-late", "failed"}).Draw(s.t, "append") {
	case "ok":
		s.log = append(s.log, a.Records...)
		s.apply(r, AppendDone{})
	case "lost-written":
		s.log = append(s.log, a.Records...)
		s.apply(r, AppendDone{Lost: true})
	case "lost":
		s.apply(r, AppendDone{Lost: true})
	case "lost-late":
		s.late = append(s.late, a.Records)
		s.apply(r, AppendDone{Lost: true})
	case "failed":
		s.apply(r, AppendDone{Failed: true})
	}
}

func (s *simulation) readSome(r int) {
	n := min(len(s.log)-s.read[r], rapid.IntRange(1, 20).Draw(s.t, "records"))
	if n <= 0 {
		return
	}
	from := s.read[r]
	s.read[r] += n
	s.apply(r, Read{Offset: uint64(from), Time: s.now, Records: s.log[from : from+n]})
}

// dispatch lets a holder go on that was granted a claim, perhaps long ago.
func (s *simulation) dispatch(r int) {
	q := s.pick()
	if q == nil || q.verdict != Granted || q.sent {
		return
	}
	q.sent = true
	if rapid.Bool().Draw(s.t, "refused") {
		// The service provably did not run it, so the claim is released.
		s.apply(r, Finished{Key: q.key, Claim: q.claim, NotRun: true})
		return
	}
	s.runs[q.key]++
	s.ran[q.key] = q.claim
	if rapid.Bool().Draw(s.t, "reported") {
		s.apply(r, Finished{Key: q.key, Claim: q.claim, Response: Response{Status: 200, Body: []byte(q.claim)}})
	}
}

func (s *simulation) check() {
	for key, n := range s.runs {
		if n > 1 {
			s.t.Fatalf("the order %x ran %d times", key, n)
		}
	}
}
