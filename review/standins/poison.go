package main

import (
	"fmt"
	"sync"
	"time"
)

// poison sends a request that crashes each replica that runs it, again and again, at other
// machines of a fleet of two levels: those that are not roots of the overlay and have
// different parents. Later than contactMs after the third crash it may reach replicas three
// times more.
func poison(d *Deployment, trouble bool) (bool, error) {
	zones := []string{"cuenca-norte", "cuenca-sur", "gualaceo"}
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 9 {
		r := &Replica{ID: fmt.Sprintf("i-pedidos%d", i+1), Service: "pedidos", Zone: zones[i%3], Capacity: 6, Work: 60 * time.Millisecond, Down: 2500 * time.Millisecond}
		if trouble {
			r.CrashPath = "/order/poison"
		}
		r.OnCrash = func(string) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
		}
		r.Start(d)
		defer r.Crash()
		replicas = append(replicas, r)
	}
	routes := []any{route("order", "non_idempotent", "pedidos", 1500*time.Millisecond, nil)}
	services := []any{map[string]any{"name": "pedidos", "healthPath": "/health", "maxConns": 590, "protocol": "h1", "coldS": 0.0, "coldPerS": 0.0}}
	d.store.Put("keyed.op", "config", configOf(1, routes, services, []any{tenant("bozi", false, "key-bozi")}))
	var edges []*Edge
	for i := range 48 {
		e, err := d.StartEdge(zones[i%3])
		if err != nil {
			return false, err
		}
		edges = append(edges, e)
	}
	time.Sleep(2*contactTime + 4*time.Second)
	parents := map[string]bool{}
	var at []*Edge
	for _, e := range edges {
		if root, parent := d.Place(e); !root && parent != "" && !parents[parent] {
			parents[parent] = true
			at = append(at, e)
		}
	}
	d.record.Print("%d machines have different parents", len(at))
	if len(at) < 8 {
		return false, fmt.Errorf("%w: %d machines with different parents", errCannotRun, len(at))
	}
	send := func(e *Edge, n int) {
		a := e.Send(Call{Method: "POST", Path: "/order/poison", ID: fmt.Sprintf("p%07x", n), Key: "key-bozi", Deadline: 1500 * time.Millisecond, Body: []byte("the same order")})
		d.record.Print("client sent the request to %s; answer %s", e.name, a)
	}
	for i, e := range at[:3] {
		send(e, i)
		time.Sleep(300 * time.Millisecond)
	}
	if trouble && len(crashes) < 3 {
		return false, fmt.Errorf("%w: %d crashes", errCannotRun, len(crashes))
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	begun := time.Now()
	for i, e := range at[3:] {
		send(e, 3+i)
		time.Sleep(700 * time.Millisecond)
	}
	retries := 0
	for _, r := range replicas {
		for _, run := range r.Runs() {
			if trouble && run.At.After(begun) {
				retries++
			}
		}
	}
	d.record.Print("the request reached replicas in %d retries sent later than contactMs after its third crash; 3 are allowed", retries)
	return retries > 3, nil
}
