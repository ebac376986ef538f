// Package neighbours keeps an instance's place among the instances of the fleet:
// whom it calls and when, who reads the platform for the others, and what each peer
// has still to be told. The number of calls does not grow with the fleet.
package neighbours

import (
	"net/netip"
	"time"

	"crocusfold.dev/core/crew"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/overlay"
)

// Times of the calls between instances.
const (
	// Every is the pause between two calls of a peer.
	Every = 160 * time.Millisecond
	// childEvery is that pause for a child, and besideEvery for a root that was just
	// called by the other one: an exchange tells both, but only the caller can tell
	// how old what it hears is, so that each calls at least each besideLongest.
	childEvery    = 240 * time.Millisecond
	besideEvery   = 200 * time.Millisecond
	besideLongest = 400 * time.Millisecond
	// shortestWait and longestWait bound the time between two looks at who is due.
	shortestWait = Every / 8
	longestWait  = childEvery
	// slowest is the longest pause between tries at a peer that does not answer, and
	// slowestSilent at one that has not answered for silentAfter.
	slowest       = time.Second
	slowestSilent = 4 * time.Second
	// peerLife is how long a silent peer counts as one that answers.
	peerLife = 1200 * time.Millisecond
	// childLife is how long a child may be silent until it is called.
	childLife = 1500 * time.Millisecond
	// silentAfter is how long a peer may be silent until the fleet is told, if so
	// many calls of it have failed.
	silentAfter = 5 * time.Second
	silentTries = 3
	// peerMemory is how long a peer that is no neighbour is remembered.
	peerMemory = 30 * time.Second
	// listedLife is how long an instance that the platform lists, but nobody has
	// heard, counts as one that shares limits.
	listedLife = 30 * time.Second
	// planEvery is the longest time between two looks at the overlay, and
	// seekEvery the pause between two tries at listed instances that nobody knows.
	planEvery = time.Second
	seekEvery = 2 * time.Second
	// seekAtOnce is how many of them an instance tries at once that knows no other.
	seekAtOnce = 8
	// readAfter is how long a new instance waits for news of others before it takes
	// itself for a reader, unless it is a seed, to which the others turn first.
	readAfter = 120 * time.Millisecond
)

// Relation says what the sender of a Hello is to its receiver.
type Relation int

// The relations.
const (
	// Apart instances have no place beside each other in the overlay.
	Apart Relation = iota
	// Child is below the receiver, and speaks for itself and all below it.
	Child
	// Beside is a root like the receiver, and speaks for the same as a child.
	Beside
	// Parent is above the receiver, and speaks for all others that it knows.
	Parent
)

// Hello is the part of each message between two instances that keeps the overlay.
type Hello struct {
	Name       string         `cbor:"1,keyasint"`
	DataCentre string         `cbor:"2,keyasint"`
	Address    netip.AddrPort `cbor:"3,keyasint"`
	Relation   Relation       `cbor:"4,keyasint,omitempty"`
	// Root is true if the sender is a root of the overlay.
	Root    bool `cbor:"5,keyasint,omitempty"`
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Reaches is true if the sender itself reaches the platform's log.
	Reaches bool `cbor:"7,keyasint,omitempty"`
	// Start differs between the processes that an instance had, and Stamp orders the
	// messages of one. Echo is the newest stamp that the sender has from the
	// receiver's process EchoStart: all that was told before has arrived. EchoStart is
	// 0 if the sender does not know the receiver's process yet.
	Start     uint64        `cbor:"8,keyasint"`
	Stamp     time.Duration `cbor:"9,keyasint"`
	Echo      time.Duration `cbor:"10,keyasint"`
	EchoStart uint64        `cbor:"11,keyasint"`
	// Members has the instances whose state changed since the receiver was told.
	Members []membership.Entry `cbor:"12,keyasint,omitempty"`
}

// peer is an instance that this one calls or is called by.
type peer struct {
	address netip.AddrPort
	name    string
	centre  string
	heard   time.Time
	added   time.Time
	failed  int
	next    time.Time
	// called is when the last call of it was answered.
	called time.Time
	busy   bool
	// again asks for a call right after the one that is under way, ask for one of a
	// peer that is not called as a rule.
	again, ask             bool
	relation               Relation
	root, leaving, reaches bool
	// start is the peer's process, stamp the newest of its messages, and synced the
	// moment up to which it has heard the changes that this instance knows.
	start  uint64
	stamp  time.Duration
	synced time.Time
}

