// Package streams finds out which software version of a service began a stream that a caller
// resumes. What two versions write does not fit together, and replicas don't check it.
//
// Each instance keeps the origins of the streams that it began. While several versions serve,
// it sends them to a few other instances, chosen by rendezvous hashing, so that they outlive
// it, and writes them to the platform's log, so that they outlive all instances. A stream of
// which no origin is found began at the only version that served lately, or at the only one
// that the log records as admitted, or its origin is not known.
package streams

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"crocusfold.dev/core/backlog"
	"crocusfold.dev/core/grantors"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/softwareversion"
	"crocusfold.dev/core/streamorigin"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/core/versionadmission"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/originlog"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/entry/versionlog"
	"crocusfold.dev/shell/clock"
)

const (
	// sendInterval is the pause between two messages with new origins to an instance.
	sendInterval = 50 * time.Millisecond
	// observeInterval is the pause between two observations of the versions that serve.
	observeInterval = 200 * time.Millisecond
	// maxObserveGap is the time without an observation from which versions may have served
	// unseen, as after a suspension of the machine.
	maxObserveGap = time.Second
	// callTimeout bounds a call of another instance.
	callTimeout = 150 * time.Millisecond
	// defaultTimeout is the longest time of a stream if a route sets none.
	defaultTimeout = 30 * time.Second
	// currentMargin is subtracted from the time within which all instances must know that a
	// replica drains. A list that is older than the difference counts as not current: no
	// instance gets it from the log in time.
	currentMargin = 200 * time.Millisecond
	// maxRecent bounds the own origins that are kept to be sent and written.
	maxRecent = 1 << 14
)

// The receivers of the own origins.
const (
	toOwners = iota
	toLog
)

// Streams keeps the origins of streams and the versions that served. The exported fields
// must be set before Attach. It is safe for concurrent use.
type Streams struct {
	Self     roster.Member
	Endpoint *peerrpc.Endpoint
	Topics   *topics.Topics
	Replicas *replicas.Replicas
	Decoder  adapter.Decoder
	Bounds   *edgeconfig.LiveBounds
	Now      func() time.Time
	Logger   log.Logger
	// Connected reports whether this instance is connected to a majority of the instances.
	Connected func(now time.Time) bool
	// Rank returns the rank of this instance, 0 being the first, and whether it is connected
	// to a majority of the instances.
	Rank func(now time.Time) (rank int, connected bool)
	// Alive returns the number of the other instances that are believed to be alive.
	Alive func() int
	// VersionLog has the software versions at which streams may begin. OnAdmission is called
	// when they may begin at another one.
	VersionLog  *versionlog.VersionLog
	OnAdmission func()
	// Control asks replicas when they started.
	Control adapter.Control
	// OriginLog keeps origins on the platform's log.
	OriginLog *originlog.OriginLog

	mu      sync.Mutex
	origins streamorigin.Origins
	history softwareversion.History
	owners  grantors.Grantors
	// instances is the number of instances.
	instances int
	// unverified has the streams whose software version is not proven yet, by the digests of
	// the requests that began them.
	unverified map[uint64]unverified
	// settledProof is the proof of the list up to which they were settled.
	settledProof time.Time
	// probes has the probe of each replica that was asked.
	probes map[string]*probe
	// recent has the own streams that may still run.
	recent backlog.Backlog[begun]
	// observedAt is when the versions that serve were last observed.
	observedAt time.Time
	// mixed is true while several versions of a service served lately.
	mixed bool
	// listChanged is true if the list of replicas has changed since the last observation.
	listChanged bool
	// alive is the last result of Alive.
	alive      int
	admissions versionadmission.Admissions
	// admitted is what requests see of admissions.
	admitted atomic.Pointer[admissionSnapshot]
}

// Attach registers the handler for the messages of peers. It must be called before the
// endpoint serves.
func (s *Streams) Attach() {
	s.probes, s.unverified = map[string]*probe{}, map[uint64]unverified{}
	s.VersionLog.Load = s.loadAdmissions
	s.OriginLog.Merge = func(origins message.StreamOrigins) { s.merge(s.Now(), origins) }
	s.Endpoint.Handle(func(ctx context.Context, _ string, msg message.Message) (message.Message, bool, error) {
		switch m := msg.(type) {
		case message.StreamOrigins:
			s.merge(s.Now(), m)
			return message.Ack{}, true, nil
		case message.StreamQuery:
			resp, err := s.answer(ctx, m.Request)
			return resp, true, err
		default:
			return nil, false, nil
		}
	})
}

// errNotVerified means that it is not known which process of a replica began a stream.
var errNotVerified = errors.New("the replica may have started again with another software version since the stream began")

