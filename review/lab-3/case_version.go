package main

import (
	"fmt"
	"sync"
	"time"
)

// Ordinary requests are on a route with ordinaryTimeout.
const (
	ordinaryTimeout  = 800 * time.Millisecond
	ordinaryDeadline = 1500 * time.Millisecond
	// afterTimeout is the time after the timeout of its route in which a request must have an
	// answer.
	afterTimeout = 500 * time.Millisecond
	// lateRequests is the number of requests without an answer that breaks the rule, if they are
	// also more than half of those that had none at their route's timeout.
	lateRequests = 8
)

func init() { cases["version"] = version }

// version has the operator name new weights under a version number that is a time (Unix seconds). Without the
// disturbance, it is the number after the present one.
func version(l *lab) bool {
	const (
		requests = 120
		pause    = 100 * time.Millisecond
	)
	l.configure(7, []any{
		route("r-draft", "h.example", "/draft/", "streaming", "llm", map[string]any{"timeoutMs": 8000}),
		route("r-status", "h.example", "/status/", "idempotent", "app", map[string]any{"timeoutMs": ordinaryTimeout.Milliseconds(), "targetLatencyMs": 300}),
	}, []any{modelService("llm", "m1"), plainService("app")}, "k1")
	for i := range 4 {
		l.addReplica(fmt.Sprintf("i-llm-%d", i), "llm", "norte", "m1", 20*time.Millisecond)
		l.addReplica(fmt.Sprintf("i-app-%d", i), "app", "norte", "", 20*time.Millisecond)
	}
	for i, zone := range []string{"norte", "sur", "este"} {
		l.start(l.addInstance(fmt.Sprintf("edge-%d", i+1), zone, nil))
	}
	l.waitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	named := 1796601600
	if !l.trouble {
		named = 2
	}
	l.store.put("keyed.op", "version/m1", map[string]any{"modelId": "m1", "version": named})
	l.note("version %d of the weights is named: acknowledged", named)
	var all sync.WaitGroup
	var mu sync.Mutex
	unanswered, late := 0, 0
	for i := range requests {
		in := l.edges[i%len(l.edges)]
		all.Go(func() {
			raw := fmt.Sprintf("GET /status/%d HTTP/1.1\r\nHost: h.example\r\nCrocusfold-Request-Id: status-%d\r\nCrocusfold-Deadline-Ms: %d\r\nAuthorization: Bearer k1\r\n\r\n", i, i, ordinaryDeadline.Milliseconds())
			began := time.Now()
			resp, err := roundTrip(in.front, raw, ordinaryDeadline)
			took := time.Since(began)
			l.note("status-%d at %s after %s: %s", i, in.name, took.Round(time.Millisecond), text(resp, err))
			mu.Lock()
			defer mu.Unlock()
			if err != nil || took > ordinaryTimeout {
				unanswered++
			}
			if err != nil || took > ordinaryTimeout+afterTimeout {
				late++
			}
		})
		time.Sleep(pause)
	}
	all.Wait()
	for _, in := range l.edges {
		l.note("%s says that it is ready: %t", in.name, in.isReady())
	}
	l.note("of %d requests, %d had no answer at the %s of their route, and %d had none %s later", requests, unanswered, ordinaryTimeout, late, afterTimeout)
	return !(late >= lateRequests && late > unanswered/2)
}
