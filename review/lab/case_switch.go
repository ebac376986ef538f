package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["switch"] = switching }

const (
	// spoilEach is how often the first two of four replicas spoil an answer: one in so many.
	// They do so for spoilTime, from spoilFrom on.
	spoilEach = 20
	spoilFrom = 2 * time.Second
	spoilTime = 5 * time.Second
	// orderRate is the number of orders a second, for orderTime.
	orderRate = 300
	orderTime = 10 * time.Second
)

// switching has half of the replicas spoil one answer in 20 for 5 s: its status line and head are
// those of a switch of protocols that nobody asked for, and nothing follows. It looks whether these
// requests get a final answer.
func switching(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	var mu sync.Mutex
	seen, spoiled := map[int]int{}, map[string]bool{}
	var began time.Time
	err := d.startOrders(4, func(n int, w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		now := time.Since(began)
		spoil := false
		if trouble && n < 2 && !began.IsZero() && now >= spoilFrom && now < spoilFrom+spoilTime {
			seen[n]++
			spoil = seen[n]%spoilEach == 0
		}
		id := r.Header.Get("Crocusfold-Request-Id")
		if spoil {
			spoiled[id] = true
		}
		mu.Unlock()
		if spoil {
			time.Sleep(20 * time.Millisecond)
			d.Note("replica %d spoils the answer of %s", n+1, id)
			hold(w, "HTTP/1.1 101 Switching Protocols\r\nCrocusfold-Request-Id: "+id+"\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		}
		return spoil
	})
	if err != nil {
		return fail(err)
	}
	const timeout = 1500 * time.Millisecond
	var wg sync.WaitGroup
	var answers []Answer
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	for i := range int(orderTime.Seconds() * orderRate) {
		wg.Go(func() {
			a := send(d.Edges[i%3], Request{Method: "POST", Path: "/orders/1", Key: key, Body: "an order", Timeout: timeout})
			d.Note("order %s: status %d after %.3f s, %v", a.ID, a.Status, a.Took.Seconds(), a.Err)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / orderRate)))
	}
	wg.Wait()
	d.NoteRuns()
	unanswered, late, never, refused := 0, 0, 0, 0
	for _, a := range answers {
		if a.Took > timeout {
			unanswered++
		}
		if a.Took > timeout+500*time.Millisecond {
			late++
		}
		if a.Status == 0 && a.Took >= clientPatience {
			never++
		}
		if a.Status == http.StatusServiceUnavailable {
			refused++
		}
	}
	text := fmt.Sprintf("orders: %d, spoiled answers: %d; unanswered at timeoutMs: %d, half a second later: %d, when the client left after %v: %d; refused: %d", len(answers), len(spoiled), unanswered, late, clientPatience, never, refused)
	d.Note("%s", text)
	fmt.Println(text)
	switch {
	case unanswered >= 8 && 2*late > unanswered:
		return broken
	case trouble && len(spoiled) < 8:
		return couldNot
	}
	return held
}
