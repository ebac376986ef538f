package upstreams

import (
	"time"

	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/message"
)

// Loaded notes that a replica has a weight version, to be told to peers.
func (u *Upstreams) Loaded(now time.Time, v message.ReplicaVersion) {
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

// Hear takes a peer's loads and changes of weights.
func (u *Upstreams) Hear(now time.Time, g message.Gossip) {
	loads := make(map[string]pool.Load, len(g.Loads.Replicas))
	g.Loads.ForEach(func(replica string, running, tokens, reading int, moving time.Duration) {
		loads[replica] = pool.Load{Running: running, Tokens: tokens, PendingPrefill: reading, PendingTransfer: moving}
	})
	u.mu.Lock()
	for _, v := range g.NamedVersions {
		n := u.named[v.Model]
		if n.version == v.Version && !n.known {
			u.named[v.Model] = naming{v.Version, now.Add(-v.Age), true}
		}
	}
	u.pool.SetPeerLoads(now, g.Name, loads)
	u.mu.Unlock()
	for _, v := range g.Loaded {
		u.Loaded(now, v)
	}
}

// HoldOut keeps new work from replicas that the holder of the duty named at a moment.
func (u *Upstreams) HoldOut(said time.Time, out []message.ReplicaVersion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, o := range out {
		u.pool.MarkReloading(o.Replica, o.Model, o.Version, said.Add(outLife))
	}
}

// ForgetPeers drops the loads that peers told, since they reach this instance in
// another way now.
func (u *Upstreams) ForgetPeers(names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		u.pool.DropPeerLoads(name)
	}
}

// Tell fills in what a peer is told: what has changed since a moment, and the work
// in flight of this instance and of the peers that are to be told with it.
func (u *Upstreams) Tell(now time.Time, g *message.Gossip, since time.Time, peers map[string]bool) {
	for model, oldest := range u.Fetched(now) {
		g.OldestFetched = append(g.OldestFetched, message.ModelVersion{Model: model, Version: oldest, ReporterDigest: membership.Digest(g.Address)})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for model, n := range u.named {
		if n.known {
			g.NamedVersions = append(g.NamedVersions, message.NamedVersion{Model: model, Version: n.version, Age: now.Sub(n.at)})
		}
	}
	if g.Relation != peering.Unrelated {
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
