package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a replica began to run.
type run struct {
	At                   time.Time
	ID, Method, URI, Key string
	Tenant, Replica      string
	Body                 string
}

// Replica is a stand-in for a replica of a service.
type Replica struct {
	ID, Service, Address, Model string
	Capacity                    int
	Work                        time.Duration
	Events                      int
	Stores                      map[string]*KV
	// OnUse, if set, is called for each part that a request takes from memory: who made it, and
	// where it was.
	OnUse func(r *http.Request, p part, maker, from string)
	// Fault, if set, may answer a request in place of the replica. It reports whether it did.
	Fault func(w http.ResponseWriter, r *http.Request) bool

	mu      sync.Mutex
	born    int64
	running int
	seq     int
	runs    []run
	beat    int
	// cache has the parts that the replica keeps, with the tenant whose request made each.
	cache map[part]string
}

// Entry is what the replica writes into the store.
func (p *Replica) Entry() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat++
	if p.born == 0 {
		p.born = time.Now().UnixMilli()
	}
	entry := map[string]any{
		"service": p.Service, "address": p.Address, "zone": "z1", "version": "v1", "capacity": p.Capacity,
		"state": "ready", "coldLeftMs": 0, "seq": p.beat, "born": p.born,
	}
	if p.Model != "" {
		entry["phase"] = "unified"
		entry["models"] = []map[string]any{{"name": p.Model, "version": 1, "adapters": []string{}}}
	}
	raw, _ := json.Marshal(entry)
	return raw
}

// Runs returns what the replica ran.
func (p *Replica) Runs() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.runs...)
}

func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, map[string]any{
			"phase": "unified", "models": []map[string]any{{"name": p.Model, "version": 1, "adapters": []string{}}},
			"busy": false, "seq": p.seq, "queued": 0, "running": p.running, "kvUsed": 0, "kvTotal": 92125, "sessionHandles": 0, "born": p.born,
		})
	case "/health":
		w.Header().Set("Crocusfold-Instance-Id", p.ID)
		w.WriteHeader(http.StatusOK)
	default:
		p.serve(w, r)
	}
}

func (p *Replica) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Crocusfold-Request-Id")
	h := w.Header()
	h.Set("Crocusfold-Request-Id", id)
	h.Set("Crocusfold-Instance-Id", p.ID)
	if e := r.Header.Get("Crocusfold-Expect-Instance"); e != "" && e != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.running >= 2*p.Capacity {
		load := p.load()
		p.mu.Unlock()
		h.Set("Crocusfold-Server-Load", load)
		h.Set("Crocusfold-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.running++
	if len(body) > 64 {
		body = body[:64]
	}
	p.runs = append(p.runs, run{time.Now(), id, r.Method, r.RequestURI, r.Header.Get("Authorization"), r.Header.Get("Crocusfold-Tenant"), p.ID, string(body)})
	load := p.load()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	h.Set("Crocusfold-Server-Load", load)
	h.Set("Crocusfold-Server-Seal", "seal."+p.ID+"."+id)
	if p.Fault != nil && p.Fault(w, r) {
		return
	}
	if p.Model == "" {
		pause(r, p.Work)
		text := "done " + id + "\n"
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	// A prompt is read at 140 tokens a ms; then its parts are kept.
	in, _, _ := strings.Cut(r.Header.Get("Crocusfold-Token-Count"), ",")
	tokens, _ := strconv.Atoi(in)
	pause(r, time.Duration(tokens)*time.Millisecond/140)
	p.context(r)
	h.Set("Crocusfold-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= p.Events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush()
		pause(r, p.Work)
	}
}

func (p *Replica) load() string {
	return fmt.Sprintf("%d,%d,%d", min(p.running, p.Capacity), max(0, p.running-p.Capacity), p.Capacity)
}

// context takes the parts of a prompt from the replica's own cache or from the stores that the
// request names, and makes and saves the others. A part is found only if all parts before it are.
func (p *Replica) context(r *http.Request) {
	salt, tenant := r.Header.Get("Crocusfold-Cache-Salt"), r.Header.Get("Crocusfold-Tenant")
	saves := strings.Split(r.Header.Get("Crocusfold-Kv-Save"), ",")
	fetches := strings.Split(r.Header.Get("Crocusfold-Kv-Fetch"), ",")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cache == nil {
		p.cache = map[part]string{}
	}
	found := true
	for i, entry := range strings.Split(r.Header.Get("Crocusfold-Prompt-Prefix"), ",") {
		id, n, ok := strings.Cut(entry, ":")
		if !ok {
			continue
		}
		key := part{salt, id}
		maker, cached := p.cache[key]
		from := "its own cache"
		if found && !cached && i < len(fetches) && p.Stores[fetches[i]] != nil {
			maker, cached = p.Stores[fetches[i]].Maker(key)
			from = p.Stores[fetches[i]].Name
		}
		if found = found && cached; found {
			p.cache[key] = maker
			if p.OnUse != nil {
				p.OnUse(r, key, maker, from)
			}
			continue
		}
		p.cache[key] = tenant
		if i < len(saves) && p.Stores[saves[i]] != nil {
			tokens, _ := strconv.Atoi(n)
			p.Stores[saves[i]].Save(key, tokens, tenant)
		}
	}
}

func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// raw takes over the connection and writes bytes to it.
func raw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// hold takes over the connection, writes bytes to it, and keeps it open until the caller closes it.
func hold(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, conn)
}
