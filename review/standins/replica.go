package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Replica is a stand-in for a replica of a service. The exported fields must be set before
// Start.
type Replica struct {
	ID, Service, Zone string
	Capacity          int
	// Work is how long a request runs, and Quick how long one to a path that ends with
	// "/quick" does.
	Work, Quick time.Duration
	// Model is the name of the model that the replica holds; empty if none.
	Model string
	// Software is the version of the replica's software; empty stands for v1.
	Software string
	// Events is the number of events of a stream, with Work between two of them; 0 makes it
	// two events at once after Work.
	Events int
	// CrashPath is a path whose requests crash the replica. Down is how long it is down then,
	// and OnCrash is told the request.
	CrashPath string
	Down      time.Duration
	OnCrash   func(id string)
	// Cache is the store of KV cache that the replica saves to and fetches from.
	Cache *Cache

	deployment *Deployment
	address    string
	server     *http.Server
	born       int64
	mu         sync.Mutex
	leaving    bool
	runs       []Run
	crashed    bool
	running    int
	beat       int
	// kept has the parts in the replica's own memory by salt and ID, and who made them.
	kept map[[2]string]string
}

// Run is a request that reached the replica and was run.
type Run struct {
	At     time.Time
	ID     string
	Tenant string
	// Used has the parts of KV cache that the run used, with the tenants that made them.
	Used []UsedPart
}

// UsedPart is a part of KV cache that a run used.
type UsedPart struct{ ID, Salt, MadeBy, From string }

// Start serves on a free port and registers the replica.
func (p *Replica) Start(d *Deployment) {
	ln := listen("127.0.0.1")
	p.deployment, p.address = d, ln.Addr().String()
	p.serve(ln)
	p.Register("ready")
}

func (p *Replica) serve(ln net.Listener) {
	p.kept, p.born = map[[2]string]string{}, time.Now().UnixMilli()
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(ln) }()
}

// Restart starts a replica that has crashed again under its id and at its address, with a
// software version. It does not register the replica.
func (p *Replica) Restart(software string) error {
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p.mu.Lock()
	p.Software, p.running, p.beat = software, 0, 0
	p.mu.Unlock()
	p.serve(ln)
	return nil
}

func (p *Replica) software() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Software == "" {
		return "v1"
	}
	return p.Software
}

// Register writes the replica's entry.
func (p *Replica) Register(state string) {
	software := p.software()
	p.mu.Lock()
	p.beat++
	entry := map[string]any{
		"service": p.Service, "address": p.address, "zone": p.Zone, "version": software, "capacity": p.Capacity,
		"state": state, "coldLeftMs": 0, "phase": "unified", "seq": p.beat, "born": p.born,
	}
	p.mu.Unlock()
	if p.Model != "" {
		entry["models"] = []any{map[string]any{"name": p.Model, "version": 1, "adapters": []string{}}}
	}
	p.deployment.store.Put("keyed.servers", p.ID, entry)
}

// Unregister removes the entry.
func (p *Replica) Unregister() { p.deployment.store.Put("keyed.servers", p.ID, nil) }

// SetLeaving makes the replica say in all its answers that it leaves.
func (p *Replica) SetLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// Crash closes the port and all channels, without a word to the store.
func (p *Replica) Crash() { _ = p.server.Close() }

// Runs returns the requests that were run so far.
func (p *Replica) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.runs...)
}

