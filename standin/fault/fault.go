// Package fault injects faults into the stand-ins over HTTP: PUT /stand-in/faults
// replaces the active faults, GET returns them.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Path is the HTTP path at which each stand-in serves its Injector.
const Path = "/stand-in/faults"

// Injector holds the active faults of one stand-in. The zero value has none. It is safe
// for concurrent use.
type Injector[T any] struct {
	mu     sync.Mutex
	active T
}

// Get returns a copy of the active faults.
func (in *Injector[T]) Get() T {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.active
}

// Update calls update with the active faults while it holds the lock.
func (in *Injector[T]) Update(update func(*T)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	update(&in.active)
}

// ServeHTTP replaces the faults on PUT and returns the active ones on every
// method. A PUT with an unknown key is rejected and changes nothing.
func (in *Injector[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var next T
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&next); err != nil {
			http.Error(w, "reading the faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		in.Update(func(active *T) { *active = next })
	}
	WriteJSON(w, in.Get())
}

// WriteJSON writes body as a JSON response. Errors are ignored.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// Abort breaks off the response and closes the connection, by a panic with
// http.ErrAbortHandler.
func Abort() { panic(http.ErrAbortHandler) }
