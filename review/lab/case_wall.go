package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["wall"] = wall }

// configTime is configMs of the settings.
const configTime = 2 * time.Second

// wall has a new version of the config make a tenant isolated, and looks whether requests of
// another tenant still use KV cache that requests of the isolated one made.
func wall(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	for i, capacity := range []int{226078, 1695586} {
		if err := d.AddKV(fmt.Sprintf("kv-%d", i+1), capacity); err != nil {
			return fail(err)
		}
	}
	stores := map[string]*KV{}
	for _, kv := range d.KVs {
		stores[kv.Address] = kv
	}
	var mu sync.Mutex
	var isolatedFrom time.Time
	sentAt := map[string]time.Time{}
	broke, used := 0, 0
	onUse := func(r *http.Request, p part, maker, from string) {
		mu.Lock()
		defer mu.Unlock()
		id, tenant := r.Header.Get("Crocusfold-Request-Id"), r.Header.Get("Crocusfold-Tenant")
		used++
		d.Note("request %s of %s uses part %s with the salt %q from %s, made by %s", id, tenant, p.id, p.salt, from, maker)
		if maker != tenant && !isolatedFrom.IsZero() && sentAt[id].Sub(isolatedFrom) > configTime {
			broke++
			d.Note("request %s of %s, sent %.1f s after the config that isolates the tenant ordinary, uses KV cache of %s", id, tenant, sentAt[id].Sub(isolatedFrom).Seconds(), maker)
		}
	}
	for i := range 3 {
		if err := d.AddReplica(&Replica{ID: fmt.Sprintf("i-llm-%d", i+1), Service: "llm", Model: "m1", Capacity: 64, Work: 8 * time.Millisecond, Events: 5, Stores: stores, OnUse: onUse}); err != nil {
			return fail(err)
		}
	}
	d.Routes = []map[string]any{
		{"name": "query", "host": host, "pathPrefix": "/query/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 300, "priority": 1, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 300},
	}
	services := []map[string]any{
		{"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 23.0, "engineKind": map[string]any{
			"capacity": 64, "kvCapacity": 92125, "kvTokenBytes": 131072, "linkMbps": 550000.0, "managed": true, "stride": 1, "maxInflight": 12, "models": []map[string]any{{"name": "m1"}},
		}},
	}
	d.Configure(1, services)
	if err := d.AddEdges(3); err != nil {
		return fail(err)
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(4 * time.Second)
	ask := func(tenantKey, shared string, n int) {
		q := Request{Method: "POST", Path: "/query/1", Key: tenantKey, Body: "q", Timeout: 8 * time.Second, Header: map[string]string{
			"Crocusfold-Model": "m1", "Crocusfold-Token-Count": "1827,5", "Crocusfold-Prompt-Prefix": fmt.Sprintf("%s:1650,%x:177", shared, 1<<20+n),
			"Crocusfold-Request-Id": newID(),
		}}
		mu.Lock()
		sentAt[q.Header["Crocusfold-Request-Id"]] = time.Now()
		mu.Unlock()
		a := send(d.Edges[n%len(d.Edges)], q)
		d.Note("sent %s with the key %s: status %d, %v", q.Header["Crocusfold-Request-Id"], tenantKey, a.Status, a.Err)
	}
	// The tenant ordinary asks on 20 shared parts, for 4 s.
	for n := range 80 {
		ask(key, fmt.Sprintf("aa%02x", n%20), n)
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		d.Isolated = map[string]bool{"ordinary": true}
		d.Configure(2, services)
		mu.Lock()
		isolatedFrom = time.Now()
		mu.Unlock()
		d.Note("the store has acknowledged version 2 of the config, in which the tenant ordinary is isolated")
	}
	time.Sleep(configTime + time.Second)
	// The other tenant asks on the same parts.
	for n := range 80 {
		ask(otherKey, fmt.Sprintf("aa%02x", n%20), 1000+n)
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("requests: %d, parts used from memory: %d, used across the wall later than configMs after the config: %d", len(sentAt), used, broke)
	d.Note("%s", text)
	fmt.Println(text)
	switch {
	case broke > 0:
		return broken
	case used == 0:
		return couldNot
	}
	return held
}
