// Package service is a stand-in for a plain service, an upstream that is not a model
// engine, such as one that accepts print orders. It records each call that it runs.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusfold.dev/standin/fault"
)

// Faults are the failure modes of the service.
type Faults struct {
	// SlowMillis delays each response after the call was run, in milliseconds.
	SlowMillis int `json:"slow-millis,omitempty"`
	// LoseResponses is the number of upcoming calls that run, but whose connections are
	// closed without a response.
	LoseResponses int `json:"lose-answers,omitempty"`
	// Refuse responds with status 503 and X-Run: not-run, and does not run the call.
	Refuse bool `json:"refuse,omitempty"`
	// WrongRequestID returns the ID of another request in X-Request-Id.
	WrongRequestID bool `json:"crossed,omitempty"`
}

// Call is a call that was run.
type Call struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Account string `json:"account"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// maxBody is the maximum size of a request body, in bytes. Longer ones are truncated.
const maxBody = 1 << 20

// Service runs calls and records them. The zero value is ready to use. It is safe
// for concurrent use.
type Service struct {
	// Name is the upstream's name in responses and incarnations.
	Name    string
	faults  fault.Injector[Faults]
	running atomic.Int64
	mu      sync.Mutex
	calls   []Call
	started time.Time
}

// Handler starts an incarnation of the service and returns its HTTP handler.
func (s *Service) Handler() http.Handler {
	s.started = time.Now()
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.faults)
	mux.HandleFunc("GET /stand-in/calls", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, s.Calls())
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, map[string]any{
			"incarnation": fmt.Sprintf("%s-%d", s.Name, s.started.UnixNano()),
			"running":     s.running.Load(),
		})
	})
	mux.HandleFunc("/", s.run)
	return mux
}

// Calls returns the calls that were run, oldest first.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Get()
	if f.Refuse {
		w.Header().Set("X-Run", "not-run")
		http.Error(w, "the service is closed", http.StatusServiceUnavailable)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	n := s.record(Call{r.Method, r.URL.Path, r.Header.Get("X-Client-Account"), r.Header.Get("Idempotency-Key"), string(body)})
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if s.loseResponse() {
		fault.Abort()
	}
	id := r.Header.Get("X-Request-Id")
	if f.WrongRequestID {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"service": s.Name, "number": n, "path": r.URL.Path})
}

// record stores a call and returns the number of calls so far.
func (s *Service) record(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	return len(s.calls)
}

// loseResponse reports whether the response is to be dropped, and counts down
// Faults.LoseResponses.
func (s *Service) loseResponse() bool {
	lost := false
	s.faults.Update(func(f *Faults) {
		if f.LoseResponses > 0 {
			f.LoseResponses--
			lost = true
		}
	})
	return lost
}
