package main

import (
	"fmt"
	"sync"
	"time"
)

// rejoined kills all machines but one at the same moment, while two software versions of a
// service serve. Clients take their streams up again at the machine that is left, which is
// in touch all the while. At least half as many of these must go on as new streams begin.
func rejoined(d *Deployment, trouble bool) (bool, error) {
	zones := []string{"cuenca-norte", "cuenca-sur", "gualaceo"}
	for i, software := range []string{"v1", "v2", "v1", "v2"} {
		r := &Replica{
			ID: fmt.Sprintf("i-telar%d", i+1), Service: "telar", Zone: zones[i%3], Capacity: 64, Work: 100 * time.Millisecond, Events: 26,
			Model: "daka510000", Software: software,
		}
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
	var edges []*Edge
	for i := range 12 {
		e, err := d.StartEdge(zones[i%3])
		if err != nil {
			return false, err
		}
		edges = append(edges, e)
	}
	time.Sleep(2*contactTime + time.Second)
	left := edges[len(edges)-1]
	ask := func(id string) Call {
		return Call{Method: "POST", Path: "/query/a", ID: id, Key: "key-bozi", Deadline: 8 * time.Second, Body: []byte("prompt of " + id), NewChannel: true, Header: map[string]string{
			"Crocusfold-Model": "daka510000", "Crocusfold-Token-Count": "460,80", "Crocusfold-Prompt-Prefix": fmt.Sprintf("5c1e%s:110,91bd%s:100,%s:250", id[:3], id[:5], id),
		}}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	taken, wentOn, asked, begun := 0, 0, 0, 0
	for i := range 48 {
		wg.Go(func() {
			call := ask(fmt.Sprintf("%03x%05x", i, 7*i))
			first := call.ID
			at := edges[i%(len(edges)-1)]
			started := time.Now()
			var got []Event
			text := ""
			for try := 1; try <= 4 && time.Since(started) < 7*time.Second; try++ {
				a := at.Send(call)
				text += fmt.Sprintf(" [%s: %s]", at.name, a)
				if a.Status == 200 {
					got = append(got, events(a.Body)...)
				}
				if a.Status == 200 && a.Err == nil || len(got) == 0 {
					break
				}
				time.Sleep(300 * time.Millisecond)
				at, call = left, ask(fmt.Sprintf("%s-%d", first, try))
				call.Deadline = 8*time.Second - time.Since(started)
				call.Header["Crocusfold-Prompt-Prefix"] = fmt.Sprintf("5c1e%s:110,91bd%s:100,%s:250", first[:3], first[:5], first)
				call.Header["Last-Event-Id"], call.Header["Resumes"] = got[len(got)-1].ID, first
			}
			mu.Lock()
			defer mu.Unlock()
			if at == left {
				taken++
				if len(got) == 26 {
					wentOn++
				}
			}
			d.record.Print("stream %s: %d of 26 events;%s", first, len(got), text)
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		for _, e := range edges[:len(edges)-1] {
			_ = e.cmd.Process.Kill()
		}
		d.record.Print("all machines but %s are killed", left.name)
	} else {
		// Without the kill, the channels of the clients break, and the machines live.
		for _, e := range edges[:len(edges)-1] {
			e.BreakChannels()
		}
		d.record.Print("the channels of the clients of all machines but %s break", left.name)
	}
	for i := range 16 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			a := left.Send(ask(fmt.Sprintf("%03x%05x", 0xa00+i, i)))
			mu.Lock()
			defer mu.Unlock()
			asked++
			if a.Status == 200 {
				begun++
			}
			d.record.Print("a new stream at %s: %s", left.name, a)
		})
	}
	wg.Wait()
	d.record.Print("%d of %d streams that were taken up again went on, %d of %d new ones began", wentOn, taken, begun, asked)
	if taken < 12 {
		return false, fmt.Errorf("%w: %d streams were taken up again", errCannotRun, taken)
	}
	goesOn, begins := float64(wentOn)/float64(taken), float64(begun)/float64(asked)
	return goesOn < begins/2, nil
}
