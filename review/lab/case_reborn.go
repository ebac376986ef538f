package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["reborn"] = reborn }

// Times of the case, from the start of traffic.
const (
	heartbeat = 1200 * time.Millisecond
	// The store is down for outageTime, from outageAt on.
	outageAt   = 6 * time.Second
	outageTime = 6000 * time.Millisecond
	// The first server crashes crashAfter into the outage and is back restartAfter later. It
	// writes its entry again writesAfter the end of the outage, and crashes once more
	// crashesAgain after that end.
	crashAfter   = 300 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	writesAfter  = 1000 * time.Millisecond
	crashesAgain = 1500 * time.Millisecond
	trafficTime  = 14 * time.Second
	streamRate   = 10
	// A stream has so many events, one every eventGap.
	streamEvents = 40
	eventGap     = 150 * time.Millisecond
	// The first event comes after firstEvent. A server runs so many requests at once.
	firstEvent = 200 * time.Millisecond
	slots      = 16
	// streamDeadline is how long a client waits for the whole stream.
	streamDeadline = 8 * time.Second
)

// server is a replica of resumable streams, which can crash, start again under its id, and be
// cut from the store.
type server struct {
	d           *Deployment
	id, address string

	mu      sync.Mutex
	version string
	born    int64
	beats   int
	hold    bool
	ln      net.Listener
	http    *http.Server
}

func (s *server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	raw, _ := json.Marshal(map[string]any{
		"service": "llm", "address": s.address, "zone": "z1", "version": s.version, "capacity": slots, "state": "ready", "coldLeftMs": 0, "seq": s.beats, "born": s.born,
	})
	return raw
}

// start starts the server's process: a new boot at the same address.
func (s *server) start(version string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.version, s.born, s.beats, s.ln, s.address = version, time.Now().UnixMilli(), 0, ln, ln.Addr().String()
	s.http = &http.Server{Handler: s.handler(version, s.born), ConnState: nil}
	go func(h *http.Server) { _ = h.Serve(resetListener{ln}) }(s.http)
	s.d.Note("%s starts, software %s, born %d", s.id, version, s.born)
	return nil
}

// resetListener has connections reset when they are closed early, as those of a crash are.
type resetListener struct{ net.Listener }

func (l resetListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c, err
}

func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.Note("%s crashes", s.id)
	_ = s.http.Close()
}

// beat writes the entry every heartbeat while the store takes it. hold keeps it from writing.
func (s *server) beat(stop chan struct{}) {
	for {
		s.mu.Lock()
		hold := s.hold
		s.mu.Unlock()
		if !hold {
			s.put()
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) put() {
	entry := s.entry()
	if s.d.Store.Put("keyed.servers", s.id, entry) {
		s.d.Note("%s writes its entry: %s", s.id, entry)
	}
}

func (s *server) handler(version string, born int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		if r.URL.Path == "/api/report" {
			writeJSON(w, map[string]any{"phase": "unified", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "running": 1, "kvUsed": 0, "kvTotal": 1, "sessionHandles": 0, "born": born})
			return
		}
		id := r.Header.Get("Crocusfold-Request-Id")
		h.Set("Crocusfold-Request-Id", id)
		h.Set("Crocusfold-Instance-Id", s.id)
		if e := r.Header.Get("Crocusfold-Expect-Instance"); e != s.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		s.d.Note("%s (%s) runs %s from event %d on", s.id, version, id, after+1)
		h.Set("Crocusfold-Server-Seal", "seal."+s.id+"."+id)
		h.Set("Content-Type", "text/event-stream")
		pause(r, firstEvent)
		for i := after + 1; i <= streamEvents; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, version, s.id)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(eventGap):
			case <-r.Context().Done():
				return
			}
		}
	})
}

// stream is one stream of a client over all its tries.
type stream struct {
	id       string
	versions []string
	last     int
	complete bool
	tries    []string
}

// follow begins a stream and takes it up again after a broken channel, as clients do.
func (d *Deployment) follow(n int) *stream {
	s := &stream{}
	end := time.Now().Add(streamDeadline)
	first := ""
	for try := 0; try < 4 && time.Now().Before(end); try++ {
		id := newID()
		if s.id == "" {
			s.id = id
		}
		ctx, cancel := context.WithDeadline(context.Background(), end)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+d.Edges[(n+try)%len(d.Edges)].Front()+"/query/1", strings.NewReader("q"))
		req.Host = host
		req.Header.Set("Crocusfold-Request-Id", id)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Crocusfold-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
		if s.last > 0 {
			req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
			req.Header.Set("Resumes", first)
		}
		had := s.last
		status, err := s.read(req)
		cancel()
		if had == 0 && s.last > 0 {
			first = id
		}
		s.tries = append(s.tries, fmt.Sprintf("%s: %d, up to event %d, %v", id, status, s.last, err))
		if s.complete {
			break
		}
		if status == 503 {
			time.Sleep(400 * time.Millisecond)
		}
	}
	return s
}

