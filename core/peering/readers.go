package peering

import (
	"net/netip"
	"time"
)

// reader is a root that may read for others.
type reader struct {
	address    netip.AddrPort
	name       string
	dataCentre string
	reachesLog bool
}

func (p *peer) responsive(now time.Time) bool {
	return !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < responsiveTimeout
}

// Isolated reports whether no other instance answers this one.
func (n *Peering) Isolated(now time.Time) bool {
	for _, p := range n.peers {
		if p.responsive(now) {
			return false
		}
	}
	return true
}

// ReadsTopics reports whether this instance reads the platform's topics. Two roots of
// different data centres do, so that the others hear of changes also right after
// one has fallen silent. Those go first that reach the platform's log.
func (n *Peering) ReadsTopics(now time.Time, reaches bool) bool {
	if now.Sub(n.startedAt) < startupReadDelay {
		return n.isSeed
	}
	readers := n.readers(now, reaches)
	first, ok := firstOf(readers, func(reader) bool { return true })
	if !ok {
		return !n.parentResponds(now)
	}
	if first.address == n.self.Address {
		return true
	}
	second, ok := firstOf(readers, func(r reader) bool { return r.dataCentre != first.dataCentre })
	if !ok {
		second, ok = firstOf(readers, func(r reader) bool { return r.address != first.address })
	}
	return ok && second.address == n.self.Address
}

// StoreReader returns the instance that follows the stores of context for the data
// centre of this one.
func (n *Peering) StoreReader(now time.Time, reaches bool) netip.AddrPort {
	r, ok := firstOf(n.readers(now, reaches), func(r reader) bool { return r.dataCentre == n.self.DataCentre })
	switch {
	case ok:
		return r.address
	case n.parentResponds(now):
		return n.plan.Parent
	}
	return n.self.Address
}

// parentResponds reports whether a parent brings what others read. It may not have heard
// yet that it is a root now.
func (n *Peering) parentResponds(now time.Time) bool {
	p, ok := n.peers[n.plan.Parent]
	return !n.plan.Root && ok && p.responsive(now)
}

// StoreSource returns the instance whose changes of the stores this one follows.
func (n *Peering) StoreSource(now time.Time, reaches bool) netip.AddrPort {
	if !n.plan.Root {
		return n.plan.Parent
	}
	return n.StoreReader(now, reaches)
}

// readers returns the roots that answer, with this instance if it is one.
func (n *Peering) readers(now time.Time, reaches bool) []reader {
	var out []reader
	if n.plan.Root {
		out = append(out, reader{n.self.Address, n.self.Name, n.self.DataCentre, reaches})
	}
	for _, p := range n.peers {
		if p.root && !p.leaving && p.responsive(now) {
			out = append(out, reader{p.address, p.name, p.dataCentre, p.reachesLog})
		}
	}
	return out
}

// firstOf returns the first of the readers that fit: those that reach the platform's
// log first, then by name.
func firstOf(readers []reader, fits func(reader) bool) (first reader, ok bool) {
	for _, r := range readers {
		if !fits(r) {
			continue
		}
		if !ok || r.reachesLog && !first.reachesLog || r.reachesLog == first.reachesLog && r.name < first.name {
			first, ok = r, true
		}
	}
	return first, ok
}

// Rank returns how many roots that answer and reach the platform's log come before
// this instance by name, and whether most of the known roots answer. An instance
// that is no root comes after all roots.
func (n *Peering) Rank(now time.Time) (rank int, most bool) {
	if !n.plan.Root {
		return len(n.plan.PreferredRoots) + 1, n.parentResponds(now)
	}
	answer := 0
	for _, p := range n.peers {
		if !p.root || !p.responsive(now) {
			continue
		}
		answer++
		if !p.leaving && p.reachesLog && p.name < n.self.Name {
			rank++
		}
	}
	// An instance that has just started knows others only as addresses.
	alone := answer == 0 && len(n.listed) > 0
	return rank, !alone && 2*answer >= len(n.plan.PreferredRoots)
}

// Place is an instance's place in the overlay.
type Place struct {
	Root bool
	// Parent is the instance that one which is no root exchanges with.
	Parent netip.AddrPort
}

// Place returns this instance's place in the overlay.
func (n *Peering) Place() Place { return Place{n.plan.Root, n.plan.Parent} }
