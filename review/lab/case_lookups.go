package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lookups"] = lookups }

// plain is a replica of a plain service, which can crash and start again with a new id.
type plain struct {
	d       *Deployment
	service string
	n       int

	mu   sync.Mutex
	id   string
	born int64
	addr string
	http *http.Server
	up   bool
	ran  atomic.Int64
}

func (s *plain) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.born, s.addr, s.up = time.Now().UnixMilli(), ln.Addr().String(), true
	s.id = fmt.Sprintf("i-%s-%d-%d", s.service, s.n, s.born)
	id, born := s.id, s.born
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id, born) })}
	go func(h *http.Server) { _ = h.Serve(resetListener{ln}) }(s.http)
	s.d.Note("%s starts at %s", s.id, s.addr)
	return nil
}

func (s *plain) serve(w http.ResponseWriter, r *http.Request, id string, born int64) {
	if r.URL.Path == "/api/report" {
		writeJSON(w, map[string]any{"phase": "unified", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "running": 1, "kvUsed": 0, "kvTotal": 1, "sessionHandles": 0, "born": born})
		return
	}
	h := w.Header()
	h.Set("Crocusfold-Request-Id", r.Header.Get("Crocusfold-Request-Id"))
	h.Set("Crocusfold-Instance-Id", id)
	if r.Header.Get("Crocusfold-Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.ran.Add(1)
	pause(r, 60*time.Millisecond)
	text := "the board\n"
	h.Set("Crocusfold-Server-Seal", "seal."+id+"."+r.Header.Get("Crocusfold-Request-Id"))
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write([]byte(text))
}

// crash ends the process: its connections are reset, and it sends nothing.
func (s *plain) crash() {
	s.mu.Lock()
	s.up = false
	id := s.id
	_ = s.http.Close()
	s.mu.Unlock()
	s.d.Note("%s crashes", id)
	// The store removes the entry after three liveness report intervals of silence.
	time.AfterFunc(3*heartbeat, func() { s.d.Store.Put("keyed.servers", id, nil) })
}

func (s *plain) beat(stop chan struct{}) {
	for beats := 0; ; beats++ {
		s.mu.Lock()
		if s.up {
			raw, _ := json.Marshal(map[string]any{
				"service": s.service, "address": s.addr, "zone": "z1", "version": "v1", "capacity": 6, "state": "ready", "coldLeftMs": 0, "seq": beats, "born": s.born,
			})
			s.d.Store.Put("keyed.servers", s.id, raw)
		}
		s.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat / 4):
		}
	}
}

const (
	lookupReplicas = 6
	// The replicas crash at lookupCrash and are back after lookupDown.
	lookupCrash = 5 * time.Second
	lookupDown  = time.Second
	lookupTime  = 70 * time.Second
)

// lookups has all replicas of a service crash at the same moment while clients ask for the same
// board again and again, and looks whether that look-up is served when the replicas are back.
func lookups(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	var all []*plain
	for n := range lookupReplicas {
		s := &plain{d: d, service: "app", n: n + 1}
		if err := s.start(); err != nil {
			return fail(err)
		}
		all = append(all, s)
		go s.beat(d.stop)
	}
	d.Routes = []map[string]any{
		{"name": "status", "host": host, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "app", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false},
		{"name": "orders", "host": host, "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "app", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
	}
	d.Configure(1, []map[string]any{{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}})
	if err := d.AddEdges(3); err != nil {
		return fail(err)
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	go func() {
		if !trouble {
			return
		}
		time.Sleep(time.Until(began.Add(lookupCrash)))
		for _, s := range all {
			s.crash()
		}
		time.Sleep(time.Until(began.Add(lookupCrash + lookupDown)))
		for _, s := range all {
			_ = s.start()
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	type count struct{ sent, served int }
	counts := map[string]*count{"/status/board": {}, "/orders/new": {}}
	after := map[string]*count{"/status/board": {}, "/orders/new": {}}
	for i := 0; time.Since(began) < lookupTime; i++ {
		q := Request{Method: "GET", Path: "/status/board", Key: key, Timeout: 1500 * time.Millisecond}
		if i%3 == 2 {
			q = Request{Method: "POST", Path: "/orders/new", Key: key, Body: fmt.Sprintf("order %d", i), Timeout: 1500 * time.Millisecond}
		}
		wg.Go(func() {
			a := send(d.Edges[i/3%3], q)
			d.Note("%s %s, id %s: status %d after %.3f s, %v %.60s", q.Method, q.Path, a.ID, a.Status, a.Took.Seconds(), a.Err, a.Body)
			mu.Lock()
			defer mu.Unlock()
			cs := []*count{counts[q.Path]}
			if a.At.Sub(began) > lookupCrash+lookupDown+3*time.Second {
				cs = append(cs, after[q.Path])
			}
			for _, c := range cs {
				c.sent++
				if a.Status == 200 && a.Err == nil {
					c.served++
				}
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / 60)))
	}
	wg.Wait()
	text := ""
	for _, path := range []string{"/status/board", "/orders/new"} {
		text += fmt.Sprintf("%s: %d of %d served, from 3 s after the replicas are back on %d of %d; ", path, counts[path].served, counts[path].sent, after[path].served, after[path].sent)
	}
	d.Note("%s", text)
	fmt.Println(text)
	sum := func(m map[string]*count) float64 {
		s := m["/status/board"]
		o := m["/orders/new"]
		return float64(s.served+o.served) / float64(s.sent+o.sent)
	}
	share := float64(counts["/status/board"].served) / float64(counts["/status/board"].sent)
	if share < sum(counts)/4 {
		return broken
	}
	return held
}
