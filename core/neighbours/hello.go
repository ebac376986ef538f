package neighbours

import (
	"net/netip"
	"time"

	"crocusfold.dev/core/membership"
)

// Hear takes a peer's message. It reports whether it brought news that the others
// must hear at once, and whether the peer's process is a new one.
func (n *Neighbours) Hear(now time.Time, m Hello) (news, restarted bool) {
	for _, e := range m.Members {
		if n.members.Merge(now, e) {
			news = news || e.Status == membership.Left
		}
	}
	p := n.meet(now, m.Address)
	if p.start != m.Start {
		restarted = true
		p.start, p.stamp, p.synced = m.Start, 0, time.Time{}
	}
	if m.EchoStart == n.start || m.EchoStart == 0 {
		// What was told to another process of this instance is not confirmed: it had
		// only the news for that one.
		p.stamp = max(p.stamp, m.Stamp)
	}
	if m.EchoStart == n.start {
		p.synced = later(p.synced, n.began.Add(m.Echo))
	}
	if p.root != m.Root || p.relation != m.Relation || p.leaving != m.Leaving {
		n.replan = true
	}
	p.name, p.centre, p.leaving, p.relation, p.root = m.Name, m.DataCentre, m.Leaving, m.Relation, m.Root
	p.reaches, p.heard = m.Reaches, now
	n.postpone(now, p)
	return news, restarted
}

// Tell begins a message to a peer that this instance calls.
func (n *Neighbours) Tell(now time.Time, to netip.AddrPort) (m Hello, since time.Time) {
	relation := Apart
	p, known := n.peers[to]
	switch {
	case known && p.relation == Child:
		relation = Parent
	case known && p.root && n.plan.Root:
		relation = Beside
	case !n.plan.Root && to == n.plan.Parent:
		relation = Child
	}
	return n.hello(now, to, relation)
}

// Answer begins the answer to a peer's message.
func (n *Neighbours) Answer(now time.Time, asked Hello) (m Hello, since time.Time) {
	relation := Apart
	switch {
	case asked.Relation == Child:
		relation = Parent
	case asked.Relation == Parent && !n.plan.Root && asked.Address == n.plan.Parent:
		relation = Child
	case asked.Root && n.plan.Root:
		relation = Beside
	}
	return n.hello(now, asked.Address, relation)
}

// hello returns the message and the moment up to which the peer was told all.
func (n *Neighbours) hello(now time.Time, to netip.AddrPort, relation Relation) (m Hello, since time.Time) {
	m = Hello{
		Name: n.self.Name, DataCentre: n.self.DataCentre, Address: n.self.Address, Relation: relation,
		Root: n.plan.Root, Leaving: n.members.Self.Status == membership.Left,
		Start: n.start, Stamp: now.Sub(n.began),
	}
	if p, ok := n.peers[to]; ok {
		since, m.Echo, m.EchoStart = p.synced, p.stamp, p.start
	}
	// The own entry is always told: the peer's process may be a new one, which knows
	// nothing of what was told before.
	m.Members = append(n.members.Since(since), n.members.Self)
	return m, since
}

// counts reports whether a peer speaks for instances that no other counted peer
// speaks for.
func (n *Neighbours) counts(p *peer) bool {
	switch p.relation {
	case Child:
		return true
	case Beside:
		return n.plan.Root
	case Parent:
		return !n.plan.Root && p.address == n.plan.Parent
	}
	return false
}

// Counts reports whether what a peer says for itself and others counts.
func (n *Neighbours) Counts(address netip.AddrPort) bool {
	p, ok := n.peers[address]
	return ok && n.counts(p)
}

// Uncounted returns the peers whose word does not count, by name.
func (n *Neighbours) Uncounted() []string {
	var out []string
	for _, p := range n.peers {
		if p.name != "" && !n.counts(p) {
			out = append(out, p.name)
		}
	}
	return out
}

// Passes returns the peers whose words are joined with the own ones in what another
// peer is told: those of the children, and to a child also those of the roots and of
// the parent.
func (n *Neighbours) Passes(to netip.AddrPort, relation Relation) []Call {
	var out []Call
	for _, p := range n.peers {
		if relation == Apart || p.address == to || !n.counts(p) {
			continue
		}
		if p.relation == Child || relation == Parent {
			out = append(out, Call{p.name, p.address})
		}
	}
	return out
}
