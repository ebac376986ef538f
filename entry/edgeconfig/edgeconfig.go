// Package edgeconfig holds the settings of an instance of crocus-edge.
package edgeconfig

import (
	"net/netip"
	"sync/atomic"
	"time"

	"crocusfold.dev/core/memorybudget"
	"crocusfold.dev/core/writeshare"
)

// Bounds are the guaranteed bounds of the system, as the settings state them.
type Bounds struct {
	// Drain is how long a draining replica may still get new requests.
	Drain time.Duration
	// Grace is the time from the signal to stop until the process must have ended.
	Grace time.Duration
	// Config is the longest time until a new configuration is in force.
	Config time.Duration
	// Revoke is how long requests with a revoked API key may still be served.
	Revoke time.Duration
	// Lease is the least time between actions of two different leaders.
	Lease time.Duration
	// Fenced is true if replicas refuse commands with an old fencing token.
	Fenced bool
	// Version is how long requests may still begin on older weights after a new
	// weight version was named.
	Version time.Duration
	// Contact is the longest time after a disruption until the bounds hold again.
	Contact time.Duration
	// All instances together may make RetryShare retries per request of a service, plus
	// RetrySlack retries on top.
	RetryShare, RetrySlack float64
	// All instances together may send a cold replica ColdOvershoot times its rate plus
	// ColdSlack requests per second.
	ColdOvershoot, ColdSlack float64
	// Heartbeat is how often a replica writes its entry, and so the longest time after its
	// start without one.
	Heartbeat time.Duration
	// All instances together may send a bad software version ExposeShare of the requests of
	// its service, plus ExposureSlack, while a rollout runs. Rollouts are handled only if
	// ExposeShare is above 0.
	ExposeShare, ExposureSlack float64
	// Rollback is how long requests may still be sent to a bad version after its 50th bad
	// response, and Stretch the longest time by which an unstable log extends that.
	Rollback, Stretch time.Duration
	// MinMemberTTL is the shortest time to live that the platform's log allows for the
	// membership in a group.
	MinMemberTTL time.Duration
}

// Settings are one instance's name, addresses and bounds.
type Settings struct {
	Name       string
	DataCentre string
	// MilliCPU is the processor time available to the instance, in thousandths of a core.
	MilliCPU int
	// Machine has the memory and the descriptors of the instance; 0 is without limit.
	Machine memorybudget.Limits
	// The instance listens on Front for callers, on Ready for the load balancer's
	// readiness checks, and on Peers for other instances.
	Front, Ready, Peers netip.AddrPort
	// Seeds are addresses of other instances, which may be stale.
	Seeds []netip.AddrPort
	// LogRates is what the platform's log takes from all instances together.
	LogRates writeshare.Rates
	// Contended is true if requests of all services compete for replicas, so that the choice
	// of a replica takes the whole response into account. If not, that depends on what the
	// replicas of a service state.
	Contended bool
	// Queue is true if requests that compete for replicas wait in an ordered queue. Otherwise
	// each waits on its own.
	Queue bool
	// WatchStalls is true if replicas that seem to have stalled are avoided, where requests
	// compete for replicas.
	WatchStalls bool
	Bounds      Bounds
}

// LiveBounds holds the bounds in force, which change when the settings are reloaded. All
// bounds of the zero value are zero. It is safe for concurrent use.
type LiveBounds struct {
	bounds atomic.Pointer[Bounds]
}

// Set replaces the bounds in force.
func (l *LiveBounds) Set(b Bounds) { l.bounds.Store(&b) }

// Bounds returns the bounds in force.
func (l *LiveBounds) Bounds() Bounds {
	if b := l.bounds.Load(); b != nil {
		return *b
	}
	return Bounds{}
}
