// Package gossip finds the other entry instances and shares state with them:
// how fresh each view is, the work in flight, and replicas that change weights.
package gossip

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/feed"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/outside"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/entry/upstreams"
)

// Times of the exchange.
const (
	// every is the pause between two exchanges with a peer.
	every = 160 * time.Millisecond
	// callLimit bounds one exchange.
	callLimit = 500 * time.Millisecond
	// slowest is the pause between tries at a peer that does not answer.
	slowest = time.Second
	// peerLife is how long a silent peer counts as one that answers.
	peerLife = 1200 * time.Millisecond
	// knownEvery is the pause between two messages that list the known instances.
	knownEvery = time.Second
	// memberLife is how long a silent peer is still asked.
	memberLife = 30 * time.Second
	// lostLife is how long a peer that fell silent without having left counts as one
	// that shares limits, since it may live behind a cut; regions may lose each
	// other for an hour.
	lostLife = 2 * time.Hour
)

// Gossip is safe for concurrent use. The exported fields must be set before Run.
type Gossip struct {
	Self      roster.Member
	Seeds     []netip.AddrPort
	Mesh      *mesh.Mesh
	Topics    *topics.Topics
	Upstreams *upstreams.Upstreams
	Now       func() time.Time
	Logger    log.Logger
	// Duty is this instance's part in the duties; it names the replicas that get
	// no new work.
	Duty Duty
	// OnMembers takes the number of instances that share limits.
	OnMembers func(n int)
	// Crashes is what is told and heard of requests that take down replicas.
	Crashes Crashes

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// lost has the peers that fell silent without having left, and when.
	lost    map[netip.AddrPort]time.Time
	leaving bool
	// toldKnown is when the known instances were last told.
	toldKnown time.Time
	nudge     chan struct{}
	start     uint64
}

// Duty is what is told and heard of the duties.
type Duty interface {
	// Out returns the replicas that get no new work until they hold a weight
	// version, and those of them that were ordered.
	Out() (out []message.ReplicaVersion, ordered []string)
	Holds(now time.Time) bool
	// HolderSeen returns how long ago another holder was known.
	HolderSeen(now time.Time) (age time.Duration, ok bool)
	// HolderElsewhere notes a holder at a moment, with what it has ordered.
	HolderElsewhere(at time.Time, ordered []string)
	HolderReleased(now time.Time)
}

// Crashes is what is told and heard of requests that take down replicas.
type Crashes interface {
	Hear(now time.Time, told []message.ContentEnds)
	// Tell returns what changed since a moment.
	Tell(now, since time.Time) []message.ContentEnds
}

type peer struct {
	roster.Member
	heard  time.Time
	added  time.Time
	failed int
	next   time.Time
	busy   bool
	// fetches is what the peer last told of the context that it may fetch.
	fetches []message.ModelVersion
	// start is the peer's process, and synced the moment up to which it was told
	// what this instance knows of requests that take down replicas.
	start  uint64
	synced time.Time
	// again asks for an exchange right after the one that is running.
	again bool
	// holder and reaches are what it last told of the duties and the log.
	holder, reaches bool
}

// Attach answers the exchanges of peers.
func (g *Gossip) Attach() {
	g.nudge = make(chan struct{}, 1)
	g.start = rand.Uint64()
	g.peers, g.lost = map[netip.AddrPort]*peer{}, map[netip.AddrPort]time.Time{}
	g.Mesh.Handle(func(_ context.Context, _ string, msg message.Message) (message.Message, bool, error) {
		now := g.Now()
		switch m := msg.(type) {
		case message.Gossip:
			g.hear(now, m)
			return g.state(now, g.toldUpTo(m.Address)), true, nil
		case message.ViewAsk:
			c, _ := g.Topics.Copy(now, outside.Topic(m.Topic))
			return c, true, nil
		default:
			return nil, false, nil
		}
	})
}

// TakeInstances applies changes of the list of instances.
func (g *Gossip) TakeInstances(changed []feed.Record) {
	now := g.Now()
	for _, rec := range changed {
		var m roster.Member
		if len(rec.Value) == 0 {
			continue
		}
		if err := json.Unmarshal(rec.Value, &m); err != nil {
			_ = g.Logger.Log("msg", "Ignored an entry of the list of instances.", "key", rec.Key, "err", err)
			continue
		}
		g.add(now, m)
	}
}

