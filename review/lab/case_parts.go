package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The crowd: so many clients, each of which sends a prompt of so many parts, all different, and
// the next one when it has the answer.
const (
	crowdClients = 16
	crowdParts   = 1900
)

func init() { cases["parts"] = manyParts }

// manyParts has a few clients of one tenant send prompts of many short parts, and looks
// whether the ordinary requests of another tenant still get answers.
func manyParts(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	for i, capacity := range []int{226078, 226078, 226078, 1695586, 1695586} {
		if err := d.AddKV(fmt.Sprintf("kv-%d", i+1), capacity); err != nil {
			return fail(err)
		}
	}
	stores := map[string]*KV{}
	for _, kv := range d.KVs {
		stores[kv.Address] = kv
	}
	for i := range 12 {
		if err := d.AddReplica(&Replica{ID: fmt.Sprintf("i-llm-%d", i+1), Service: "llm", Model: "m1", Capacity: 64, Work: 8 * time.Millisecond, Events: 5, Stores: stores}); err != nil {
			return fail(err)
		}
	}
	for i := range 3 {
		if err := d.AddReplica(&Replica{ID: fmt.Sprintf("i-app-%d", i+1), Service: "app", Capacity: 6, Work: 20 * time.Millisecond}); err != nil {
			return fail(err)
		}
	}
	d.Routes = []map[string]any{
		{"name": "orders", "host": host, "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "app", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
		{"name": "status", "host": host, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "app", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false},
		{"name": "query", "host": host, "pathPrefix": "/query/", "kind": "streaming", "timeoutMs": 2500, "targetLatencyMs": 400, "priority": 1, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 300},
	}
	d.Configure(1, []map[string]any{
		{"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 23.0, "engineKind": map[string]any{
			"capacity": 64, "kvCapacity": 92125, "kvTokenBytes": 131072, "linkMbps": 550000.0, "managed": true, "stride": 1, "maxInflight": 12, "models": []map[string]any{{"name": "m1"}},
		}},
		{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
	})
	if err := d.AddEdges(3); err != nil {
		return fail(err)
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(4 * time.Second)
	d.Note("all instances are ready")
	crowd := 0
	if trouble {
		crowd = crowdClients
	}
	end := time.Now().Add(14 * time.Second)
	var wg sync.WaitGroup
	var sent atomic.Int64
	for n := range crowd {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				header := partsOf(n, i)
				sent.Add(1)
				a := send(d.Edges[0], Request{Method: "POST", Path: "/query/x", Key: otherKey, Header: header, Body: "x", Timeout: 2500 * time.Millisecond})
				d.Note("crowd %d: head of %d bytes, status %d after %.3f s, %v", n, len(header["Crocusfold-Prompt-Prefix"]), a.Status, a.Took.Seconds(), a.Err)
				time.Sleep(time.Until(a.At.Add(200 * time.Millisecond)))
			}
		})
	}
	time.Sleep(2 * time.Second)
	// The ordinary clients: 20 requests a second, sent whatever became of the earlier ones.
	var mu sync.Mutex
	var answers []Answer
	var requests []Request
	for i := 0; time.Now().Before(end); i++ {
		q := Request{Method: "POST", Path: "/orders/1", Key: key, Body: "an order", Timeout: 1500 * time.Millisecond}
		switch i % 3 {
		case 1:
			q = Request{Method: "GET", Path: "/status/1", Key: key, Timeout: 1500 * time.Millisecond}
		case 2:
			q = Request{Method: "POST", Path: "/query/1", Key: key, Body: "q", Timeout: 2500 * time.Millisecond, Header: map[string]string{
				"Crocusfold-Model": "m1", "Crocusfold-Token-Count": "827,5", "Crocusfold-Prompt-Prefix": fmt.Sprintf("aa01:650,%x:177", 1<<20+i),
			}}
		}
		wg.Go(func() {
			a := send(d.Edges[0], q)
			d.Note("ordinary %s: status %d after %.3f s, %v", q.Path, a.Status, a.Took.Seconds(), a.Err)
			mu.Lock()
			defer mu.Unlock()
			answers, requests = append(answers, a), append(requests, q)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	// Of the requests that are unanswered at their route's timeout, how many have no answer
	// half a second later.
	unanswered, late, served := 0, 0, 0
	for i, a := range answers {
		if a.Took > requests[i].Timeout {
			unanswered++
		}
		if a.Took > requests[i].Timeout+500*time.Millisecond {
			late++
		}
		if a.Status == 200 && a.Err == nil {
			served++
		}
	}
	alive := d.Edges[0].Alive()
	d.NoteRuns()
	text := fmt.Sprintf("crowd: %d requests; ordinary: %d requests, %d served, %d unanswered at their route's timeout, %d half a second later; the process is alive: %v", sent.Load(), len(answers), served, unanswered, late, alive)
	d.Note("%s", text)
	fmt.Println(text)
	if !alive || unanswered >= 8 && 2*late > unanswered {
		return broken
	}
	if len(answers) < 100 {
		return couldNot
	}
	return held
}

// partsOf returns the headers of a prompt of short parts, within the limit of 16,384 bytes.
func partsOf(n, i int) map[string]string {
	var parts []string
	for p := range crowdParts {
		parts = append(parts, fmt.Sprintf("%05x:1", (n<<15+i*crowdParts+p)&0xfffff))
	}
	return map[string]string{
		"Crocusfold-Model": "m1", "Crocusfold-Token-Count": fmt.Sprintf("%d,2", crowdParts), "Crocusfold-Prompt-Prefix": strings.Join(parts, ","),
	}
}