func (s *stream) read(req *http.Request) (int, error) {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return resp.StatusCode, nil
	}
	lines := bufio.NewScanner(resp.Body)
	event := 0
	version := ""
	for lines.Scan() {
		text := lines.Text()
		switch {
		case strings.HasPrefix(text, "id: "):
			event, _ = strconv.Atoi(text[4:])
		case strings.HasPrefix(text, "data: "):
			version = text[6:]
		case text == "" && event > 0:
			s.last = event
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
			event = 0
		}
	}
	if err := lines.Err(); err != nil {
		return resp.StatusCode, err
	}
	if s.last < streamEvents {
		return resp.StatusCode, errors.New("the stream ended early")
	}
	s.complete = true
	return resp.StatusCode, nil
}

// mixed reports whether the events of a stream come from two software versions.
func (s *stream) mixed() bool {
	for _, v := range s.versions {
		if strings.Fields(v)[0] != strings.Fields(s.versions[0])[0] {
			return true
		}
	}
	return false
}

// reborn has a replica start again under its id with the other software version while the store
// is down, and crash once more after the store is back. It looks whether streams are continued at
// another software version than the one that began them.
func reborn(d *Deployment, trouble bool) int {
	fail := func(err error) int { d.Note("the case could not run: %v", err); fmt.Println(err); return couldNot }
	var servers []*server
	for i, version := range []string{"v1", "v1", "v1", "v2"} {
		s := &server{d: d, id: fmt.Sprintf("i-llm-%d", i+1)}
		if err := s.start(version); err != nil {
			return fail(err)
		}
		servers = append(servers, s)
		if i > 0 {
			go s.beat(d.stop)
		}
	}
	r1 := servers[0]
	go r1.beat(d.stop)
	d.Routes = []map[string]any{
		{"name": "query", "host": host, "pathPrefix": "/query/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "service": "llm", "maxAttempts": 2, "public": true, "sticky": false, "resumable": true, "targetGapMs": 300},
	}
	d.Configure(1, []map[string]any{{"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}})
	if err := d.AddEdges(8); err != nil {
		return fail(err)
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*stream
	go func() {
		if !trouble {
			return
		}
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		at(outageAt)
		d.Note("the store is down")
		d.Store.SetDown(true)
		at(outageAt + crashAfter)
		r1.mu.Lock()
		r1.hold = true
		r1.mu.Unlock()
		r1.crash()
		at(outageAt + crashAfter + restartAfter)
		if err := r1.start("v2"); err != nil {
			d.Note("%v", err)
		}
		at(outageAt + outageTime)
		d.Note("the store is back")
		d.Store.SetDown(false)
		at(outageAt + outageTime + writesAfter)
		r1.mu.Lock()
		r1.hold = false
		r1.mu.Unlock()
		r1.put()
		at(outageAt + outageTime + crashesAgain)
		r1.mu.Lock()
		r1.hold = true
		r1.mu.Unlock()
		r1.crash()
		time.Sleep(3 * heartbeat)
		d.Note("the store removes the entry of %s", r1.id)
		d.Store.Put("keyed.servers", r1.id, nil)
	}()
	for i := range int(trafficTime.Seconds() * streamRate) {
		wg.Go(func() {
			s := d.follow(i)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / streamRate)))
	}
	wg.Wait()
	mixed, complete, resumed := 0, 0, 0
	for _, s := range all {
		if s.complete {
			complete++
		}
		if len(s.tries) > 1 {
			resumed++
			d.Note("stream %s: complete %v, events of %s; %s", s.id, s.complete, strings.Join(s.versions, ", "), strings.Join(s.tries, "; "))
		}
		if s.mixed() {
			mixed++
			d.Note("stream %s has events of two software versions: %s", s.id, strings.Join(s.versions, ", "))
		}
	}
	text := fmt.Sprintf("streams: %d, complete: %d, taken up again: %d, with events of two software versions: %d", len(all), complete, resumed, mixed)
	d.Note("%s", text)
	fmt.Println(text)
	if mixed > 2 {
		return broken
	}
	return held
}
