package order

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is a log with faults, several registries that work on one stream at
// the same time, and holders that may pause.
type simulation struct {
	t   *rapid.T
	now time.Time
	log []Record
	// late holds the batches of lost appends that may still be written.
	late       [][]Record
	registries []*Registry
	// read has the number of records that each registry has read.
	read []int
	// appends has the running append of each registry.
	appends  []*Append
	requests map[string]*request
	order    []*request
	// runs counts, for each key, the requests that the service ran; ran has the
	// claim of the last one.
	runs map[Key]int
	ran  map[Key]string
	next int
}

type request struct {
	key   Key
	claim string
	// verdict is Granted if the request may run the order.
	verdict Verdict
	// sent is true once the order was sent to the service.
	sent bool
	// received is the first verdict.
	received Verdict
}

// TestHistories runs random histories: two registries on one stream that restart,
// appends that fail, are lost with or without effect or take effect late, holders
// that pause between grant and dispatch, lost reports and repeated requests. It
// checks that an order runs at most once, and that a replayed response is that of
// the run.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, now: time.Unix(1_000_000, 0), requests: map[string]*request{},
			runs: map[Key]int{}, ran: map[Key]string{},
		}
		for range 2 {
			s.registries = append(s.registries, &Registry{Retention: time.Hour})
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
	r := rapid.IntRange(0, len(s.registries)-1).Draw(s.t, "registry")
	switch rapid.SampledFrom([]string{"request", "request-again", "append", "read", "tick", "dispatch", "write-late", "replace"}).Draw(s.t, "step") {
	case "request":
		s.next++
		key := NewKey("account", fmt.Sprint(rapid.IntRange(0, 2).Draw(s.t, "key")))
		q := &request{key: key, claim: fmt.Sprintf("claim-%d", s.next)}
		s.requests[q.claim] = q
		s.order = append(s.order, q)
		s.requestClaim(r, q)
	case "request-again":
		// The stream's owner changed or its reply was lost, so the same claim is
		// requested again, perhaps from the other registry.
		if q := s.pick(); q != nil && !q.sent {
			s.requestClaim(r, q)
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
	case "write-late":
		if len(s.late) > 0 {
			s.log = append(s.log, s.late[0]...)
			s.late = s.late[1:]
		}
	case "replace":
		// The instance crashes; its successor starts from the log alone.
		s.registries[r] = &Registry{Retention: time.Hour}
		s.appends[r] = nil
		s.read[r] = 0
	}
}

func (s *simulation) requestClaim(r int, q *request) {
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
	for _, act := range s.registries[r].Step(s.now, ev) {
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
	if q.received == "" {
		q.received = a.Verdict
	}
	if a.Verdict == Done && string(a.Response.Body) != s.ran[q.key] {
		s.t.Fatalf("%s got the response %q, want that of the run, %q", q.claim, a.Response.Body, s.ran[q.key])
	}
	// A requester acts on the first verdict only.
	if a.Verdict == Granted && q.received == Granted {
		q.verdict = Granted
	}
}

// finishAppend ends an append, perhaps with one of the log's faults.
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

// dispatch lets a request with a granted claim, perhaps granted long ago, run its
// order and report it to a registry.
func (s *simulation) dispatch(r int) {
	q := s.pick()
	if q == nil || q.verdict != Granted || q.sent {
		return
	}
	q.sent = true
	if rapid.Bool().Draw(s.t, "refused") {
		// The service refused the order without running it, so the claim is released.
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
			s.t.Fatalf("the order %x ran %d times, want at most once", key, n)
		}
	}
}
