// Package peering decides which other instances an instance exchanges state with and
// when, which instances read the platform on behalf of the others, and which changes of
// the membership each peer must still be sent. The number of calls per instance does not
// grow with the fleet.
package peering

import (
	"net/netip"
	"time"

	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/overlay"
)

const (
	// CallInterval is the pause after a call until a root calls the same peer again.
	CallInterval = 160 * time.Millisecond
	// childCallInterval is that pause for an instance that is not a root.
	childCallInterval = 240 * time.Millisecond
	// rootPeerInterval is how long a root waits before it calls another root that has
	// just called it, since an exchange updates both sides. Each still calls the other
	// at least every rootPeerMaxInterval, because only the caller of an exchange can
	// bound the age of what it receives.
	rootPeerInterval    = 200 * time.Millisecond
	rootPeerMaxInterval = 400 * time.Millisecond
	// minWait and maxWait bound the result of DueIn.
	minWait = CallInterval / 8
	maxWait = childCallInterval
	// maxRetryInterval is the longest pause between two calls of a peer that does not
	// respond, and maxUnreachableRetryInterval that of one from which nothing was
	// received for unreachableAfter.
	maxRetryInterval            = time.Second
	maxUnreachableRetryInterval = 4 * time.Second
	// responsiveTimeout is how long a peer counts as responsive after the last message
	// received from it.
	responsiveTimeout = 1200 * time.Millisecond
	// childTimeout is the time without a message from a child after which its parent
	// calls it.
	childTimeout = 1500 * time.Millisecond
	// unreachableAfter is the time without a message from a peer after which it is
	// marked unreachable for the fleet, if also the last unreachableFailures calls of
	// it have failed.
	unreachableAfter    = 5 * time.Second
	unreachableFailures = 3
	// peerRetention is how long a peer is kept after the last message received from it,
	// and how long an address that is not known as a member is called.
	peerRetention = 30 * time.Second
	// listedTTL is how long an instance that the platform lists, but that is not known
	// as a member, counts as one that shares limits.
	listedTTL = 30 * time.Second
	// planInterval is the longest time between two computations of the overlay plan.
	planInterval = time.Second
	// discoverInterval is the pause between two attempts to discover listed instances
	// that are not known as members.
	discoverInterval = 2 * time.Second
	// discoverBatch is how many of them are called at once by an instance that knows no
	// other member that is alive.
	discoverBatch = 8
	// readDelay is how long a new instance waits for messages of others before it may
	// become a reader. It does not apply to a seed, which the others call first.
	readDelay = 120 * time.Millisecond
	// grantDelay is how long a new instance does not grant requests within limits. Until
	// then it may not know the others, who share the limits.
	grantDelay = 2 * time.Second
	// unknownDelay is assumed as the delay of the first message of a process.
	unknownDelay = 500 * time.Millisecond
)

// Relation is the position of the sender of a Header in the overlay, relative to its
// receiver.
type Relation int

// The relations of a sender to its receiver.
const (
	// Unrelated instances are not linked in the overlay.
	Unrelated Relation = iota
	// Child is below the receiver. It aggregates the state of itself and of all
	// instances below it.
	Child
	// RootPeer is a root like the receiver, and aggregates the same as a child.
	RootPeer
	// Parent is above the receiver. It aggregates the state of all other instances
	// that it knows.
	Parent
)

// Header is the part of each message between two instances that maintains the overlay and
// the membership.
type Header struct {
	Name       string         `cbor:"1,keyasint"`
	DataCentre string         `cbor:"2,keyasint"`
	Address    netip.AddrPort `cbor:"3,keyasint"`
	Relation   Relation       `cbor:"4,keyasint,omitempty"`
	// Root is true if the sender is a root of the overlay.
	Root    bool `cbor:"5,keyasint,omitempty"`
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// ReachesLog is true if the sender itself reaches the platform's log.
	ReachesLog bool `cbor:"7,keyasint,omitempty"`
	// Process identifies the sender's process; it differs between the processes that an
	// instance has had. Stamp is the time since the start of that process and orders
	// its messages.
	//
	// Echo is the newest stamp that the sender has received from the receiver's process
	// EchoProcess. It acknowledges all changes that were sent up to that stamp.
	// EchoProcess is 0 if the sender does not know the receiver's process yet.
	Process     uint64        `cbor:"8,keyasint"`
	Stamp       time.Duration `cbor:"9,keyasint"`
	Echo        time.Duration `cbor:"10,keyasint"`
	EchoProcess uint64        `cbor:"11,keyasint"`
	// Members has the sender's own entry, and the entries that changed since the last
	// changes that the receiver has acknowledged.
	Members []membership.Entry `cbor:"12,keyasint,omitempty"`
}

