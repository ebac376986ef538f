package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["status"] = statusLine }

// statusLine has the replicas answer some requests with a status line that is no answer, and
// looks whether the service is served afterwards.
func statusLine(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	var faulty atomic.Bool
	for i := range 3 {
		p := &Replica{ID: fmt.Sprintf("i-app-%d", i+1), Service: "app", Capacity: 6, Work: 20 * time.Millisecond}
		p.Fault = func(w http.ResponseWriter, r *http.Request) bool {
			if !faulty.Load() {
				return false
			}
			raw(w, "HTTP/1.1 000 \r\nCrocusfold-Request-Id: "+r.Header.Get("Crocusfold-Request-Id")+"\r\nContent-Length: 2\r\n\r\nxx")
			return true
		}
		if err := d.AddReplica(p); err != nil {
			return fail(err)
		}
	}
	d.Routes = []map[string]any{
		{"name": "orders", "host": host, "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "app", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
	}
	d.Configure(1, []map[string]any{{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}})
	if err := d.AddEdges(3); err != nil {
		return fail(err)
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(2 * time.Second)
	served := func(n int, what string) int {
		ok := 0
		for i := range n {
			a := send(d.Edges[i%3], Request{Method: "POST", Path: "/orders/1", Key: key, Body: "an order", Timeout: 1500 * time.Millisecond})
			d.Note("%s: status %d after %.3f s, %v %s", what, a.Status, a.Took.Seconds(), a.Err, a.Body)
			if a.Status == 200 && a.Err == nil {
				ok++
			}
			time.Sleep(30 * time.Millisecond)
		}
		fmt.Println(what, ok, "of", n)
		return ok
	}
	served(60, "before")
	faulty.Store(trouble)
	served(120, "while faulty")
	faulty.Store(false)
	time.Sleep(8 * time.Second)
	if served(60, "after") == 0 {
		return broken
	}
	return held
}
