// Package peering keeps an instance's place among the instances of the fleet:
// whom it calls and when, who reads the platform for the others, and what each peer
// has still to be told. The number of calls does not grow with the fleet.
package peering

import (
	"net/netip"
	"time"

	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/overlay"
)

// Times of the calls between instances.
const (
	// CallInterval is the pause between two calls of a peer.
	CallInterval = 160 * time.Millisecond
	// childCallInterval is that pause for a child, and besideEvery for a root that was just
	// called by the other one: an exchange tells both, but only the caller can tell
	// how old what it hears is, so that each calls at least each besideLongest.
	childCallInterval   = 240 * time.Millisecond
	rootPeerInterval    = 200 * time.Millisecond
	rootPeerMaxInterval = 400 * time.Millisecond
	// minWait and longestWait bound the time between two looks at who is due.
	minWait = CallInterval / 8
	maxWait = childCallInterval
	// maxRetryInterval is the longest pause between tries at a peer that does not answer, and
	// slowestSilent at one that has not answered for silentAfter.
	maxRetryInterval            = time.Second
	maxUnreachableRetryInterval = 4 * time.Second
	// responsiveTimeout is how long a silent peer counts as one that answers.
	responsiveTimeout = 1200 * time.Millisecond
	// childTimeout is how long a child may be silent until it is called.
	childTimeout = 1500 * time.Millisecond
	// unreachableAfter is how long a peer may be silent until the fleet is told, if so
	// many calls of it have failed.
	unreachableAfter    = 5 * time.Second
	unreachableFailures = 3
	// peerRetention is how long a peer that is no neighbour is remembered.
	peerRetention = 30 * time.Second
	// listedTTL is how long an instance that the platform lists, but nobody has
	// heard, counts as one that shares limits.
	listedTTL = 30 * time.Second
	// planInterval is the longest time between two looks at the overlay, and
	// seekEvery the pause between two tries at listed instances that nobody knows.
	planInterval     = time.Second
	discoverInterval = 2 * time.Second
	// discoverBatch is how many of them an instance tries at once that knows no other.
	discoverBatch = 8
	// readDelay is how long a new instance waits for news of others before it takes
	// itself for a reader, unless it is a seed, to which the others turn first.
	readDelay = 120 * time.Millisecond
)

// Relation says what the sender of a Hello is to its receiver.
type Relation int

// The relations.
const (
	// Unrelated instances have no place beside each other in the overlay.
	Unrelated Relation = iota
	// Child is below the receiver, and speaks for itself and all below it.
	Child
	// RootPeer is a root like the receiver, and speaks for the same as a child.
	RootPeer
	// Parent is above the receiver, and speaks for all others that it knows.
	Parent
)

// Header is the part of each message between two instances that keeps the overlay.
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
	// Process differs between the processes that an instance had, and Stamp orders the
	// messages of one. Echo is the newest stamp that the sender has from the
	// receiver's process EchoStart: all that was told before has arrived. EchoStart is
	// 0 if the sender does not know the receiver's process yet.
	Process     uint64        `cbor:"8,keyasint"`
	Stamp       time.Duration `cbor:"9,keyasint"`
	Echo        time.Duration `cbor:"10,keyasint"`
	EchoProcess uint64        `cbor:"11,keyasint"`
	// Members has the instances whose state changed since the receiver was told.
	Members []membership.Entry `cbor:"12,keyasint,omitempty"`
}

// peer is an instance that this one calls or is called by.
type peer struct {
	address      netip.AddrPort
	name         string
	dataCentre   string
	lastReceived time.Time
	addedAt      time.Time
	failures     int
	nextCall     time.Time
	// lastAnswered is when the last call of it was answered.
	lastAnswered time.Time
	inCall       bool
	// callAgain asks for a call right after the one that is under way, ask for one of a
	// peer that is not called as a rule.
	callAgain, callOnce       bool
	relation                  Relation
	root, leaving, reachesLog bool
	// process is the peer's process, stamp the newest of its messages, and synced the
	// moment up to which it has heard the changes that this instance knows.
	process uint64
	stamp   time.Duration
	synced  time.Time
}

// Peering must be started with Start. It is not safe for concurrent use.
type Peering struct {
	self      membership.Entry
	process   uint64
	startedAt time.Time
	// isSeed is true if this instance is one of the seeds of others.
	isSeed  bool
	members membership.Membership
	plan    overlay.Plan
	// plannedAt is when the plan was made, and plannedFor the version of the table.
	plannedAt   time.Time
	planVersion uint64
	replan      bool
	peers       map[netip.AddrPort]*peer
	// listed has the instances that the platform lists or that are seeds, and since
	// when. They are tried while they are not known from peers.
	listed        map[netip.AddrPort]time.Time
	lastDiscovery time.Time
}

