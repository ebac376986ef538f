package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// revoked cuts a machine off from the store and from all other machines; clients still
// reach it. Meanwhile the operator changes a config of many routes several times and takes a
// key away with the last change. Clients go on with the key. When the cut has healed, none
// of their requests may run, since they were sent later than revokeMs after the
// acknowledgement. The other machines have no part in that, so that only the one runs.
func revoked(d *Deployment, trouble bool) (bool, error) {
	for i, zone := range []string{"cuenca-norte", "cuenca-sur", "gualaceo"} {
		r := &Replica{ID: fmt.Sprintf("i-pedidos%d", i+1), Service: "pedidos", Zone: zone, Capacity: 64, Work: 5 * time.Millisecond}
		r.Start(d)
		defer r.Crash()
		replicas = append(replicas, r)
	}
	services := []any{map[string]any{"name": "pedidos", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "coldS": 0.0, "coldPerS": 0.0}}
	version := 0
	config := func(keys ...string) time.Time {
		version++
		var routes []any
		for i := range manyRoutes {
			routes = append(routes, route(fmt.Sprintf("r%04d", i), "non_idempotent", "pedidos", time.Duration(1500+version)*time.Millisecond, nil))
		}
		c := configOf(version, routes, services, []any{tenant("bozi", false, "key-bozi"), tenant("cumu", false, keys...)})
		raw, _ := json.Marshal(c)
		at := d.store.Put("keyed.op", "config", c)
		d.record.Print("config %d of %d bytes acknowledged; the keys of tenant cumu are %v", version, len(raw), keys)
		return at
	}
	config("key-a", "key-b")
	e, err := d.StartEdge("cuenca-norte")
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	answers := map[int]int{}
	var wg sync.WaitGroup
	var stopped atomic.Bool
	for c := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(c) * clientPause / clients)
			for i := 0; !stopped.Load(); i++ {
				id := fmt.Sprintf("c%d-%06d", c, i)
				at := time.Now()
				mu.Lock()
				sentAt[id] = at
				mu.Unlock()
				a := e.Send(Call{Method: "POST", Path: "/r0000/new", ID: id, Key: "key-b", Deadline: 1500 * time.Millisecond, Body: []byte("order")})
				mu.Lock()
				answers[a.Status]++
				mu.Unlock()
				d.record.Print("client sent %s with key-b %.0f ms ago; answer %s", id, time.Since(at).Seconds()*1000, a)
				time.Sleep(clientPause)
			}
		})
	}
	time.Sleep(time.Second)
	broken := 0
	for round := 1; round <= rounds && broken == 0; round++ {
		if trouble {
			e.door.Cut(true)
			d.record.Print("round %d: the machine is cut off", round)
		}
		time.Sleep(500 * time.Millisecond)
		for range changes - 1 {
			config("key-a", "key-b")
			time.Sleep(200 * time.Millisecond)
		}
		acknowledged := config("key-a")
		time.Sleep(cutTime)
		e.door.Cut(false)
		d.record.Print("round %d: the cut has healed, %.1f s after the acknowledgement", round, time.Since(acknowledged).Seconds())
		time.Sleep(2500 * time.Millisecond)
		for _, r := range replicas {
			for _, run := range r.Runs() {
				mu.Lock()
				at := sentAt[run.ID]
				mu.Unlock()
				if late := at.Sub(acknowledged); late > revokeTime {
					broken++
					d.record.Print("CONFIG: %s with the key that was taken away was sent %.3f s after the acknowledgement and ran at %s", run.ID, late.Seconds(), r.ID)
				}
			}
		}
		// The key is given back for the next round.
		config("key-a", "key-b")
		time.Sleep(configTime)
	}
	stopped.Store(true)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.Print("answers to the clients by status: %v", answers)
	return broken > 0, nil
}

// The config has manyRoutes routes and is changed several times while the instance is
// turned away. The clients send about 290 requests a second.
const (
	manyRoutes  = 1000
	changes     = 6
	clients     = 12
	clientPause = 40 * time.Millisecond
	rounds      = 6
	cutTime     = 6200 * time.Millisecond
)
