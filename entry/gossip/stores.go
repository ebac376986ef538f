package gossip

import (
	"math"
	"net/netip"
	"time"

	"crocusfold.dev/entry/message"
)

// storeSource returns the instance whose changes of the stores of context this one
// follows; the zero address if it follows the stores themselves.
func (g *Gossip) storeSource(now time.Time) netip.AddrPort {
	if g.FollowsStores(now) {
		return netip.AddrPort{}
	}
	reachesLog := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.StoreSource(now, reachesLog)
}

// storePositions says how far a peer's changes of stores were taken.
func (g *Gossip) storePositions(of netip.AddrPort) []message.StorePosition {
	stores := g.Replicas.StoreAddresses()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []message.StorePosition
	for name := range stores {
		position := message.StorePosition{Store: name}
		if p, ok := g.peers[of]; ok && p.storePositions[name].Generation > 0 {
			position = p.storePositions[name]
		}
		out = append(out, position)
	}
	return out
}

// applyStoreChanges takes a peer's changes of stores.
func (g *Gossip) applyStoreChanges(now time.Time, m message.Gossip) {
	if len(m.StoreChanges) == 0 || g.storeSource(now) != m.Address {
		return
	}
	g.Replicas.ApplyStoreChanges(now, m.StoreChanges, m.ClockMillis)
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[m.Address]
	if !ok {
		return
	}
	if p.storePositions == nil {
		p.storePositions = map[string]message.StorePosition{}
	}
	for _, c := range m.StoreChanges {
		p.storePositions[c.Store] = message.StorePosition{Store: c.Store, Generation: c.Generation, Offset: c.Offset}
	}
}

// mergeOldestFetched joins what several groups of instances told.
func mergeOldestFetched(groups [][]message.ModelVersion) []message.ModelVersion {
	var out []message.ModelVersion
	index := map[string]int{}
	for _, group := range groups {
		for _, f := range group {
			i, ok := index[f.Model]
			if !ok {
				index[f.Model] = len(out)
				out = append(out, f)
				continue
			}
			out[i].Version = min(out[i].Version, f.Version)
			out[i].ReporterDigest += f.ReporterDigest
		}
	}
	return out
}

// OldestFetched returns the oldest weight version of a model whose context any other
// instance may still fetch; ok is false if one has not told, or if one is told of
// twice, as while it changes its place among the instances.
func (g *Gossip) OldestFetched(model string) (oldest int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	oldest = math.MaxInt
	reporters := uint64(0)
	for address, p := range g.peers {
		if !g.peering.Counted(address) {
			continue
		}
		for _, f := range p.oldestFetched {
			if f.Model == model {
				oldest = min(oldest, f.Version)
				reporters += f.ReporterDigest
			}
		}
	}
	return oldest, reporters == g.peering.AliveDigest()
}
