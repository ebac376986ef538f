package main

import (
	"fmt"
	"sync"
	"time"
)

// evacuate closes a zone while long requests run, and then crashes a replica of another
// zone. The next attempts of its requests come later than evacuateMs after the
// acknowledgement, so that they may not go to the closed zone.
func evacuate(d *Deployment, trouble bool) (bool, error) {
	zones := []string{"cuenca-norte", "cuenca-sur"}
	for i, zone := range zones {
		r := &Replica{ID: fmt.Sprintf("i-pedidos%d", i+1), Service: "pedidos", Zone: zone, Capacity: 40, Work: 6800 * time.Millisecond, Quick: 20 * time.Millisecond}
		r.Start(d)
		defer r.Crash()
		replicas = append(replicas, r)
	}
	routes := []any{route("status", "idempotent", "pedidos", 8*time.Second, map[string]any{"maxAttempts": 2})}
	services := []any{map[string]any{"name": "pedidos", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "coldS": 0.0, "coldPerS": 0.0}}
	d.store.Put("keyed.op", "config", configOf(1, routes, services, []any{tenant("bozi", false, "key-bozi")}))
	var edges []*Edge
	for _, zone := range []string{"cuenca-norte", "cuenca-norte", "cuenca-sur"} {
		e, err := d.StartEdge(zone)
		if err != nil {
			return false, err
		}
		edges = append(edges, e)
	}
	time.Sleep(contactTime + time.Second)
	// Short requests first, as on any day: they fill the budgets of retries.
	for i := range 60 {
		for k, e := range edges {
			id := fmt.Sprintf("q%d-%04d", k, i)
			if a := e.Send(Call{Method: "GET", Path: "/status/quick", ID: id, Key: "key-bozi", Deadline: 8 * time.Second}); a.Status != 200 {
				return false, fmt.Errorf("%w: %s", errCannotRun, a)
			}
		}
	}
	var wg sync.WaitGroup
	for i := range 12 {
		for k, e := range edges {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				id := fmt.Sprintf("s%d-%04d", k, i)
				a := e.Send(Call{Method: "GET", Path: "/status/" + id, ID: id, Key: "key-bozi", Deadline: 8 * time.Second})
				d.record.Print("client sent %s to %s; answer %s", id, e.name, a)
			})
		}
	}
	time.Sleep(600 * time.Millisecond)
	var acknowledged time.Time
	if trouble {
		acknowledged = d.store.Put("keyed.op", "evacuate/cuenca-sur", map[string]any{})
		d.record.Print("the evacuation of cuenca-sur is acknowledged")
	}
	time.Sleep(evacuateTime + 600*time.Millisecond)
	replicas[0].Crash()
	d.record.Print("%s in cuenca-norte crashes", replicas[0].ID)
	wg.Wait()
	broken := 0
	for _, run := range replicas[1].Runs() {
		if late := run.At.Sub(acknowledged); trouble && late > evacuateTime {
			broken++
			d.record.Print("EVAC: %s reached %s in cuenca-sur %.3f s after the acknowledgement of its evacuation", run.ID, replicas[1].ID, late.Seconds())
		}
	}
	return broken > 0, nil
}
