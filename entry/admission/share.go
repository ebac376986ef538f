package admission

import (
	"context"
	"sync/atomic"
	"time"

	"crocusfold.dev/entry/message"
)

// Times of sharing.
const (
	// refreshInterval is between messages while nothing changes; they keep what
	// was said before fresh.
	refreshInterval = time.Second
	// fullInterval is between messages with all upstreams, for instances that
	// came in between or missed a message.
	fullInterval = 5 * time.Second
	// ignoredChange is the change of a load, in requests, that is always too small
	// to be told.
	ignoredChange = 1
	// backlogStep is the size of a change of a backlog, in milliseconds.
	backlogStep = 50
)

// source is what an instance has heard of one sponsor, and when.
type source struct {
	lastReceived atomic.Pointer[time.Time]
	start        int64
	seq          uint64
	complete     bool
}

func (s *source) markReceived(now time.Time) { s.lastReceived.Store(&now) }

func (s *source) fresh(now time.Time) bool {
	at := s.lastReceived.Load()
	return at != nil && now.Sub(*at) <= loadTTL
}

// age returns the time since the sponsor was heard.
func (s *source) age(now time.Time) time.Duration {
	if at := s.lastReceived.Load(); at != nil {
		return now.Sub(*at)
	}
	return loadTTL
}

// sentLoads is what a sponsor has told its peers. Only round uses it.
type sentLoads struct {
	start    int64
	seq      uint64
	last     map[uint64]message.Load
	lastSent time.Time
	lastFull time.Time
}

// shareLoads tells the peers of the region which loads changed, and now and then all.
func (a *Admission) shareLoads(ctx context.Context, now time.Time, loads []message.Load) {
	sent := &a.sent
	full := now.Sub(sent.lastFull) >= fullInterval
	changed, urgent := sent.changes(loads)
	if !full && !urgent && now.Sub(sent.lastSent) < refreshInterval {
		return
	}
	if sent.start == 0 {
		sent.start = now.UnixNano()
	}
	sent.seq++
	sent.lastSent = now
	msg := message.Loads{Start: sent.start, Seq: sent.seq, Full: full, Loads: changed}
	if full {
		sent.lastFull = now
		msg.Loads = loads
		sent.last = nil
	}
	sent.record(msg.Loads)
	for _, m := range a.Follower.InRegion(now) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			_, _ = a.Endpoint.Call(ctx, m, msg)
		}()
	}
}

// changes returns the loads that differ enough from what was told, and whether
// one of them can't wait: an upstream that was warm and is not, or that gave no
// report.
func (s *sentLoads) changes(loads []message.Load) (changed []message.Load, urgent bool) {
	reported := make(map[uint64]bool, len(loads))
	for _, l := range loads {
		reported[l.Upstream] = true
		old, known := s.last[l.Upstream]
		switch {
		case known && old.Warm && (!l.Warm || l.Incarnation != old.Incarnation || l.Version != old.Version):
			urgent = true
		case known && l.Warm == old.Warm && l.Incarnation == old.Incarnation && similar(l.Running, old.Running) && similar(l.BacklogMillis/backlogStep, old.BacklogMillis/backlogStep):
			continue
		}
		changed = append(changed, l)
	}
	for name, old := range s.last {
		if old.Warm && !reported[name] {
			old.Warm = false
			urgent = true
			changed = append(changed, old)
		}
	}
	return changed, urgent
}

// similar reports whether two numbers of requests differ too little to be told.
func similar(a, b int) bool {
	d := a - b
	return d*d <= ignoredChange*ignoredChange || 4*max(d, -d) <= max(a, b)
}

// record notes what the peers are told.
func (s *sentLoads) record(loads []message.Load) {
	if s.last == nil {
		s.last = map[uint64]message.Load{}
	}
	for _, l := range loads {
		s.last[l.Upstream] = l
	}
}

// receiveLoads takes a sponsor's message. After a gap nothing of the sponsor's word
// is kept fresh until a message with all upstreams.
func (a *Admission) receiveLoads(now time.Time, from string, m message.Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.sources[from]
	if !ok {
		s = &source{}
		a.sources[from] = s
	}
	consecutive := m.Start == s.start && m.Seq == s.seq+1
	if m.Start < s.start || (m.Start == s.start && m.Seq <= s.seq) {
		return
	}
	s.complete = m.Full || (consecutive && s.complete)
	s.start, s.seq = m.Start, m.Seq
	if !s.complete {
		return
	}
	a.storeLoads(s, m.Loads)
	s.markReceived(now)
}

func (a *Admission) storeLoads(s *source, loads []message.Load) {
	for _, l := range loads {
		a.stateOfDigest(l.Upstream).load.Store(&reportedLoad{l, s})
	}
}
