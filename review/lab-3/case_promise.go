package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["promise"] = promise }

// promise has one of seven replicas fail two in five of its requests after it has run them: it
// answers 503 without Crocusfold-Not-Run. Callers of orders take a 503 for the promise that the
// order has not run, and send it again.
func promise(l *lab) bool {
	const (
		callers = 60
		orders  = 3000
		// pause is the time between two orders of a caller.
		pause = 40 * time.Millisecond
	)
	l.configure(7, []any{route("r-order", "h.example", "/order/", "non_idempotent", "app", map[string]any{"timeoutMs": 1500, "maxAttempts": 1})}, []any{plainService("app")}, "k1")
	var replicas []*replica
	for i := range 7 {
		p := l.addReplica(fmt.Sprintf("i-app-%d", i), "app", "norte", "", 60*time.Millisecond)
		replicas = append(replicas, p)
		if i > 0 || !l.trouble {
			continue
		}
		served := 0
		var servedMu sync.Mutex
		p.answer = func(w http.ResponseWriter, _ seen) bool {
			servedMu.Lock()
			defer servedMu.Unlock()
			// Never more than two of five have failed.
			if served++; served%5 != 3 && served%5 != 0 {
				return false
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	in := l.addInstance("edge-1", "norte", nil)
	l.start(in)
	l.waitReady(20 * time.Second)
	promised := map[string]int{}
	again := 0
	var all sync.WaitGroup
	var mu sync.Mutex
	for caller := range callers {
		all.Go(func() {
			for i := caller; i < orders; i += callers {
				time.Sleep(pause)
				id := fmt.Sprintf("order-%d-try-1", i)
				resp, err := l.order(in, i, id)
				if err != nil || resp.status != http.StatusServiceUnavailable && resp.status != http.StatusTooManyRequests {
					continue
				}
				mu.Lock()
				promised[id] = resp.status
				again++
				mu.Unlock()
				_, _ = l.order(in, i, fmt.Sprintf("order-%d-try-2", i))
			}
		})
	}
	all.Wait()
	runsOf, broken, twice := map[string]int{}, 0, 0
	for _, p := range replicas {
		for _, s := range p.all() {
			runsOf[s.target]++
			if status := promised[s.id]; status != 0 {
				broken++
				l.note("%s was answered %d and has run at %s", s.id, status, s.replica)
			}
		}
	}
	for target, n := range runsOf {
		if n > 1 {
			twice++
			l.note("%s was carried out %d times", target, n)
		}
	}
	l.note("of %d orders, %d were answered 429 or 503 and sent again; %d of these had run; %d orders were carried out twice", orders, again, broken, twice)
	return broken == 0
}

// order sends an order on a new connection.
func (l *lab) order(in *instance, i int, id string) (response, error) {
	raw := fmt.Sprintf("POST /order/%d HTTP/1.1\r\nHost: h.example\r\nCrocusfold-Request-Id: %s\r\nCrocusfold-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nContent-Length: 8\r\n\r\nnapkins!", i, id)
	resp, err := roundTrip(in.front, raw, 2*time.Second)
	l.note("%s: %s", id, text(resp, err))
	return resp, err
}
