package streams

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/streamorigin"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/sharedcall"
)

const (
	// probeInterval is the pause between two probes of a replica, and probeTimeout bounds one.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// idleProbeInterval is the pause between two probes that no request waits for.
	idleProbeInterval = 500 * time.Millisecond
	// defaultHeartbeat is the time after its start in which a replica writes its entry, if the
	// settings state none. heartbeatSlack is added to that time.
	defaultHeartbeat = 1200 * time.Millisecond
	heartbeatSlack   = 300 * time.Millisecond
)

// errNoStart means that a replica does not state when it started.
var errNoStart = errors.New("the replica's report does not state its start")

// Connection is a connection to a replica of the list. A replica may start again under its id
// and address, with another software version, up to a heartbeat before its entry says so.
// That ends its connections, so that one which is older than a proof of the entry by more than
// a heartbeat leads to the process that the entry is about.
type Connection struct {
	Replica  pool.Replica
	OpenedAt time.Time
}

// begun is a stream that began on a connection. If verified is true, its origin holds whatever
// the connection leads to.
type begun struct {
	message.StreamOrigin
	Connection
	verified bool
}

// unverified is a stream whose replica may have started again since its entry was last
// proven, and when this instance learnt of it. own is true if it began here.
type unverified struct {
	begun
	at  time.Time
	own bool
}

// messageOf returns streams as a message.
func messageOf(now time.Time, all []begun) message.StreamOrigins {
	var m message.StreamOrigins
	for _, b := range all {
		if b.verified {
			m.Origins = append(m.Origins, b.StreamOrigin)
			continue
		}
		m.Unverified = append(m.Unverified, message.UnverifiedOrigin{
			StreamOrigin: b.StreamOrigin, Replica: b.Replica.ID, Incarnation: b.Replica.Incarnation, Age: now.Sub(b.OpenedAt),
		})
	}
	return m
}

// keepUnverified keeps an unverified stream, unless there are too many. The caller holds the
// lock.
func (s *Streams) keepUnverified(u unverified) {
	if old, ok := s.unverified[u.Request]; len(s.unverified) < maxRecent && (!ok || !old.own) {
		s.unverified[u.Request] = u
	}
}

// probe has the reports of an incarnation of a replica.
type probe struct {
	incarnation int64
	call        sharedcall.SharedCall
	mu          sync.Mutex
	// reportedAt is when the last report was requested that the incarnation answered.
	reportedAt time.Time
	// replaced is true if another incarnation has answered.
	replaced bool
}

// entryLag returns how long after its start a replica may serve without a new entry.
func (s *Streams) entryLag() time.Duration {
	if h := s.Bounds.Bounds().Heartbeat; h > 0 {
		return h + heartbeatSlack
	}
	return defaultHeartbeat + heartbeatSlack
}

// listed reports whether the list, proven as of a time or later, has the incarnation of a
// replica. A proof from the time after an outage of the log in which replicas write again shows
// entries that they could not replace.
func (s *Streams) listed(r pool.Replica, asOf time.Time) bool {
	if proof := s.Topics.ReplicasProof(); proof.Before(asOf) || proof.Before(s.Topics.ReplicasRewritten()) {
		return false
	}
	_, ok := s.current(r)
	return ok
}

// current returns the entry of an incarnation of a replica; ok is false if it is not listed.
// The start times of two processes may be equal where a clock went back, so the software
// version counts too.
func (s *Streams) current(r pool.Replica) (current pool.Replica, ok bool) {
	s.Replicas.WithPool(func(p *pool.Pool) { current, ok = p.Replica(r.ID) })
	return current, ok && current.Incarnation == r.Incarnation && current.Software == r.Software
}

