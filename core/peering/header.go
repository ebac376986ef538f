package peering

import (
	"net/netip"
	"time"

	"crocusfold.dev/core/membership"
)

// Receive applies the header of a message from a peer. It reports whether a change must be
// sent on at once, since a member has left, and whether the peer was restarted: its process
// differs from that of its previous header, or there was no previous one.
func (pg *Peering) Receive(now time.Time, h Header) (urgent, restarted bool) {
	for _, e := range h.Members {
		if pg.members.Merge(later(now, pg.stampedAt), e) {
			urgent = urgent || e.Status == membership.Left
		}
	}
	p := pg.addPeer(now, h.Address)
	if p.process != h.Process {
		restarted = true
		p.process, p.stamp, p.synced = h.Process, 0, time.Time{}
	}
	offset := now.Sub(pg.startedAt) - h.Stamp
	if restarted || offset < p.offset {
		p.offset = offset
	}
	if p.delay = offset - p.offset; restarted {
		p.delay = unknownDelay
	}
	if h.EchoProcess == pg.process || h.EchoProcess == 0 {
		// A message for an earlier process of this instance is not acknowledged, since it
		// has only the changes which that process had not received.
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

// Delay returns by how much longer the last message of a peer took than its fastest one,
// so that the ages in it can be corrected. A frozen or slow instance may receive a message
// long after it was sent.
func (pg *Peering) Delay(address netip.AddrPort) time.Duration {
	if p, ok := pg.peers[address]; ok {
		return p.delay
	}
	return unknownDelay
}

// RequestHeader returns the header of a request to a peer, and the moment since which
// changes must be sent with it; the zero time means everything.
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

// ResponseHeader returns the header of the response to a peer's request, and the moment
// since which changes must be sent with it; the zero time means everything.
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

// header returns a header for a peer and the moment up to which the peer has acknowledged
// all changes.
func (pg *Peering) header(now time.Time, to netip.AddrPort, relation Relation) (h Header, since time.Time) {
	pg.stampedAt = later(pg.stampedAt, now)
	h = Header{
		Name: pg.self.Name, DataCentre: pg.self.DataCentre, Address: pg.self.Address, Relation: relation,
		Root: pg.plan.Root, Leaving: pg.members.Self.Status == membership.Left,
		Process: pg.process, Stamp: now.Sub(pg.startedAt),
	}
	if p, ok := pg.peers[to]; ok {
		since, h.Echo, h.EchoProcess = p.synced, p.stamp, p.process
	}
	// The own entry is always included, since the peer may have been restarted, and its
	// new process has received none of the changes sent before.
	h.Members = append(pg.members.ChangedSince(since), pg.members.Self)
	return h, since
}

// counted reports whether the state that a peer reports is counted. Each instance is
// counted once: the state of a counted peer aggregates instances that no other counted
// peer aggregates.
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

// Counted reports whether the state that a peer reports, for itself and the instances that
// it aggregates, is counted.
func (pg *Peering) Counted(address netip.AddrPort) bool {
	p, ok := pg.peers[address]
	return ok && pg.counted(p)
}

// Uncounted returns the names of the peers whose reported state is not counted.
func (pg *Peering) Uncounted() []string {
	var out []string
	for _, p := range pg.peers {
		if p.name != "" && !pg.counted(p) {
			out = append(out, p.name)
		}
	}
	return out
}

// AggregatedFor returns the peers whose reported state is aggregated with the own state in
// what is sent to another peer: the children, and in a message to a child also the other
// roots and the parent. The relation is that of this instance to the receiver.
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
