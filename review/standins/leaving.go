package main

import (
	"fmt"
	"sync"
	"time"
)

// leaving takes a replica of a service of orders away while the platform's store is down.
// It can't report that, but all its answers say that it leaves, and it is gone reclaimTime
// after the notice. No request that a client sent later than drainMs after a machine had
// passed on such an answer may reach it from that machine.
func leaving(d *Deployment, trouble bool) (bool, error) {
	const reclaimTime = 2500 * time.Millisecond
	zones := []string{"cuenca-norte", "cuenca-sur", "gualaceo"}
	for i, zone := range zones {
		r := &Replica{ID: fmt.Sprintf("i-pedidos%d", i+1), Service: "pedidos", Zone: zone, Capacity: 6, Work: 110 * time.Millisecond}
		r.Start(d)
		defer r.Crash()
		replicas = append(replicas, r)
	}
	routes := []any{route("order", "non_idempotent", "pedidos", 1500*time.Millisecond, nil)}
	services := []any{map[string]any{"name": "pedidos", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "coldS": 0.0, "coldPerS": 0.0}}
	d.store.Put("keyed.op", "config", configOf(1, routes, services, []any{tenant("bozi", false, "key-bozi")}))
	var edges []*Edge
	for _, zone := range zones {
		e, err := d.StartEdge(zone)
		if err != nil {
			return false, err
		}
		edges = append(edges, e)
	}
	time.Sleep(contactTime + time.Second)
	type sent struct {
		id     string
		edge   *Edge
		at     time.Time
		answer Answer
	}
	var mu sync.Mutex
	var all []sent
	// firstLeaving has when each machine passed on the first answer with Server-Leaving.
	firstLeaving := map[*Edge]time.Time{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for c := range 24 {
		wg.Go(func() {
			time.Sleep(time.Duration(c) * 9 * time.Millisecond)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s := sent{id: fmt.Sprintf("c%d-%05d", c, i), edge: edges[c%len(edges)], at: time.Now()}
				s.answer = s.edge.Send(Call{Method: "POST", Path: "/order/new", ID: s.id, Key: "key-bozi", Deadline: 1500 * time.Millisecond, Body: []byte("order " + s.id)})
				mu.Lock()
				if s.answer.Leaving && firstLeaving[s.edge].IsZero() {
					firstLeaving[s.edge] = time.Now()
					d.record.Print("%s passed on its first answer with Server-Leaving, to %s", s.edge.name, s.id)
				}
				all = append(all, s)
				mu.Unlock()
				d.record.Print("client sent %s to %s %.0f ms ago; answer %s", s.id, s.edge.name, time.Since(s.at).Seconds()*1000, s.answer)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	gone := replicas[0]
	if trouble {
		for _, e := range edges {
			e.door.Shut(true)
		}
		d.record.Print("the platform's store is down")
	}
	time.Sleep(300 * time.Millisecond)
	gone.SetLeaving()
	d.record.Print("%s leaves, and says so in its answers", gone.ID)
	if !trouble {
		gone.Register("draining")
		d.record.Print("the store has accepted its report that it drains")
	}
	time.Sleep(reclaimTime)
	gone.Crash()
	d.record.Print("%s is gone", gone.ID)
	time.Sleep(700 * time.Millisecond)
	for _, e := range edges {
		e.door.Shut(false)
	}
	close(stop)
	wg.Wait()
	ran := map[string]bool{}
	for _, run := range gone.Runs() {
		ran[run.ID] = true
	}
	broken, lost := 0, 0
	for _, s := range all {
		first := firstLeaving[s.edge]
		if !first.IsZero() && ran[s.id] && s.at.After(first.Add(drainTime)) {
			broken++
			d.record.Print("DRAIN: %s was sent to %s %.3f s after that answer and ran at %s; the client got %s", s.id, s.edge.name, s.at.Sub(first).Seconds(), gone.ID, s.answer)
			if s.answer.Status != 200 {
				lost++
			}
		}
	}
	d.record.Print("%d requests came too late, %d of them were lost as the replica ended", broken, lost)
	return broken > 0, nil
}
