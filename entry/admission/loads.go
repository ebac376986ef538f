package admission

import (
	"context"
	"sync/atomic"
	"time"

	"crocusfold.dev/entry/message"
)

// Intervals and thresholds for the messages that share loads.
const (
	// refreshInterval is the time between messages unless a change is urgent. Messages
	// without a change keep the loads that were sent before from expiring at the peers.
	refreshInterval = time.Second
	// fullInterval is the time between messages with all loads, for instances that have
	// started since or missed a message.
	fullInterval = 5 * time.Second
	// ignoredChange is the difference, in requests or backlog steps, up to which a load
	// always counts as unchanged.
	ignoredChange = 1
	// backlogStep is the unit, in milliseconds, in which backlogs are compared.
	backlogStep = 50
)

// source is the state of the messages from one controller.
type source struct {
	// lastReceived is the time of the last message that was applied.
	lastReceived atomic.Pointer[time.Time]
	// start and seq identify the last message, as in message.Loads.
	start int64
	seq   uint64
	// complete is true if no message was missed since the last full one.
	complete bool
}

func (s *source) markReceived(now time.Time) { s.lastReceived.Store(&now) }

// fresh reports whether the loads of the source may still be used.
func (s *source) fresh(now time.Time) bool {
	at := s.lastReceived.Load()
	return at != nil && now.Sub(*at) <= loadTTL
}

// age returns the time since the last message, or loadTTL if there was none.
func (s *source) age(now time.Time) time.Duration {
	if at := s.lastReceived.Load(); at != nil {
		return now.Sub(*at)
	}
	return loadTTL
}

// sentLoads is the state of the messages that a controller sends to its peers. It is
// not safe for concurrent use.
type sentLoads struct {
	start int64
	seq   uint64
	// last holds the load of each upstream as it was sent last, by digest of its name.
	last     map[uint64]message.Load
	lastSent time.Time
	lastFull time.Time
}

// shareLoads sends the peers of the region the loads that changed, or all of them after
// fullInterval. An urgent change is sent at once, others after refreshInterval.
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

// changes returns the loads that differ enough from those sent last, and whether one of
// them is urgent: that of an upstream that was warm and now is not, has another
// incarnation or weight version, or gave no report. An upstream without a report is
// returned as not warm.
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

// similar reports whether two numbers of requests or backlog steps differ by at most
// ignoredChange or a quarter of the larger one.
func similar(a, b int) bool {
	d := a - b
	return d*d <= ignoredChange*ignoredChange || 4*max(d, -d) <= max(a, b)
}

// record records loads as sent.
func (s *sentLoads) record(loads []message.Load) {
	if s.last == nil {
		s.last = map[uint64]message.Load{}
	}
	for _, l := range loads {
		s.last[l.Upstream] = l
	}
}

// receiveLoads applies a controller's message; one that is not newer than the last is
// ignored. After a gap, messages are not applied until one has all loads, so that loads
// whose change was missed expire.
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

// storeLoads replaces the loads of upstreams by those that a source reported.
func (a *Admission) storeLoads(s *source, loads []message.Load) {
	for _, l := range loads {
		a.stateOfDigest(l.Upstream).load.Store(&reportedLoad{l, s})
	}
}
