package upstreams

import (
	"time"

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
	u.pool.SawVersion(v.Replica, v.Model, v.Version)
	if u.loaded == nil {
		u.loaded = map[message.ReplicaVersion]time.Time{}
	}
	u.loaded[v] = now
	_ = u.Logger.Log("msg", "A replica holds new weights.", "replica", v.Replica, "model", v.Model, "version", v.Version)
}

// Hear takes a peer's loads and changes of weights.
func (u *Upstreams) Hear(now time.Time, g message.Gossip) {
	loads := map[string]pool.Load{}
	for _, l := range g.Loads {
		loads[l.Replica] = pool.Load{Running: l.Running, Tokens: l.Tokens, Reading: l.Reading, Moving: l.Moving}
	}
	u.mu.Lock()
	for _, v := range g.Named {
		n := u.named[v.Model]
		if n.version == v.Version && !n.known {
			u.named[v.Model] = naming{v.Version, now.Add(-v.Age), true}
		}
	}
	u.pool.HearPeer(now, g.Name, loads)
	for _, o := range g.Out {
		u.pool.Reloading(o.Replica, o.Model, o.Version, now.Add(outLife))
	}
	u.mu.Unlock()
	for _, v := range g.Loaded {
		u.Loaded(now, v)
	}
}

// Tell fills in what peers are told.
func (u *Upstreams) Tell(g *message.Gossip) {
	for model, oldest := range u.Fetched(u.Now()) {
		g.Fetches = append(g.Fetches, message.ModelVersion{Model: model, Version: oldest})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for model, n := range u.named {
		if n.known {
			g.Named = append(g.Named, message.NamedVersion{Model: model, Version: n.version, Age: u.Now().Sub(n.at)})
		}
	}
	for id, l := range u.pool.Own() {
		g.Loads = append(g.Loads, message.ReplicaLoad{Replica: id, Running: l.Running, Tokens: l.Tokens, Reading: l.Reading, Moving: l.Moving})
	}
	for v := range u.loaded {
		g.Loaded = append(g.Loaded, v)
	}
}
