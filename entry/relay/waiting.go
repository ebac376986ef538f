package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/waitqueue"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/replicas"
)

const (
	// maxBlocked is the number of waiting requests that one pass may fail to place.
	maxBlocked = 4
	// checkInterval is the pause between passes if nothing wakes the queue. The shorter one
	// applies if replicas become available by the passing of time, such as at the end of a
	// backoff.
	checkInterval      = 500 * time.Millisecond
	shortCheckInterval = 100 * time.Millisecond
	// observeInterval is the shortest pause between two observations of the capacity.
	observeInterval = 20 * time.Millisecond
	// peerWaitingTTL is how long counts what a peer reported.
	peerWaitingTTL = 2 * time.Second
	// minOutage is how long a service was not available if what follows is a recovery.
	minOutage = 500 * time.Millisecond
	// maxRoutes bounds the routes whose times are remembered.
	maxRoutes = 1024
)

// Waiting has the requests that wait for a replica, by core/waitqueue. It is safe for
// concurrent use.
type Waiting struct {
	relay *Relay
	// count is the number of waiting requests, and scheduled true while a pass over all
	// services is about to run.
	count     atomic.Int64
	scheduled atomic.Bool

	mu      sync.Mutex
	queue   waitqueue.Queue
	returns waitqueue.Returns
	waiters map[uint64]*waiter
	lastID  uint64
	// check is the timer of the next pass over all services, due at checkAt.
	check   *time.Timer
	checkAt time.Time
	// observed is when the capacity of a service was last observed.
	observed map[string]time.Time
	routes   map[string]*routeTimes
	peers    map[string]peerWaiting
	// unavailable has since when no replica of a service could be chosen for another reason
	// than that all are full.
	unavailable map[string]time.Time
	// instances is the number of instances, with this one.
	instances int
	stopping  bool
}

// routeTimes is what is learned of the requests of a route.
type routeTimes struct {
	timeouts waitqueue.Timeouts
	// first and whole are the moving averages of the times from the choice of a replica to the
	// response head and to the end of the response; 0 if not known.
	first, whole time.Duration
}

// peerWaiting is what waits at a peer and at the instances that it aggregates.
type peerWaiting struct {
	at        time.Time
	byService []message.ServiceWaiting
}

// waiter is a waiting request. Its outcome is sent once.
type waiter struct {
	call    *call
	item    waitqueue.Item
	outcome chan outcome
	// reason is why it was last not placed.
	reason pool.Reason
}

// outcome is the end of waiting: a placement or a refusal.
type outcome struct {
	placement *replicas.Placement
	refusal   *refusal
}

// Waiting returns the requests that wait for a replica.
func (rl *Relay) Waiting() *Waiting {
	rl.waitingOnce.Do(func() {
		rl.waiting = &Waiting{
			relay: rl, waiters: map[uint64]*waiter{}, observed: map[string]time.Time{}, routes: map[string]*routeTimes{}, peers: map[string]peerWaiting{}, unavailable: map[string]time.Time{},
		}
	})
	return rl.waiting
}

// SetInstances sets the number of instances.
func (w *Waiting) SetInstances(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = n
}

// MergeGossip implements gossip.Waiting. The loads of peers show where room has become.
func (w *Waiting) MergeGossip(now time.Time, m message.Gossip) {
	w.mu.Lock()
	if len(m.Waiting) == 0 {
		delete(w.peers, m.Name)
	} else {
		w.peers[m.Name] = peerWaiting{now, m.Waiting}
	}
	w.mu.Unlock()
	w.WakeAll()
}

// FillGossip implements gossip.Waiting.
func (w *Waiting) FillGossip(now time.Time, m *message.Gossip, peers map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := map[string]message.ServiceWaiting{}
	add := func(o message.ServiceWaiting) {
		s := sum[o.Service]
		sum[o.Service] = message.ServiceWaiting{Service: o.Service, Count: s.Count + o.Count, Size: s.Size + o.Size}
	}
	for _, service := range w.queue.Services() {
		count, size := w.queue.Waiting(service)
		add(message.ServiceWaiting{Service: service, Count: count, Size: int(size)})
	}
	for name, p := range w.peers {
		if peers[name] && now.Sub(p.at) < peerWaitingTTL {
			for _, o := range p.byService {
				add(o)
			}
		}
	}
	for _, s := range sum {
		m.Waiting = append(m.Waiting, s)
	}
}

// DropPeers implements gossip.Waiting.
func (w *Waiting) DropPeers(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		delete(w.peers, name)
	}
}

// peersWaiting returns the sum of the sizes of what waits for a service at the peers.
func (w *Waiting) peersWaiting(now time.Time, service string) float64 {
	sum := 0.0
	for _, p := range w.peers {
		if now.Sub(p.at) >= peerWaitingTTL {
			continue
		}
		for _, s := range p.byService {
			if s.Service == service {
				sum += float64(max(0, s.Size))
			}
		}
	}
	return sum
}

// observe has the queue know the capacity of a service.
func (w *Waiting) observe(now time.Time, service string, tokens bool) {
	if now.Sub(w.observed[service]) < observeInterval {
		return
	}
	w.observed[service] = now
	c := waitqueue.Capacity{PeersWaiting: w.peersWaiting(now, service), Instances: w.instances}
	w.relay.Replicas.WithPool(func(p *pool.Pool) {
		held := p.Held(now, service)
		if c.Held = float64(held.Running); tokens {
			c.Held = float64(held.Tokens)
		}
	})
	w.queue.Observe(now, service, c)
}

