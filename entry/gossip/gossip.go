// Package gossip exchanges state with the other entry instances: the freshness of each
// view, the work in flight, replicas whose weights change, the status of the leader,
// crashes of replicas, and changes of the stores of context. Each instance exchanges with
// a few peers, chosen by core/peering, and relays to them what it receives.
package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/grantors"
	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/limitgroup"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
)

const (
	// callTimeout bounds one exchange, including the requests for records that follow
	// from it.
	callTimeout = 500 * time.Millisecond
	// limitGroupInterval is the shortest pause between two calls of OnLimitGroup.
	limitGroupInterval = 200 * time.Millisecond
	// notifyInterval is the shortest pause between two rounds of calls of all peers. Without
	// it, roots that learn something from each other's calls made seven times as many calls
	// as usual while replicas reset connections.
	notifyInterval = 50 * time.Millisecond
)

// Gossip is this instance's side of the exchanges. The exported fields must be set
// before Attach. It is safe for concurrent use.
type Gossip struct {
	Self membership.Entry
	// Seeds are addresses of other instances, which may be stale.
	Seeds    []netip.AddrPort
	Endpoint *peerrpc.Endpoint
	Topics   *topics.Topics
	Replicas *replicas.Replicas
	Now      func() time.Time
	Logger   log.Logger
	// Leader receives the status of the leader, and provides it if this instance is the
	// leader.
	Leader Leader
	// OnLimitGroup is called regularly with the instances that share limits, and with
	// those that grant requests within the limits that replicas state.
	OnLimitGroup func(group limitgroup.Group, g grantors.Grantors)
	// Crashes merges and provides the crashes of replicas.
	Crashes Crashes
	// Streams merges and provides the software versions that served.
	Streams Streams
	// Waiting merges and provides what waits for replicas.
	Waiting Waiting
	// Rollouts merges and provides the rollouts of software versions.
	Rollouts Rollouts
	// Stalls merges and provides the suspicions that replicas have stalled.
	Stalls Stalls

	mu      sync.Mutex
	peering peering.Peering
	// process is a random number that identifies this process of the instance.
	process uint64
	peers   map[netip.AddrPort]*peer
	// relayed tracks which status of the leader is the newest, and leaderStatus is that
	// status, for relaying.
	relayed      lease.RelayedStatus
	leaderStatus message.LeaderStatus
	// fetching has the topics whose records are being requested from a peer.
	fetching map[adapter.Topic]bool
	// callAll requests calls of all peers, and callDue a check which calls are due.
	callAll, callDue chan struct{}
	// loggedPlace is the place in the overlay that was last logged.
	loggedPlace peering.Place
	// limitGroupAt is when OnLimitGroup was last called.
	limitGroupAt time.Time
}

// Leader is the state of leadership.
type Leader interface {
	// DrainedReplicas returns the replicas that get no new work until they hold a
	// weight version, and the ids of those that were commanded to load it. Both are
	// empty unless this instance is the leader.
	DrainedReplicas() (drained []message.ReplicaVersion, loading []string)
	// IsLeader reports whether this instance is the leader.
	IsLeader(now time.Time) bool
	// RecordPeerLeader records that another instance was the leader at the given time,
	// and had commanded these replicas to load weights.
	RecordPeerLeader(at time.Time, loading []string)
	// RecordPeerStepDown records that the leader has reported that it is no longer the
	// leader.
	RecordPeerStepDown(now time.Time)
}

// Crashes is the state of the crashes of replicas, by the fingerprints of the requests
// that ran on them and of the parts of their prompts.
type Crashes interface {
	// MergeGossip merges the crashes in a message, and reports whether something changed.
	MergeGossip(now time.Time, m message.Gossip) bool
	// FillGossip adds the crashes that changed at or after the time since.
	FillGossip(now time.Time, m *message.Gossip, since time.Time)
}

// Streams is the state of the software versions that served lately.
type Streams interface {
	// MergeGossip merges the versions in a message.
	MergeGossip(now time.Time, m message.Gossip)
	// FillGossip adds the versions to a message.
	FillGossip(now time.Time, m *message.Gossip)
	// InstancesChanged records that an instance started or ended.
	InstancesChanged(now time.Time)
}

