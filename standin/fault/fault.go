// Package fault switches the failure modes of the stand-ins on and off by
// request: PUT /stand-in/faults replaces the faults in force, GET shows them.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Path is where each stand-in takes its faults.
const Path = "/stand-in/faults"

// Switch holds the faults of one stand-in. The zero value has none. It is safe
// for concurrent use.
type Switch[T any] struct {
	mu sync.Mutex
	in T
}

// Get returns the faults in force.
func (s *Switch[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.in
}

// Update changes the faults in force.
func (s *Switch[T]) Update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.in)
}

// ServeHTTP shows or replaces the faults. Unknown keys are refused.
func (s *Switch[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var next T
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&next); err != nil {
			http.Error(w, "reading the faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.Update(func(in *T) { *in = next })
	}
	WriteJSON(w, s.Get())
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// Abort ends the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }
