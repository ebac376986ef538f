package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: keyed topics and one group. Each
// machine reaches it at an address of its own, its Door, so that the store can turn single
// machines away and serve the others.
type Store struct {
	mu         sync.Mutex
	topics     map[string]*topic
	changed    chan struct{}
	generation uint64
	leader     string
	members    map[string]time.Time
}

type logged struct {
	key   string
	value []byte
}

type topic struct {
	log    []logged
	newest map[string]int
}

func newStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), members: map[string]time.Time{}}
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// Put appends a record as the operator or a replica does. An empty value deletes the key.
// Its return is the store's acknowledgement.
func (s *Store) Put(name, key string, value any) time.Time {
	var raw []byte
	if value != nil {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, key, raw)
	return time.Now()
}

func (s *Store) put(name, key string, raw []byte) {
	t := s.topic(name)
	t.log = append(t.log, logged{key, raw})
	if len(raw) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = len(t.log) - 1
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answerTime is the time of an answer of the store.
const answerTime = 4 * time.Millisecond

// Door is the address at which one machine reaches the store.
type Door struct {
	store    *Store
	listener net.Listener
	mu       sync.Mutex
	// shut makes the store answer 503, and cut resets all channels.
	shut, cut bool
	conns     map[net.Conn]bool
}

// OpenDoor opens a door on a free port of loopback.
func (s *Store) OpenDoor() *Door {
	d := &Door{store: s, listener: listen("127.0.0.1"), conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: d, ConnState: d.observe}
	go func() { _ = server.Serve(d.listener) }()
	return d
}

// observe keeps the open channels. It resets new ones while the machine is cut off.
func (d *Door) observe(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		if d.cut {
			reset(conn)
			return
		}
		d.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Cut cuts the machine off from the store, with resets, or ends that.
func (d *Door) Cut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
	if cut {
		for conn := range d.conns {
			reset(conn)
		}
	}
}

// Address returns the address of the door.
func (d *Door) Address() string { return d.listener.Addr().String() }

// Shut makes the store answer the machine with 503, or serve it again.
func (d *Door) Shut(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
}

func (d *Door) isShut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut
}

// ServeHTTP serves the calls that PROTOCOL.md names.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	w.Header().Set("Store-Era", "1")
	if d.isShut() {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s := d.store
	switch r.URL.Path {
	case "/api/log-newest":
		s.listNewest(w, r)
	case "/api/log-read":
		s.read(w, r, d)
	case "/api/log-append":
		s.append(w, r)
	case "/api/log-join":
		s.join(w, r)
	case "/api/log-leave":
		s.leave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) listNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, offset := range t.newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(t.log[offset].value), offset})
		}
	}
	end := len(t.log)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	const page = 500
	more := len(items) > page
	if more {
		items = items[:page]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, d *Door) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("fromRev"))
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, wake := len(t.log), s.changed
		var records []logged
		if from <= end {
			records = append(records, t.log[from:]...)
		}
		s.mu.Unlock()
		if from > end {
			w.WriteHeader(http.StatusGone)
			return
		}
		if d.isShut() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		left := time.Until(until)
		if len(records) > 0 || left <= 0 {
			raw := binary.BigEndian.AppendUint64(nil, uint64(end))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for i, rec := range records {
				if i > 0 && len(raw)+len(rec.key)+len(rec.value) > maxKB<<10 {
					break
				}
				raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
				raw = append(append(append(raw, byte(len(rec.key))), rec.key...), rec.value...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-wake:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	raw, err := io.ReadAll(r.Body)
	if err != nil || len(raw) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topic(name).log)
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		rec := raw[4 : 4+n]
		k := 1 + int(rec[0])
		s.put(name, string(rec[1:k]), rec[k:])
		raw = raw[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "endOffset": len(s.topic(name).log)})
}

type joinCall struct {
	Member     string `json:"memberId"`
	TTLMS      int64  `json:"ttlMs"`
	Generation uint64 `json:"generation"`
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var in joinCall
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.members[in.Member]; !ok {
		s.generation++
	}
	s.members[in.Member] = time.Now().Add(time.Duration(in.TTLMS) * time.Millisecond)
	if s.leader == "" {
		s.leader = in.Member
	}
	parts := [][]any{}
	if s.leader == in.Member {
		parts = append(parts, []any{"duties", 0, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "ttlMs": in.TTLMS, "parts": parts})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var in joinCall
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.members[in.Member]; ok {
		s.members[in.Member] = time.Time{}
		s.expire()
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

// expire removes the members whose time is over, and deals the partition anew.
func (s *Store) expire() {
	for name, until := range s.members {
		if time.Now().After(until) {
			delete(s.members, name)
			s.generation++
			if s.leader == name {
				s.leader = ""
			}
		}
	}
	for name := range s.members {
		if s.leader == "" || name < s.leader {
			s.leader = name
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