// answer responds to the query of a peer.
func (s *Streams) answer(ctx context.Context, request uint64) (message.StreamOriginResponse, error) {
	s.mu.Lock()
	o, ok := s.origins.Lookup(request)
	s.mu.Unlock()
	if ok {
		return message.StreamOriginResponse{Known: true, Service: o.Service, Version: o.Version}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	own, result := s.resolve(ctx, request)
	if result != resolved && result != notBegun {
		return message.StreamOriginResponse{}, errNotVerified
	}
	return message.StreamOriginResponse{Known: result == resolved, Service: own.Service, Version: own.Version}, nil
}

// SetOwners sets the instances among which the owners of streams are chosen, and the number
// of all instances.
func (s *Streams) SetOwners(g grantors.Grantors, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners, s.instances = g, instances
}

// WriteAgain makes the origins of streams that may still run and the admitted versions be
// written to the log again, since it may have lost them.
func (s *Streams) WriteAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admissions.Lost()
	s.recent.Lost(toLog)
}

// Run observes the versions that serve, sends origins to their owners and writes them to the
// log, until ctx ends.
func (s *Streams) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	s.InstancesChanged(s.Now())
	wg.Go(func() { s.writeOrigins(ctx) })
	wg.Go(func() { s.writeAdmissions(ctx) })
	clock.Every(ctx, sendInterval, func() {
		now := s.Now()
		s.mu.Lock()
		due := s.listChanged || now.Sub(s.observedAt) >= observeInterval
		s.mu.Unlock()
		if due {
			s.observe(now)
		}
		s.send(ctx)
	})
}

// seesVersions reports whether a version that began to serve would be known: the list of
// replicas is fresh, or this instance learns what a majority of the instances learns.
func (s *Streams) seesVersions(now time.Time) bool {
	age, ok := s.Topics.ReplicasProofAge(now)
	return ok && (age <= s.Bounds.Bounds().Drain || s.Connected(now))
}

// window returns how long ago a stream that still runs may have begun, as far as this
// instance knows of its replica: the other instances may use a replica a little longer.
func (s *Streams) window() time.Duration {
	timeout := defaultTimeout
	if in := s.Topics.Intent(); in != nil && in.Table.ResumableTimeout > 0 {
		timeout = in.Table.ResumableTimeout
	}
	return timeout + s.Bounds.Bounds().Drain
}

