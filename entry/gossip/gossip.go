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
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/outside"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/entry/upstreams"
)

const (
	// callLimit bounds one exchange.
	callLimit = 500 * time.Millisecond
	// shareEvery is how often it is told which instances share limits.
	shareEvery = 200 * time.Millisecond
)

// Gossip is safe for concurrent use. The exported fields must be set before Run.
type Gossip struct {
	Self membership.Entry
	// Seeds are addresses of other instances, which may be stale.
	Seeds    []netip.AddrPort
	Endpoint *peerrpc.Endpoint
	Topics   *topics.Topics
	Replicas *upstreams.Upstreams
	Now      func() time.Time
	Logger   log.Logger
	// Leader is this instance's part in the duties; it names the replicas that get
	// no new work.
	Leader Duty
	// OnLimitGroup takes the instances that share limits.
	OnLimitGroup func(c limitgroup.Group)
	// Crashes is what is told and heard of requests that take down replicas.
	Crashes Crashes

	mu         sync.Mutex
	neighbours peering.Peering
	// process differs between the processes of an instance.
	process uint64
	peers   map[netip.AddrPort]*peer
	// hearsay tells which word of the holder of the duty is the newest, and word has
	// it to be passed on.
	hearsay lease.RelayedStatus
	word    message.LeaderStatus
	// pulling has the topics that are being asked for.
	pulling map[outside.Topic]bool
	// nudge asks for an exchange with all neighbours, wake for a look at who is due.
	nudge, wake chan struct{}
	// place is the last one that was logged.
	place peering.Place
	// shared is when the instances that share limits were last told.
	shared time.Time
}

// Duty is what is told and heard of the duties.
type Duty interface {
	// Out returns the replicas that get no new work until they hold a weight
	// version, and those of them that were ordered.
	Out() (out []message.ReplicaVersion, ordered []string)
	Holds(now time.Time) bool
	// HolderElsewhere notes a holder at a moment, with what it has ordered.
	HolderElsewhere(at time.Time, ordered []string)
	HolderReleased(now time.Time)
}

// Crashes is what is told and heard of requests that take down replicas.
type Crashes interface {
	// Hear reports whether something was news.
	Hear(now time.Time, told []message.FingerprintCrashes) bool
	// Tell returns what changed since a moment.
	Tell(now, since time.Time) []message.FingerprintCrashes
}

// peer is what an instance told last, beside its place among the instances.
type peer struct {
	// fetches is what it told of the context that may be fetched.
	fetches []message.ModelVersion
	// positions says how far its changes of stores were taken.
	positions map[string]message.StorePosition
	holder    bool
}

// Attach answers the exchanges of peers.
func (g *Gossip) Attach() {
	g.nudge, g.wake = make(chan struct{}, 1), make(chan struct{}, 1)
	g.peers, g.pulling = map[netip.AddrPort]*peer{}, map[outside.Topic]bool{}
	g.process = rand.Uint64()
	g.neighbours.Start(g.Now(), g.Self, g.process, g.Seeds)
	g.Endpoint.Handle(func(_ context.Context, _ string, msg message.Message) (message.Message, bool, error) {
		now := g.Now()
		switch m := msg.(type) {
		case message.Gossip:
			g.hear(now, m)
			if g.Topics.PeerAhead(m.ViewStates) {
				g.soon(now, m.Address)
			}
			return g.answer(now, m), true, nil
		case message.ViewRequest:
			c, _ := g.Topics.ViewSince(now, outside.Topic(m.Topic), m.From)
			return c, true, nil
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
		g.neighbours.AddListed(now, m.Address)
	}
}

// OwnRecord is this instance's entry in the list of instances.
func (g *Gossip) OwnRecord() ([]byte, error) {
	return json.Marshal(roster.Member{Name: g.Self.Name, Address: g.Self.Address, DataCentre: g.Self.DataCentre})
}

// Leave tells peers from now on that this instance is leaving.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.neighbours.Leave(g.Now())
	g.mu.Unlock()
	g.NotifyPeers()
}

// NotifyPeers starts an exchange with all neighbours at once.
func (g *Gossip) NotifyPeers() {
	select {
	case g.nudge <- struct{}{}:
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
		case <-g.nudge:
			all = true
		case <-g.wake:
		case <-timer.C:
		}
		now := g.Now()
		g.Replicas.Sweep(now)
		calls, wait := g.due(now, all)
		for _, c := range calls {
			go g.exchange(ctx, c)
		}
		timer.Reset(wait)
	}
}

// soon has a peer called at once, since a call of its own showed that it has news.
// What it told there is not taken: it may have been under way for long.
func (g *Gossip) soon(now time.Time, address netip.AddrPort) {
	g.mu.Lock()
	g.neighbours.CallSoon(now, address)
	g.mu.Unlock()
	g.look()
}

// look has it looked who is to be called.
func (g *Gossip) look() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// due returns the peers to call now, and the time until others are due.
func (g *Gossip) due(now time.Time, all bool) (calls []peering.PeerID, wait time.Duration) {
	g.mu.Lock()
	calls, dropped := g.neighbours.Due(now, all)
	wait = g.neighbours.DueIn(now)
	for _, address := range dropped {
		delete(g.peers, address)
		g.Endpoint.Disconnect(address)
	}
	uncounted, place, living := g.neighbours.Uncounted(), g.neighbours.Place(), g.neighbours.AliveCount()
	moved := place != g.place
	g.place = place
	share := now.Sub(g.shared) >= shareEvery
	if share {
		g.shared = now
	}
	sharing := limitgroup.Group{}
	if share {
		sharing = g.neighbours.LimitGroup(now)
	}
	g.mu.Unlock()
	if moved {
		_ = g.Logger.Log("msg", "The place among the instances changed.", "root", place.Root, "parent", place.Parent, "living", living)
	}
	if share {
		g.OnLimitGroup(sharing)
	}
	g.Replicas.ForgetPeers(uncounted)
	return calls, wait
}

// Isolated reports whether no other instance answers this one.
func (g *Gossip) Isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.Isolated(g.Now())
}

// ReadsTopics reports whether this instance reads the platform's topics.
func (g *Gossip) ReadsTopics(now time.Time) bool {
	reaches := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.ReadsTopics(now, reaches)
}

// FollowsStores reports whether this instance follows the stores of context
// themselves: one of each data centre does, and the holder of the duty, who frees
// what they hold in vain.
func (g *Gossip) FollowsStores(now time.Time) bool {
	if g.Leader.Holds(now) {
		return true
	}
	reaches := g.Topics.ReachesLog()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.StoreReader(now, reaches) == g.Self.Address
}

// Rank returns this instance's place among the candidates for the duty, and whether
// most of them answer.
func (g *Gossip) Rank(now time.Time) (rank int, most bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.Rank(now)
}

// OverlayState returns this instance's place among the instances and the number of others
// that are thought to live, for the metrics.
func (g *Gossip) OverlayState() (place peering.Place, living int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.Place(), g.neighbours.AliveCount()
}
