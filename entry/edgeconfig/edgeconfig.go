// Package edgeconfig holds what an entry instance is told when it starts.
package edgeconfig

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// Bounds are the times and shares that the system promises to keep.
type Bounds struct {
	// Drain is how long a leaving replica may still get work.
	Drain time.Duration
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// Config is how long a new configuration may take to be in force.
	Config time.Duration
	// Revoke is how long a revoked key may still be served.
	Revoke time.Duration
	// Lease is the time within which two holders of a duty must not take turns.
	Lease time.Duration
	// Fenced is true if replicas refuse orders with an old fencing token.
	Fenced bool
	// Version is how long requests may still begin on older weights.
	Version time.Duration
	// Contact is the time after a disruption from which bounds hold again.
	Contact time.Duration
	// RetryShare and RetrySlack bound the repeats of all instances together.
	RetryShare, RetrySlack float64
	// ColdOvershoot and ColdSlack are allowed on top of a cold replica's rate.
	ColdOvershoot, ColdSlack float64
	// MinMemberTTL is the shortest time to live of a group member.
	MinMemberTTL time.Duration
}

// Settings are one instance's name, addresses and bounds.
type Settings struct {
	Name       string
	DataCentre string
	// MilliCPU is the processor's share of a core, in thousandths.
	MilliCPU int
	// Front is where callers connect, Ready where the balancer asks, and Peers
	// where the other instances connect.
	Front, Ready, Peers netip.AddrPort
	// Seeds are addresses of other instances, which may be stale.
	Seeds  []netip.AddrPort
	Bounds Bounds
}

// LiveBounds holds the bounds in force, which change when the settings are read
// again. The zero value has none.
type LiveBounds struct {
	bounds atomic.Pointer[Bounds]
}

// Set puts bounds in force.
func (l *LiveBounds) Set(b Bounds) { l.bounds.Store(&b) }

// Bounds returns the bounds in force.
func (l *LiveBounds) Bounds() Bounds {
	if b := l.bounds.Load(); b != nil {
		return *b
	}
	return Bounds{}
}
