package main

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"
)

var softwareOf = regexp.MustCompile(`of software (\S+)`)

// versions replaces the software of a replica in place while the platform's store is down:
// the replica starts again under its id and at its address with another version, and can't
// write that into the store. Streams begin there, the replica crashes, and their clients
// take them up again. No stream may hold events of two software versions.
func versions(d *Deployment, trouble bool) (bool, error) {
	for i, zone := range []string{"cuenca-norte", "cuenca-sur", "gualaceo"} {
		r := &Replica{ID: fmt.Sprintf("i-telar%d", i+1), Service: "telar", Zone: zone, Capacity: 64, Work: 100 * time.Millisecond, Events: 26, Model: "daka510000"}
		r.Start(d)
		defer r.Crash()
		replicas = append(replicas, r)
	}
	routes := []any{route("query", "streaming", "telar", 8*time.Second, map[string]any{"sticky": true, "resumable": true, "maxAttempts": 2, "targetGapMs": 300})}
	services := []any{
		map[string]any{"name": "telar", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "coldS": 3.0, "coldPerS": 23.0, "engineKind": map[string]any{
			"capacity": 64, "kvCapacity": 92125, "kvTokenBytes": 131072, "linkMbps": 550000.0, "managed": true, "models": []any{map[string]any{"name": "daka510000"}},
		}},
	}
	d.store.Put("keyed.op", "config", configOf(1, routes, services, []any{tenant("bozi", false, "key-bozi")}))
	d.store.Put("keyed.op", "version/daka510000", map[string]any{"modelId": "daka510000", "version": 1})
	e, err := d.StartEdge("cuenca-norte")
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	if trouble {
		d.record.Print("the platform's store is down")
		e.door.Shut(true)
	}
	time.Sleep(200 * time.Millisecond)
	released := replicas[0]
	released.Crash()
	d.record.Print("%s stops for its new software", released.ID)
	time.Sleep(400 * time.Millisecond)
	if err := released.Restart("v2"); err != nil {
		return false, err
	}
	d.record.Print("%s is back under its id and at its address, with software v2", released.ID)
	if !trouble {
		released.Register("ready")
		d.record.Print("the entry of %s in the store has software v2", released.ID)
	}
	time.Sleep(200 * time.Millisecond)
	var mu sync.Mutex
	mixed, resumed := 0, 0
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			id := fmt.Sprintf("f%07x", i)
			call := Call{Method: "POST", Path: "/query/a", ID: id, Key: "key-bozi", Deadline: 8 * time.Second, Body: []byte("prompt of " + id), Header: map[string]string{
				"Crocusfold-Model": "daka510000", "Crocusfold-Token-Count": "460,80", "Crocusfold-Prompt-Prefix": fmt.Sprintf("5c1e%04x:110,91bd%04x:100,%s:250", i%8, i, id),
			}}
			var got []Event
			took := []string{}
			for try := 1; try <= 2; try++ {
				a := e.Send(call)
				if a.Status == 200 {
					got = append(got, events(a.Body)...)
				}
				took = append(took, a.String())
				if a.Status == 200 && a.Err == nil || len(got) == 0 {
					break
				}
				time.Sleep(50 * time.Millisecond)
				call.ID, call.NewChannel = id+"-again", true
				call.Header["Last-Event-Id"], call.Header["Resumes"] = got[len(got)-1].ID, id
			}
			seen := []string{}
			for _, ev := range got {
				if v := softwareOf.FindStringSubmatch(ev.Data); v != nil && (len(seen) == 0 || seen[len(seen)-1] != v[1]) {
					seen = append(seen, v[1])
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if len(took) > 1 {
				resumed++
			}
			d.record.Print("stream %s: %d events, software %s; its tries: %s", id, len(got), strings.Join(seen, " then "), strings.Join(took, "; "))
			if len(seen) > 1 {
				mixed++
				d.record.Print("ORDER: stream %s holds events of software %s", id, strings.Join(seen, " and "))
			}
		})
	}
	time.Sleep(1300 * time.Millisecond)
	released.Crash()
	d.record.Print("%s crashes", released.ID)
	wg.Wait()
	d.record.Print("%d streams were taken up again, %d hold events of two versions", resumed, mixed)
	if resumed == 0 {
		return false, fmt.Errorf("%w: no stream was broken off", errCannotRun)
	}
	return mixed > 2, nil
}