// Waiting is the state of the requests that wait for replicas.
type Waiting interface {
	// MergeGossip merges the loads of a counted peer, which FillGossip of the peer filled.
	MergeGossip(now time.Time, m message.Gossip)
	// FillGossip adds to a message what waits at this instance and at the given peers.
	FillGossip(now time.Time, m *message.Gossip, peers map[string]bool)
	// DropPeers drops what the named peers reported.
	DropPeers(names []string)
}

// Rollouts is the state of the rollouts of software versions.
type Rollouts interface {
	// MergeGossip merges the rollouts in a message, which took transit longer than the fastest
	// one of its sender. It reports whether a change must be sent on at once.
	MergeGossip(now time.Time, m message.Gossip, transit time.Duration) (urgent bool)
	// FillGossip adds the rollouts to a message, with what changed at or after the time since
	// and the counts of the instances that sendsCounts selects.
	FillGossip(now time.Time, m *message.Gossip, since time.Time, sendsCounts func(instance string) bool)
}

// Stalls is the state of the replicas that seem to have stalled.
type Stalls interface {
	// MergeGossip merges the suspicions in a message that was delayed by the given time.
	MergeGossip(now time.Time, delay time.Duration, m message.Gossip)
	// FillGossip adds the suspicions to a message.
	FillGossip(now time.Time, m *message.Gossip)
}

// peer is what a peer last reported, apart from the state in peering.
type peer struct {
	// oldestFetched is the OldestFetched of its last message.
	oldestFetched []message.ModelVersion
	// storePositions has, for each store, the position up to which its changes were
	// applied.
	storePositions map[string]message.StorePosition
	isLeader       bool
	// leaderSince is when the peer last became the leader.
	leaderSince time.Time
}

// Attach initialises the state and registers the handler for messages of peers. It must
// be called before Run and before the endpoint serves.
func (g *Gossip) Attach() {
	g.callAll, g.callDue = make(chan struct{}, 1), make(chan struct{}, 1)
	g.peers, g.fetching = map[netip.AddrPort]*peer{}, map[adapter.Topic]bool{}
	g.process = rand.Uint64()
	g.peering.Start(g.Now(), g.Self, g.process, g.Seeds)
	g.Endpoint.Handle(func(_ context.Context, _ string, msg message.Message) (message.Message, bool, error) {
		now := g.Now()
		switch m := msg.(type) {
		case message.Gossip:
			g.receive(now, m)
			if g.Topics.PeerAhead(m.ViewStates, m.ViewEras) {
				g.callSoon(now, m.Address)
			}
			return g.response(now, m), true, nil
		case message.ViewRequest:
			resp, _ := g.Topics.ViewSince(now, adapter.Topic(m.Topic), topicview.Position{Era: m.Era, Offset: m.From})
			return resp, true, nil
		default:
			return nil, false, nil
		}
	})
}

// ApplyInstances applies changes of the platform's list of instances. Removals are
// ignored.
func (g *Gossip) ApplyInstances(changed []topicview.Record) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rec := range changed {
		if len(rec.Value) == 0 {
			continue
		}
		var m roster.Member
		if err := json.Unmarshal(rec.Value, &m); err != nil {
			_ = g.Logger.Log("msg", "Ignored an entry of the list of instances.", "key", rec.Key, "err", err)
			continue
		}
		g.peering.AddListed(now, m.Address)
	}
}

// OwnRecord returns this instance's entry for the list of instances.
func (g *Gossip) OwnRecord() ([]byte, error) {
	return json.Marshal(roster.Member{Name: g.Self.Name, Address: g.Self.Address, DataCentre: g.Self.DataCentre})
}

// Leave notifies the peers that this instance is leaving. Messages sent from now on
// repeat that.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.peering.Leave(g.Now())
	g.mu.Unlock()
	g.NotifyPeers()
}

// NotifyPeers starts exchanges with all peers of this instance in the overlay at once,
// so that a change spreads quickly. It does not wait for them.
func (g *Gossip) NotifyPeers() {
	select {
	case g.callAll <- struct{}{}:
	default:
	}
}