// Record is this instance's entry in the list of instances.
func (g *Gossip) Record() ([]byte, error) { return json.Marshal(g.Self) }

// Leave tells peers from now on that this instance is leaving.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.Nudge()
}

// Nudge starts an exchange with all peers at once.
func (g *Gossip) Nudge() {
	select {
	case g.nudge <- struct{}{}:
	default:
	}
}

func (g *Gossip) add(now time.Time, m roster.Member) {
	if !m.Address.IsValid() || m.Address == g.Self.Address {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[m.Address]
	if !ok {
		p = &peer{added: now}
		g.peers[m.Address] = p
	}
	if m.Name != "" {
		p.Member = m
	} else if p.Address != m.Address {
		p.Member = roster.Member{Name: m.Address.String(), Address: m.Address}
	}
}

// Run exchanges state with all peers until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for _, seed := range g.Seeds {
		g.add(g.Now(), roster.Member{Address: seed})
	}
	const tick = every / 4
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-g.nudge:
			all = true
		case <-timer.C:
		}
		now := g.Now()
		g.Upstreams.Sweep(now)
		for _, p := range g.due(now, all) {
			go g.exchange(ctx, p)
		}
	}
}

// due returns the peers to exchange with now.
func (g *Gossip) due(now time.Time, all bool) []*peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*peer
	for address, p := range g.peers {
		silent := now.Sub(p.added)
		if !p.heard.IsZero() {
			silent = now.Sub(p.heard)
		}
		if silent > memberLife {
			delete(g.peers, address)
			if !p.heard.IsZero() && !p.Leaving {
				g.lost[address] = p.heard
			}
			continue
		}
		if p.busy && all {
			p.again = true
		}
		if p.busy || !all && now.Before(p.next) {
			continue
		}
		p.busy = true
		out = append(out, p)
	}
	g.shareLimits(now)
	return out
}

// shareLimits tells by how many instances the limits of all are shared.
func (g *Gossip) shareLimits(now time.Time) {
	for address, heard := range g.lost {
		if _, back := g.peers[address]; back || now.Sub(heard) > lostLife {
			delete(g.lost, address)
		}
	}
	members := 1 + len(g.peers) + len(g.lost)
	g.Upstreams.SetMembers(members)
	g.OnMembers(members)
}

func (g *Gossip) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := g.Now()
	g.mu.Lock()
	to, since, start := p.Member, p.synced, p.start
	g.mu.Unlock()
	ans, err := mesh.Ask[message.Gossip](ctx, g.Mesh, to, g.state(sent, since))
	now := g.Now()
	g.note(now, p, err)
	if err != nil {
		return
	}
	g.hear(now, ans)
	// A process that has just taken the peer's place was told only the news.
	if ans.Start == start {
		g.noteTold(p, start, sent)
	}
	for _, topic := range g.Topics.Hear(now, sent, ans.Views, g.isReader(now, to.Name)) {
		g.pull(ctx, to, topic)
	}
}

// pull asks a peer for the records of a topic that this instance can't read.
func (g *Gossip) pull(ctx context.Context, from roster.Member, topic outside.Topic) {
	sent := g.Now()
	c, err := mesh.Ask[message.ViewCopy](ctx, g.Mesh, from, message.ViewAsk{Topic: int(topic)})
	if err != nil {
		_ = g.Logger.Log("msg", "A peer's view did not arrive.", "peer", from.Name, "topic", topic, "err", err)
		return
	}
	_ = g.Logger.Log("msg", "Took a view from a peer.", "peer", from.Name, "topic", topic, "next", c.Next, "age", c.ProofAge)
	g.Topics.Merge(sent, topic, c)
}

func (g *Gossip) note(now time.Time, p *peer, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.busy = false
	if err == nil {
		if p.failed > 0 {
			_ = g.Logger.Log("msg", "A peer answers again.", "peer", p.Name)
		}
		p.failed, p.heard, p.next = 0, now, now.Add(every)
		if p.again {
			p.again, p.next = false, now
		}
		return
	}
	if p.failed == 0 {
		_ = g.Logger.Log("msg", "A peer does not answer.", "peer", p.Name, "err", err)
	}
	p.failed++
	p.next = now.Add(min(every<<min(p.failed, 8), slowest))
}