// observe records the versions of the replicas in the list.
func (s *Streams) observe(now time.Time) {
	in := s.Topics.Intent()
	if in == nil {
		return
	}
	s.sweepProbes()
	window, mixed, sees, alive := s.window(), false, s.seesVersions(now), s.Alive()
	s.mu.Lock()
	if alive != s.alive {
		s.alive = alive
		s.admissions.InstancesChanged(now)
	}
	if gap := now.Sub(s.observedAt); s.observedAt.IsZero() || gap <= maxObserveGap && sees {
		if _, ok := s.history.Covers(); sees && !ok {
			s.history.Cover(now)
		}
	} else {
		s.history.Uncover()
	}
	s.observedAt, s.listChanged = now, false
	s.mu.Unlock()
	for service := range in.Table.ResumableServices {
		var all []pool.Replica
		s.Replicas.WithPool(func(p *pool.Pool) { all = p.All(service) })
		s.observeAdmissions(now, service, all, in.ClosedDataCentres)
		s.mu.Lock()
		for _, r := range all {
			s.history.See(now, service, r.Software)
		}
		mixed = mixed || len(s.history.Recent(service, now.Add(-window))) > 1
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Sweep(now)
	if mixed != s.mixed {
		s.mixed = mixed
		_ = s.Logger.Log("msg", "Streams have several software versions, or one again.", "several", mixed)
	}
}

// ReplicaChanged records the version of a replica that entered, changed in or left the list.
func (s *Streams) ReplicaChanged(now time.Time, r pool.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.See(now, r.Service, r.Software)
	s.listChanged = true
}

// ListLoaded records that this instance has read the list of replicas for the first time.
// If complete is true, records are all records that the list ever had.
func (s *Streams) ListLoaded(now time.Time, records []topicview.Record, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range records {
		if r, err := s.Decoder.Replica(now, rec); err == nil {
			s.history.See(now, r.Service, r.Software)
		}
	}
	since := now
	if complete {
		since = now.Add(-time.Hour)
	}
	s.history.Cover(since)
}

// Began records that the response to a caller's request, which came on a connection, is the
// begin of a stream, or goes on with the stream that the request began.
func (s *Streams) Began(now time.Time, request, service string, c Connection) {
	origin := message.StreamOrigin{Request: xxhash.Sum64String(request), Service: service, Version: c.Replica.Software}
	if s.verified(c) {
		s.add(now, origin)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepUnverified(unverified{begun{origin, c, false}, now, true})
	s.recent.Add(now, maxRecent, begun{origin, c, false})
}

// add records the origin of an own stream that began at a time.
func (s *Streams) add(at time.Time, origin message.StreamOrigin) {
	window := s.window()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.Add(at, window, origin.Request, streamorigin.Origin{Service: origin.Service, Version: origin.Version, At: at})
	s.recent.Add(at, maxRecent, begun{StreamOrigin: origin, verified: true})
}

// merge adds origins that a peer has sent, or that were read from the log.
func (s *Streams) merge(now time.Time, m message.StreamOrigins) {
	window := s.window()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range m.Origins {
		s.origins.Add(now, window, o.Request, streamorigin.Origin{Service: o.Service, Version: o.Version, At: now})
	}
	for _, u := range m.Unverified {
		if _, ok := s.origins.Lookup(u.Request); ok {
			continue
		}
		c := Connection{Replica: pool.Replica{ID: u.Replica, Incarnation: u.Incarnation, Software: u.Version}, OpenedAt: now.Add(-max(0, u.Age))}
		s.keepUnverified(unverified{begun{u.StreamOrigin, c, false}, now, false})
	}
}

// send sends new origins to their owners while several versions serve, or the list of
// replicas is too old to show that only one does. Before, they are kept as long as their
// streams may run.
func (s *Streams) send(ctx context.Context) {
	now, window := s.Now(), s.window()
	age, listed := s.Topics.ReplicasProofAge(now)
	current := listed && age < s.Bounds.Bounds().Drain-currentMargin
	s.settle(ctx, now, current)
	s.mu.Lock()
	s.recent.Expire(now.Add(-window))
	if !s.mixed && current {
		s.mu.Unlock()
		return
	}
	unsent, next := s.recent.Missing(toOwners, maxRecent)
	s.recent.Received(toOwners, next)
	g := s.owners
	s.mu.Unlock()
	byOwner := map[netip.AddrPort][]begun{}
	for _, o := range unsent {
		for _, owner := range ownersOf(g, o.Request) {
			if owner != s.Self.Address {
				byOwner[owner] = append(byOwner[owner], o)
			}
		}
	}
	for owner, origins := range byOwner {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := s.Endpoint.Call(ctx, roster.Member{Name: owner.String(), Address: owner}, messageOf(now, origins)); err != nil && ctx.Err() == nil {
				_ = s.Logger.Log("msg", "Sending the origins of streams failed.", "peer", owner, "streams", len(origins), "err", err)
			}
		}()
	}
}

// writeOrigins writes new origins to the log while several versions serve, until ctx ends.
func (s *Streams) writeOrigins(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		s.mu.Lock()
		interval := s.OriginLog.Rates.Interval(max(1, s.instances))
		s.mu.Unlock()
		clock.Pause(ctx, interval)
		s.mu.Lock()
		var unwritten []begun
		var next uint64
		if s.mixed {
			unwritten, next = s.recent.Missing(toLog, originlog.MaxBatch)
		}
		s.mu.Unlock()
		if len(unwritten) == 0 {
			continue
		}
		err := s.OriginLog.Write(ctx, messageOf(s.Now(), unwritten))
		if err == nil {
			s.mu.Lock()
			s.recent.Received(toLog, next)
			s.mu.Unlock()
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			_ = s.Logger.Log("msg", "Writing the origins of streams to the log failed or works again.", "fails", failing, "streams", len(unwritten), "err", err)
		}
	}
}

// ownersOf returns the instances that keep the origin of a stream.
func ownersOf(g grantors.Grantors, request uint64) []netip.AddrPort {
	return g.Of(string(digits(request)), grantors.MaxPerKey)
}

// digits returns the hexadecimal digits of a digest.
func digits(n uint64) []byte {
	const hex = "0123456789abcdef"
	out := make([]byte, 16)
	for i := range out {
		out[i] = hex[n>>(60-4*i)&15]
	}
	return out
}

// FillGossip adds the versions that served lately to a message.
func (s *Streams) FillGossip(now time.Time, m *message.Gossip) {
	in := s.Topics.Intent()
	if in == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fillAdmissions(now, m)
	since, ok := s.history.Covers()
	if !ok {
		return
	}
	m.VersionsCovered = max(0, now.Sub(since))
	for service := range in.Table.ResumableServices {
		for _, v := range s.history.Recent(service, since) {
			m.SoftwareVersions = append(m.SoftwareVersions, message.ServedVersion{Service: service, Version: v.Version, Age: max(0, now.Sub(v.At))})
		}
	}
}

// MergeGossip merges the versions that a peer knows to have served and to be admitted.
func (s *Streams) MergeGossip(now time.Time, m message.Gossip) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mergeAdmissions(now, m) {
		go s.OnAdmission()
	}
	for _, v := range m.SoftwareVersions {
		s.history.See(now.Add(-max(0, v.Age)), v.Service, v.Version)
	}
	if _, loaded := s.history.Covers(); loaded && m.VersionsCovered > 0 {
		s.history.Cover(now.Add(-m.VersionsCovered))
	}
}
