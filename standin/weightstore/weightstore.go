// Package weightstore stands in for the rate-limited store of model weights.
package weightstore

import (
	"net/http"
	"sync/atomic"
	"time"

	"crocusfold.dev/standin/fault"
)

// Faults are the failure modes of the weight store.
type Faults struct {
	Down bool `json:"down,omitempty"`
}

// Loading times: up to two loads at once take loadTime each, more take longer.
const (
	loadTime       = 250 * time.Millisecond
	fullSpeedLoads = 2
)

// Store serves weights. The zero value is ready.
type Store struct {
	faults fault.Injector[Faults]
	loads  atomic.Int64
	peak   atomic.Int64
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.load)
	mux.HandleFunc("GET /stand-in/peak", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, map[string]int64{"peak": s.peak.Load()})
	})
	mux.Handle(fault.Path, &s.faults)
	return mux
}

func (s *Store) load(w http.ResponseWriter, _ *http.Request) {
	if s.faults.Get().Down {
		http.Error(w, "the weight store is down", http.StatusServiceUnavailable)
		return
	}
	n := s.loads.Add(1)
	defer s.loads.Add(-1)
	for p := s.peak.Load(); n > p && !s.peak.CompareAndSwap(p, n); p = s.peak.Load() {
		continue
	}
	time.Sleep(loadTime * time.Duration(max(1, n-fullSpeedLoads+1)))
	fault.WriteJSON(w, map[string]string{"weights": "loaded"})
}