// Run exchanges state with peers until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var notifiedAt time.Time
	notify := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.callAll:
			notify = true
		case <-g.callDue:
		case <-timer.C:
		}
		now := g.Now()
		g.Replicas.Sweep(now)
		all := notify && now.Sub(notifiedAt) >= notifyInterval
		if all {
			notify, notifiedAt = false, now
		}
		calls, wait := g.duePeers(now, all)
		for _, c := range calls {
			go g.exchange(ctx, c)
		}
		if notify {
			wait = min(wait, notifyInterval-now.Sub(notifiedAt))
		}
		timer.Reset(wait)
	}
}

// callSoon makes a call of a peer due at once, because a request of the peer showed
// that it has topic records that this instance lacks. The view states in that request
// are not merged: it may have been under way for long, so that the age of their proofs
// is not known.
func (g *Gossip) callSoon(now time.Time, address netip.AddrPort) {
	g.mu.Lock()
	g.peering.CallSoon(now, address)
	g.mu.Unlock()
	g.recheckDue()
}

// recheckDue makes Run check which calls are due.
func (g *Gossip) recheckDue() {
	select {
	case g.callDue <- struct{}{}:
	default:
	}
}

// duePeers returns the peers to call now, and the time until others are due. It also
// deletes the state of peers that were dropped, calls OnLimitGroup if
// limitGroupInterval has passed, and drops the loads of peers that are no longer
// counted.
func (g *Gossip) duePeers(now time.Time, all bool) (calls []peering.PeerID, wait time.Duration) {
	g.mu.Lock()
	calls, dropped := g.peering.Due(now, all)
	wait = g.peering.DueIn(now)
	for _, address := range dropped {
		delete(g.peers, address)
		g.Endpoint.Disconnect(address)
	}
	uncounted, place, alive := g.peering.Uncounted(), g.peering.Place(), g.peering.AliveCount()
	placeChanged := place != g.loggedPlace
	g.loggedPlace = place
	groupDue := now.Sub(g.limitGroupAt) >= limitGroupInterval
	if groupDue {
		g.limitGroupAt = now
	}
	group, granting := limitgroup.Group{}, grantors.Grantors{}
	if groupDue {
		group, granting = g.peering.LimitGroup(now), g.peering.Grantors(now)
	}
	g.mu.Unlock()
	if placeChanged {
		_ = g.Logger.Log("msg", "The place among the instances changed.", "root", place.Root, "parent", place.Parent, "living", alive)
	}
	if groupDue {
		g.OnLimitGroup(group, granting)
	}
	g.Replicas.DropPeerLoads(uncounted)
	if g.Waiting != nil {
		g.Waiting.DropPeers(uncounted)
	}
	return calls, wait
}

// Isolated reports whether no peer is responsive.
func (g *Gossip) Isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.Isolated(g.Now())
}

// ReadsTopics reports whether this instance reads the platform's topics itself.
func (g *Gossip) ReadsTopics(now time.Time) bool {
	reachesLog := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.ReadsTopics(now, reachesLog)
}

// FollowsStores reports whether this instance reads the changes of the stores of
// context from the stores themselves. One instance of each data centre does, and so
// does the leader, which frees unused context in the stores.
func (g *Gossip) FollowsStores(now time.Time) bool {
	if g.Leader.IsLeader(now) {
		return true
	}
	reachesLog := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.StoreReader(now, reachesLog) == g.Self.Address
}

// Rank returns this instance's rank as a candidate for leadership, 0 being the first,
// and whether it is connected to the majority, as Peering.Rank defines it.
func (g *Gossip) Rank(now time.Time) (rank int, connected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.Rank(now)
}

// AliveNames returns the names of the other members that are believed to be alive.
func (g *Gossip) AliveNames() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.AliveNames()
}

// OverlayState returns this instance's place in the overlay and the number of other
// members that are believed to be alive, for the metrics.
func (g *Gossip) OverlayState() (place peering.Place, alive int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.Place(), g.peering.AliveCount()
}
