// Package streamorigin keeps at which software version of which service streams began, so
// that a caller that lost one is served by the same version.
package streamorigin

import "time"

// maxStreams bounds the streams of one of two generations. With more, the oldest are
// forgotten early.
const maxStreams = 1 << 16

// Origin is the service and the software version that began a stream.
type Origin struct {
	Service, Version string
	// At is when the stream began or was last resumed.
	At time.Time
}

// Origins has the origins of streams by the digests of the requests that began them. The
// zero value is empty. It is not safe for concurrent use.
type Origins struct {
	// current has the streams that were added since rotatedAt, and previous those
	// before.
	current, previous map[uint64]Origin
	rotatedAt         time.Time
}

// Add records the origin of a stream, which is kept for at least ttl.
func (o *Origins) Add(now time.Time, ttl time.Duration, request uint64, origin Origin) {
	if o.current == nil || now.Sub(o.rotatedAt) >= ttl || len(o.current) >= maxStreams {
		o.previous, o.current, o.rotatedAt = o.current, map[uint64]Origin{}, now
	}
	o.current[request] = origin
}

// Lookup returns the origin of the stream that a request began.
func (o *Origins) Lookup(request uint64) (Origin, bool) {
	if origin, ok := o.current[request]; ok {
		return origin, true
	}
	origin, ok := o.previous[request]
	return origin, ok
}
