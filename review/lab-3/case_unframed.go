package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unframed"] = unframed }

// unframed kills one of eight instances (SIGKILL) while it passes on answers that have neither a length nor
// chunks. A caller must not take for complete what broke off.
func unframed(l *lab) bool {
	const (
		callers = 8
		pieces  = 6
		pause   = 500 * time.Millisecond
	)
	piece := strings.Repeat("x", 1000)
	whole := strings.Repeat(piece, pieces)
	l.configure(7, []any{route("r-status", "h.example", "/status/", "idempotent", "app", map[string]any{"timeoutMs": 8000})}, []any{plainService("app")}, "k1")
	for i := range 2 {
		p := l.addReplica(fmt.Sprintf("i-app-%d", i), "app", "norte", "", 10*time.Millisecond)
		// The answer ends with its connection and comes in pieces, as it is made.
		p.answer = func(w http.ResponseWriter, s seen) bool {
			conn, out, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return true
			}
			defer conn.Close()
			fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nCrocusfold-Request-Id: %s\r\nCrocusfold-Server-Seal: seal-%s-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", s.id, p.id, s.id)
			for range pieces {
				_, _ = out.WriteString(piece)
				if out.Flush() != nil {
					return true
				}
				time.Sleep(pause)
			}
			return true
		}
	}
	for i := range 8 {
		l.start(l.addInstance(fmt.Sprintf("edge-%d", i+1), []string{"norte", "sur", "este"}[i%3], nil))
	}
	in := l.edges[0]
	l.waitReady(20 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	wrong := 0
	for i := range callers {
		all.Go(func() {
			raw := fmt.Sprintf("GET /status/%d HTTP/1.1\r\nHost: h.example\r\nCrocusfold-Request-Id: status-%d\r\nCrocusfold-Deadline-Ms: 8000\r\nAuthorization: Bearer k1\r\n\r\n", i, i)
			resp, err := roundTrip(in.front, raw, 8*time.Second)
			l.note("status-%d: got %d of %d bytes, framed by length %q, chunks %t; %s", i, len(resp.body), len(whole), resp.header.Get("Content-Length"), resp.chunked, shortText(resp, err))
			mu.Lock()
			defer mu.Unlock()
			if err == nil && resp.complete && resp.status == http.StatusOK && resp.body != whole {
				wrong++
			}
		})
	}
	time.Sleep(2*pause + pause/2)
	if l.trouble {
		l.note("SIGKILL to %s", in.name)
		l.kill(in)
	}
	all.Wait()
	l.note("%d of %d callers got a success that looks complete and isn't the whole body of the replica", wrong, callers)
	return wrong == 0
}

func shortText(resp response, err error) string {
	resp.body = ""
	return text(resp, err)
}