// ServeHTTP serves requests and the calls of PROTOCOL.md.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	p.mu.Lock()
	leaving := p.leaving
	p.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	switch r.URL.Path {
	case "/health":
		h.Set("Crocusfold-Instance-Id", p.ID)
		return
	case "/api/report":
		models := []any{}
		if p.Model != "" {
			models = append(models, map[string]any{"name": p.Model, "version": 1, "adapters": []string{}})
		}
		writeJSON(w, http.StatusOK, map[string]any{"phase": "unified", "models": models, "busy": false, "seq": 0, "queued": 0, "running": 0})
		return
	case "/api/order":
		w.WriteHeader(http.StatusOK)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Crocusfold-Request-Id")
	h.Set("Crocusfold-Request-Id", id)
	expected := r.Header.Get("Crocusfold-Expect-Version")
	if r.Header.Get("Crocusfold-Expect-Instance") != p.ID || p.Model != "" && expected != "" && expected != "1" {
		h.Set("Crocusfold-Instance-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{At: time.Now(), ID: id, Tenant: r.Header.Get("Crocusfold-Tenant")}
	if p.Model != "" {
		run.Used = p.prefill(r, run.Tenant)
	}
	p.mu.Lock()
	if p.running >= p.Capacity {
		p.mu.Unlock()
		h.Set("Crocusfold-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.running++
	p.runs = append(p.runs, run)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.running--
	}()
	asked := ""
	if fetch := r.Header.Get("Crocusfold-Kv-Fetch"); fetch != "" {
		asked = ", asked to fetch " + fetch
	}
	p.deployment.record.Print("%s (%s, %s) runs %s of tenant %q%s%s", p.ID, p.Service, p.Zone, id, run.Tenant, asked, describe(run.Used))
	if p.CrashPath != "" && r.URL.Path == p.CrashPath {
		p.crashOn(id)
		panic(http.ErrAbortHandler)
	}
	if p.Events > 0 {
		p.stream(w, r, id)
		return
	}
	took := p.Work
	if strings.HasSuffix(r.URL.Path, "/quick") {
		took = p.Quick
	}
	work := time.NewTimer(took)
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	h.Set("Crocusfold-Server-Seal", fmt.Sprintf("%s.%s", p.ID, id))
	if p.Model != "" {
		h.Set("Crocusfold-Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: piece\n\nid: 2\ndata: last\n\n")
		return
	}
	body := "answer to " + id
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// crashOn crashes the replica as it begins to write an answer, and has it back after Down.
func (p *Replica) crashOn(id string) {
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	first := !p.crashed
	p.crashed = true
	p.mu.Unlock()
	if !first {
		return
	}
	p.Crash()
	p.deployment.record.Print("%s crashes on %s", p.ID, id)
	p.OnCrash(id)
	go func() {
		time.Sleep(p.Down)
		p.mu.Lock()
		p.crashed = false
		p.mu.Unlock()
		if err := p.Restart("v1"); err == nil {
			p.Register("ready")
			p.deployment.record.Print("%s is back", p.ID)
		}
	}()
}

// stream answers with a stream of events that name the software version that made them.
func (p *Replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	h, software := w.Header(), p.software()
	h.Set("Crocusfold-Server-Seal", fmt.Sprintf("%s.%s", p.ID, id))
	h.Set("Crocusfold-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= p.Events; i++ {
		select {
		case <-time.After(p.Work):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d by %s of software %s\n\n", i, i, p.ID, software)
		_ = http.NewResponseController(w).Flush()
	}
}

func describe(used []UsedPart) string {
	out := ""
	for _, u := range used {
		out += fmt.Sprintf("; part %s under salt %q from %s, made by tenant %q", u.ID, u.Salt, u.From, u.MadeBy)
	}
	return out
}

// prefill obtains the parts of the prompt: from the replica's own memory, from the store
// that the request names, or by reading them. It returns the parts that others had made.
func (p *Replica) prefill(r *http.Request, tenant string) []UsedPart {
	salt := r.Header.Get("Crocusfold-Cache-Salt")
	fetch := strings.Split(r.Header.Get("Crocusfold-Kv-Fetch"), ",")
	save := strings.Split(r.Header.Get("Crocusfold-Kv-Save"), ",")
	at := func(list []string, i int) bool { return i < len(list) && strings.Contains(list[i], ":") }
	var used []UsedPart
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, entry := range strings.Split(r.Header.Get("Crocusfold-Prompt-Prefix"), ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, _ := strconv.Atoi(count)
		key := [2]string{salt, id}
		if maker, ok := p.kept[key]; ok {
			used = append(used, UsedPart{id, salt, maker, "the replica's own memory"})
			continue
		}
		if at(fetch, i) && p.Cache != nil {
			if maker, ok := p.Cache.Get(salt, id); ok {
				p.kept[key] = maker
				used = append(used, UsedPart{id, salt, maker, "the store of KV cache"})
				continue
			}
		}
		p.kept[key] = tenant
		if at(save, i) && p.Cache != nil {
			p.Cache.Put(salt, id, tokens, tenant)
		}
	}
	return used
}
