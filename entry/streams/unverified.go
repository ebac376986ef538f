package streams

import (
	"context"
	"maps"
	"slices"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/streamorigin"
	"crocusfold.dev/entry/message"
)

const (
	// probeInterval is the pause between two probes of a replica, and probeTimeout bounds one.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// Connection is a connection to a replica of the list. A replica may start again under its id
// and address, with another software version, before its entry says so. That ends its
// connections, so that one which is older than a proof of the entry leads to the process that
// the entry is about.
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

// probe is the last successful report of an incarnation of a replica.
type probe struct {
	incarnation int64
	// askedAt is when a report was last requested, and reportedAt when the one was that the
	// replica responded to.
	askedAt, reportedAt time.Time
}

// verified reports whether a connection is known to lead to the process that the entry of its
// replica is about.
func (s *Streams) verified(c Connection) bool {
	listed := false
	s.Replicas.WithPool(func(p *pool.Pool) {
		r, ok := p.Replica(c.Replica.ID)
		listed = ok && r.Incarnation == c.Replica.Incarnation
	})
	if listed && !s.Topics.ReplicasProof().Before(c.OpenedAt) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.probes[c.Replica.ID]
	return p.incarnation == c.Replica.Incarnation && !p.reportedAt.Before(c.OpenedAt)
}

// Verify reports whether a connection leads to the process that the entry of its replica is
// about. If that is not known, the list is read from the log and, if that fails, the replica
// asked when it started.
func (s *Streams) Verify(ctx context.Context, c Connection) bool {
	if s.verified(c) {
		return true
	}
	s.mu.Lock()
	interval := s.OriginLog.Rates.Interval(max(1, s.instances)) / 2
	s.mu.Unlock()
	if err := s.Topics.ConfirmReplicas(ctx, c.OpenedAt, interval); err != nil {
		s.probe(ctx, c.Replica)
	}
	return s.verified(c)
}

// probe asks a replica when it started, unless it is not listed or was asked less than
// probeInterval ago.
func (s *Streams) probe(ctx context.Context, r pool.Replica) {
	now := s.Now()
	listed := false
	s.Replicas.WithPool(func(p *pool.Pool) {
		if current, ok := p.Replica(r.ID); ok && current.Incarnation == r.Incarnation {
			r, listed = current, true
		}
	})
	if !listed {
		return
	}
	s.mu.Lock()
	p := s.probes[r.ID]
	due := now.Sub(p.askedAt) >= probeInterval || p.incarnation != r.Incarnation
	if due {
		if p.incarnation != r.Incarnation {
			p = probe{incarnation: r.Incarnation}
		}
		p.askedAt = now
		s.probes[r.ID] = p
	}
	s.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := s.Control.Report(ctx, r.Address)
	if err != nil || report.Incarnation != r.Incarnation || r.Incarnation == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.probes[r.ID]; p.incarnation == r.Incarnation && p.reportedAt.Before(now) {
		p.reportedAt = now
		s.probes[r.ID] = p
	}
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
			go s.probe(ctx, u.Replica)
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
// records its origin. known is false if there is no such stream.
func (s *Streams) resolve(ctx context.Context, request uint64) (origin streamorigin.Origin, verified, known bool) {
	s.mu.Lock()
	u, known := s.unverified[request]
	s.mu.Unlock()
	if !known || !s.Verify(ctx, u.Connection) {
		return streamorigin.Origin{}, false, known
	}
	s.record(u)
	return streamorigin.Origin{Service: u.Service, Version: u.Version, At: u.at}, true, true
}
