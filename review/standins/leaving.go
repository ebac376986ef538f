package main

import (
	"fmt"
	"sync"
	"time"
)

// leaving lets a replica of a service of orders leave while the store turns the instance
// away. The store accepts the replica's report that it drains, and all its answers say that
// it leaves; it serves on for drainMs and a little longer, and ends. No request that a
// client sent later than drainMs after the instance had passed on the first such answer may
// reach it.
func leaving(d *Deployment, trouble bool) (bool, error) {
	for i, zone := range []string{"cuenca-norte", "cuenca-sur", "gualaceo"} {
		r := &Replica{ID: fmt.Sprintf("i-pedidos%d", i+1), Service: "pedidos", Zone: zone, Capacity: 6, Work: 180 * time.Millisecond}
		r.Start(d)
		defer r.Crash()
		replicas = append(replicas, r)
	}
	routes := []any{route("order", "non_idempotent", "pedidos", 1500*time.Millisecond, nil)}
	services := []any{map[string]any{"name": "pedidos", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "coldS": 0.0, "coldPerS": 0.0}}
	d.store.Put("keyed.op", "config", configOf(1, routes, services, []any{tenant("bozi", false, "key-bozi")}))
	e, err := d.StartEdge("cuenca-norte")
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	type sent struct {
		id     string
		at     time.Time
		answer Answer
	}
	var mu sync.Mutex
	var all []sent
	var firstLeaving time.Time
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for c := range 16 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s := sent{id: fmt.Sprintf("c%d-%05d", c, i), at: time.Now()}
				s.answer = e.Send(Call{Method: "POST", Path: "/order/new", ID: s.id, Key: "key-bozi", Deadline: 1500 * time.Millisecond, Body: []byte("order " + s.id)})
				mu.Lock()
				if s.answer.Leaving && firstLeaving.IsZero() {
					firstLeaving = time.Now()
					d.record.Print("the instance passed on the first answer with Server-Leaving, to %s", s.id)
				}
				all = append(all, s)
				mu.Unlock()
				if s.answer.Status != 200 && s.answer.Status != 503 {
					d.record.Print("client sent %s %.0f ms ago; answer %s", s.id, time.Since(s.at).Seconds()*1000, s.answer)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	gone := replicas[0]
	if trouble {
		e.door.Shut(true)
		d.record.Print("the store turns the instance away with 503, and serves the others")
	}
	time.Sleep(300 * time.Millisecond)
	gone.SetLeaving()
	gone.Register("draining")
	d.record.Print("%s leaves: the store has accepted its report, and its answers have Server-Leaving", gone.ID)
	time.Sleep(drainTime + 1200*time.Millisecond)
	gone.Crash()
	gone.Unregister()
	d.record.Print("%s has ended, and its entry is removed", gone.ID)
	time.Sleep(700 * time.Millisecond)
	e.door.Shut(false)
	close(stop)
	wg.Wait()
	ran := map[string]bool{}
	for _, run := range gone.Runs() {
		ran[run.ID] = true
	}
	broken, lost := 0, 0
	for _, s := range all {
		if !firstLeaving.IsZero() && ran[s.id] && s.at.After(firstLeaving.Add(drainTime)) {
			broken++
			d.record.Print("DRAIN: %s was sent %.3f s after that answer and ran at %s; the client got %s", s.id, s.at.Sub(firstLeaving).Seconds(), gone.ID, s.answer)
			if s.answer.Status != 200 {
				lost++
			}
		}
	}
	d.record.Print("%d requests came too late, %d of them were lost as the replica ended", broken, lost)
	return broken > 0, nil
}
