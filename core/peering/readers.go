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
func (pg *Peering) Isolated(now time.Time) bool {
	for _, p := range pg.peers {
		if p.responsive(now) {
			return false
		}
	}
	return true
}

// ReadsTopics reports whether this instance reads the platform's topics. Two roots of
// different data centres do, so that the others hear of changes also right after
// one has fallen silent. Those go first that reach the platform's log.
func (pg *Peering) ReadsTopics(now time.Time, reachesLog bool) bool {
	if now.Sub(pg.startedAt) < readDelay {
		return pg.isSeed
	}
	readers := pg.readers(now, reachesLog)
	first, ok := firstOf(readers, func(reader) bool { return true })
	if !ok {
		return !pg.parentResponds(now)
	}
	if first.address == pg.self.Address {
		return true
	}
	second, ok := firstOf(readers, func(r reader) bool { return r.dataCentre != first.dataCentre })
	if !ok {
		second, ok = firstOf(readers, func(r reader) bool { return r.address != first.address })
	}
	return ok && second.address == pg.self.Address
}

// StoreReader returns the instance that follows the stores of context for the data
// centre of this one.
func (pg *Peering) StoreReader(now time.Time, reachesLog bool) netip.AddrPort {
	r, ok := firstOf(pg.readers(now, reachesLog), func(r reader) bool { return r.dataCentre == pg.self.DataCentre })
	switch {
	case ok:
		return r.address
	case pg.parentResponds(now):
		return pg.plan.Parent
	}
	return pg.self.Address
}

// parentResponds reports whether a parent brings what others read. It may not have heard
// yet that it is a root now.
func (pg *Peering) parentResponds(now time.Time) bool {
	p, ok := pg.peers[pg.plan.Parent]
	return !pg.plan.Root && ok && p.responsive(now)
}

// StoreSource returns the instance whose changes of the stores this one follows.
func (pg *Peering) StoreSource(now time.Time, reachesLog bool) netip.AddrPort {
	if !pg.plan.Root {
		return pg.plan.Parent
	}
	return pg.StoreReader(now, reachesLog)
}

// readers returns the roots that answer, with this instance if it is one.
func (pg *Peering) readers(now time.Time, reachesLog bool) []reader {
	var out []reader
	if pg.plan.Root {
		out = append(out, reader{pg.self.Address, pg.self.Name, pg.self.DataCentre, reachesLog})
	}
	for _, p := range pg.peers {
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
func (pg *Peering) Rank(now time.Time) (rank int, majority bool) {
	if !pg.plan.Root {
		return len(pg.plan.PreferredRoots) + 1, pg.parentResponds(now)
	}
	responding := 0
	for _, p := range pg.peers {
		if !p.root || !p.responsive(now) {
			continue
		}
		responding++
		if !p.leaving && p.reachesLog && p.name < pg.self.Name {
			rank++
		}
	}
	// An instance that has just started knows others only as addresses.
	isolated := responding == 0 && len(pg.listed) > 0
	return rank, !isolated && 2*responding >= len(pg.plan.PreferredRoots)
}

// Place is an instance's place in the overlay.
type Place struct {
	Root bool
	// Parent is the instance that one which is no root exchanges with.
	Parent netip.AddrPort
}

// Place returns this instance's place in the overlay.
func (pg *Peering) Place() Place { return Place{pg.plan.Root, pg.plan.Parent} }
