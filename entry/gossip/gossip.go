// Package gossip shares state with the other entry instances: how fresh each view
// is, the work in flight, and replicas that change weights. Each instance exchanges
// with a few others, as core/neighbours decides; what it hears it passes on.
package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

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
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// limitGroupInterval is how often it is told which instances share limits.
	limitGroupInterval = 200 * time.Millisecond
)

// Gossip is safe for concurrent use. The exported fields must be set before Run.
type Gossip struct {
	Self membership.Entry
	// Seeds are addresses of other instances, which may be stale.
	Seeds    []netip.AddrPort
	Endpoint *peerrpc.Endpoint
	Topics   *topics.Topics
	Replicas *replicas.Replicas
	Now      func() time.Time
	Logger   log.Logger
	// Leader is this instance's part in the duties; it names the replicas that get
	// no new work.
	Leader Duty
	// OnLimitGroup takes the instances that share limits.
	OnLimitGroup func(c limitgroup.Group)
	// Crashes is what is told and heard of requests that take down replicas.
	Crashes Crashes

	mu      sync.Mutex
	peering peering.Peering
	// process differs between the processes of an instance.
	process uint64
	peers   map[netip.AddrPort]*peer
	// relayed tells which word of the holder of the duty is the newest, and word has
	// it to be passed on.
	relayed      lease.RelayedStatus
	leaderStatus message.LeaderStatus
	// fetching has the topics that are being asked for.
	fetching map[adapter.Topic]bool
	// callAll asks for an exchange with all neighbours, wake for a look at who is due.
	callAll, callDue chan struct{}
	// loggedPlace is the last one that was logged.
	loggedPlace peering.Place
	// limitGroupAt is when the instances that share limits were last told.
	limitGroupAt time.Time
}

// Duty is what is told and heard of the duties.
type Duty interface {
	// DrainedReplicas returns the replicas that get no new work until they hold a weight
	// version, and those of them that were ordered.
	DrainedReplicas() (out []message.ReplicaVersion, ordered []string)
	IsLeader(now time.Time) bool
	// RecordPeerLeader notes a holder at a moment, with what it has ordered.
	RecordPeerLeader(at time.Time, ordered []string)
	RecordPeerStepDown(now time.Time)
}

// Crashes is what is told and heard of requests that take down replicas.
type Crashes interface {
	// Merge reports whether something was news.
	Merge(now time.Time, told []message.FingerprintCrashes) bool
	// ChangedSince returns what changed since a moment.
	ChangedSince(now, since time.Time) []message.FingerprintCrashes
}

// peer is what an instance told last, beside its place among the instances.
type peer struct {
	// oldestFetched is what it told of the context that may be fetched.
	oldestFetched []message.ModelVersion
	// storePositions says how far its changes of stores were taken.
	storePositions map[string]message.StorePosition
	isLeader       bool
}

// Attach answers the exchanges of peers.
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
			if g.Topics.PeerAhead(m.ViewStates) {
				g.callSoon(now, m.Address)
			}
			return g.response(now, m), true, nil
		case message.ViewRequest:
			resp, _ := g.Topics.ViewSince(now, adapter.Topic(m.Topic), m.From)
			return resp, true, nil
		default:
			return nil, false, nil
		}
	})
}

// ApplyInstances applies changes of the platform's list of instances.
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

// OwnRecord is this instance's entry in the list of instances.
func (g *Gossip) OwnRecord() ([]byte, error) {
	return json.Marshal(roster.Member{Name: g.Self.Name, Address: g.Self.Address, DataCentre: g.Self.DataCentre})
}

// Leave tells peers from now on that this instance is leaving.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.peering.Leave(g.Now())
	g.mu.Unlock()
	g.NotifyPeers()
}

// NotifyPeers starts an exchange with all neighbours at once.
func (g *Gossip) NotifyPeers() {
	select {
	case g.callAll <- struct{}{}:
	default:
	}
}

// Run exchanges state with the neighbours until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-g.callAll:
			all = true
		case <-g.callDue:
		case <-timer.C:
		}
		now := g.Now()
		g.Replicas.Sweep(now)
		calls, wait := g.duePeers(now, all)
		for _, c := range calls {
			go g.exchange(ctx, c)
		}
		timer.Reset(wait)
	}
}

// callSoon has a peer called at once, since a call of its own showed that it has news.
// What it told there is not taken: it may have been under way for long.
func (g *Gossip) callSoon(now time.Time, address netip.AddrPort) {
	g.mu.Lock()
	g.peering.CallSoon(now, address)
	g.mu.Unlock()
	g.recheckDue()
}

// recheckDue has it looked who is to be called.
func (g *Gossip) recheckDue() {
	select {
	case g.callDue <- struct{}{}:
	default:
	}
}

// duePeers returns the peers to call now, and the time until others are due.
func (g *Gossip) duePeers(now time.Time, all bool) (calls []peering.PeerID, wait time.Duration) {
	g.mu.Lock()
	calls, dropped := g.peering.Due(now, all)
	wait = g.peering.DueIn(now)
	for _, address := range dropped {
		delete(g.peers, address)
		g.Endpoint.Disconnect(address)
	}
	uncounted, place, alive := g.peering.Uncounted(), g.peering.Place(), g.peering.AliveCount()
	moved := place != g.loggedPlace
	g.loggedPlace = place
	groupDue := now.Sub(g.limitGroupAt) >= limitGroupInterval
	if groupDue {
		g.limitGroupAt = now
	}
	group := limitgroup.Group{}
	if groupDue {
		group = g.peering.LimitGroup(now)
	}
	g.mu.Unlock()
	if moved {
		_ = g.Logger.Log("msg", "The place among the instances changed.", "root", place.Root, "parent", place.Parent, "living", alive)
	}
	if groupDue {
		g.OnLimitGroup(group)
	}
	g.Replicas.DropPeerLoads(uncounted)
	return calls, wait
}

// Isolated reports whether no other instance answers this one.
func (g *Gossip) Isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.Isolated(g.Now())
}

// ReadsTopics reports whether this instance reads the platform's topics.
func (g *Gossip) ReadsTopics(now time.Time) bool {
	reachesLog := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.ReadsTopics(now, reachesLog)
}

// FollowsStores reports whether this instance follows the stores of context
// themselves: one of each data centre does, and the holder of the duty, who frees
// what they hold in vain.
func (g *Gossip) FollowsStores(now time.Time) bool {
	if g.Leader.IsLeader(now) {
		return true
	}
	reachesLog := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.StoreReader(now, reachesLog) == g.Self.Address
}

// Rank returns this instance's place among the candidates for the duty, and whether
// most of them answer.
func (g *Gossip) Rank(now time.Time) (rank int, majority bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.Rank(now)
}

// OverlayState returns this instance's place among the instances and the number of others
// that are thought to live, for the metrics.
func (g *Gossip) OverlayState() (place peering.Place, alive int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peering.Place(), g.peering.AliveCount()
}