// peer is an instance that this one calls or that calls this one.
type peer struct {
	address      netip.AddrPort
	name         string
	dataCentre   string
	lastReceived time.Time
	addedAt      time.Time
	failures     int
	nextCall     time.Time
	// lastResponse is when it last responded to a call of this instance.
	lastResponse time.Time
	// inCall is true while a call of it is under way.
	inCall bool
	// callAgain requests another call right after the one that is under way, and
	// callOnce a single call of a peer that is not in the plan.
	callAgain, callOnce       bool
	relation                  Relation
	root, leaving, reachesLog bool
	// process identifies the peer's process, and stamp is the newest stamp received
	// from it. synced is the moment up to which it has acknowledged the changes of the
	// membership that this instance knows.
	process uint64
	stamp   time.Duration
	synced  time.Time
	// offset is the lowest difference observed between the time since the start here and
	// the stamp of a message at its receipt, and delay by how much the last message
	// exceeded it.
	offset, delay time.Duration
}

// Peering is the state of an instance's exchanges with its peers. Start must be called
// first. It is not safe for concurrent use.
type Peering struct {
	self      membership.Entry
	process   uint64
	startedAt time.Time
	// stampedAt is the time of the latest header. Peers acknowledge all changes of members up
	// to that time, so that later ones count from then on.
	stampedAt time.Time
	// isSeed is true if this instance is one of the seeds.
	isSeed  bool
	members membership.Membership
	plan    overlay.Plan
	// plannedAt is when the plan was computed, and planVersion the version of members
	// that it was computed from. replan requests a new plan.
	plannedAt   time.Time
	planVersion uint64
	replan      bool
	peers       map[netip.AddrPort]*peer
	// listed has the addresses that the platform lists and those of the seeds, with the
	// time at which each was last listed. They are called while they are not known as
	// members.
	listed        map[netip.AddrPort]time.Time
	lastDiscovery time.Time
}

// Start initialises the state with the own entry, a number that differs between the
// processes of an instance, and the addresses of seeds, which may be stale and may include
// the own address.
func (pg *Peering) Start(now time.Time, self membership.Entry, process uint64, seeds []netip.AddrPort) {
	*pg = Peering{self: self, process: process, startedAt: now, peers: map[netip.AddrPort]*peer{}, listed: map[netip.AddrPort]time.Time{}}
	pg.members.Self = self
	for _, s := range seeds {
		pg.AddListed(now, s)
		pg.isSeed = pg.isSeed || s == self.Address
	}
}

// AddListed records that the platform lists an address. It ignores an invalid address and
// the own one.
func (pg *Peering) AddListed(now time.Time, address netip.AddrPort) {
	if address.IsValid() && address != pg.self.Address {
		pg.listed[address] = now
	}
}

// Leave marks this instance as having left in what is sent to peers from now on.
func (pg *Peering) Leave(now time.Time) { pg.members.Leave(later(now, pg.stampedAt)) }

// PeerID identifies a peer.
type PeerID struct {
	Name    string
	Address netip.AddrPort
}

// Due returns the peers to call now, and the addresses of the peers that it has dropped
// because nothing was received from them for peerRetention. If all is true, peers of the
// plan and children that are not leaving are called at once, so that a change spreads
// quickly; a peer with a call under way is called again right after it. A peer whose last
// call failed is called only when its next call is due. The caller must pass the result of
// each call to Done.
func (pg *Peering) Due(now time.Time, all bool) (calls []PeerID, dropped []netip.AddrPort) {
	dropped = pg.sweep(now)
	pg.updatePlan(now)
	planned := pg.plannedPeers()
	for _, p := range pg.peers {
		if _, ok := planned[p.address]; !ok && !pg.unplannedCall(now, p, all) {
			continue
		}
		if p.inCall && all {
			p.callAgain = true
		}
		if p.inCall || !all && now.Before(p.nextCall) || all && p.failures > 0 && now.Before(p.nextCall) {
			continue
		}
		p.inCall, p.callOnce = true, false
		name := p.name
		if name == "" {
			name = p.address.String()
		}
		calls = append(calls, PeerID{name, p.address})
	}
	return calls, dropped
}

