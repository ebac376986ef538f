package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["withheld"] = withheld }

const (
	// crowdChannels is the number of channels of the crowd. An instance of 134 MB and 4,100
	// descriptors keeps 1,504.
	crowdChannels = 1600
	// ordinaryClients try to open new channels all the time.
	ordinaryClients = 10
	// contactTime is contactMs of the settings.
	contactTime = 3 * time.Second
)

// withheld has clients with a wrong key send small bodies but for their last byte and stay, and
// looks whether ordinary clients can still open channels to the machine.
func withheld(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	memoryMB = 134
	if err := d.startOrders(3, nil); err != nil {
		return fail(err)
	}
	edge := d.Edges[0]
	var mu sync.Mutex
	opened, reset, answered := 0, 0, 0
	if trouble {
		for range crowdChannels {
			conn, err := net.DialTimeout("tcp", edge.Front(), time.Second)
			if err != nil {
				mu.Lock()
				reset++
				mu.Unlock()
				continue
			}
			fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\nCrocusfold-Request-Id: %s\r\nAuthorization: Bearer no-such-key\r\nContent-Length: 100\r\n\r\n%s", host, newID(), strings.Repeat("b", 99))
			mu.Lock()
			opened++
			mu.Unlock()
			go func() {
				defer conn.Close()
				n, _ := conn.Read(make([]byte, 4096))
				mu.Lock()
				defer mu.Unlock()
				if n > 0 {
					answered++
				} else {
					reset++
				}
			}()
		}
		d.Note("crowd: %d channels opened, with bodies of 100 bytes of which the last is withheld", opened)
	}
	time.Sleep(2 * time.Second)
	// Each ordinary client sends one request on a new channel every 300 ms.
	type attempt struct {
		client int
		at     time.Time
		took   bool
	}
	var attempts []attempt
	var wg sync.WaitGroup
	began := time.Now()
	end := began.Add(15 * time.Second)
	unready := false
	for n := range ordinaryClients {
		wg.Go(func() {
			for time.Now().Before(end) {
				at := time.Now()
				a := sendOn(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, edge, Request{Method: "POST", Path: "/orders/1", Key: key, Body: "an order", Timeout: 1500 * time.Millisecond})
				d.Note("ordinary client %d, new channel: id %s, status %d after %.3f s, %v", n, a.ID, a.Status, a.Took.Seconds(), a.Err)
				mu.Lock()
				attempts = append(attempts, attempt{n, at, a.Status != 0})
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for time.Now().Before(end) {
			if !ready(edge) {
				unready = true
			}
			time.Sleep(time.Second)
		}
	})
	wg.Wait()
	d.NoteRuns()
	// The longest time without a channel that the machine took, and who tried meanwhile.
	last, longest, clients := began, time.Duration(0), 0
	tried := map[int]bool{}
	took := 0
	for _, a := range append(attempts, attempt{client: -1, at: end, took: true}) {
		if !a.took {
			tried[a.client] = true
			continue
		}
		if a.client >= 0 {
			took++
		}
		if a.at.Sub(last) > longest {
			longest, clients = a.at.Sub(last), len(tried)
		}
		last, tried = a.at, map[int]bool{}
	}
	mu.Lock()
	text := fmt.Sprintf("crowd: %d channels opened, %d answered, %d reset; ordinary clients: %d new channels tried, %d taken; longest time without one %.1f s, %d clients tried; ready all the while: %v; the process is alive: %v", opened, answered, reset, len(attempts), took, longest.Seconds(), clients, !unready, edge.Alive())
	mu.Unlock()
	d.Note("%s", text)
	fmt.Println(text)
	switch {
	case !edge.Alive(), longest >= contactTime && clients >= 7 && !unready:
		return broken
	case unready:
		return couldNot
	}
	return held
}
