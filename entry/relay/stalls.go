package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"crocusfold.dev/core/eventstream"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/stall"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/replicas"
)

const (
	// stallTick is the time between two checks of the evidence.
	stallTick = 100 * time.Millisecond
	// suspicionTime is how long a suspicion lasts after the last evidence. Silent probes are
	// new evidence. A peer's suspicion alone lasts peerSuspicionTime.
	suspicionTime     = 10 * time.Second
	peerSuspicionTime = time.Second
)

// errStalled ends an attempt whose replica is suspected.
var errStalled = errors.New("the replica seems to have stalled")

// Stalls has the requests in flight of contended services, and ends those whose replica seems to
// have stalled. It is safe for concurrent use.
type Stalls struct {
	relay *Relay

	mu     sync.Mutex
	stalls stall.Stalls
	sent   map[*stall.Request]*sentRequest
}

// Stalls returns the replicas that seem to have stalled.
func (rl *Relay) Stalls() *Stalls {
	rl.stallsOnce.Do(func() { rl.stalls.relay, rl.stalls.sent = rl, map[*stall.Request]*sentRequest{} })
	return &rl.stalls
}

// sentRequest is a request in flight that is watched. The methods of nil do nothing.
type sentRequest struct {
	stalls  *Stalls
	replica pool.Replica
	request *stall.Request
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// watchStall begins to watch the attempt if requests of the service compete for replicas, and
// returns its context. This is not cancelled at the end of the attempt, since the rest of a refusal is
// read afterwards; it ends with the request.
func (c *call) watchStall(ctx context.Context, pl *replicas.Placement, now time.Time) context.Context {
	c.sent = nil
	if !pl.Contended || !c.relay.WatchStalls {
		return ctx
	}
	s := c.relay.Stalls()
	r := &sentRequest{stalls: s, replica: pl.Replica}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.request = s.stalls.Begin(now, pl.Service, stall.Replica{ID: pl.ID, Incarnation: pl.Incarnation})
	s.sent[r.request] = r
	c.sent = r
	return r.ctx
}

// endWatch ends watching the attempt.
func (c *call) endWatch() {
	r := c.sent
	if r == nil {
		return
	}
	now := c.relay.Now()
	r.stalls.mu.Lock()
	defer r.stalls.mu.Unlock()
	r.stalls.stalls.End(now, r.request)
	delete(r.stalls.sent, r.request)
}

// endedByStall reports whether the attempt was ended since its replica seems to have stalled.
func (r *sentRequest) endedByStall() bool { return r != nil && context.Cause(r.ctx) == errStalled }

// headReceived records that the head of the response arrived. A replica may send that of a stream
// before it has prefilled the prompt, so it is not the progress of a stream.
func (r *sentRequest) headReceived(now time.Time, resp *http.Response) {
	if r != nil {
		r.record(now, !eventstream.IsEventStream(resp.Header.Get("Content-Type")))
	}
}

// received records that a part of the response arrived, which is passed on to the caller next.
// progress is false if a stream has no new event.
func (r *sentRequest) received(now func() time.Time, progress bool) {
	if r == nil {
		return
	}
	at := now()
	r.record(at, progress)
	r.stalls.mu.Lock()
	defer r.stalls.mu.Unlock()
	r.stalls.stalls.Pause(at, r.request)
}

// passedOn records that the part was passed on.
func (r *sentRequest) passedOn(now func() time.Time) {
	if r == nil {
		return
	}
	at := now()
	r.stalls.mu.Lock()
	defer r.stalls.mu.Unlock()
	r.stalls.stalls.Resume(at, r.request)
}

// record records progress of the request, or else of its replica only.
func (r *sentRequest) record(now time.Time, progress bool) {
	s := r.stalls
	s.mu.Lock()
	var recovered bool
	if progress {
		recovered = s.stalls.Progress(now, r.request)
	} else {
		recovered = s.stalls.Heard(now, r.request)
	}
	s.mu.Unlock()
	if recovered {
		s.clear(now, r.replica)
	}
}

// clear ends the suspicion of a replica that responds.
func (s *Stalls) clear(now time.Time, r pool.Replica) {
	cleared := false
	s.relay.Replicas.WithPool(func(p *pool.Pool) { cleared = p.ClearSuspicion(now, r.ID, r.Incarnation) })
	if cleared {
		_ = s.relay.Logger.Log("msg", "A suspected replica responds.", "replica", r.ID, "incarnation", r.Incarnation)
		s.relay.Waiting().WakeAll()
	}
}

// Run checks the evidence regularly until ctx ends.
func (s *Stalls) Run(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.check(s.relay.Now())
		}
	}
}

// check keeps requests from the replicas against which there is evidence now, and ends those in
// flight there. Peers are notified of what this instance found out itself.
func (s *Stalls) check(now time.Time) {
	s.mu.Lock()
	findings := s.stalls.Tick(now)
	s.mu.Unlock()
	notify := false
	for _, f := range findings {
		notify = s.suspect(now, f) && f.Evidence != stall.Peer || notify
	}
	if notify && s.relay.NotifyPeers != nil {
		s.relay.NotifyPeers()
	}
}

// suspect acts on a finding, and reports whether its replica was not suspected before.
func (s *Stalls) suspect(now time.Time, f stall.Finding) bool {
	if !s.relay.WatchStalls {
		return false
	}
	until := now.Add(suspicionTime)
	if f.Evidence == stall.Peer {
		until = now.Add(peerSuspicionTime)
	}
	var begun, ok bool
	var r pool.Replica
	s.relay.Replicas.WithPool(func(p *pool.Pool) {
		// The service is not known of a replica without requests of this instance.
		if r, ok = p.Replica(f.ID); ok && p.ServiceContended(r.Service) {
			begun, ok = p.Suspect(now, until, f.ID, f.Incarnation)
		} else {
			ok = false
		}
	})
	if !ok {
		return false
	}
	ended := 0
	s.mu.Lock()
	for _, req := range f.Requests {
		if sent := s.sent[req]; sent != nil && context.Cause(sent.ctx) == nil {
			sent.cancel(errStalled)
			ended++
		}
	}
	s.mu.Unlock()
	if begun || ended > 0 {
		s.relay.Metrics.countStall(r.Service, f.Evidence)
		_ = s.relay.Logger.Log("msg", "A replica seems to have stalled.", "replica", f.ID, "incarnation", f.Incarnation, "service", r.Service,
			"evidence", f.Evidence, "silent", f.Waited.Round(time.Millisecond), "ended", ended)
	}
	return begun
}

// MergeGossip implements gossip.Stalls.
func (s *Stalls) MergeGossip(now time.Time, delay time.Duration, m message.Gossip) {
	if len(m.Stalled) == 0 {
		return
	}
	suspicions := make([]stall.Suspicion, 0, len(m.Stalled))
	for _, r := range m.Stalled {
		suspicions = append(suspicions, stall.Suspicion{Replica: stall.Replica{ID: r.Replica, Incarnation: r.Incarnation}, Age: r.Age + delay})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls.Merge(now, suspicions)
}

// FillGossip implements gossip.Stalls.
func (s *Stalls) FillGossip(now time.Time, m *message.Gossip) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sus := range s.stalls.Suspicions(now) {
		m.Stalled = append(m.Stalled, message.StalledReplica{Replica: sus.ID, Incarnation: sus.Incarnation, Age: sus.Age})
	}
}
