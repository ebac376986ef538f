package pool

import "time"

// peerLoad is the load of a replica that a peer reported at a time.
type peerLoad struct {
	Load
	at time.Time
}

// peerIndexes gives each peer that reports loads an index, so that the loads of a replica are
// summed over a slice. The indexes of peers that are no longer heard are used again.
type peerIndexes struct {
	byName map[string]peerIndex
	free   []int
	next   int
}

type peerIndex struct {
	index   int
	heardAt time.Time
}

// heard returns the index of a peer that reports its loads now.
func (x *peerIndexes) heard(now time.Time, peer string) int {
	if x.byName == nil {
		x.byName = map[string]peerIndex{}
	}
	p, ok := x.byName[peer]
	switch {
	case ok:
	case len(x.free) > 0:
		p.index, x.free = x.free[len(x.free)-1], x.free[:len(x.free)-1]
	default:
		p.index = x.next
		x.next++
	}
	x.byName[peer] = peerIndex{p.index, now}
	return p.index
}

// CombinedLoads returns the work in flight of this instance and the given peers, by
// replica.
func (p *Pool) CombinedLoads(now time.Time, peers map[string]bool) map[string]Load {
	var indexes []int
	for peer, of := range peers {
		if x, ok := p.peers.byName[peer]; ok && of {
			indexes = append(indexes, x.index)
		}
	}
	out := map[string]Load{}
	for id, r := range p.replicas {
		sum := r.own
		for _, i := range indexes {
			if i < len(r.peers) && now.Sub(r.peers[i].at) < peerLoadTTL {
				sum.add(r.peers[i].Load)
			}
		}
		if sum.Running > 0 {
			out[id] = sum
		}
	}
	return out
}

// SetPeerLoads replaces the loads by replica that a peer reported, for itself or
// summed over several instances.
func (p *Pool) SetPeerLoads(now time.Time, peer string, loads map[string]Load) {
	i := p.peers.heard(now, peer)
	for id, r := range p.replicas {
		l, ok := loads[id]
		switch {
		case ok:
			if i >= len(r.peers) {
				r.peers = append(r.peers, make([]peerLoad, i+1-len(r.peers))...)
			}
			r.peers[i] = peerLoad{l, now}
		case i < len(r.peers):
			r.peers[i] = peerLoad{}
		}
	}
}

// DropPeerLoads removes the loads that a peer reported.
func (p *Pool) DropPeerLoads(peer string) {
	x, ok := p.peers.byName[peer]
	if !ok {
		return
	}
	for _, r := range p.replicas {
		if x.index < len(r.peers) {
			r.peers[x.index] = peerLoad{}
		}
	}
	delete(p.peers.byName, peer)
	p.peers.free = append(p.peers.free, x.index)
}

// sweepPeers removes the loads of peers that no longer count.
func (p *Pool) sweepPeers(now time.Time) {
	for peer, x := range p.peers.byName {
		if now.Sub(x.heardAt) >= peerLoadTTL {
			p.DropPeerLoads(peer)
		}
	}
}

// load returns the work in flight at the replica: this instance's, and what other instances
// reported within peerLoadTTL.
func (r *replica) load(now time.Time) Load {
	sum, since := r.own, now.Add(-peerLoadTTL)
	for i := range r.peers {
		if l := &r.peers[i]; l.Load != (Load{}) && l.at.After(since) {
			sum.add(l.Load)
		}
	}
	return sum
}
