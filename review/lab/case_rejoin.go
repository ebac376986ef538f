package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["rejoin"] = rejoin }

const (
	// All machines are killed at killAt and start again restartPause later. A server with the
	// newer software joins joinAfter the kill.
	killAt       = 4 * time.Second
	restartPause = 800 * time.Millisecond
	joinAfter    = 300 * time.Millisecond
	// inTouch is contactMs of the settings: a machine is in touch so long after its start.
	inTouch = 3 * time.Second
	// So many streams begin in the second before the kill.
	brokenStreams = 40
)

// retryAfter is when a client whose stream broke tries again, from the break on.
var retryAfter = []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 4200 * time.Millisecond, 5500 * time.Millisecond}

// takeUp begins a stream at an instance, and takes it up again at times after it broke. It
// returns the stream, and when and with which status its last try was answered.
func (d *Deployment) takeUp(n int) (s *stream, lastTry time.Time, lastStatus int) {
	s = &stream{id: newID()}
	end := time.Now().Add(streamDeadline)
	var broke time.Time
	for try := 0; ; try++ {
		id := s.id
		if try > 0 {
			id = newID()
		}
		ctx, cancel := context.WithDeadline(context.Background(), end)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+d.Edges[(n+3*try)%len(d.Edges)].Front()+"/query/1", strings.NewReader("q"))
		req.Host = host
		req.Header.Set("Crocusfold-Request-Id", id)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Crocusfold-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
		if s.last > 0 {
			req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
			req.Header.Set("Resumes", s.id)
		}
		lastTry = time.Now()
		had := s.last
		status, err := s.read(req)
		cancel()
		lastStatus = status
		s.tries = append(s.tries, fmt.Sprintf("%s at %.1f s: %d, from event %d up to %d, %v", id, lastTry.Sub(d.began).Seconds(), status, had+1, s.last, err))
		if broke.IsZero() {
			broke = time.Now()
		}
		if s.complete || try >= len(retryAfter) || s.last > had && try > 0 {
			return s, lastTry, lastStatus
		}
		time.Sleep(time.Until(broke.Add(retryAfter[try])))
		if time.Now().After(end) {
			return s, lastTry, lastStatus
		}
	}
}

// rejoin has all machines killed at once while streams of the only software version run, and a
// server with another version join before they are back. It looks whether the streams go on.
func rejoin(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	add := func(id, version string) error {
		s := &server{d: d, id: id}
		if err := s.start(version); err != nil {
			return err
		}
		go s.beat(d.stop)
		return nil
	}
	for i := range 3 {
		if err := add(fmt.Sprintf("i-llm-%d", i+1), "v1"); err != nil {
			return fail(err)
		}
	}
	d.Routes = []map[string]any{
		{"name": "query", "host": host, "pathPrefix": "/query/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "service": "llm", "maxAttempts": 2, "public": false, "sticky": false, "resumable": true, "targetGapMs": 300},
	}
	d.Configure(1, []map[string]any{{"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}})
	if err := d.AddEdges(8); err != nil {
		return fail(err)
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(12 * time.Second)
	began := time.Now()
	back := began.Add(killAt + restartPause)
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken, on, complete := 0, 0, 0
	for n := range brokenStreams {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(killAt - time.Second + time.Duration(n)*700*time.Millisecond/brokenStreams)))
			s, at, status := d.takeUp(n)
			mu.Lock()
			defer mu.Unlock()
			d.Note("stream %s: complete %v, events of %s; %s", s.id, s.complete, strings.Join(s.versions, ", "), strings.Join(s.tries, "; "))
			if s.complete {
				complete++
			}
			if len(s.tries) == 1 || at.Sub(back) < inTouch && status != 200 {
				return
			}
			taken++
			if s.complete {
				on++
			}
		})
	}
	time.Sleep(time.Until(began.Add(killAt)))
	if trouble {
		d.Note("all machines are killed")
		for _, e := range d.Edges {
			_ = e.cmd.Process.Signal(syscall.SIGKILL)
		}
		time.Sleep(joinAfter)
		if err := add("i-llm-new", "v2"); err != nil {
			return fail(err)
		}
		time.Sleep(time.Until(back))
		for _, e := range d.Edges {
			<-e.done
			if err := d.StartEdge(e); err != nil {
				return fail(err)
			}
		}
		d.Note("all machines start again")
	}
	// New streams, while the machines are in touch.
	begun, started := 0, 0
	time.Sleep(time.Until(back.Add(inTouch)))
	for n := range 20 {
		wg.Go(func() {
			s := &stream{}
			req, _ := http.NewRequest("POST", "http://"+d.Edges[n%len(d.Edges)].Front()+"/query/1", strings.NewReader("q"))
			req.Host = host
			id := newID()
			req.Header.Set("Crocusfold-Request-Id", id)
			req.Header.Set("Authorization", "Bearer "+key)
			req.Header.Set("Crocusfold-Deadline-Ms", "8000")
			status, err := s.read(req)
			mu.Lock()
			defer mu.Unlock()
			d.Note("new stream %s: %d, up to event %d, %v", id, status, s.last, err)
			begun++
			if s.last > 0 {
				started++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	text := fmt.Sprintf("streams: %d, complete: %d; taken up again at machines in touch: %d, of which go on: %d; new streams: %d, of which begin: %d", brokenStreams, complete, taken, on, begun, started)
	d.Note("%s", text)
	fmt.Println(text)
	switch {
	case !trouble && complete == brokenStreams && started == begun:
		return held
	case taken < 12 || started == 0:
		return couldNot
	case float64(on)/float64(taken) < float64(started)/float64(begun)/2:
		return broken
	}
	return held
}