// DueIn returns the time until the next call is due, from minWait to maxWait.
func (pg *Peering) DueIn(now time.Time) time.Duration {
	wait := maxWait
	planned := pg.plannedPeers()
	for _, p := range pg.peers {
		if _, ok := planned[p.address]; !p.inCall && (ok || pg.unplannedCall(now, p, false)) {
			wait = min(wait, p.nextCall.Sub(now))
		}
	}
	return max(wait, minWait)
}

// CallSoon makes a call of a peer due at once, because the peer has changes for this
// instance. It ignores an unknown peer and one whose last call failed.
func (pg *Peering) CallSoon(now time.Time, address netip.AddrPort) {
	if p, ok := pg.peers[address]; ok && p.failures == 0 {
		p.nextCall, p.callOnce = now, true
		p.callAgain = p.callAgain || p.inCall
	}
}

// unplannedCall reports whether a peer is called although it is not in the plan. That
// applies to a peer named by CallSoon, to a child that has sent nothing for childTimeout
// but something within twice unreachableAfter (or to any child, if all is true), and to a
// peer that is not known as a member.
func (pg *Peering) unplannedCall(now time.Time, p *peer, all bool) bool {
	if p.callOnce {
		return true
	}
	if p.relation == Child && !p.leaving {
		age := now.Sub(p.lastReceived)
		return all || age > childTimeout && age < 2*unreachableAfter
	}
	_, known := pg.members.Member(p.address)
	return !known && now.Sub(p.addedAt) < peerRetention
}

// plannedPeers returns the addresses of the peers that the plan links this instance to.
func (pg *Peering) plannedPeers() map[netip.AddrPort]struct{} {
	planned := make(map[netip.AddrPort]struct{}, len(pg.plan.Roots)+1)
	for _, a := range pg.plan.Roots {
		planned[a] = struct{}{}
	}
	if pg.plan.Parent.IsValid() {
		planned[pg.plan.Parent] = struct{}{}
	}
	for _, a := range pg.plan.PreferredRoots {
		// Those that are down are still called, at growing intervals, so that the plan
		// returns to them once they respond.
		e, known := pg.members.Member(a)
		if p, ok := pg.peers[a]; ok && (p.failures > 0 || known && e.Status != membership.Alive) {
			planned[a] = struct{}{}
		}
	}
	return planned
}

// sweep marks members unreachable from which nothing was received for unreachableAfter, if
// the last unreachableFailures calls of them have failed. It deletes the peers from which
// nothing was received for peerRetention, and returns them.
func (pg *Peering) sweep(now time.Time) (dropped []netip.AddrPort) {
	for address, p := range pg.peers {
		age := now.Sub(later(p.lastReceived, p.addedAt))
		if p.failures >= unreachableFailures && age > unreachableAfter && pg.members.MarkUnreachable(later(now, pg.stampedAt), address) {
			pg.replan = true
		}
		if age > peerRetention {
			delete(pg.peers, address)
			dropped = append(dropped, address)
			pg.replan = true
		}
	}
	return dropped
}

