package main

import (
	"fmt"
	"time"
)

// wall makes a tenant isolated by a change of the config, and then lets another tenant ask
// with the parts of a prompt that the first one's requests had made before. Later than
// configMs + contactMs after the acknowledgement, no request may use them.
func wall(d *Deployment, trouble bool) (bool, error) {
	cache := startCache()
	for i, zone := range []string{"cuenca-norte", "cuenca-sur"} {
		r := &Replica{ID: fmt.Sprintf("i-telar%d", i+1), Service: "telar", Zone: zone, Capacity: 64, Work: 40 * time.Millisecond, Model: "daka510000", Cache: cache}
		r.Start(d)
		defer r.Crash()
		replicas = append(replicas, r)
	}
	routes := []any{route("draft", "streaming", "telar", 8*time.Second, map[string]any{"sticky": true, "targetGapMs": 300})}
	services := []any{
		map[string]any{"name": "telar", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "coldS": 3.0, "coldPerS": 23.0, "engineKind": map[string]any{
			"capacity": 64, "kvCapacity": 92125, "kvTokenBytes": 131072, "linkMbps": 550000.0, "managed": true, "models": []any{map[string]any{"name": "daka510000"}},
		}},
		map[string]any{"name": "memoria", "kvStoreAddr": cache.addr, "zone": "cuenca-sur", "kvCapacity": 226078, "linkMbps": 1500000.0, "maxInflight": 12, "managed": true, "first_ms": 0.5},
	}
	config := func(version int, isolated bool) {
		at := d.store.Put("keyed.op", "config", configOf(version, routes, services, []any{tenant("bozi", isolated, "key-bozi"), tenant("cumu", false, "key-cumu")}))
		d.record.Print("config %d acknowledged at %s: tenant bozi has isolated = %v", version, at.Format("15:04:05.000"), isolated)
	}
	config(1, false)
	d.store.Put("keyed.op", "version/daka510000", map[string]any{"modelId": "daka510000", "version": 1})
	e, err := d.StartEdge("cuenca-norte")
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	ask := func(id, tenant string) Answer {
		a := e.Send(Call{Method: "POST", Path: "/draft/a", ID: id, Key: "key-" + tenant, Deadline: 8 * time.Second, Body: []byte("prompt of " + id), Header: map[string]string{
			"Crocusfold-Model": "daka510000", "Crocusfold-Token-Count": "1460,80", "Crocusfold-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + id + ":250",
		}})
		d.record.Print("client of tenant %s sent %s; answer %s", tenant, id, a)
		return a
	}
	for i := range 6 {
		if a := ask(fmt.Sprintf("a%07x", i), "bozi"); a.Status != 200 {
			return false, fmt.Errorf("%w: %s", errCannotRun, a)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		config(2, true)
	}
	time.Sleep(configTime + contactTime + time.Second)
	from := time.Now()
	for i := range 6 {
		if a := ask(fmt.Sprintf("b%07x", i), "cumu"); a.Status != 200 {
			return false, fmt.Errorf("%w: %s", errCannotRun, a)
		}
		time.Sleep(100 * time.Millisecond)
	}
	isolated := map[string]bool{"bozi": trouble}
	broken := 0
	for _, r := range replicas {
		for _, run := range r.Runs() {
			for _, u := range run.Used {
				if run.At.After(from) && u.MadeBy != run.Tenant && (isolated[u.MadeBy] || isolated[run.Tenant]) {
					broken++
					d.record.Print("WALL: %s of tenant %s used part %s, which a request of tenant %s made, whose isolated is true", run.ID, run.Tenant, u.ID, u.MadeBy)
				}
			}
		}
	}
	return broken > 0, nil
}

// replicas has the replicas of the case.
var replicas []*Replica
