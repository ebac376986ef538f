package peering

import (
	"net/netip"
	"time"

	"crocusfold.dev/core/membership"
)

// Receive takes a peer's message. It reports whether it brought news that the others
// must hear at once, and whether the peer's process is a new one.
func (pg *Peering) Receive(now time.Time, h Header) (urgent, restarted bool) {
	for _, e := range h.Members {
		if pg.members.Merge(now, e) {
			urgent = urgent || e.Status == membership.Left
		}
	}
	p := pg.addPeer(now, h.Address)
	if p.process != h.Process {
		restarted = true
		p.process, p.stamp, p.synced = h.Process, 0, time.Time{}
	}
	if h.EchoProcess == pg.process || h.EchoProcess == 0 {
		// What was told to another process of this instance is not confirmed: it had
		// only the news for that one.
		p.stamp = max(p.stamp, h.Stamp)
	}
	if h.EchoProcess == pg.process {
		p.synced = later(p.synced, pg.startedAt.Add(h.Echo))
	}
	if p.root != h.Root || p.relation != h.Relation || p.leaving != h.Leaving {
		pg.replan = true
	}
	p.name, p.dataCentre, p.leaving, p.relation, p.root = h.Name, h.DataCentre, h.Leaving, h.Relation, h.Root
	p.reachesLog, p.lastReceived = h.ReachesLog, now
	pg.postpone(now, p)
	return urgent, restarted
}

// RequestHeader begins a message to a peer that this instance calls.
func (pg *Peering) RequestHeader(now time.Time, to netip.AddrPort) (h Header, since time.Time) {
	relation := Unrelated
	p, known := pg.peers[to]
	switch {
	case known && p.relation == Child:
		relation = Parent
	case known && p.root && pg.plan.Root:
		relation = RootPeer
	case !pg.plan.Root && to == pg.plan.Parent:
		relation = Child
	}
	return pg.header(now, to, relation)
}

// ResponseHeader begins the answer to a peer's message.
func (pg *Peering) ResponseHeader(now time.Time, request Header) (h Header, since time.Time) {
	relation := Unrelated
	switch {
	case request.Relation == Child:
		relation = Parent
	case request.Relation == Parent && !pg.plan.Root && request.Address == pg.plan.Parent:
		relation = Child
	case request.Root && pg.plan.Root:
		relation = RootPeer
	}
	return pg.header(now, request.Address, relation)
}

// header returns the message and the moment up to which the peer was told all.
func (pg *Peering) header(now time.Time, to netip.AddrPort, relation Relation) (h Header, since time.Time) {
	h = Header{
		Name: pg.self.Name, DataCentre: pg.self.DataCentre, Address: pg.self.Address, Relation: relation,
		Root: pg.plan.Root, Leaving: pg.members.Self.Status == membership.Left,
		Process: pg.process, Stamp: now.Sub(pg.startedAt),
	}
	if p, ok := pg.peers[to]; ok {
		since, h.Echo, h.EchoProcess = p.synced, p.stamp, p.process
	}
	// The own entry is always told: the peer's process may be a new one, which knows
	// nothing of what was told before.
	h.Members = append(pg.members.ChangedSince(since), pg.members.Self)
	return h, since
}

// counted reports whether a peer speaks for instances that no other counted peer
// speaks for.
func (pg *Peering) counted(p *peer) bool {
	switch p.relation {
	case Child:
		return true
	case RootPeer:
		return pg.plan.Root
	case Parent:
		return !pg.plan.Root && p.address == pg.plan.Parent
	}
	return false
}

// Counted reports whether what a peer says for itself and others counts.
func (pg *Peering) Counted(address netip.AddrPort) bool {
	p, ok := pg.peers[address]
	return ok && pg.counted(p)
}

// Uncounted returns the peers whose word does not count, by name.
func (pg *Peering) Uncounted() []string {
	var out []string
	for _, p := range pg.peers {
		if p.name != "" && !pg.counted(p) {
			out = append(out, p.name)
		}
	}
	return out
}

// AggregatedFor returns the peers whose words are joined with the own ones in what another
// peer is told: those of the children, and to a child also those of the roots and of
// the parent.
func (pg *Peering) AggregatedFor(to netip.AddrPort, relation Relation) []PeerID {
	var out []PeerID
	for _, p := range pg.peers {
		if relation == Unrelated || p.address == to || !pg.counted(p) {
			continue
		}
		if p.relation == Child || relation == Parent {
			out = append(out, PeerID{p.name, p.address})
		}
	}
	return out
}
