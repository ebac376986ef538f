package replicas

import (
	"time"

	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/neighbours"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/message"
)

// RecordLoaded notes that a replica has a weight version, to be told to peers.
func (u *Replicas) RecordLoaded(now time.Time, v message.ReplicaVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.pool.Replica(v.Replica)
	if !ok || r.Versions[v.Model] >= v.Version {
		return
	}
	u.pool.ObserveVersion(v.Replica, v.Model, v.Version)
	if u.loaded == nil {
		u.loaded = map[message.ReplicaVersion]time.Time{}
	}
	u.loaded[v] = now
	_ = u.Logger.Log("msg", "A replica holds new weights.", "replica", v.Replica, "model", v.Model, "version", v.Version)
}

// MergeGossip takes a peer's loads and changes of weights.
func (u *Replicas) MergeGossip(now time.Time, g message.Gossip) {
	loads := make(map[string]pool.Load, len(g.Loads.Replicas))
	g.Loads.All(func(replica string, running, tokens, reading int, moving time.Duration) {
		loads[replica] = pool.Load{Running: running, Tokens: tokens, PendingPrefill: reading, PendingTransfer: moving}
	})
	u.mu.Lock()
	for _, v := range g.Named {
		n := u.named[v.Model]
		if n.version == v.Version && !n.known {
			u.named[v.Model] = naming{v.Version, now.Add(-v.Age), true}
		}
	}
	u.pool.SetPeerLoads(now, g.Name, loads)
	u.mu.Unlock()
	for _, v := range g.Loaded {
		u.RecordLoaded(now, v)
	}
}

// MarkReloading keeps new work from replicas that the holder of the duty named at a moment.
func (u *Replicas) MarkReloading(said time.Time, out []message.ReplicaVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, o := range out {
		u.pool.MarkReloading(o.Replica, o.Model, o.Version, said.Add(outLife))
	}
}

// DropPeerLoads drops the loads that peers told, since they reach this instance in
// another way now.
func (u *Replicas) DropPeerLoads(names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		u.pool.DropPeerLoads(name)
	}
}

// FillGossip fills in what a peer is told: what has changed since a moment, and the work
// in flight of this instance and of the peers that are to be told with it.
func (u *Replicas) FillGossip(now time.Time, g *message.Gossip, since time.Time, peers map[string]bool) {
	for model, oldest := range u.OldestFetchedVersions(now) {
		g.Fetches = append(g.Fetches, message.ModelVersion{Model: model, Version: oldest, Tellers: membership.Digest(g.Address)})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for model, n := range u.named {
		if n.known {
			g.Named = append(g.Named, message.NamedVersion{Model: model, Version: n.version, Age: now.Sub(n.at)})
		}
	}
	if g.Relation != neighbours.Apart {
		for id, l := range u.pool.CombinedLoads(now, peers) {
			g.Loads.Add(id, l.Running, l.Tokens, l.PendingPrefill, l.PendingTransfer)
		}
	}
	for v, at := range u.loaded {
		if !at.Before(since) {
			g.Loaded = append(g.Loaded, v)
		}
	}
}
