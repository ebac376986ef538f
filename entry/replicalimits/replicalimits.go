// Package replicalimits keeps the requests of all instances to a replica within the limit
// that the replica states. The limit is divided among a few instances, its grantors. The
// others request the grant of each request from them.
package replicalimits

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"crocusfold.dev/core/denials"
	"crocusfold.dev/core/grantors"
	"crocusfold.dev/core/limiter"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/entry/replicas"
)

const (
	// callTimeout bounds a request to a grantor.
	callTimeout = 100 * time.Millisecond
	// refusedWait is the wait of a response if the instance asked is not a grantor.
	refusedWait = 250 * time.Millisecond
	// sweepInterval is the shortest time between two clean-ups.
	sweepInterval = 10 * time.Second
)

// Outcome is the result of a request for a grant, for the metrics.
type Outcome string

// The outcomes.
const (
	Granted Outcome = "granted"
	Denied  Outcome = "denied"
	// Failed means that a grantor did not respond.
	Failed Outcome = "failed"
)

// ReplicaLimits requests grants, and grants within this instance's shares. The exported
// fields must be set before Attach. It is safe for concurrent use.
type ReplicaLimits struct {
	Self     roster.Member
	Endpoint *peerrpc.Endpoint
	Replicas *replicas.Replicas
	Now      func() time.Time
	// Count counts the outcomes.
	Count func(o Outcome)

	mu       sync.Mutex
	grantors grantors.Grantors
	limiter  limiter.Limiter
	denials  denials.Denials
	sweptAt  time.Time
}

// Attach registers the handler for the requests of peers. It must be called before the
// endpoint serves.
func (l *ReplicaLimits) Attach() {
	l.Endpoint.Handle(func(_ context.Context, _ string, msg message.Message) (message.Message, bool, error) {
		m, ok := msg.(message.GrantRequest)
		if !ok {
			return nil, false, nil
		}
		return l.grant(l.Now(), m), true, nil
	})
}

// SetGrantors sets the instances that grant.
func (l *ReplicaLimits) SetGrantors(now time.Time, g grantors.Grantors) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantors = g
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	l.limiter.Sweep(now)
	l.denials.Sweep(now)
}

// Acquire requests the grant of a request with a priority, 0 being the most urgent, to a
// limited replica. It asks one grantor after the other. If it returns false, the wait is
// the time after which a grant may be available.
func (l *ReplicaLimits) Acquire(ctx context.Context, r pool.Replica, priority int) (wait time.Duration, ok bool) {
	limit, known := l.Replicas.Limit(r.ID, r.Incarnation)
	if !known || !limit.Limited {
		return 0, true
	}
	req := message.GrantRequest{Replica: r.ID, Incarnation: r.Incarnation, Rate: limit.Rate, Priority: priority}
	all, askable := l.askable(r.ID, limit.Rate, priority)
	for _, grantor := range askable {
		resp, err := l.ask(ctx, grantor, req)
		switch {
		case err != nil:
			continue
		case resp.Granted:
			l.Count(Granted)
			return 0, true
		}
		l.Count(Denied)
		l.mu.Lock()
		l.denials.Denied(l.Now(), r.ID, grantor, priority, resp.Wait)
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.denials.Wait(l.Now(), r.ID, all, priority), false
}

// Charge counts a call that is sent to a replica in any case, such as a command, against
// the limit of the replica. It has no effect on a replica without a limit.
func (l *ReplicaLimits) Charge(ctx context.Context, r pool.Replica) {
	limit, known := l.Replicas.Limit(r.ID, r.Incarnation)
	if !known || !limit.Limited {
		return
	}
	req := message.GrantRequest{Replica: r.ID, Incarnation: r.Incarnation, Rate: limit.Rate, Charge: true}
	all, _ := l.askable(r.ID, limit.Rate, 0)
	for _, grantor := range all {
		if resp, err := l.ask(ctx, grantor, req); err == nil && resp.Granted {
			return
		}
	}
}

// Interval returns the shortest pause between two calls to a replica that leaves a half of
// its limit to others; 0 if it has no limit.
func (l *ReplicaLimits) Interval(r pool.Replica) time.Duration {
	limit, known := l.Replicas.Limit(r.ID, r.Incarnation)
	if !known || !limit.Limited {
		return 0
	}
	return time.Duration(2 / max(limit.Rate, limiter.MinRate) * float64(time.Second))
}

// askable returns the grantors of a replica that states a rate, and those that may grant a
// request with a priority now.
func (l *ReplicaLimits) askable(replica string, rate float64, priority int) (all, askable []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all = l.grantors.Of(replica, rate)
	return all, l.denials.Askable(l.Now(), l.Self.Address, replica, all, priority)
}

// ask sends a request to a grantor, which may be this instance.
func (l *ReplicaLimits) ask(ctx context.Context, grantor netip.AddrPort, req message.GrantRequest) (message.GrantResponse, error) {
	if grantor == l.Self.Address {
		return l.grant(l.Now(), req), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := peerrpc.Call[message.GrantResponse](callCtx, l.Endpoint, roster.Member{Name: grantor.String(), Address: grantor}, req)
	if err != nil && ctx.Err() == nil {
		l.Count(Failed)
		l.mu.Lock()
		l.denials.Failed(l.Now(), grantor)
		l.mu.Unlock()
	}
	return resp, err
}

// grant decides on a request. The limit that this instance knows has precedence over that
// of the request. A request to a replica whose limit has ended is granted.
func (l *ReplicaLimits) grant(now time.Time, m message.GrantRequest) message.GrantResponse {
	rate := m.Rate
	if limit, ok := l.Replicas.Limit(m.Replica, m.Incarnation); ok {
		if !limit.Limited {
			return message.GrantResponse{Granted: true}
		}
		rate = limit.Rate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fraction, rank := l.grantors.Share(m.Replica, rate)
	if fraction == 0 {
		return message.GrantResponse{Wait: refusedWait}
	}
	share := limiter.Share{Replica: m.Replica, Incarnation: m.Incarnation, Rate: rate, Fraction: fraction, Rank: rank}
	if m.Charge {
		l.limiter.Charge(now, share)
		return message.GrantResponse{Granted: true}
	}
	wait, ok := l.limiter.Take(now, share, m.Priority)
	return message.GrantResponse{Granted: ok, Wait: wait}
}
