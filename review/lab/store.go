package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: topics
// with partitions, the newest record of each key, and groups that assign partitions.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
	fenced  map[string]uint64
	// down makes the store answer 503 to all calls: nothing was done.
	down bool
}

// SetDown takes the store down or brings it back, with all that it has acknowledged.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

type topic struct {
	records [][]byte
	newest  map[string]keyedRecord
}

type keyedRecord struct {
	value  []byte
	offset int
}

type group struct {
	generation uint64
	members    map[string]*member
	owner      string
	// next is the member that gets the partition once the owner has seen that it lost it.
	next string
}

type member struct {
	last time.Time
	ttl  time.Duration
	seen uint64
}

func newStore() *Store {
	return &Store{topics: map[string]*topic{}, groups: map[string]*group{}, changed: make(chan struct{}), fenced: map[string]uint64{}}
}

func (s *Store) topic(name, part string) *topic {
	key := name + "/" + part
	t, ok := s.topics[key]
	if !ok {
		t = &topic{newest: map[string]keyedRecord{}}
		s.topics[key] = t
	}
	return t
}

// put appends a record, and keeps it as the newest of its key in a keyed topic.
func (s *Store) put(name, part string, rec []byte) int {
	t := s.topic(name, part)
	offset := len(t.records)
	t.records = append(t.records, rec)
	if len(name) > 6 && name[:6] == "keyed." && len(rec) > 0 && len(rec) >= 1+int(rec[0]) {
		n := 1 + int(rec[0])
		if len(rec) == n {
			delete(t.newest, string(rec[1:n]))
		} else {
			t.newest[string(rec[1:n])] = keyedRecord{rec[n:], offset}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// Put writes a keyed record as the operator or a server does, and reports whether the store
// accepted it.
func (s *Store) Put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.put(name, "0", append(append([]byte{byte(len(key))}, key...), value...))
	return true
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Store-Era", "1")
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, r)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.listNewest(w, r)
	case "/api/log-join":
		s.join(w, r)
	case "/api/log-leave":
		s.leave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if id := q.Get("producerId"); id != "" {
		epoch, _ := strconv.ParseUint(q.Get("bootEpoch"), 10, 64)
		if epoch < s.fenced[id] {
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, `{"why":"fenced"}`)
			return
		}
		s.fenced[id] = epoch
	}
	first := len(s.topic(q.Get("topic"), q.Get("part")).records)
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		if n > len(raw)-4 {
			break
		}
		s.put(q.Get("topic"), q.Get("part"), raw[4:4+n])
		raw = raw[4+n:]
	}
	writeJSON(w, map[string]int{"offset": first, "endOffset": len(s.topic(q.Get("topic"), q.Get("part")).records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("fromRev"))
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := ms > 0; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		t := s.topic(q.Get("topic"), q.Get("part"))
		if from > len(t.records) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"firstOffset":0}`)
			return
		}
		if from < len(t.records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[from:] {
				if len(out) > 1<<20 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"), q.Get("part"))
	items := []item{}
	for key, rec := range t.newest {
		if key > q.Get("after") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"memberId"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttlMs"`
	Generation uint64   `json:"generation"`
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[c.Group]
	if !ok {
		g = &group{members: map[string]*member{}}
		s.groups[c.Group] = g
	}
	now := time.Now()
	g.expire(now)
	m, known := g.members[c.Member]
	if !known {
		m = &member{}
		g.members[c.Member] = m
		g.generation++
	}
	m.last, m.ttl, m.seen = now, time.Duration(c.TTL)*time.Millisecond, c.Generation
	if g.owner == "" {
		g.owner = c.Member
		g.generation++
	}
	parts := [][]any{}
	if g.owner == c.Member && len(c.Topics) > 0 {
		parts = append(parts, []any{c.Topics[0], 0, 0})
	}
	writeJSON(w, map[string]any{"generation": g.generation, "ttlMs": c.TTL, "parts": parts})
}

// expire removes the members that sent nothing for their time.
func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.Sub(m.last) > m.ttl {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, ok := g.members[name]; !ok {
		return
	}
	delete(g.members, name)
	g.generation++
	if g.owner == name {
		g.owner = ""
		for other := range g.members {
			g.owner = other
			break
		}
	}
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[c.Group]; ok {
		g.remove(c.Member)
	}
	writeJSON(w, map[string]any{})
}
