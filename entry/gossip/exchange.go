package gossip

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/entry/topics"
)

// leaderStatusTTL is how long a status of the leader is relayed after it was sent.
const leaderStatusTTL = 1500 * time.Millisecond

// newLeaderTime is how long a peer that has become the leader gets all counts of rollouts, of
// which it may have received few before. It spans several exchanges.
const newLeaderTime = 2 * time.Second

// exchange sends this instance's state to a peer and merges the state in the response.
// It then requests the topic records that the peer has and this instance lacks.
func (g *Gossip) exchange(ctx context.Context, c peering.PeerID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := g.Now()
	to := roster.Member{Name: c.Name, Address: c.Address}
	resp, err := peerrpc.Call[message.Gossip](ctx, g.Endpoint, to, g.request(sent, c.Address))
	now := g.Now()
	g.mu.Lock()
	changed := g.peering.Done(now, c.Address, err == nil)
	g.mu.Unlock()
	defer g.recheckDue()
	if changed {
		_ = g.Logger.Log("msg", "A peer answers or no longer answers.", "peer", c.Name, "address", c.Address, "answers", err == nil, "err", err)
	}
	if err != nil {
		return
	}
	g.receive(now, resp)
	g.applyStoreChanges(now, resp)
	advanced := false
	for _, gap := range g.Topics.MergeViewStates(now, sent, resp.ViewStates, resp.ViewEras) {
		advanced = g.fetchRecords(ctx, to, gap) || advanced
	}
	if advanced {
		g.NotifyPeers()
	}
}

// fetchRecords requests the records of a topic that a peer has and this instance lacks,
// unless such a request is under way already. It reports whether the view of the topic
// has advanced.
func (g *Gossip) fetchRecords(ctx context.Context, from roster.Member, gap topics.Gap) bool {
	g.mu.Lock()
	busy := g.fetching[gap.Topic]
	g.fetching[gap.Topic] = true
	g.mu.Unlock()
	if busy {
		return false
	}
	defer func() {
		g.mu.Lock()
		delete(g.fetching, gap.Topic)
		g.mu.Unlock()
	}()
	sent := g.Now()
	resp, err := peerrpc.Call[message.ViewResponse](ctx, g.Endpoint, from, message.ViewRequest{Topic: int(gap.Topic), From: gap.From.Offset, Era: gap.From.Era})
	if err != nil {
		_ = g.Logger.Log("msg", "Requesting records from a peer failed.", "peer", from.Name, "topic", gap.Topic, "err", err)
		return false
	}
	_ = g.Logger.Log("msg", "Took a view from a peer.", "peer", from.Name, "topic", gap.Topic, "next", resp.Next, "era", resp.Era, "records", len(resp.Records), "held", len(resp.Held), "age", resp.ProofAge)
	return g.Topics.MergeView(sent, gap, resp)
}

// receive merges the state of a peer. If it has changes that must spread quickly, peers
// are notified at once. The loads are ignored unless the peer is counted, so that no
// instance is counted twice.
func (g *Gossip) receive(now time.Time, m message.Gossip) {
	g.mu.Lock()
	urgent, restarted := g.peering.Receive(now, m.Header)
	p, ok := g.peers[m.Address]
	if !ok {
		p = &peer{}
		g.peers[m.Address] = p
	}
	if restarted {
		p.storePositions = nil
	}
	released := p.isLeader && !m.IsLeader
	if m.IsLeader && !p.isLeader {
		p.leaderSince = now
	}
	p.oldestFetched, p.isLeader = m.OldestFetched, m.IsLeader
	counted, delay := g.peering.Counted(m.Address), g.peering.Delay(m.Address)
	sentAt, newest, changed := g.receiveLeaderStatus(now, m.LeaderStatus)
	g.mu.Unlock()

	if released {
		g.Leader.RecordPeerStepDown(now)
	}
	if newest {
		g.Leader.RecordPeerLeader(sentAt, m.LeaderStatus.Loading)
		g.Replicas.MarkReloading(sentAt, m.LeaderStatus.Drained)
	}
	urgent = g.Replicas.MergeLimits(now, m.Name, delay, m.Limits) || urgent || changed
	urgent = g.Replicas.MergeLeaving(now, m.Name, delay, m.Leaving) || urgent
	urgent = g.Rollouts.MergeGossip(now, m, delay) || urgent
	if g.Crashes.MergeGossip(now, m) || urgent {
		g.NotifyPeers()
	}
	if restarted {
		g.Streams.InstancesChanged(now)
	}
	g.Streams.MergeGossip(now, m)
	if g.Stalls != nil {
		g.Stalls.MergeGossip(now, delay, m)
	}
	if !counted {
		m.Loads, m.Waiting = message.LoadTable{}, nil
	}
	g.Replicas.MergeGossip(now, m)
	if g.Waiting != nil && counted {
		g.Waiting.MergeGossip(now, m)
	}
}

