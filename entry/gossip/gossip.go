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

	"crocusfold.dev/core/crew"
	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/membership"
	"crocusfold.dev/core/neighbours"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
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
	Seeds     []netip.AddrPort
	Mesh      *mesh.Mesh
	Topics    *topics.Topics
	Upstreams *upstreams.Upstreams
	Now       func() time.Time
	Logger    log.Logger
	// Duty is this instance's part in the duties; it names the replicas that get
	// no new work.
	Duty Duty
	// OnCrew takes the instances that share limits.
	OnCrew func(c crew.Crew)
	// Crashes is what is told and heard of requests that take down replicas.
	Crashes Crashes

	mu         sync.Mutex
	neighbours neighbours.Neighbours
	// process differs between the processes of an instance.
	process uint64
	peers   map[netip.AddrPort]*peer
	// hearsay tells which word of the holder of the duty is the newest, and word has
	// it to be passed on.
	hearsay lease.Hearsay
	word    message.HolderWord
	// pulling has the topics that are being asked for.
	pulling map[adapter.Topic]bool
	// nudge asks for an exchange with all neighbours, wake for a look at who is due.
	nudge, wake chan struct{}
	// place is the last one that was logged.
	place neighbours.Place
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
	// Merge reports whether something was news.
	Merge(now time.Time, told []message.ContentEnds) bool
	// ChangedSince returns what changed since a moment.
	ChangedSince(now, since time.Time) []message.ContentEnds
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
	g.peers, g.pulling = map[netip.AddrPort]*peer{}, map[adapter.Topic]bool{}
	g.process = rand.Uint64()
	g.neighbours.Start(g.Now(), g.Self, g.process, g.Seeds)
	g.Mesh.Handle(func(_ context.Context, _ string, msg message.Message) (message.Message, bool, error) {
		now := g.Now()
		switch m := msg.(type) {
		case message.Gossip:
			g.hear(now, m)
			if g.Topics.Ahead(m.Views) {
				g.soon(now, m.Address)
			}
			return g.answer(now, m), true, nil
		case message.ViewAsk:
			c, _ := g.Topics.Copy(now, adapter.Topic(m.Topic), m.From)
			return c, true, nil
		default:
			return nil, false, nil
		}
	})
}

// TakeInstances applies changes of the platform's list of instances.
func (g *Gossip) TakeInstances(changed []topicview.Record) {
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
		g.neighbours.List(now, m.Address)
	}
}

// Record is this instance's entry in the list of instances.
func (g *Gossip) Record() ([]byte, error) {
	return json.Marshal(roster.Member{Name: g.Self.Name, Address: g.Self.Address, DataCentre: g.Self.DataCentre})
}

// Leave tells peers from now on that this instance is leaving.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.neighbours.Leave(g.Now())
	g.mu.Unlock()
	g.Nudge()
}

// Nudge starts an exchange with all neighbours at once.
func (g *Gossip) Nudge() {
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
		g.Upstreams.Sweep(now)
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
	g.neighbours.Soon(now, address)
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
func (g *Gossip) due(now time.Time, all bool) (calls []neighbours.Call, wait time.Duration) {
	g.mu.Lock()
	calls, dropped := g.neighbours.Due(now, all)
	wait = g.neighbours.Wait(now)
	for _, address := range dropped {
		delete(g.peers, address)
		g.Mesh.Drop(address)
	}
	uncounted, place, living := g.neighbours.Uncounted(), g.neighbours.Place(), g.neighbours.Living()
	moved := place != g.place
	g.place = place
	share := now.Sub(g.shared) >= shareEvery
	if share {
		g.shared = now
	}
	sharing := crew.Crew{}
	if share {
		sharing = g.neighbours.Crew(now)
	}
	g.mu.Unlock()
	if moved {
		_ = g.Logger.Log("msg", "The place among the instances changed.", "root", place.Root, "parent", place.Parent, "living", living)
	}
	if share {
		g.OnCrew(sharing)
	}
	g.Upstreams.ForgetPeers(uncounted)
	return calls, wait
}

// Alone reports whether no other instance answers this one.
func (g *Gossip) Alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.Alone(g.Now())
}

// Reads reports whether this instance reads the platform's topics.
func (g *Gossip) Reads(now time.Time) bool {
	reaches := g.Topics.Reaches()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.Reads(now, reaches)
}

// FollowsStores reports whether this instance follows the stores of context
// themselves: one of each data centre does, and the holder of the duty, who frees
// what they hold in vain.
func (g *Gossip) FollowsStores(now time.Time) bool {
	if g.Duty.Holds(now) {
		return true
	}
	reaches := g.Topics.Reaches()
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

// Show returns this instance's place among the instances and the number of others
// that are thought to live, for the metrics.
func (g *Gossip) Show() (place neighbours.Place, living int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.neighbours.Place(), g.neighbours.Living()
}
