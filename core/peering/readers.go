package peering

import (
	"net/netip"
	"time"
)

// reader is a root that may read the platform on behalf of other instances.
type reader struct {
	address    netip.AddrPort
	name       string
	dataCentre string
	reachesLog bool
}

func (p *peer) responsive(now time.Time) bool {
	return !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < responsiveTimeout
}

// Isolated reports whether no peer is responsive.
func (pg *Peering) Isolated(now time.Time) bool {
	for _, p := range pg.peers {
		if p.responsive(now) {
			return false
		}
	}
	return true
}

// ReadsTopics reports whether this instance reads the platform's topics. Two roots do, of
// different data centres if possible, so that the others also receive changes right after
// one of the two has failed. Roots that reach the platform's log are preferred. An
// instance with neither a responsive root nor a responsive parent reads for itself. Only
// seeds read during readDelay after the start. The argument reachesLog is true if this
// instance reaches the platform's log.
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

// StoreReader returns the address of the instance that reads the changes of the context
// stores for this instance's data centre.
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

// parentResponds reports whether this instance has a responsive parent, which forwards what
// others read. The parent need not be among the readers: it may not have determined yet
// that it is a root now.
func (pg *Peering) parentResponds(now time.Time) bool {
	p, ok := pg.peers[pg.plan.Parent]
	return !pg.plan.Root && ok && p.responsive(now)
}

// StoreSource returns the address of the instance from which this one receives the changes
// of the context stores.
func (pg *Peering) StoreSource(now time.Time, reachesLog bool) netip.AddrPort {
	if !pg.plan.Root {
		return pg.plan.Parent
	}
	return pg.StoreReader(now, reachesLog)
}

// readers returns the responsive roots that are not leaving, and this instance if it is a
// root.
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

// firstOf returns the first reader for which fits returns true, in the order of those that
// reach the platform's log before the others, then by name; ok is false if there is none.
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

// Rank returns this instance's rank as a candidate for leadership: the number of responsive
// roots that reach the platform's log, are not leaving and precede it by name. An instance
// that is not a root ranks after all roots. For a root, majority reports whether a majority
// of the known roots is responsive, itself included; for another instance, whether its
// parent is.
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
	// Right after the start the others are known only by their listed addresses, so that
	// PreferredRoots is empty and can't show that they do not respond.
	isolated := responding == 0 && len(pg.listed) > 0
	return rank, !isolated && 2*responding >= len(pg.plan.PreferredRoots)
}

// Place is an instance's place in the overlay.
type Place struct {
	Root bool
	// Parent is the root that this instance exchanges with if it is not a root.
	Parent netip.AddrPort
}

// Place returns this instance's place in the overlay.
func (pg *Peering) Place() Place { return Place{pg.plan.Root, pg.plan.Parent} }