// Neighbours must be started with Start. It is not safe for concurrent use.
type Neighbours struct {
	self  membership.Entry
	start uint64
	began time.Time
	// seed is true if this instance is one of the seeds of others.
	seed    bool
	members membership.Membership
	plan    overlay.Plan
	// planned is when the plan was made, and plannedFor the version of the table.
	planned    time.Time
	plannedFor uint64
	replan     bool
	peers      map[netip.AddrPort]*peer
	// listed has the instances that the platform lists or that are seeds, and since
	// when. They are tried while they are not known from peers.
	listed map[netip.AddrPort]time.Time
	sought time.Time
}

// Start begins with the own entry, a number that differs between processes, and
// addresses of other instances, which may be stale.
func (n *Neighbours) Start(now time.Time, self membership.Entry, process uint64, seeds []netip.AddrPort) {
	*n = Neighbours{self: self, start: process, began: now, peers: map[netip.AddrPort]*peer{}, listed: map[netip.AddrPort]time.Time{}}
	n.members.Self = self
	for _, s := range seeds {
		n.List(now, s)
		n.seed = n.seed || s == self.Address
	}
}

// List takes an address that the platform lists.
func (n *Neighbours) List(now time.Time, address netip.AddrPort) {
	if address.IsValid() && address != n.self.Address {
		n.listed[address] = now
	}
}

// Leave notes that this instance ends.
func (n *Neighbours) Leave(now time.Time) { n.members.Leave(now) }

// Call is an exchange that is due.
type Call struct {
	Name    string
	Address netip.AddrPort
}

// Due returns the peers to call now, and those that are not needed any more. With
// all, children and all other neighbours are called at once, to hear news.
func (n *Neighbours) Due(now time.Time, all bool) (calls []Call, dropped []netip.AddrPort) {
	dropped = n.sweep(now)
	n.look(now)
	wanted := n.wanted()
	for _, p := range n.peers {
		if _, ok := wanted[p.address]; !ok && !n.extra(now, p, all) {
			continue
		}
		if p.busy && all {
			p.again = true
		}
		if p.busy || !all && now.Before(p.next) || all && p.failed > 0 && now.Before(p.next) {
			continue
		}
		p.busy, p.ask = true, false
		name := p.name
		if name == "" {
			name = p.address.String()
		}
		calls = append(calls, Call{name, p.address})
	}
	return calls, dropped
}

// Wait returns the time until the next call is due.
func (n *Neighbours) Wait(now time.Time) time.Duration {
	wait := longestWait
	wanted := n.wanted()
	for _, p := range n.peers {
		if _, ok := wanted[p.address]; !p.busy && (ok || n.extra(now, p, false)) {
			wait = min(wait, p.next.Sub(now))
		}
	}
	return max(wait, shortestWait)
}

// Soon has a neighbour called without waiting for its turn, since it has news.
func (n *Neighbours) Soon(now time.Time, address netip.AddrPort) {
	if p, ok := n.peers[address]; ok && p.failed == 0 {
		p.next, p.ask = now, true
		p.again = p.again || p.busy
	}
}

// extra reports whether a peer is called that is not in the plan: one that has
// news, a child that has fallen silent or is to hear news at once, and one that is
// not known as a member.
func (n *Neighbours) extra(now time.Time, p *peer, all bool) bool {
	if p.ask {
		return true
	}
	if p.relation == Child && !p.leaving {
		silent := now.Sub(p.heard)
		return all || silent > childLife && silent < 2*silentAfter
	}
	_, known := n.members.Member(p.address)
	return !known && now.Sub(p.added) < peerMemory
}

// wanted returns the peers of the plan.
func (n *Neighbours) wanted() map[netip.AddrPort]struct{} {
	out := make(map[netip.AddrPort]struct{}, len(n.plan.Roots)+1)
	for _, a := range n.plan.Roots {
		out[a] = struct{}{}
	}
	if n.plan.Parent.IsValid() {
		out[n.plan.Parent] = struct{}{}
	}
	for _, a := range n.plan.First {
		// Those that are down are tried from time to time; a better place is taken
		// again once they answer.
		e, known := n.members.Member(a)
		if p, ok := n.peers[a]; ok && (p.failed > 0 || known && e.Status != membership.Alive) {
			out[a] = struct{}{}
		}
	}
	return out
}