func (g *Gossip) hear(now time.Time, m message.Gossip) {
	g.add(now, roster.Member{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, Leaving: m.Leaving})
	for _, known := range m.Known {
		g.mu.Lock()
		_, ok := g.peers[known.Address]
		g.mu.Unlock()
		if !ok {
			g.add(now, known)
		}
	}
	released := false
	g.mu.Lock()
	if p, ok := g.peers[m.Address]; ok {
		if p.start != m.Start {
			p.start, p.synced = m.Start, time.Time{}
		}
		p.fetches, p.reaches = m.Fetches, m.Reaches
		released = p.holder && !m.Holder
		p.holder = m.Holder
	}
	g.mu.Unlock()
	if released {
		g.Duty.HolderReleased(now)
	}
	switch {
	case m.Holder:
		g.Duty.HolderElsewhere(now, m.Ordered)
	case m.HolderAge >= 0:
		g.Duty.HolderElsewhere(now.Add(-m.HolderAge), nil)
	}
	g.Crashes.Hear(now, m.Ends)
	g.Upstreams.Hear(now, m)
}

// Fetched returns the oldest weight version of a model whose context any known
// peer may still fetch; ok is false if one has not told.
func (g *Gossip) Fetched(model string) (oldest int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	oldest = math.MaxInt
	for _, p := range g.peers {
		told := false
		for _, f := range p.fetches {
			if f.Model == model {
				told, oldest = true, min(oldest, f.Version)
			}
		}
		if !told {
			return 0, false
		}
	}
	return oldest, true
}

// Reads reports whether this instance is the first of its data centre that
// answers, which reads the list of replicas for the others.
func (g *Gossip) Reads(now time.Time) bool { return g.reader(now) == g.Self.Name }

func (g *Gossip) isReader(now time.Time, name string) bool { return g.reader(now) == name }

func (g *Gossip) reader(now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.Self.Name
	for _, p := range g.peers {
		live := !p.heard.IsZero() && now.Sub(p.heard) < peerLife && !p.Leaving
		if live && p.DataCentre == g.Self.DataCentre && p.Name < first {
			first = p.Name
		}
	}
	return first
}

// Rank returns how many instances that answer and reach the platform's log come
// before this one by name, and whether most of the known ones answer.
func (g *Gossip) Rank(now time.Time) (rank int, most bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	answer := 0
	for _, p := range g.peers {
		if p.heard.IsZero() || now.Sub(p.heard) >= peerLife {
			continue
		}
		answer++
		if !p.Leaving && p.reaches && p.Name < g.Self.Name {
			rank++
		}
	}
	return rank, 2*answer >= len(g.peers)
}

// toldUpTo returns the moment up to which a peer was told all.
func (g *Gossip) toldUpTo(address netip.AddrPort) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.peers[address]; ok {
		return p.synced
	}
	return time.Time{}
}

// noteTold notes that a peer's process was told all up to a moment.
func (g *Gossip) noteTold(p *peer, start uint64, upTo time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.start == start {
		p.synced = upTo
	}
}

// state tells a peer that was told of ends up to a moment.
func (g *Gossip) state(now, toldUpTo time.Time) message.Gossip {
	out, ordered := g.Duty.Out()
	m := message.Gossip{
		Name: g.Self.Name, DataCentre: g.Self.DataCentre, Address: g.Self.Address,
		Views: g.Topics.Views(now), Out: out, Ordered: ordered,
		Holder: g.Duty.Holds(now), HolderAge: -1, Reaches: g.Topics.Reaches(now), Start: g.start, Ends: g.Crashes.Tell(now, toldUpTo),
	}
	if age, ok := g.Duty.HolderSeen(now); ok && !m.Holder {
		m.HolderAge = age
	}
	g.Upstreams.Tell(&m)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Leaving = g.leaving
	if now.Sub(g.toldKnown) < knownEvery {
		return m
	}
	g.toldKnown = now
	for _, p := range g.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) < slowest {
			m.Known = append(m.Known, p.Member)
		}
	}
	return m
}
