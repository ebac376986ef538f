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
	// seq numbers the entries, version is that of the weights, orders the number of orders that
	// were accepted, and fence the highest generation number of these.
	seq     int
	version int
	orders  int
	fence   uint64
	busy    bool
}

// loadTime is how long new weights take.
const loadTime = 270 * time.Millisecond

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
	p.mu.Lock()
	p.seq++
	version := p.weights()
	seq := p.seq
	p.mu.Unlock()
	e := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "capacity": 64, "state": state,
		"coldLeftMs": 0, "seq": seq, "born": p.born,
	}
	if p.model != "" {
		e["phase"], e["models"] = "unified", []any{map[string]any{"name": p.model, "version": version, "adapters": []string{}}}
	}
	p.l.store.put("keyed.servers", p.id, e)
}

// weights returns the version of the weights. The caller holds the lock.
func (p *replica) weights() int { return max(p.version, 1) }

// order takes an order to load weights.
func (p *replica) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Version int    `json:"version"`
		Holder  string `json:"holder"`
		Fence   uint64 `json:"fence"`
		Seq     *int   `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.Header.Get("Crocusfold-Expect-Instance") != p.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case in.Fence < p.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case p.busy || in.Seq != nil && *in.Seq != p.orders:
		w.WriteHeader(http.StatusConflict)
	case p.weights() == in.Version:
		w.WriteHeader(http.StatusOK)
	default:
		p.fence, p.busy = in.Fence, true
		p.orders++
		p.l.note("replica %s loads version %d by order of %s, generation %d", p.id, in.Version, in.Holder, in.Fence)
		time.AfterFunc(loadTime, func() {
			p.mu.Lock()
			p.version, p.busy = in.Version, false
			p.mu.Unlock()
			p.register("ready")
		})
		w.WriteHeader(http.StatusAccepted)
	}
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
		p.mu.Lock()
		version, orders, busy := p.weights(), p.orders, p.busy
		p.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"phase": "unified", "models": []any{map[string]any{"name": p.model, "version": version, "adapters": []string{}}}, "busy": busy, "seq": orders,
			"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 92125, "sessionHandles": 0, "born": p.born, "clock_ms": time.Now().UnixMilli(),
		})
		return
	case "/api/order":
		p.order(w, r)
		return
	case "/health":
		w.Header().Set("Crocusfold-Instance-Id", p.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	version, busy := strconv.Itoa(p.weights()), p.busy
	p.mu.Unlock()
	if busy {
		w.Header().Set("Crocusfold-Not-Run", "1")
		w.Header().Set("Crocusfold-Request-Id", r.Header.Get("Crocusfold-Request-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	expected, expectedVersion := r.Header.Get("Crocusfold-Expect-Instance"), r.Header.Get("Crocusfold-Expect-Version")
	if expected != "" && expected != p.id || expectedVersion != "" && expectedVersion != version {
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
	h.Set("Crocusfold-Weight-Versions", version)
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
