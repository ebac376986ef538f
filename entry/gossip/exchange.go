package gossip

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"crocusfold.dev/core/neighbours"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/topics"
)

// wordLife is how long a word of the holder of the duty is passed on.
const wordLife = 1500 * time.Millisecond

// exchange calls a peer and takes its answer.
func (g *Gossip) exchange(ctx context.Context, c neighbours.Call) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := g.Now()
	to := roster.Member{Name: c.Name, Address: c.Address}
	ans, err := mesh.Ask[message.Gossip](ctx, g.Mesh, to, g.call(sent, c.Address))
	now := g.Now()
	g.mu.Lock()
	changed := g.neighbours.Done(now, c.Address, err == nil)
	g.mu.Unlock()
	defer g.look()
	if changed {
		_ = g.Logger.Log("msg", "A peer answers or no longer answers.", "peer", c.Name, "address", c.Address, "answers", err == nil, "err", err)
	}
	if err != nil {
		return
	}
	g.hear(now, ans)
	g.takeStores(now, ans)
	advanced := false
	for _, b := range g.Topics.Hear(now, sent, ans.Views) {
		advanced = g.pull(ctx, to, b) || advanced
	}
	if advanced {
		g.Nudge()
	}
}

// pull asks a peer for the records of a topic in which it has read further. It
// reports whether they brought news.
func (g *Gossip) pull(ctx context.Context, from roster.Member, b topics.Behind) bool {
	g.mu.Lock()
	busy := g.pulling[b.Topic]
	g.pulling[b.Topic] = true
	g.mu.Unlock()
	if busy {
		return false
	}
	defer func() {
		g.mu.Lock()
		delete(g.pulling, b.Topic)
		g.mu.Unlock()
	}()
	sent := g.Now()
	c, err := mesh.Ask[message.ViewCopy](ctx, g.Mesh, from, message.ViewAsk{Topic: int(b.Topic), From: b.From})
	if err != nil {
		_ = g.Logger.Log("msg", "A peer's view did not arrive.", "peer", from.Name, "topic", b.Topic, "err", err)
		return false
	}
	_ = g.Logger.Log("msg", "Took a view from a peer.", "peer", from.Name, "topic", b.Topic, "next", c.Next, "records", len(c.Records), "age", c.ProofAge)
	return g.Topics.Merge(sent, b, c)
}

// hear takes what a peer tells.
func (g *Gossip) hear(now time.Time, m message.Gossip) {
	g.mu.Lock()
	news, restarted := g.neighbours.Hear(now, m.Hello)
	p, ok := g.peers[m.Address]
	if !ok {
		p = &peer{}
		g.peers[m.Address] = p
	}
	if restarted {
		p.positions = nil
	}
	released := p.holder && !m.Holder
	p.fetches, p.holder = m.Fetches, m.Holder
	counts := g.neighbours.Counts(m.Address)
	said, heard, changed := g.hearHolder(now, m.Duty)
	g.mu.Unlock()

	if released {
		g.Duty.HolderReleased(now)
	}
	if heard {
		g.Duty.HolderElsewhere(said, m.Duty.Ordered)
		g.Upstreams.HoldOut(said, m.Duty.Out)
	}
	news = news || changed
	if g.Crashes.Merge(now, m.Ends) || news {
		g.Nudge()
	}
	if !counts {
		m.Loads = message.LoadTable{}
	}
	g.Upstreams.Hear(now, m)
}

// hearHolder takes a word of the holder of the duty. It returns when that was said,
// whether it is the newest word, and whether it says something new.
func (g *Gossip) hearHolder(now time.Time, w message.HolderWord) (said time.Time, heard, changed bool) {
	if w.Process == 0 || w.Process == g.process {
		return time.Time{}, false, false
	}
	said, heard = g.hearsay.Hear(now, w.Process, w.Stamp, w.Age)
	if !heard {
		return said, false, false
	}
	changed = !slices.Equal(g.word.Out, w.Out) || !slices.Equal(g.word.Ordered, w.Ordered)
	g.word = w
	return said, true, changed
}

// holderWord is what this instance passes on of the duty, or says itself if it holds
// the duty.
func (g *Gossip) holderWord(now time.Time, hello neighbours.Hello, holds bool) message.HolderWord {
	if holds {
		out, ordered := g.Duty.Out()
		return message.HolderWord{Process: hello.Start, Stamp: hello.Stamp, Out: out, Ordered: ordered}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.word
	if w.Age = g.hearsay.Age(now); w.Age > wordLife {
		return message.HolderWord{}
	}
	return w
}

// call is what this instance tells a peer that it calls.
func (g *Gossip) call(now time.Time, to netip.AddrPort) message.Gossip {
	g.mu.Lock()
	hello, since := g.neighbours.Tell(now, to)
	g.mu.Unlock()
	m := g.state(now, hello, since, to)
	if g.source(now) == to {
		m.Positions = g.positions(to)
	}
	return m
}

// answer is what this instance tells a peer that called.
func (g *Gossip) answer(now time.Time, asked message.Gossip) message.Gossip {
	g.mu.Lock()
	hello, since := g.neighbours.Answer(now, asked.Hello)
	g.mu.Unlock()
	m := g.state(now, hello, since, asked.Address)
	m.Stores, m.Clock = g.Upstreams.StoreChanges(now, asked.Positions)
	return m
}

// state tells a peer what has changed since a moment, and the work in flight that
// it can't know from elsewhere.
func (g *Gossip) state(now time.Time, hello neighbours.Hello, since time.Time, to netip.AddrPort) message.Gossip {
	hello.Reaches = g.Topics.Reaches()
	holds := g.Duty.Holds(now)
	m := message.Gossip{
		Hello: hello, Views: g.Topics.Views(now), Holder: holds, Duty: g.holderWord(now, hello, holds),
		Ends: g.Crashes.ChangedSince(now, since),
	}
	g.mu.Lock()
	names, fetches := map[string]bool{}, [][]message.ModelVersion{}
	for _, passed := range g.neighbours.Passes(to, hello.Relation) {
		names[passed.Name] = true
		if p, ok := g.peers[passed.Address]; ok {
			fetches = append(fetches, p.fetches)
		}
	}
	g.mu.Unlock()
	g.Upstreams.Tell(now, &m, since, names)
	m.Fetches = oldestFetches(append(fetches, m.Fetches))
	return m
}
