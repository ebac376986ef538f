// Package logservice is a stand-in for the platform's append-only log service.
package logservice

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"crocusfold.dev/shell/logstream"
	"crocusfold.dev/standin/fault"
)

// Faults are the failure modes of the log service.
type Faults struct {
	// Down fails all calls with status 503.
	Down bool `json:"down,omitempty"`
	// Partitioned lists the clients, by X-Instance, whose calls get no response.
	Partitioned []string `json:"cut,omitempty"`
	// LoseResponses is the number of upcoming appends that are written, but whose
	// connections are closed without a response.
	LoseResponses int `json:"lose-answers,omitempty"`
	// LoseAppends is the number of upcoming appends that are not written and whose
	// connections are closed without a response.
	LoseAppends int `json:"lose-appends,omitempty"`
	// SlowMillis delays each call, in milliseconds.
	SlowMillis int `json:"slow-millis,omitempty"`
	// Stale serves reads from a copy that lacks the records appended since the fault
	// was set.
	Stale bool `json:"stale,omitempty"`
}

const (
	defaultRetention = time.Hour
	// defaultRate is in appends per second.
	defaultRate = 300
	// maxPage is the maximum number of records that a read returns.
	maxPage = 2000
	// maxWait is the longest time that a read waits for records, and that the call of
	// a partitioned client hangs.
	maxWait = 5 * time.Second
)

// Service keeps streams in memory. The zero value is ready to use. It is safe for
// concurrent use.
type Service struct {
	// Retention is how long records are kept; 0 means one hour.
	Retention time.Duration
	// Rate is the maximum number of appends per second; 0 means 300.
	Rate int

	faults    fault.Injector[Faults]
	mu        sync.Mutex
	streams   map[string]*stream
	rateStart time.Time
	rateCount int
	appends   int
}

type stream struct {
	firstOffset uint64
	records     []logstream.Record
	// frozenLen is the number of records that stale reads get; -1 means all.
	frozenLen int
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	mux.HandleFunc("GET /stand-in/appends", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		fault.WriteJSON(w, map[string]int{"appends": s.appends})
	})
	mux.Handle(fault.Path, &s.faults)
	return mux
}

// admit applies the faults that affect every call. It returns false if it has
// written an error response.
func (s *Service) admit(w http.ResponseWriter, r *http.Request) bool {
	f := s.faults.Get()
	if slices.Contains(f.Partitioned, r.Header.Get("X-Instance")) {
		// A partitioned client gets no response; its own deadline ends the call.
		select {
		case <-r.Context().Done():
		case <-time.After(maxWait):
		}
		fault.Abort()
	}
	if f.SlowMillis > 0 {
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	if f.Down {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	var req appendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Records) == 0 {
		http.Error(w, "the append can't be read", http.StatusBadRequest)
		return
	}
	if !s.withinRate(time.Now()) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if s.consume(func(f *Faults) *int { return &f.LoseAppends }) {
		fault.Abort()
	}
	offset := s.write(r.PathValue("stream"), req.Records)
	if s.consume(func(f *Faults) *int { return &f.LoseResponses }) {
		fault.Abort()
	}
	fault.WriteJSON(w, map[string]uint64{"offset": offset})
}

// consume decrements a counted fault. It returns false if the count is 0.
func (s *Service) consume(counter func(*Faults) *int) bool {
	left := false
	s.faults.Update(func(f *Faults) {
		if n := counter(f); *n > 0 {
			*n--
			left = true
		}
	})
	return left
}

// withinRate counts an append and reports whether the rate limit allows it.
func (s *Service) withinRate(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.Rate
	if rate == 0 {
		rate = defaultRate
	}
	if now.Sub(s.rateStart) >= time.Second {
		s.rateStart, s.rateCount = now, 0
	}
	s.rateCount++
	return s.rateCount <= rate
}

func (s *Service) write(name string, records [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if !s.faults.Get().Stale {
		st.frozenLen = -1
	} else if st.frozenLen < 0 {
		st.frozenLen = len(st.records)
	}
	now := time.Now()
	offset := st.firstOffset + uint64(len(st.records))
	for i, data := range records {
		st.records = append(st.records, logstream.Record{Offset: offset + uint64(i), Time: now, Data: data})
	}
	s.appends++
	close(st.changed)
	st.changed = make(chan struct{})
	return offset
}

// stream returns the stream of a name, and creates it if needed. The caller holds mu.
func (s *Service) stream(name string) *stream {
	if s.streams == nil {
		s.streams = map[string]*stream{}
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{}), frozenLen: -1}
		s.streams[name] = st
	}
	return st
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.After(min(wait, maxWait))
	for {
		page, changed := s.page(r.PathValue("stream"), from)
		if len(page.Records) > 0 || page.Oldest > from {
			s.respond(w, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.respond(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// respond writes page, or an error if an outage began while the read waited.
func (s *Service) respond(w http.ResponseWriter, page logstream.Page) {
	if s.faults.Get().Down {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return
	}
	fault.WriteJSON(w, page)
}

// page returns at most maxPage records from the offset from on, none if that has expired,
// and a channel that is closed at the next append to the stream.
func (s *Service) page(name string, from uint64) (logstream.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	retention := s.Retention
	if retention == 0 {
		retention = defaultRetention
	}
	st.expire(time.Now().Add(-retention))
	visible := st.records
	if s.faults.Get().Stale && st.frozenLen >= 0 {
		visible = visible[:min(st.frozenLen, len(visible))]
	}
	page := logstream.Page{Oldest: st.firstOffset, End: st.firstOffset + uint64(len(visible)), Retention: retention}
	if from >= st.firstOffset && from < page.End {
		rest := visible[from-st.firstOffset:]
		page.Records = slices.Clone(rest[:min(len(rest), maxPage)])
	}
	return page, st.changed
}

// expire drops the records from before a time. The caller holds the service's mu.
func (st *stream) expire(before time.Time) {
	n := 0
	for n < len(st.records) && st.records[n].Time.Before(before) {
		n++
	}
	st.firstOffset += uint64(n)
	st.records = st.records[n:]
	if st.frozenLen >= 0 {
		st.frozenLen = max(0, st.frozenLen-n)
	}
}
