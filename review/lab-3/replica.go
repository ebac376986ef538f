package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// seen is a request that a replica has begun to run.
type seen struct {
	at      time.Time
	replica string
	id      string
	// target is the request target as it stood in the request line.
	target       string
	method, host string
	header       http.Header
	body         int
}

// replica is a stand-in for a replica. It serves any number of requests at once.
type replica struct {
	l                          *lab
	id, service, address, zone string
	model                      string
	born                       int64
	// work is how long a run takes. answer, if set, writes another response than 200 for a run.
	work   time.Duration
	answer func(w http.ResponseWriter, s seen) bool

	mu   sync.Mutex
	runs []seen
	seq  int
}

// addReplica starts a replica and keeps its entry in the store.
func (l *lab) addReplica(id, service, zone, model string, work time.Duration) *replica {
	ln := listen(l.net + ".3")
	p := &replica{l: l, id: id, service: service, address: ln.Addr().String(), zone: zone, model: model, born: time.Now().UnixMilli(), work: work}
	server := &http.Server{Handler: p, MaxHeaderBytes: 1 << 20}
	go func() { _ = server.Serve(ln) }()
	p.register("ready")
	return p
}

// register writes the entry of the replica.
func (p *replica) register(state string) {
	p.seq++
	e := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "capacity": 64, "state": state,
		"coldLeftMs": 0, "seq": p.seq, "born": p.born,
	}
	if p.model != "" {
		e["phase"], e["models"] = "unified", []any{map[string]any{"name": p.model, "version": 1, "adapters": []string{}}}
	}
	p.l.store.put("keyed.servers", p.id, e)
}

// all returns what the replica has begun to run.
func (p *replica) all() []seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]seen(nil), p.runs...)
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		reply(w, http.StatusOK, map[string]any{
			"phase": "unified", "models": []any{map[string]any{"name": p.model, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0,
			"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 92125, "sessionHandles": 0, "born": p.born, "clock_ms": time.Now().UnixMilli(),
		})
		return
	case "/health":
		w.Header().Set("Crocusfold-Instance-Id", p.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Crocusfold-Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Crocusfold-Instance-Id", p.id)
		w.Header().Set("Crocusfold-Request-Id", r.Header.Get("Crocusfold-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s := seen{time.Now(), p.id, r.Header.Get("Crocusfold-Request-Id"), r.RequestURI, r.Method, r.Host, r.Header, len(body)}
	p.mu.Lock()
	p.runs = append(p.runs, s)
	p.mu.Unlock()
	p.l.note("replica %s (%s) runs %s: %s %s, %d bytes", p.id, p.service, s.id, s.method, s.target, s.body)
	time.Sleep(p.work)
	h := w.Header()
	h.Set("Crocusfold-Request-Id", s.id)
	h.Set("Crocusfold-Server-Seal", "seal-"+p.id+"-"+s.id)
	if p.answer != nil && p.answer(w, s) {
		return
	}
	if p.model == "" {
		h.Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(w, "done %s", s.id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Crocusfold-Weight-Versions", "1")
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
	}
}

// addContextStore starts a store of kept context that holds nothing, and returns its address.
func (l *lab) addContextStore() string {
	ln := listen(l.net + ".4")
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			now := time.Now().UnixMilli()
			switch r.URL.Path {
			case "/api/kv-list":
				reply(w, http.StatusOK, map[string]any{"bootEpoch": 7, "nextToken": 0, "held": []any{}, "partialEntries": []any{}, "clock_ms": now})
			case "/api/kv-events":
				ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
				time.Sleep(time.Duration(ms) * time.Millisecond)
				reply(w, http.StatusOK, map[string]any{"bootEpoch": 7, "nextToken": 0, "lost": false, "events": []any{}, "clock_ms": time.Now().UnixMilli()})
			case "/api/kv-free":
				reply(w, http.StatusOK, map[string]any{})
			case "/api/report":
				reply(w, http.StatusOK, map[string]any{"kvUsed": 0, "kvTotal": 226078, "bootEpoch": 7})
			default:
				w.WriteHeader(http.StatusNotFound)
			}
		}))
	}()
	return ln.Addr().String()
}

// quote shortens a text for the record.
func quote(text string) string {
	raw, _ := json.Marshal(text)
	if len(raw) > 200 {
		raw = append(raw[:200], "..."...)
	}
	return string(raw)
}
