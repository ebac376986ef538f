package main

import (
	"fmt"
	"time"
)

func init() { cases["slashes"] = slashes }

// slashes sends requests whose paths begin with two slashes, and looks what the replicas got.
func slashes(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	for i := range 2 {
		if err := d.AddReplica(&Replica{ID: fmt.Sprintf("i-app-%d", i+1), Service: "app", Capacity: 6, Work: 20 * time.Millisecond}); err != nil {
			return fail(err)
		}
	}
	d.Routes = []map[string]any{
		{"name": "orders", "host": host, "pathPrefix": "/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "app", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
	}
	d.Configure(1, []map[string]any{{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}})
	if err := d.AddEdges(1); err != nil {
		return fail(err)
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	paths := []string{"/orders/7", "/orders/8?a=1", "/orders//9"}
	if trouble {
		paths = append(paths, "//orders/10", "//orders/11?a=1", "/orders/12?")
	}
	sent := map[string]string{}
	for _, path := range paths {
		a := sendRaw(d.Edges[0], path)
		d.Note("sent POST %s, id %s: status %d, %v", path, a.ID, a.Status, a.Err)
		sent[a.ID] = path
	}
	code := held
	for _, p := range d.Replicas {
		for _, r := range p.Runs() {
			d.Note("replica %s ran %s %s, id %s", p.ID, r.Method, r.URI, r.ID)
			if r.URI != sent[r.ID] {
				fmt.Printf("sent POST %s, the replica ran %s %s\n", sent[r.ID], r.Method, r.URI)
				code = broken
			}
		}
	}
	return code
}