// receiveLeaderStatus merges a relayed status of the leader. It returns when the newest
// status was sent, whether the received one is the newest, and whether it differs from
// the previous one. Statuses of this instance itself are ignored.
func (g *Gossip) receiveLeaderStatus(now time.Time, s message.LeaderStatus) (sentAt time.Time, newest, changed bool) {
	if s.Process == 0 || s.Process == g.process {
		return time.Time{}, false, false
	}
	sentAt, newest = g.relayed.Receive(now, s.Process, s.Stamp, s.Age)
	if !newest {
		return sentAt, false, false
	}
	changed = !slices.Equal(g.leaderStatus.Drained, s.Drained) || !slices.Equal(g.leaderStatus.Loading, s.Loading)
	g.leaderStatus = s
	return sentAt, true, changed
}

// outgoingLeaderStatus returns the own status if this instance is the leader. Otherwise
// it returns the newest one received, or an empty one if that is older than
// leaderStatusTTL.
func (g *Gossip) outgoingLeaderStatus(now time.Time, header peering.Header, isLeader bool) message.LeaderStatus {
	if isLeader {
		drained, loading := g.Leader.DrainedReplicas()
		return message.LeaderStatus{Process: header.Process, Stamp: header.Stamp, Drained: drained, Loading: loading}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.leaderStatus
	if s.Age = g.relayed.Age(now); s.Age > leaderStatusTTL {
		return message.LeaderStatus{}
	}
	return s
}

// request returns the message that requests the state of a peer.
func (g *Gossip) request(now time.Time, to netip.AddrPort) message.Gossip {
	g.mu.Lock()
	header, since := g.peering.RequestHeader(now, to)
	g.mu.Unlock()
	m := g.newMessage(now, header, since, to)
	if g.storeSource(now) == to {
		m.StorePositions = g.storePositions(to)
	}
	return m
}

// response returns the message that responds to the request of a peer.
func (g *Gossip) response(now time.Time, request message.Gossip) message.Gossip {
	g.mu.Lock()
	header, since := g.peering.ResponseHeader(now, request.Header)
	g.mu.Unlock()
	m := g.newMessage(now, header, since, request.Address)
	m.StoreChanges, m.ClockMillis = g.Replicas.StoreChangesSince(now, request.StorePositions)
	return m
}

// newMessage returns a message to a peer with what has changed since the given time,
// and the work in flight of this instance and of the instances that it aggregates for
// the peer, which the peer does not receive by another path.
func (g *Gossip) newMessage(now time.Time, header peering.Header, since time.Time, to netip.AddrPort) message.Gossip {
	header.ReachesLog = g.Topics.ReachesLog()
	isLeader := g.Leader.IsLeader(now)
	m := message.Gossip{
		Header: header, IsLeader: isLeader, LeaderStatus: g.outgoingLeaderStatus(now, header, isLeader),
	}
	m.ViewStates, m.ViewEras = g.Topics.ViewStates(now)
	g.Crashes.FillGossip(now, &m, since)
	g.Streams.FillGossip(now, &m)
	if g.Stalls != nil {
		g.Stalls.FillGossip(now, &m)
	}
	g.mu.Lock()
	names, oldestFetched := map[string]bool{}, [][]message.ModelVersion{}
	toLeader, countsSince := false, since
	if p, ok := g.peers[to]; ok && p.isLeader {
		toLeader = true
		if now.Sub(p.leaderSince) < newLeaderTime {
			countsSince = time.Time{}
		}
	}
	for _, aggregated := range g.peering.AggregatedFor(to, header.Relation) {
		names[aggregated.Name] = true
		if p, ok := g.peers[aggregated.Address]; ok {
			oldestFetched = append(oldestFetched, p.oldestFetched)
		}
	}
	g.mu.Unlock()
	g.Replicas.FillGossip(now, &m, since, names)
	if g.Waiting != nil && m.Relation != peering.Unrelated {
		g.Waiting.FillGossip(now, &m, names)
	}
	g.Rollouts.FillGossip(now, &m, countsSince, func(instance string) bool {
		if header.Relation == peering.Parent {
			// A child learns the decisions, and needs the counts only to decide as the leader.
			return toLeader
		}
		return instance == g.Self.Name || names[instance]
	})
	m.OldestFetched = mergeOldestFetched(append(oldestFetched, m.OldestFetched))
	return m
}