// updatePlan computes a new plan if the members or the state of a peer have changed, or if
// the plan is older than planInterval.
func (pg *Peering) updatePlan(now time.Time) {
	if !pg.replan && pg.planVersion == pg.members.Version() && now.Sub(pg.plannedAt) < planInterval {
		return
	}
	pg.members.Sweep(now)
	entries := pg.members.Entries()
	nodes := make([]overlay.Node, 0, len(entries))
	for _, e := range entries {
		down := e.Status != membership.Alive
		if p, ok := pg.peers[e.Address]; ok && (p.failures > 0 || p.leaving) {
			down = true
		}
		nodes = append(nodes, overlay.Node{Address: e.Address, DataCentre: e.DataCentre, MilliCPU: e.MilliCPU, Down: down})
	}
	pg.plan = overlay.New(overlay.Node{Address: pg.self.Address, DataCentre: pg.self.DataCentre, MilliCPU: pg.self.MilliCPU}, nodes)
	pg.plannedAt, pg.planVersion, pg.replan = now, pg.members.Version(), false
	for a := range pg.plannedPeers() {
		pg.addPeer(now, a)
	}
	for _, a := range pg.plan.PreferredRoots {
		e, ok := pg.members.Member(a)
		if ok && e.Status != membership.Alive && (pg.plan.Root || e.DataCentre == pg.self.DataCentre) {
			pg.addPeer(now, a)
		}
	}
	pg.discover(now)
}

// discover adds listed instances and seeds that are not known as members as peers to call:
// up to discoverBatch of them if no other member is alive, else one, since there may be two
// parts of the fleet that do not know each other.
func (pg *Peering) discover(now time.Time) {
	if now.Sub(pg.lastDiscovery) < discoverInterval {
		return
	}
	pg.lastDiscovery = now
	budget := 1
	if pg.members.AliveCount() == 0 {
		budget = discoverBatch
	}
	for address := range pg.listed {
		if _, known := pg.members.Member(address); known || budget == 0 {
			continue
		}
		pg.addPeer(now, address)
		budget--
	}
}

// addPeer returns the peer with an address, which it adds if it is new.
func (pg *Peering) addPeer(now time.Time, address netip.AddrPort) *peer {
	p, ok := pg.peers[address]
	if !ok {
		p = &peer{address: address, addedAt: now}
		if e, known := pg.members.Member(address); known {
			p.name, p.dataCentre = e.Name, e.DataCentre
		}
		pg.peers[address] = p
	}
	return p
}

// Done records the end of a call that Due returned; ok is true if the peer responded. It
// reports whether that differs from the result of the previous call.
func (pg *Peering) Done(now time.Time, address netip.AddrPort, ok bool) (changed bool) {
	p, known := pg.peers[address]
	if !known {
		return false
	}
	p.inCall = false
	if ok {
		changed = p.failures > 0
		p.failures, p.lastReceived, p.lastResponse, p.nextCall = 0, now, now, now.Add(pg.interval())
		if p.callAgain {
			p.callAgain, p.nextCall = false, now
		}
		pg.replan = pg.replan || changed
		return changed
	}
	changed = p.failures == 0
	pg.replan = pg.replan || changed
	p.failures++
	limit := maxRetryInterval
	if now.Sub(later(p.lastReceived, p.addedAt)) > unreachableAfter {
		limit = maxUnreachableRetryInterval
	}
	p.nextCall = now.Add(min(CallInterval<<min(p.failures, 8), limit))
	return changed
}

// interval returns the pause between two calls of a peer. All instances of a full mesh are
// roots.
func (pg *Peering) interval() time.Duration {
	if pg.plan.Root {
		return CallInterval
	}
	return childCallInterval
}

// postpone delays the next call of a root that has just called this one, if this instance
// is a root too and the fleet has more than overlay.RootLimit instances.
func (pg *Peering) postpone(now time.Time, p *peer) {
	if !pg.plan.Root || p.relation != RootPeer || pg.members.AliveCount() < overlay.RootLimit || p.lastResponse.IsZero() {
		return
	}
	p.nextCall = later(p.nextCall, earlier(now.Add(rootPeerInterval), p.lastResponse.Add(rootPeerMaxInterval)))
}

// AliveCount returns the number of other members with status Alive.
func (pg *Peering) AliveCount() int { return pg.members.AliveCount() }

// AliveNames returns the names of those members.
func (pg *Peering) AliveNames() []string {
	var names []string
	for _, e := range pg.members.Entries() {
		if e.Status == membership.Alive {
			names = append(names, e.Name)
		}
	}
	return names
}

// AliveDigest returns the sum of the digests of those members.
func (pg *Peering) AliveDigest() uint64 { return pg.members.AliveDigest() }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