// Wake places waiting requests of a service, whose replicas may have room now.
func (w *Waiting) Wake(service string) {
	if w.count.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass(w.relay.Now(), service)
}

// WakeAll has waiting requests of all services placed soon. It may be called with any lock
// held.
func (w *Waiting) WakeAll() {
	if w.count.Load() == 0 || !w.scheduled.CompareAndSwap(false, true) {
		return
	}
	go w.passAll()
}

func (w *Waiting) passAll() {
	w.scheduled.Store(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.relay.Now()
	for _, service := range w.queue.Services() {
		w.pass(now, service)
	}
}

// pass places waiting requests of a service in their order until there is no room.
func (w *Waiting) pass(now time.Time, service string) {
	below, blocked, passable := largest, 0, true
	skip := map[uint64]bool{}
	interval := checkInterval
	for blocked < maxBlocked && passable {
		it, ok := w.queue.Next(now, service, below, skip)
		if !ok {
			break
		}
		wt := w.waiters[it.ID]
		if wt.call.ctx.Err() != nil {
			w.end(wt, outcome{})
			continue
		}
		pl, ref := w.tryPlace(now, wt.call, it)
		switch {
		case pl != nil:
			w.queue.Started(now, it.ID)
			w.end(wt, outcome{placement: pl})
			continue
		case final(ref.Reason):
			w.end(wt, outcome{refusal: w.refuse(now, wt.call, it, ref)})
			continue
		case ref.Reason == pool.Full && !wt.call.restricted():
			below = it.Size
			if blocked == 0 {
				passable = w.queue.Blocked(it.ID)
			}
		default:
			skip[it.ID] = true
		}
		if ref.Reason != pool.Full {
			interval = shortCheckInterval
		}
		wt.reason = ref.Reason
		blocked++
	}
	w.reportWaiting(service)
	if count, _ := w.queue.Waiting(service); count > 0 {
		w.checkIn(now, interval)
	}
}

// largest is more than the size of any request.
const largest = 1e18

// tryPlace places a request if a replica has room and this instance may take some of it.
func (w *Waiting) tryPlace(now time.Time, c *call, it waitqueue.Item) (*replicas.Placement, replicas.Refusal) {
	req := c.placementRequest()
	w.observe(now, it.Service, req.Memory > 0)
	if w.peersWaiting(now, it.Service) > 0 {
		free := 0.0
		w.relay.Replicas.WithPool(func(p *pool.Pool) { free = p.Room(now, req.Request) })
		if !w.queue.MayTake(now, it, free) {
			return nil, replicas.Refusal{Reason: pool.Full}
		}
	}
	if !w.queue.RecoveryAllows(now, it) {
		return nil, replicas.Refusal{Reason: pool.Full}
	}
	pl, ref := c.placeAllowed(now, req)
	w.observeAvailable(now, it.Service, req.Memory, pl != nil, ref.Reason)
	return pl, ref
}

// observeAvailable begins a recovery when a replica takes a request after none could for
// minOutage, or the first one of this process.
func (w *Waiting) observeAvailable(now time.Time, service string, memory int, placed bool, reason pool.Reason) {
	since, known := w.unavailable[service]
	switch {
	case !placed && (reason == pool.NoReplica || reason == pool.Reloading || reason == pool.Failing):
		if !known || since.IsZero() {
			w.unavailable[service] = now
		}
	case placed && (!known || !since.IsZero()):
		w.unavailable[service] = time.Time{}
		if known && now.Sub(since) < minOutage {
			return
		}
		total := 0.0
		w.relay.Replicas.WithPool(func(p *pool.Pool) { total = p.Capacity(service, memory) })
		w.queue.Recover(now, service, total)
	}
}

// end ends the waiting of a request. The queue may have removed it already.
func (w *Waiting) end(wt *waiter, o outcome) {
	if _, ok := w.waiters[wt.item.ID]; !ok {
		return
	}
	w.queue.Remove(wt.item.ID)
	delete(w.waiters, wt.item.ID)
	w.count.Add(-1)
	wt.outcome <- o
}

// checkIn has the next pass over all services begin after a time at the latest.
func (w *Waiting) checkIn(now time.Time, d time.Duration) {
	at := now.Add(d)
	if w.checkAt.After(now) && !at.Before(w.checkAt) {
		return
	}
	w.checkAt = at
	if w.check != nil {
		w.check.Stop()
	}
	w.check = time.AfterFunc(d, w.passAll)
}

// stop refuses what waits. From now on, nothing waits at this instance.
func (w *Waiting) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
	for _, wt := range w.waiters {
		w.end(wt, outcome{refusal: notRun(codeStopping, stoppingRetry)})
	}
}

// times returns what is learned of a route.
func (w *Waiting) times(route string) *routeTimes {
	t, ok := w.routes[route]
	if !ok {
		if len(w.routes) >= maxRoutes {
			clear(w.routes)
		}
		t = &routeTimes{}
		w.routes[route] = t
	}
	return t
}
