package gossip

import (
	"math"
	"net/netip"
	"time"

	"crocusfold.dev/entry/message"
)

// storeSource returns the address of the instance from which this one receives the
// changes of the stores of context, or the zero address if it reads them from the
// stores themselves.
func (g *Gossip) storeSource(now time.Time) netip.AddrPort {
	if g.FollowsStores(now) {
		return netip.AddrPort{}
	}
	reachesLog := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.StoreSource(now, reachesLog)
}

// storePositions returns, for each store, the position up to which the changes of a
// peer were applied.
func (g *Gossip) storePositions(address netip.AddrPort) []message.StorePosition {
	stores := g.Replicas.StoreAddresses()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []message.StorePosition
	for name := range stores {
		position := message.StorePosition{Store: name}
		if p, ok := g.peers[address]; ok && p.storePositions[name].Generation > 0 {
			position = p.storePositions[name]
		}
		out = append(out, position)
	}
	return out
}

// applyStoreChanges applies the store changes in a response, if they come from the
// source of this instance.
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

// mergeOldestFetched combines the reports of several groups of instances: for each
// model the oldest version and the sum of the digests.
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

// PeersOldestFetched returns the oldest weight version of a model whose context any
// other instance may still fetch; ok is false unless the reports cover each other live
// instance exactly once. One may be missing or be reported twice while it changes its
// place in the overlay.
func (g *Gossip) PeersOldestFetched(model string) (oldest int, ok bool) {
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
