package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = crash }

// crashing is a replica that crashes when it begins to write an answer on a prompt with a certain
// part before the last one. It is back after downTime, under its id and address.
type crashing struct {
	*replica
	part string
	// onCrash is called with each request that crashes it.
	onCrash func(s seen)

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]struct{}
	down   bool
}

const downTime = 2 * time.Second

// addCrashing starts a replica that crashes on a part of a prompt.
func (l *lab) addCrashing(id, service, zone, model, part string, onCrash func(seen)) *crashing {
	ln := listen(l.net + ".3")
	c := &crashing{part: part, onCrash: onCrash, conns: map[net.Conn]struct{}{}}
	c.replica = &replica{l: l, id: id, service: service, address: ln.Addr().String(), zone: zone, model: model, work: 30 * time.Millisecond}
	c.answer = c.write
	c.up(ln)
	return c
}

// up has the replica serve and register, as another process than before.
func (c *crashing) up(ln net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down, c.born = false, time.Now().UnixMilli()
	c.server = &http.Server{Handler: c.replica, MaxHeaderBytes: 1 << 20, ConnState: c.track}
	go func(s *http.Server) { _ = s.Serve(ln) }(c.server)
	c.register("ready")
}

func (c *crashing) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = struct{}{}
	case http.StateClosed:
		delete(c.conns, conn)
	}
}

// write crashes the replica if the prompt has the part, and reports whether it did.
func (c *crashing) write(_ http.ResponseWriter, s seen) bool {
	parts := strings.Split(s.header.Get("Crocusfold-Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == c.part {
			c.onCrash(s)
			c.crash()
			panic(http.ErrAbortHandler)
		}
	}
	return false
}

// crash resets all connections and stops serving for downTime.
func (c *crashing) crash() {
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		return
	}
	c.down = true
	for conn := range c.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	server := c.server
	c.conns = map[net.Conn]struct{}{}
	c.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		for range 100 {
			ln, err := net.Listen("tcp", c.address)
			if err == nil {
				c.up(ln)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// crash sends requests with a part that crashes replicas, no two alike, beside sound ones that
// share their caller and their other parts.
func crash(l *lab) bool {
	const (
		part    = "badbad01"
		contact = 3 * time.Second
		allowed = 3
	)
	before := 34
	if v := os.Getenv("PARTS"); v != "" {
		_, _ = fmt.Sscan(v, &before)
	}
	shared := make([]string, before)
	for i := range shared {
		shared[i] = fmt.Sprintf("5c1e%04x:20", i)
	}
	prefix := strings.Join(shared, ",")
	l.configure(7, []any{route("r-draft", "h.example", "/draft/", "streaming", "llm", map[string]any{"timeoutMs": 8000, "maxAttempts": 1})}, []any{modelService("llm", "m1")}, "k1")
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 10 {
		zone := []string{"norte", "sur"}[i%2]
		l.addCrashing(fmt.Sprintf("i-llm-%d", i), "llm", zone, "m1", part, func(s seen) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, s.at)
			l.note("crash %d: %s at %s", len(crashes), s.id, s.replica)
		})
	}
	for i, zone := range []string{"norte", "sur"} {
		l.start(l.addInstance(fmt.Sprintf("edge-%d", i+1), zone, nil))
	}
	l.waitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	ask := func(id, parts string, in *instance) {
		raw := fmt.Sprintf("POST /draft/%s HTTP/1.1\r\nHost: h.example\r\nCrocusfold-Request-Id: %s\r\nCrocusfold-Deadline-Ms: 4000\r\n"+
			"Crocusfold-Model: m1\r\nCrocusfold-Token-Count: 800,5\r\nCrocusfold-Prompt-Prefix: %s\r\nAuthorization: Bearer k1\r\nContent-Length: 2\r\n\r\nab", id, id, parts)
		resp, err := roundTrip(in.front, raw, 5*time.Second)
		l.note("%s at %s: %s", id, in.name, shortText(resp, err))
	}
	var all sync.WaitGroup
	for i := range 60 {
		in := l.edges[i%2]
		all.Go(func() { ask(fmt.Sprintf("sound-%d", i), fmt.Sprintf("%s,900d%04x:20,aaaa%04x:20", prefix, i, i), in) })
		if l.trouble {
			all.Go(func() {
				ask(fmt.Sprintf("odd-%d", i), fmt.Sprintf("%s,%s:20,bbbb%04x:20", prefix, part, i), l.edges[(i/2)%2])
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range crashes {
			if at.Sub(crashes[4]) > contact {
				late++
			}
		}
	}
	l.note("%d requests crashed replicas, %d of them later than %s after the fifth crash; allowed are %d", len(crashes), late, contact, allowed)
	return late <= allowed
}
