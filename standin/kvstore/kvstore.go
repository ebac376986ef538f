// Package kvstore is a stand-in for a store instance that holds exported context.
package kvstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusfold.dev/standin/fault"
)

// Faults are the failure modes of the store.
type Faults struct {
	Down bool `json:"down,omitempty"`
	// HalfWritten fails each write with status 500 and stores nothing.
	HalfWritten bool `json:"half-written,omitempty"`
	// Corrupt replaces the first byte of each block that is read.
	Corrupt bool `json:"corrupt,omitempty"`
	// MillisPerBlock is the transfer time of a block, in milliseconds. Each request
	// is delayed by it.
	MillisPerBlock int `json:"millis-per-block,omitempty"`
}

// Location identifies one complete block as stored by one write. A reader compares
// all its fields to detect that the block was replaced, lost or corrupted.
type Location struct {
	Key         string `json:"key"`
	Incarnation string `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Length      int    `json:"length"`
	Hash        string `json:"hash"`
}

type entry struct {
	loc  Location
	data []byte
}

const (
	// defaultCapacity is in blocks.
	defaultCapacity = 4096
	// maxBlock is the maximum size of a block, in bytes. Longer ones are truncated.
	maxBlock = 1 << 20
)

// Store keeps blocks in memory and evicts the oldest ones beyond its capacity. The
// zero value is ready to use. It is safe for concurrent use.
type Store struct {
	// Capacity is the maximum number of blocks; 0 means 4096.
	Capacity int

	faults fault.Injector[Faults]
	// transfers is the number of simulated block transfers in progress.
	transfers   atomic.Int64
	mu          sync.Mutex
	incarnation string
	generation  uint64
	blocks      map[string]entry
	// insertOrder holds the keys of blocks in the order of their first write.
	insertOrder []string
}

// Handler starts a new incarnation of the store and returns its HTTP handler.
func (s *Store) Handler() http.Handler {
	s.Restart()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /blocks/{key}", s.put)
	mux.HandleFunc("GET /blocks/{key}", s.get)
	mux.HandleFunc("POST /lookup", s.lookup)
	mux.HandleFunc("GET /stand-in/seen", s.counters)
	mux.Handle(fault.Path, &s.faults)
	mux.HandleFunc("POST /stand-in/restart", func(http.ResponseWriter, *http.Request) { s.Restart() })
	return mux
}

// Restart drops all blocks and starts a new incarnation.
func (s *Store) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = fmt.Sprintf("%d", time.Now().UnixNano())
	s.blocks = map[string]entry{}
	s.insertOrder = nil
}

// refuseIfDown waits for the transfer time of a block. If the store is down, it then
// writes a 503 response and returns true.
func (s *Store) refuseIfDown(w http.ResponseWriter) bool {
	s.transfers.Add(1)
	defer s.transfers.Add(-1)
	f := s.faults.Get()
	time.Sleep(time.Duration(f.MillisPerBlock) * time.Millisecond)
	if f.Down {
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
	}
	return f.Down
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	if s.refuseIfDown(w) {
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBlock))
	if err != nil || s.faults.Get().HalfWritten {
		http.Error(w, "the block was not written whole", http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.PathValue("key")
	s.generation++
	loc := Location{key, s.incarnation, s.generation, len(data), hex.EncodeToString(sum[:])}
	if _, ok := s.blocks[key]; !ok {
		s.insertOrder = append(s.insertOrder, key)
	}
	s.blocks[key] = entry{loc, data}
	s.evict()
	fault.WriteJSON(w, loc)
}

func (s *Store) evict() {
	limit := s.Capacity
	if limit == 0 {
		limit = defaultCapacity
	}
	for len(s.insertOrder) > limit {
		delete(s.blocks, s.insertOrder[0])
		s.insertOrder = s.insertOrder[1:]
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if s.refuseIfDown(w) {
		return
	}
	s.mu.Lock()
	e, ok := s.blocks[r.PathValue("key")]
	s.mu.Unlock()
	want := r.URL.Query()
	if !ok || want.Get("incarnation") != e.loc.Incarnation || want.Get("generation") != fmt.Sprint(e.loc.Generation) {
		http.Error(w, "the block is not here any more", http.StatusGone)
		return
	}
	data := e.data
	if s.faults.Get().Corrupt {
		data = append([]byte("x"), data[1:]...)
	}
	_, _ = w.Write(data)
}

// LookupResponse is the response to a look-up.
type LookupResponse struct {
	// Blocks are the locations of the requested blocks up to the first one that is
	// not stored.
	Blocks []Location `json:"blocks"`
	// WaitMillis is how long the transfers in progress occupy the store's link, in
	// milliseconds.
	WaitMillis int `json:"wait-millis"`
}

// lookup returns the locations of the requested blocks up to the first one that is
// not stored.
func (s *Store) lookup(w http.ResponseWriter, r *http.Request) {
	if s.refuseIfDown(w) {
		return
	}
	var keys []string
	if err := json.NewDecoder(r.Body).Decode(&keys); err != nil {
		http.Error(w, "the keys can't be read", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Location{}
	for _, k := range keys {
		e, ok := s.blocks[k]
		if !ok {
			break
		}
		found = append(found, e.loc)
	}
	wait := int(s.transfers.Load()) * s.faults.Get().MillisPerBlock
	fault.WriteJSON(w, LookupResponse{Blocks: found, WaitMillis: wait})
}

// counters returns the counters that tests check.
func (s *Store) counters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.WriteJSON(w, map[string]any{"blocks": len(s.blocks)})
}
