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
		return s.onlyVersion(ctx, now, service, window, interval/2)
	case ambiguous:
		return streamorigin.Origin{}, Unknown
	}
	if origin, source := s.first(ctx,
		func(ctx context.Context) (streamorigin.Origin, Source) {
			return s.onlyVersion(ctx, now, service, window, interval/2)
		},
		func(ctx context.Context) (streamorigin.Origin, Source) {
			return s.ask(ctx, request, ownersOf(g, digest), digest)
		},
	); source != Unknown || request == "" {
		return origin, source
	}
	if err := s.OriginLog.Read(ctx, now, window, instances); err != nil && ctx.Err() == nil {
		_ = s.Logger.Log("msg", "Reading the origins of streams from the log failed.", "request", request, "err", err)
	}
	s.mu.Lock()
	origin, ok := s.origins.Lookup(digest)
	s.mu.Unlock()
	if ok {
		return origin, Log
	}
	if origin, result := s.resolve(ctx, digest); result == resolved {
		return origin, Log
	}
	return streamorigin.Origin{}, Unknown
}

// first runs look-ups at the same time, and returns the first origin that one of them finds.
func (s *Streams) first(ctx context.Context, lookups ...func(ctx context.Context) (streamorigin.Origin, Source)) (streamorigin.Origin, Source) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		streamorigin.Origin
		Source
	}
	results := make(chan result, len(lookups))
	for _, lookup := range lookups {
		go func() {
			origin, source := lookup(ctx)
			results <- result{origin, source}
		}()
	}
	for range lookups {
		if r := <-results; r.Source != Unknown {
			return r.Origin, r.Source
		}
	}
	return streamorigin.Origin{}, Unknown
}

// onlyVersion returns the version of a service if no other one can have begun a stream that
// the caller lost before now. What this instance knew before can't show that: another
// instance may have learnt of a second version meanwhile and begun the stream there. So the
// list of replicas is read from the log once more.
func (s *Streams) onlyVersion(ctx context.Context, now time.Time, service string, window, interval time.Duration) (streamorigin.Origin, Source) {
	only := func() (version string, ok bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.history.Only(service, now.Add(-window))
	}
	if _, ok := only(); !ok {
		return streamorigin.Origin{}, Unknown
	}
	if err := s.Topics.ConfirmReplicas(ctx, now, interval); err != nil {
		return streamorigin.Origin{}, Unknown
	}
	version, ok := only()
	if !ok {
		return streamorigin.Origin{}, Unknown
	}
	return streamorigin.Origin{Service: service, Version: version}, OnlyVersion
}

// ask asks the owners of the stream that a request began for its origin at once.
func (s *Streams) ask(ctx context.Context, id string, owners []netip.AddrPort, request uint64) (streamorigin.Origin, Source) {
	if id == "" {
		return streamorigin.Origin{}, Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan message.StreamOriginResponse, len(owners))
	asked := 0
	for _, owner := range owners {
		if owner == s.Self.Address {
			continue
		}
		asked++
		go func() {
			resp, err := peerrpc.Call[message.StreamOriginResponse](ctx, s.Endpoint, roster.Member{Name: owner.String(), Address: owner}, message.StreamQuery{Request: request})
			if err != nil {
				resp = message.StreamOriginResponse{}
			}
			answers <- resp
		}()
	}
	for range asked {
		if a := <-answers; a.Known {
			return streamorigin.Origin{Service: a.Service, Version: a.Version}, Peer
		}
	}
	return streamorigin.Origin{}, Unknown
}
