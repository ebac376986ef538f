package streams

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/streamorigin"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
)

// Source is how the origin of a stream was found out, for the log and the metrics.
type Source string

// The sources.
const (
	// Own means that this instance knows the origin.
	Own Source = "own"
	// OnlyVersion means that only one version can have begun the stream.
	OnlyVersion Source = "only-version"
	// Peer means that another instance knows the origin.
	Peer Source = "peer"
	// Log means that the origin was read from the platform's log.
	Log Source = "log"
	// Unknown means that the origin could not be found out.
	Unknown Source = "unknown"
)

// Origin returns the service and the software version that began the stream which a request
// began, and how they were found out. The request is empty if the caller does not state it;
// service is the one that the route would choose for it.
func (s *Streams) Origin(ctx context.Context, now time.Time, request, service string) (streamorigin.Origin, Source) {
	digest := xxhash.Sum64String(request)
	window := s.window()
	s.mu.Lock()
	origin, own := s.origins.Lookup(digest)
	g, instances := s.owners, max(1, s.instances)
	s.mu.Unlock()
	if own && request != "" {
		return origin, Own
	}
	interval := s.OriginLog.Rates.Interval(instances)
	switch origin, result := s.resolve(ctx, digest); result {
	case resolved:
		return origin, Own
	case unresolved:
		origin, source := s.onlyVersion(ctx, now, service, window, interval/2)
		// The read of the list may have shown the restore.
		if s.restoredWithin(window) {
			return streamorigin.Origin{}, Unknown
		}
		return origin, source
	case ambiguous:
		return streamorigin.Origin{}, Unknown
	}
	origin, source := s.find(ctx, request, ownersOf(g, digest), digest, window, func() (streamorigin.Origin, Source) {
		return s.onlyVersion(ctx, now, service, window, interval/2)
	})
	if source != Unknown || request == "" {
		return origin, source
	}
	if err := s.OriginLog.Read(ctx, now, window, instances); err != nil && ctx.Err() == nil {
		_ = s.Logger.Log("msg", "Reading the origins of streams from the log failed.", "request", request, "err", err)
	}
	s.mu.Lock()
	logged, ok := s.origins.Lookup(digest)
	s.mu.Unlock()
	if ok {
		return logged, Log
	}
	if origin, result := s.resolve(ctx, digest); result == resolved {
		return origin, Log
	}
	return streamorigin.Origin{}, Unknown
}

// finding is what a look-up of the origin of a stream has found.
type finding struct {
	origin streamorigin.Origin
	source Source
	// unknown is the number of owners that said that they don't know the origin, this instance
	// included; 0 if none were asked.
	unknown int
}

// find asks the owners of the stream that a request began and looks for the only version that
// can have begun it, and returns the first origin that it finds. A log that came back from a
// copy may lack a second version, where the instance that began the stream sent the origin to
// its owners; then most of them must say that they don't know the stream.
func (s *Streams) find(ctx context.Context, id string, owners []netip.AddrPort, request uint64, window time.Duration, onlyVersion func() (streamorigin.Origin, Source)) (streamorigin.Origin, Source) {
	asked, only := make(chan finding, 1), make(chan finding, 1)
	// To cancel a call would close a connection that other calls use.
	askCtx := context.WithoutCancel(ctx)
	go func() { asked <- s.ask(askCtx, id, owners, request) }()
	go func() {
		origin, source := onlyVersion()
		only <- finding{origin: origin, source: source}
	}()
	var a, o finding
	select {
	case a = <-asked:
		if a.source == Peer {
			return a.origin, a.source
		}
		o = <-only
	case o = <-only:
		if o.source == OnlyVersion && !s.restoredWithin(window) {
			return o.origin, o.source
		}
		a = <-asked
	}
	switch {
	case a.source == Peer:
		return a.origin, a.source
	case o.source == OnlyVersion && s.restoredWithin(window) && a.unknown <= len(owners)/2:
		return streamorigin.Origin{}, Unknown
	}
	return o.origin, o.source
}

// restoredWithin reports whether the log came back from a copy lately.
func (s *Streams) restoredWithin(window time.Duration) bool {
	return s.Topics.RestoredSince(s.Now().Add(-window))
}

// onlyVersion returns the version of a service if no other one can have begun a stream that
// the caller lost before now. What this instance knew before can't show that: another
// instance may have learnt of a second version meanwhile and begun the stream there. So the
// list of replicas is read from the log once more. If several versions are listed, the
// admitted ones decide.
func (s *Streams) onlyVersion(ctx context.Context, now time.Time, service string, window, interval time.Duration) (streamorigin.Origin, Source) {
	only := func() (version string, ok bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.history.Only(service, now.Add(-window))
	}
	if _, ok := only(); !ok {
		return s.onlyAdmitted(ctx, now, service, window, interval)
	}
	if err := s.Topics.ConfirmReplicas(ctx, now, interval); err != nil {
		return streamorigin.Origin{}, Unknown
	}
	version, ok := only()
	if !ok {
		return s.onlyAdmitted(ctx, now, service, window, interval)
	}
	return streamorigin.Origin{Service: service, Version: version}, OnlyVersion
}

// ask asks the owners of the stream that a request began for its origin at once, and returns
// when one knows it or all have answered.
func (s *Streams) ask(ctx context.Context, id string, owners []netip.AddrPort, request uint64) finding {
	out := finding{source: Unknown}
	if id == "" {
		return out
	}
	type answer struct {
		message.StreamOriginResponse
		err error
	}
	received := make(chan answer, len(owners))
	asked := 0
	for _, owner := range owners {
		if owner == s.Self.Address {
			out.unknown++
			continue
		}
		asked++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			resp, err := peerrpc.Call[message.StreamOriginResponse](ctx, s.Endpoint, roster.Member{Name: owner.String(), Address: owner}, message.StreamQuery{Request: request})
			received <- answer{resp, err}
		}()
	}
	for range asked {
		switch a := <-received; {
		case a.err != nil:
		case !a.Known:
			out.unknown++
		default:
			out.origin, out.source = streamorigin.Origin{Service: a.Service, Version: a.Version}, Peer
			return out
		}
	}
	return out
}
