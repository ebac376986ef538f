// Package kvstore stands in for a store instance that holds exported context.
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
	// HalfWritten acknowledges nothing and keeps writes unfinished.
	HalfWritten bool `json:"half-written,omitempty"`
	// Corrupt returns other bytes than were written.
	Corrupt bool `json:"corrupt,omitempty"`
	// MillisPerBlock is the transfer time of a block.
	MillisPerBlock int `json:"millis-per-block,omitempty"`
}

// Location says where a whole block is and how to tell that it is still the same.
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

// Limits of the store.
const (
	defaultCapacity = 4096
	maxBlock        = 1 << 20
)

// Store keeps blocks in memory. The zero value is ready. It is safe for
// concurrent use.
type Store struct {
	// Capacity is in blocks; 0 means 4096.
	Capacity int

	faults fault.Injector[Faults]
	// transfers is the number of blocks that are being transferred.
	transfers   atomic.Int64
	mu          sync.Mutex
	incarnation string
	generation  uint64
	blocks      map[string]entry
	insertOrder []string
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	s.Restart()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /blocks/{key}", s.put)
	mux.HandleFunc("GET /blocks/{key}", s.get)
	mux.HandleFunc("POST /lookup", s.lookup)
	mux.Handle(fault.Path, &s.faults)
	mux.HandleFunc("POST /stand-in/restart", func(http.ResponseWriter, *http.Request) { s.Restart() })
	return mux
}

// Restart empties the store and gives it a new incarnation.
func (s *Store) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = fmt.Sprintf("%d", time.Now().UnixNano())
	s.blocks = map[string]entry{}
	s.insertOrder = nil
}

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

// LookupResponse is the answer to a look-up.
type LookupResponse struct {
	// Blocks are the locations of the leading blocks that are held whole.
	Blocks []Location `json:"blocks"`
	// WaitMillis is how long the store's link is taken by earlier transfers.
	WaitMillis int `json:"wait-millis"`
}

// lookup returns the locations of the leading blocks that are held whole.
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