// Start begins with the own entry, a number that differs between processes, and
// addresses of other instances, which may be stale.
func (pg *Peering) Start(now time.Time, self membership.Entry, process uint64, seeds []netip.AddrPort) {
	*pg = Peering{self: self, process: process, startedAt: now, peers: map[netip.AddrPort]*peer{}, listed: map[netip.AddrPort]time.Time{}}
	pg.members.Self = self
	for _, s := range seeds {
		pg.AddListed(now, s)
		pg.isSeed = pg.isSeed || s == self.Address
	}
}

// AddListed takes an address that the platform lists.
func (pg *Peering) AddListed(now time.Time, address netip.AddrPort) {
	if address.IsValid() && address != pg.self.Address {
		pg.listed[address] = now
	}
}

// Leave notes that this instance ends.
func (pg *Peering) Leave(now time.Time) { pg.members.Leave(now) }

// PeerID is an exchange that is due.
type PeerID struct {
	Name    string
	Address netip.AddrPort
}

// Due returns the peers to call now, and those that are not needed any more. With
// all, children and all other neighbours are called at once, to hear news.
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

// DueIn returns the time until the next call is due.
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

// CallSoon has a neighbour called without waiting for its turn, since it has news.
func (pg *Peering) CallSoon(now time.Time, address netip.AddrPort) {
	if p, ok := pg.peers[address]; ok && p.failures == 0 {
		p.nextCall, p.callOnce = now, true
		p.callAgain = p.callAgain || p.inCall
	}
}

// unplannedCall reports whether a peer is called that is not in the plan: one that has
// news, a child that has fallen silent or is to hear news at once, and one that is
// not known as a member.
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

// plannedPeers returns the peers of the plan.
func (pg *Peering) plannedPeers() map[netip.AddrPort]struct{} {
	planned := make(map[netip.AddrPort]struct{}, len(pg.plan.Roots)+1)
	for _, a := range pg.plan.Roots {
		planned[a] = struct{}{}
	}
	if pg.plan.Parent.IsValid() {
		planned[pg.plan.Parent] = struct{}{}
	}
	for _, a := range pg.plan.PreferredRoots {
		// Those that are down are tried from time to time; a better place is taken
		// again once they answer.
		e, known := pg.members.Member(a)
		if p, ok := pg.peers[a]; ok && (p.failures > 0 || known && e.Status != membership.Alive) {
			planned[a] = struct{}{}
		}
	}
	return planned
}

// sweep forgets peers that are no neighbours, and notes members that fell silent.
func (pg *Peering) sweep(now time.Time) (dropped []netip.AddrPort) {
	for address, p := range pg.peers {
		age := now.Sub(later(p.lastReceived, p.addedAt))
		if p.failures >= unreachableFailures && age > unreachableAfter && pg.members.MarkUnreachable(now, address) {
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

// updatePlan plans anew if something has changed.
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

// discover tries instances that the platform lists or that are seeds, and that are not
// known yet: some if no other is known, else one, since two parts of the fleet may
// not know of each other.
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

// addPeer adds a peer to call.
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

// Done notes the end of a call that Due returned. It reports whether the peer has
// just stopped to answer, or just begun to.
func (pg *Peering) Done(now time.Time, address netip.AddrPort, ok bool) (changed bool) {
	p, known := pg.peers[address]
	if !known {
		return false
	}
	p.inCall = false
	if ok {
		changed = p.failures > 0
		p.failures, p.lastReceived, p.lastAnswered, p.nextCall = 0, now, now, now.Add(pg.interval())
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

// interval is the time between two calls of a peer. A full mesh has no children.
func (pg *Peering) interval() time.Duration {
	if pg.plan.Root {
		return CallInterval
	}
	return childCallInterval
}

// postpone puts off the call of a root that has just called, in fleets that are more
// than a full mesh.
func (pg *Peering) postpone(now time.Time, p *peer) {
	if !pg.plan.Root || p.relation != RootPeer || pg.members.AliveCount() < overlay.RootLimit || p.lastAnswered.IsZero() {
		return
	}
	p.nextCall = later(p.nextCall, earlier(now.Add(rootPeerInterval), p.lastAnswered.Add(rootPeerMaxInterval)))
}

// AliveCount returns the number of other instances that are thought to live.
func (pg *Peering) AliveCount() int { return pg.members.AliveCount() }

// AliveDigest is the sum of the digests of those instances.
func (pg *Peering) AliveDigest() uint64 { return pg.members.AliveDigest() }

// LimitGroup returns the instances that share limits.
func (pg *Peering) LimitGroup(now time.Time) limitgroup.Group {
	sharers := pg.members.LimitSharers(now)
	for address, since := range pg.listed {
		if _, known := pg.members.Member(address); !known && now.Sub(since) < listedTTL {
			sharers = append(sharers, address)
		}
	}
	return limitgroup.New(pg.self.Address, sharers)
}

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
