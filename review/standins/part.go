package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// part sends requests with a part of a prompt that crashes each replica that begins to write
// an answer on it, at any machine of a fleet, beside sound ones that share their first part.
// From 2 x contactMs after the fifth crash, or the last if there are fewer, sound requests
// begin at least half as often as before.
func part(d *Deployment, trouble bool) (bool, error) {
	zones := []string{"cuenca-norte", "cuenca-sur", "gualaceo"}
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 12 {
		r := &Replica{
			ID: fmt.Sprintf("i-telar%02d", i+1), Service: "telar", Zone: zones[i%3], Capacity: 8, Work: 30 * time.Millisecond, Events: 3, Model: "daka510000",
			CrashPart: "dead", Down: 2500 * time.Millisecond,
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
	routes := []any{route("query", "streaming", "telar", 8*time.Second, map[string]any{"sticky": true, "targetGapMs": 300})}
	services := []any{
		map[string]any{"name": "telar", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "coldS": 0.0, "coldPerS": 0.0, "engineKind": map[string]any{
			"capacity": 8, "kvCapacity": 92125, "kvTokenBytes": 131072, "linkMbps": 550000.0, "managed": true, "models": []any{map[string]any{"name": "daka510000"}},
		}},
	}
	d.store.Put("keyed.op", "config", configOf(1, routes, services, []any{tenant("bozi", false, "key-bozi")}))
	d.store.Put("keyed.op", "version/daka510000", map[string]any{"modelId": "daka510000", "version": 1})
	var edges []*Edge
	for i := range fleet {
		e, err := d.StartEdge(zones[i%3])
		if err != nil {
			return false, err
		}
		edges = append(edges, e)
	}
	time.Sleep(2*contactTime + 2*time.Second)
	type sent struct {
		at     time.Time
		sound  bool
		status int
	}
	var all []sent
	var wg sync.WaitGroup
	begin := time.Now()
	bad := begin.Add(4 * time.Second)
	for i := 0; time.Since(begin) < 30*time.Second; i++ {
		sound := time.Now().Before(bad) || i%6 != 0 || !trouble
		wg.Go(func() {
			id := fmt.Sprintf("%08x", i)
			prefix := fmt.Sprintf("c0:300,%s:200", id)
			if !sound {
				prefix = fmt.Sprintf("c0:300,dead:500,%s:200", id)
			}
			s := sent{at: time.Now(), sound: sound}
			a := edges[rand.IntN(len(edges))].Send(Call{Method: "POST", Path: "/query/" + id, ID: id, Key: "key-bozi", Deadline: 8 * time.Second, Body: []byte("prompt of " + id), Header: map[string]string{
				"Crocusfold-Model": "daka510000", "Crocusfold-Token-Count": "700,80", "Crocusfold-Prompt-Prefix": prefix,
			}})
			s.status = a.Status
			if a.Status != 200 || a.Err != nil {
				d.record.Print("client sent %s (sound %v); answer %s", id, sound, a)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	from := bad
	if n := len(crashes); n > 0 {
		from = crashes[min(n, 5)-1].Add(2 * contactTime)
	} else if trouble {
		return false, fmt.Errorf("%w: nothing crashed", errCannotRun)
	}
	before, begunBefore, after, begunAfter := 0, 0, 0, 0
	for _, s := range all {
		ok := s.status == 200
		switch {
		case s.sound && s.at.Before(bad):
			before++
			if ok {
				begunBefore++
			}
		case s.sound && s.at.After(from):
			after++
			if ok {
				begunAfter++
			}
		}
	}
	d.record.Print("%d crashes; sound requests that began: %d of %d before, %d of %d later than 2 x contactMs after the fifth or last crash", len(crashes), begunBefore, before, begunAfter, after)
	if before < 20 || after < 20 {
		return false, fmt.Errorf("%w: too few requests", errCannotRun)
	}
	return float64(begunAfter)/float64(after) < float64(begunBefore)/float64(before)/2, nil
}

// fleet is the number of machines.
const fleet = 40
