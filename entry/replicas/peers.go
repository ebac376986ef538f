package replicas

import (
	"time"

	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/weightversion"
	"crocusfold.dev/entry/message"
)

// RecordLoaded records that a replica has loaded a weight version, and has it sent to
// peers. It ignores unknown replicas and versions that are not newer than the known one.
func (rs *Replicas) RecordLoaded(now time.Time, v message.ReplicaVersion) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.pool.Replica(v.Replica)
	if !ok || r.Versions[v.Model] >= v.Version {
		return
	}
	rs.pool.ObserveVersion(v.Replica, v.Model, v.Version)
	if rs.loadedAt == nil {
		rs.loadedAt = map[message.ReplicaVersion]time.Time{}
	}
	rs.loadedAt[v] = rs.afterFilled(now)
	_ = rs.Logger.Log("msg", "A replica holds new weights.", "replica", v.Replica, "model", v.Model, "version", v.Version)
}

// MergeGossip merges a peer's loads, ages of named versions and changes of weights.
func (rs *Replicas) MergeGossip(now time.Time, g message.Gossip) {
	loads := make(map[string]pool.Load, len(g.Loads.Replicas))
	g.Loads.ForEach(func(replica string, running, tokens, prefill int, transfer time.Duration) {
		loads[replica] = pool.Load{Running: running, Tokens: tokens, PendingPrefill: prefill, PendingTransfer: transfer, Bytes: max(0, g.HeldBytes[replica])}
	})
	rs.mu.Lock()
	for _, v := range g.NamedVersions {
		if h := rs.named[v.Model]; h != nil {
			h.Learn(weightversion.Named{Version: v.Version, At: now.Add(-v.Age), AgeKnown: true})
		}
	}
	rs.pool.SetPeerLoads(now, g.Name, loads)
	rs.mu.Unlock()
	for _, v := range g.Loaded {
		rs.RecordLoaded(now, v)
	}
}

// MarkReloading keeps new work from replicas until they hold the given versions, but no
// longer than reloadingTTL after the leader reported them at sentAt.
func (rs *Replicas) MarkReloading(sentAt time.Time, reloading []message.ReplicaVersion) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, v := range reloading {
		rs.pool.MarkReloading(v.Replica, v.Model, v.Version, sentAt.Add(reloadingTTL))
	}
}

// DropPeerLoads drops the loads that the named peers reported. It is for peers whose
// loads this instance now receives as part of the sums of other peers.
func (rs *Replicas) DropPeerLoads(names []string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, name := range names {
		rs.pool.DropPeerLoads(name)
	}
}

// FillGossip adds to a message for a peer the oldest fetched and the named weight
// versions, the changes of weights and of limits and the replicas that leave since a given
// time, and the sum of the work in flight of this instance and of the given peers. Unrelated
// instances exchange no loads.
func (rs *Replicas) FillGossip(now time.Time, g *message.Gossip, since time.Time, peers map[string]bool) {
	for model, oldest := range rs.OldestFetchedVersions(now) {
		g.OldestFetched = append(g.OldestFetched, message.ModelVersion{Model: model, Version: oldest, ReporterDigest: membership.Digest(g.Address)})
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.filledAt = rs.afterFilled(now)
	for model, h := range rs.named {
		for _, n := range h.Known() {
			g.NamedVersions = append(g.NamedVersions, message.NamedVersion{Model: model, Version: n.Version, Age: now.Sub(n.At)})
		}
	}
	if g.Relation != peering.Unrelated {
		for id, l := range rs.pool.CombinedLoads(now, peers) {
			g.Loads.Add(id, l.Running, l.Tokens, l.PendingPrefill, l.PendingTransfer)
			if l.Bytes > 0 {
				if g.HeldBytes == nil {
					g.HeldBytes = map[string]int{}
				}
				g.HeldBytes[id] = l.Bytes
			}
		}
	}
	for _, l := range rs.pool.LimitsChangedSince(since) {
		g.Limits = append(g.Limits, message.ReplicaLimit{
			Replica: l.ID, Incarnation: l.Incarnation, Limited: l.Limited, Rate: l.Rate,
			SentAge: now.Sub(l.SentAt), ReceivedAge: now.Sub(l.ReceivedAt),
		})
	}
	for _, d := range rs.pool.LeavingSince(since) {
		g.Leaving = append(g.Leaving, message.LeavingReplica{Replica: d.Replica, Incarnation: d.Incarnation, Age: now.Sub(d.RecordedAt)})
	}
	for v, at := range rs.loadedAt {
		if !at.Before(since) {
			g.Loaded = append(g.Loaded, v)
		}
	}
}

// afterFilled returns the time from which a change counts that is recorded now. The caller
// holds the lock.
func (rs *Replicas) afterFilled(now time.Time) time.Time {
	if now.Before(rs.filledAt) {
		return rs.filledAt
	}
	return now
}
