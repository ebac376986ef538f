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

// Injector holds the faults of one stand-in. The zero value has none. It is safe
// for concurrent use.
type Injector[T any] struct {
	mu     sync.Mutex
	active T
}

// Get returns the faults in force.
func (in *Injector[T]) Get() T {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.active
}

// Update changes the faults in force.
func (in *Injector[T]) Update(update func(*T)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	update(&in.active)
}

// ServeHTTP shows or replaces the faults. Unknown keys are refused.
func (in *Injector[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var next T
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&next); err != nil {
			http.Error(w, "reading the faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		in.Update(func(in *T) { *in = next })
	}
	WriteJSON(w, in.Get())
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// Abort ends the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }
