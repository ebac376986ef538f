package peering

import (
	"net/netip"
	"time"

	"crocusfold.dev/core/membership"
)

// Receive takes a peer's message. It reports whether it brought news that the others
// must hear at once, and whether the peer's process is a new one.
func (n *Peering) Receive(now time.Time, m Header) (news, restarted bool) {
	for _, e := range m.Members {
		if n.members.Merge(now, e) {
			news = news || e.Status == membership.Left
		}
	}
	p := n.addPeer(now, m.Address)
	if p.process != m.Process {
		restarted = true
		p.process, p.stamp, p.synced = m.Process, 0, time.Time{}
	}
	if m.EchoProcess == n.process || m.EchoProcess == 0 {
		// What was told to another process of this instance is not confirmed: it had
		// only the news for that one.
		p.stamp = max(p.stamp, m.Stamp)
	}
	if m.EchoProcess == n.process {
		p.synced = later(p.synced, n.startedAt.Add(m.Echo))
	}
	if p.root != m.Root || p.relation != m.Relation || p.leaving != m.Leaving {
		n.replan = true
	}
	p.name, p.dataCentre, p.leaving, p.relation, p.root = m.Name, m.DataCentre, m.Leaving, m.Relation, m.Root
	p.reachesLog, p.lastReceived = m.ReachesLog, now
	n.postpone(now, p)
	return news, restarted
}

// RequestHeader begins a message to a peer that this instance calls.
func (n *Peering) RequestHeader(now time.Time, to netip.AddrPort) (m Header, since time.Time) {
	relation := Unrelated
	p, known := n.peers[to]
	switch {
	case known && p.relation == Child:
		relation = Parent
	case known && p.root && n.plan.Root:
		relation = RootPeer
	case !n.plan.Root && to == n.plan.Parent:
		relation = Child
	}
	return n.header(now, to, relation)
}

// ResponseHeader begins the answer to a peer's message.
func (n *Peering) ResponseHeader(now time.Time, asked Header) (m Header, since time.Time) {
	relation := Unrelated
	switch {
	case asked.Relation == Child:
		relation = Parent
	case asked.Relation == Parent && !n.plan.Root && asked.Address == n.plan.Parent:
		relation = Child
	case asked.Root && n.plan.Root:
		relation = RootPeer
	}
	return n.header(now, asked.Address, relation)
}

// header returns the message and the moment up to which the peer was told all.
func (n *Peering) header(now time.Time, to netip.AddrPort, relation Relation) (m Header, since time.Time) {
	m = Header{
		Name: n.self.Name, DataCentre: n.self.DataCentre, Address: n.self.Address, Relation: relation,
		Root: n.plan.Root, Leaving: n.members.Self.Status == membership.Left,
		Process: n.process, Stamp: now.Sub(n.startedAt),
	}
	if p, ok := n.peers[to]; ok {
		since, m.Echo, m.EchoProcess = p.synced, p.stamp, p.process
	}
	// The own entry is always told: the peer's process may be a new one, which knows
	// nothing of what was told before.
	m.Members = append(n.members.ChangedSince(since), n.members.Self)
	return m, since
}

// counted reports whether a peer speaks for instances that no other counted peer
// speaks for.
func (n *Peering) counted(p *peer) bool {
	switch p.relation {
	case Child:
		return true
	case RootPeer:
		return n.plan.Root
	case Parent:
		return !n.plan.Root && p.address == n.plan.Parent
	}
	return false
}

// Counted reports whether what a peer says for itself and others counts.
func (n *Peering) Counted(address netip.AddrPort) bool {
	p, ok := n.peers[address]
	return ok && n.counted(p)
}

// Uncounted returns the peers whose word does not count, by name.
func (n *Peering) Uncounted() []string {
	var out []string
	for _, p := range n.peers {
		if p.name != "" && !n.counted(p) {
			out = append(out, p.name)
		}
	}
	return out
}

// AggregatedFor returns the peers whose words are joined with the own ones in what another
// peer is told: those of the children, and to a child also those of the roots and of
// the parent.
func (n *Peering) AggregatedFor(to netip.AddrPort, relation Relation) []PeerID {
	var out []PeerID
	for _, p := range n.peers {
		if relation == Unrelated || p.address == to || !n.counted(p) {
			continue
		}
		if p.relation == Child || relation == Parent {
			out = append(out, PeerID{p.name, p.address})
		}
	}
	return out
}