// sweep forgets peers that are no neighbours, and notes members that fell silent.
func (n *Neighbours) sweep(now time.Time) (dropped []netip.AddrPort) {
	for address, p := range n.peers {
		silent := now.Sub(later(p.heard, p.added))
		if p.failed >= silentTries && silent > silentAfter && n.members.Silence(now, address) {
			n.replan = true
		}
		if silent > peerMemory {
			delete(n.peers, address)
			dropped = append(dropped, address)
			n.replan = true
		}
	}
	return dropped
}

// look plans anew if something has changed.
func (n *Neighbours) look(now time.Time) {
	if !n.replan && n.plannedFor == n.members.Version() && now.Sub(n.planned) < planEvery {
		return
	}
	n.members.Sweep(now)
	entries := n.members.Entries()
	nodes := make([]overlay.Node, 0, len(entries))
	for _, e := range entries {
		down := e.Status != membership.Alive
		if p, ok := n.peers[e.Address]; ok && (p.failed > 0 || p.leaving) {
			down = true
		}
		nodes = append(nodes, overlay.Node{Address: e.Address, DataCentre: e.DataCentre, Power: e.Power, Down: down})
	}
	n.plan = overlay.New(overlay.Node{Address: n.self.Address, DataCentre: n.self.DataCentre, Power: n.self.Power}, nodes)
	n.planned, n.plannedFor, n.replan = now, n.members.Version(), false
	for a := range n.wanted() {
		n.meet(now, a)
	}
	for _, a := range n.plan.First {
		e, ok := n.members.Member(a)
		if ok && e.Status != membership.Alive && (n.plan.Root || e.DataCentre == n.self.DataCentre) {
			n.meet(now, a)
		}
	}
	n.seek(now)
}

// seek tries instances that the platform lists or that are seeds, and that are not
// known yet: some if no other is known, else one, since two parts of the fleet may
// not know of each other.
func (n *Neighbours) seek(now time.Time) {
	if now.Sub(n.sought) < seekEvery {
		return
	}
	n.sought = now
	left := 1
	if n.members.Living() == 0 {
		left = seekAtOnce
	}
	for address := range n.listed {
		if _, known := n.members.Member(address); known || left == 0 {
			continue
		}
		n.meet(now, address)
		left--
	}
}

// meet adds a peer to call.
func (n *Neighbours) meet(now time.Time, address netip.AddrPort) *peer {
	p, ok := n.peers[address]
	if !ok {
		p = &peer{address: address, added: now}
		if e, known := n.members.Member(address); known {
			p.name, p.centre = e.Name, e.DataCentre
		}
		n.peers[address] = p
	}
	return p
}

// Done notes the end of a call that Due returned. It reports whether the peer has
// just stopped to answer, or just begun to.
func (n *Neighbours) Done(now time.Time, address netip.AddrPort, ok bool) (changed bool) {
	p, known := n.peers[address]
	if !known {
		return false
	}
	p.busy = false
	if ok {
		changed = p.failed > 0
		p.failed, p.heard, p.called, p.next = 0, now, now, now.Add(n.pause())
		if p.again {
			p.again, p.next = false, now
		}
		n.replan = n.replan || changed
		return changed
	}
	changed = p.failed == 0
	n.replan = n.replan || changed
	p.failed++
	limit := slowest
	if now.Sub(later(p.heard, p.added)) > silentAfter {
		limit = slowestSilent
	}
	p.next = now.Add(min(Every<<min(p.failed, 8), limit))
	return changed
}

// pause is the time between two calls of a peer. A full mesh has no children.
func (n *Neighbours) pause() time.Duration {
	if n.plan.Root {
		return Every
	}
	return childEvery
}

// postpone puts off the call of a root that has just called, in fleets that are more
// than a full mesh.
func (n *Neighbours) postpone(now time.Time, p *peer) {
	if !n.plan.Root || p.relation != Beside || n.members.Living() < overlay.RootLimit || p.called.IsZero() {
		return
	}
	p.next = later(p.next, earlier(now.Add(besideEvery), p.called.Add(besideLongest)))
}

// Living returns the number of other instances that are thought to live.
func (n *Neighbours) Living() int { return n.members.Living() }

// LivingDigest is the sum of the digests of those instances.
func (n *Neighbours) LivingDigest() uint64 { return n.members.LivingDigest() }

// Crew returns the instances that share limits.
func (n *Neighbours) Crew(now time.Time) crew.Crew {
	sharing := n.members.Sharing(now)
	for address, since := range n.listed {
		if _, known := n.members.Member(address); !known && now.Sub(since) < listedLife {
			sharing = append(sharing, address)
		}
	}
	return crew.New(n.self.Address, sharing)
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