// verified reports whether a connection is known to lead to the process that the entry of its
// replica is about.
func (s *Streams) verified(c Connection) bool {
	if s.replaced(c.Replica) {
		return false
	}
	if s.listed(c.Replica, c.OpenedAt.Add(s.entryLag())) {
		return true
	}
	s.mu.Lock()
	p := s.probes[c.Replica.ID]
	s.mu.Unlock()
	if p == nil || p.incarnation != c.Replica.Incarnation {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.reportedAt.Before(c.OpenedAt)
}

// replaced reports whether a replica is known to have started again since its entry was
// written.
func (s *Streams) replaced(r pool.Replica) bool {
	s.mu.Lock()
	p := s.probes[r.ID]
	s.mu.Unlock()
	if p == nil || p.incarnation != r.Incarnation {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replaced
}

// sweepProbes drops the probes of replicas that are no longer listed.
func (s *Streams) sweepProbes() {
	listed := map[string]bool{}
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.probes))
	s.mu.Unlock()
	s.Replicas.WithPool(func(p *pool.Pool) {
		for _, id := range ids {
			_, listed[id] = p.Replica(id)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if !listed[id] {
			delete(s.probes, id)
		}
	}
}

// Verify reports whether a connection leads to the process that the entry of its replica is
// about. If that is not known, the replica is asked when it started. If it does not say, the
// list decides, read from the log once more.
func (s *Streams) Verify(ctx context.Context, c Connection) bool {
	if s.verified(c) {
		return true
	}
	if err := s.probe(ctx, c.Replica, c.OpenedAt, probeInterval); !errors.Is(err, errNoStart) {
		return s.verified(c)
	}
	s.mu.Lock()
	interval := s.OriginLog.Rates.Interval(max(1, s.instances)) / 2
	s.mu.Unlock()
	return s.Topics.ConfirmReplicas(ctx, c.OpenedAt, interval) == nil && s.listed(c.Replica, c.OpenedAt)
}

// probe asks a listed replica when it started, unless it was asked at asOf or later. It
// returns errNoStart if the replica does not say.
func (s *Streams) probe(ctx context.Context, r pool.Replica, asOf time.Time, interval time.Duration) error {
	r, ok := s.current(r)
	if !ok {
		return nil
	}
	s.mu.Lock()
	p := s.probes[r.ID]
	if p == nil || p.incarnation != r.Incarnation {
		p = &probe{incarnation: r.Incarnation}
		s.probes[r.ID] = p
	}
	s.mu.Unlock()
	return p.call.Do(ctx, s.Now, asOf, interval, probeTimeout, func(ctx context.Context, _ time.Time) error {
		askedAt := s.Now()
		report, err := s.Control.Report(ctx, r.Address)
		switch {
		case err != nil:
			return fmt.Errorf("asking replica %s for its start: %w", r.ID, err)
		case report.Incarnation == 0 || r.Incarnation == 0:
			return errNoStart
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.replaced = report.Incarnation != r.Incarnation; !p.replaced {
			p.reportedAt = askedAt
		}
		return nil
	})
}

// settle records the origins of the streams whose connections have been verified, and forgets
// those that no longer run. While the log is away, it asks the replicas of own ones.
func (s *Streams) settle(ctx context.Context, now time.Time, listCurrent bool) {
	proof := s.Topics.ReplicasProof()
	s.mu.Lock()
	due := len(s.unverified) > 0 && (!listCurrent || proof.After(s.settledProof))
	var all []unverified
	if due {
		s.settledProof = proof
		all = slices.Collect(maps.Values(s.unverified))
	}
	s.mu.Unlock()
	if !due {
		return
	}
	window := s.window()
	asked := map[string]bool{}
	for _, u := range all {
		switch {
		case s.verified(u.Connection):
			s.record(u)
		case now.Sub(u.at) >= window:
			s.mu.Lock()
			delete(s.unverified, u.Request)
			s.mu.Unlock()
		case u.own && !listCurrent && !asked[u.Replica.ID]:
			asked[u.Replica.ID] = true
			// A failure leaves the stream unverified; the next step tries again.
			go func() { _ = s.probe(ctx, u.Replica, now.Add(-idleProbeInterval), idleProbeInterval) }()
		}
	}
}

// record records the origin of a stream that was verified.
func (s *Streams) record(u unverified) {
	s.mu.Lock()
	_, open := s.unverified[u.Request]
	delete(s.unverified, u.Request)
	s.mu.Unlock()
	switch {
	case !open:
	case u.own:
		s.add(u.at, u.StreamOrigin)
	default:
		s.merge(u.at, message.StreamOrigins{Origins: []message.StreamOrigin{u.StreamOrigin}})
	}
}

// resolve tries to verify the connection of the unverified stream that a request began, and
// records its origin. The resolution is notBegun if there is no such stream.
func (s *Streams) resolve(ctx context.Context, request uint64) (streamorigin.Origin, resolution) {
	s.mu.Lock()
	u, known := s.unverified[request]
	s.mu.Unlock()
	switch {
	case !known:
		return streamorigin.Origin{}, notBegun
	case s.Verify(ctx, u.Connection):
		s.record(u)
		return streamorigin.Origin{Service: u.Service, Version: u.Version, At: u.at}, resolved
	case s.replaced(u.Replica):
		return streamorigin.Origin{}, ambiguous
	}
	return streamorigin.Origin{}, unresolved
}

// resolution is the result of resolving an unverified stream.
type resolution int

const (
	// notBegun means that there is no such stream.
	notBegun resolution = iota
	// resolved means that its origin is known now.
	resolved
	// unresolved means that its replica did not say whether it has started again.
	unresolved
	// ambiguous means that it has, so that the stream may have begun before or after.
	ambiguous
)
