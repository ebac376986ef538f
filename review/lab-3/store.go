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

// store is a stand-in for the platform's metadata store: a log with topics, and groups. It
// loses nothing and answers at once.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
}

type topic struct {
	log    []entry
	newest map[string]int
}

// entry is a record. Those of keyed topics have a key.
type entry struct{ raw []byte }

type group struct {
	generation uint64
	members    map[string]*member
	holder     string
}

type member struct {
	expires    time.Time
	generation uint64
}

func newStore(ip string) *store {
	ln := listen(ip)
	s := &store{address: ln.Addr().String(), topics: map[string]*topic{}, groups: map[string]*group{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }()
	return s
}

// put writes a record of a keyed topic, as the operator or a replica does. A nil value drops
// the key. Its return is the acknowledgement.
func (s *store) put(topicName, key string, value any) {
	var raw []byte
	if value != nil {
		b, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		raw = b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, append(append([]byte{byte(len(key))}, key...), raw...))
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, raw []byte) int {
	t := s.topic(name)
	offset := len(t.log)
	t.log = append(t.log, entry{raw})
	if key, value, ok := split(raw); ok && len(name) > 6 && name[:6] == "keyed." {
		if t.newest[key] = offset; len(value) == 0 {
			delete(t.newest, key)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// split returns the key and the value of a record.
func split(raw []byte) (key string, value []byte, ok bool) {
	if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
		return "", nil, false
	}
	n := 1 + int(raw[0])
	return string(raw[1:n]), raw[n:], true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	part := q.Get("part")
	name := q.Get("topic")
	if part != "" && part != "0" {
		name += "#" + part
	}
	switch r.URL.Path {
	case "/api/log-newest":
		s.listNewest(w, name, q.Get("after"))
	case "/api/log-read":
		s.read(w, r, name)
	case "/api/log-append":
		s.appendCall(w, r, name)
	case "/api/log-join":
		s.join(w, r)
	case "/api/log-leave":
		s.leave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) listNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	items := []item{}
	for key, offset := range t.newest {
		if key > after {
			_, value, _ := split(t.log[offset].raw)
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
		}
	}
	end := len(t.log)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("fromRev"))
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for waiting := ms > 0; ; {
		s.mu.Lock()
		t := s.topic(name)
		if from > len(t.log) {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int{"firstOffset": 0})
			return
		}
		if from < len(t.log) || !waiting {
			raw := binary.BigEndian.AppendUint64(nil, uint64(len(t.log)))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for _, e := range t.log[from:] {
				raw = binary.BigEndian.AppendUint32(raw, uint32(len(e.raw)))
				raw = append(raw, e.raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(raw)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) appendCall(w http.ResponseWriter, r *http.Request, name string) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topic(name).log)
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		if n > len(raw)-4 {
			break
		}
		s.append(name, raw[4:4+n])
		raw = raw[4+n:]
	}
	reply(w, http.StatusOK, map[string]int{"offset": first, "endOffset": len(s.topic(name).log)})
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"memberId"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttlMs"`
	Generation uint64   `json:"generation"`
}

// join keeps a member in its group. The one partition that is dealt stays with its holder as
// long as that is a member.
func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in joinCall
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(in.Group)
	m, ok := g.members[in.Member]
	if !ok {
		m = &member{}
		g.members[in.Member] = m
		g.generation++
	}
	m.expires, m.generation = time.Now().Add(time.Duration(in.TTL)*time.Millisecond), in.Generation
	if g.holder == "" {
		g.holder = in.Member
	}
	parts := [][]any{}
	for _, t := range in.Topics {
		if g.holder == in.Member {
			parts = append(parts, []any{t, 0, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": in.TTL, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in joinCall
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(in.Group).remove(in.Member)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) group(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{members: map[string]*member{}}
		s.groups[name] = g
	}
	for id, m := range g.members {
		if time.Now().After(m.expires) {
			g.remove(id)
		}
	}
	return g
}

func (g *group) remove(id string) {
	if _, ok := g.members[id]; !ok {
		return
	}
	delete(g.members, id)
	g.generation++
	if g.holder == id {
		g.holder = ""
		for other := range g.members {
			g.holder = other
			break
		}
	}
}
