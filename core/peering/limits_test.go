package peering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/core/denials"
	"crocusfold.dev/core/limiter"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/statedlimit"
)

// The model of limits: a fleet sends requests to replicas, one of which states a limit. It
// is played in the steps of the fleet, in fake time and without a network.
const (
	// replyTime is the time from the arrival of a request at a replica to its response.
	replyTime = 60 * time.Millisecond
	// patience is how long a request waits for a replica.
	patience = 200 * time.Millisecond
	// The users' rule: from limitGrace after a replica first stated a limit, it may get in
	// limitWindow limitOvershoot times what the limit allows and limitSlack more, from the
	// instances that have received such a response at least toldTime before.
	limitGrace     = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	toldTime       = 500 * time.Millisecond
)

// limitState is what an instance knows of limits.
type limitState struct {
	pool    pool.Pool
	limiter limiter.Limiter
	denials denials.Denials
	// toldAt is when this process first received a response with a limit.
	toldAt  time.Time
	waiting []*request
}

// request is a request of a caller that waits for a replica.
type request struct {
	began time.Time
	seed  uint64
	// asking is true while the grant of the request is under way.
	asking bool
}

// changedSince returns the limits to send to a peer; nil in tests without limits.
func (s *limitState) changedSince(now, since time.Time) []sentLimit {
	if s == nil {
		return nil
	}
	var out []sentLimit
	for _, l := range s.pool.LimitsChangedSince(since) {
		out = append(out, sentLimit{l, now})
	}
	return out
}

// sentLimit is a limit in a message that was sent at a time.
type sentLimit struct {
	pool.ReplicaLimit
	at time.Time
}

func (n *node) mergeLimits(now time.Time, from netip.AddrPort, limits []sentLimit) {
	for _, l := range limits {
		// The message has ages, which the receiver corrects by the delay that it knows.
		shift := now.Sub(l.at) - n.Delay(from)
		s := statedlimit.Statement{Limited: l.Limited, Rate: l.Rate, SentAt: l.SentAt.Add(shift), ReceivedAt: l.ReceivedAt.Add(shift)}
		if n.limits.pool.ObserveLimit(now, l.ID, l.Incarnation, s) == statedlimit.Urgent {
			n.callAll = true
		}
	}
}

// limitModel is a fleet with replicas. The first one may state a limit.
type limitModel struct {
	*fleet
	t        *testing.T
	replicas int
	// pressure is the number of requests per second of all callers.
	pressure float64
	// rate is the limit that the first replica states now; negative if it states none.
	rate     float64
	firstAt  time.Time
	rates    []rateChange
	arrivals []time.Time
	// used counts all requests at the limited replica, also of instances not told yet.
	used            int
	served, refused int
}

type rateChange struct {
	at   time.Time
	rate float64
}

func newLimitModel(t *testing.T, seed uint64, size, centres, replicas int, pressure float64) *limitModel {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 2)), now: time.UnixMilli(1_000_000)}
	m := &limitModel{fleet: f, t: t, replicas: replicas, pressure: pressure, rate: -1}
	f.create(size, centres, false)
	for _, n := range f.nodes {
		m.reset(n)
	}
	return m
}

// reset gives an instance the state of a new process.
func (m *limitModel) reset(n *node) {
	n.limits = &limitState{}
	for i := range m.replicas {
		n.limits.pool.Set(pool.Replica{ID: fmt.Sprintf("r%d", i), Service: "s", Slots: 64, Versions: map[string]int{}})
	}
}

func (m *limitModel) setRate(rate float64) {
	if m.firstAt.IsZero() && rate >= 0 {
		m.firstAt = m.now
	}
	m.rate = rate
	m.rates = append(m.rates, rateChange{m.now, rate})
}

func (m *limitModel) restart(n *node) {
	m.startNode(n)
	m.reset(n)
}

// play lets time pass under pressure.
func (m *limitModel) play(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.run(step)
		up := make([]*node, 0, len(m.nodes))
		for _, n := range m.nodes {
			if n.up && !n.frozen {
				up = append(up, n)
			}
		}
		if len(up) == 0 {
			continue
		}
		expected := m.pressure * step.Seconds()
		count := int(expected)
		if m.random.Float64() < expected-float64(count) {
			count++
		}
		for range count {
			n := up[m.random.IntN(len(up))]
			n.limits.waiting = append(n.limits.waiting, &request{began: m.now, seed: m.random.Uint64() | 1})
		}
		for _, n := range up {
			m.placeWaiting(n)
		}
	}
}

// placeWaiting sends the waiting requests of an instance that a replica may take, and
// refuses those that have waited too long.
func (m *limitModel) placeWaiting(n *node) {
	kept := n.limits.waiting[:0]
	for _, r := range n.limits.waiting {
		switch {
		case r.asking:
			kept = append(kept, r)
		case m.now.Sub(r.began) > patience:
			m.refused++
		case !m.place(n, r):
			kept = append(kept, r)
		}
	}
	n.limits.waiting = kept
}

// place sends a request, or begins to ask for its grant. It reports whether it was sent.
func (m *limitModel) place(n *node, r *request) bool {
	choice, reason := n.limits.pool.Choose(m.now, pool.Request{Service: "s", SampleSeed: r.seed})
	if reason != "" {
		return false
	}
	if !choice.Limited {
		m.sendTo(n, choice.ID)
		return true
	}
	r.asking = true
	all := n.Grantors(m.now).Of(choice.ID, m.knownRate(n, choice.ID))
	m.ask(n, r, choice.ID, all, n.limits.denials.Askable(m.now, n.entry.Address, choice.ID, all, 0))
	return false
}

// ask asks one grantor after the other for the grant of a request, as
// entry/replicalimits does.
func (m *limitModel) ask(n *node, r *request, replica string, all, askable []netip.AddrPort) {
	if len(askable) == 0 {
		n.limits.pool.Defer(m.now, replica, 0, m.now.Add(n.limits.denials.Wait(m.now, replica, all, 0)))
		r.asking = false
		return
	}
	grantor, process, done := askable[0], n.process, false
	rate := m.knownRate(n, replica)
	answer := func(wait time.Duration, ok bool) {
		if done || !n.up || n.process != process {
			return
		}
		done = true
		if ok {
			m.removeWaiting(n, r)
			m.sendTo(n, replica)
			return
		}
		n.limits.denials.Denied(m.now, replica, grantor, 0, wait)
		m.ask(n, r, replica, all, askable[1:])
	}
	if grantor == n.entry.Address {
		answer(m.grant(n, replica, rate))
		return
	}
	m.schedule(100*time.Millisecond, func() {
		if !done && n.up && n.process == process {
			done = true
			n.limits.denials.Failed(m.now, grantor)
			m.ask(n, r, replica, all, askable[1:])
		}
	})
	g := m.byAddress[grantor]
	m.send(n, g, func() {
		wait, ok := m.grant(g, replica, rate)
		m.send(g, n, func() { answer(wait, ok) })
	})
}

func (m *limitModel) removeWaiting(n *node, r *request) {
	for i, w := range n.limits.waiting {
		if w == r {
			n.limits.waiting = append(n.limits.waiting[:i], n.limits.waiting[i+1:]...)
			return
		}
	}
}

func (m *limitModel) knownRate(n *node, replica string) float64 {
	l, _ := n.limits.pool.Limit(replica, 0)
	return l.Rate
}

// grant decides on a request at a grantor, as entry/replicalimits does.
func (m *limitModel) grant(g *node, replica string, rate float64) (time.Duration, bool) {
	if l, ok := g.limits.pool.Limit(replica, 0); ok {
		if !l.Limited {
			return 0, true
		}
		rate = l.Rate
	}
	fraction, rank := g.Grantors(m.now).Share(replica, rate)
	if fraction == 0 {
		return 250 * time.Millisecond, false
	}
	return g.limits.limiter.Take(m.now, limiter.Share{Replica: replica, Rate: rate, Fraction: fraction, Rank: rank}, 0)
}

// sendTo sends a request to a replica. Its response states the limit in force.
func (m *limitModel) sendTo(n *node, replica string) {
	m.served++
	sentAt, process := m.now, n.process
	limited := replica == "r0"
	if limited && !m.firstAt.IsZero() {
		m.used++
		if told := n.limits.toldAt; !told.IsZero() && m.now.Sub(told) >= toldTime {
			m.arrivals = append(m.arrivals, m.now)
		}
	}
	s := statedlimit.Statement{Limited: limited && m.rate >= 0, Rate: max(m.rate, 0), SentAt: sentAt}
	m.schedule(replyTime, func() {
		if !n.up || n.process != process {
			return
		}
		if s.Limited && n.limits.toldAt.IsZero() {
			n.limits.toldAt = m.now
		}
		s.ReceivedAt = m.now
		if n.limits.pool.ObserveLimit(m.now, replica, 0, s) == statedlimit.Urgent {
			n.callAll = true
		}
	})
}

// rateAt returns the highest limit in force during toldTime before a time; ok is false if
// the replica stated none at some time of it.
func (m *limitModel) rateAt(at time.Time) (rate float64, ok bool) {
	ok = true
	for i, c := range m.rates {
		ended := i+1 < len(m.rates) && !m.rates[i+1].at.After(at.Add(-toldTime))
		if c.at.After(at) || ended {
			continue
		}
		ok = ok && c.rate >= 0
		rate = max(rate, c.rate)
	}
	return rate, ok
}

// checkWindows checks the users' rule in each window of arrivals.
func (m *limitModel) checkWindows(name string) {
	m.t.Helper()
	from := m.firstAt.Add(limitGrace)
	for i, first := range m.arrivals {
		if first.Before(from) {
			continue
		}
		allowed, limited := limitSlack+0.0, true
		for at := first; at.Before(first.Add(limitWindow)); at = at.Add(step) {
			rate, ok := m.rateAt(at)
			limited = limited && ok
			allowed += limitOvershoot * rate * step.Seconds()
		}
		count := 0
		for _, at := range m.arrivals[i:] {
			if at.Before(first.Add(limitWindow)) {
				count++
			}
		}
		if limited && float64(count) > allowed {
			m.t.Errorf("%s: %d requests in %v from %v after the start, allowed %.1f", name, count, limitWindow, first.Sub(time.UnixMilli(1_000_000)), allowed)
			return
		}
	}
}

// limitHistories are the fleets and limits of TestLimitHistories.
var limitHistories = []struct {
	size, centres, replicas, seeds int
	rate, pressure                 float64
}{
	{9, 3, 1, 2, 4.9, 40},
	{9, 3, 1, 2, 0.5, 30},
	{9, 3, 3, 2, 4.1, 60},
	{9, 3, 1, 1, 0, 30},
	{9, 3, 1, 1, 200, 600},
	{58, 4, 1, 1, 4.9, 60},
	{88, 5, 1, 1, 0.5, 60},
	{195, 5, 1, 1, 4.9, 100},
}

// TestLimitHistories guards against more requests to a replica than it states, over all
// instances, in random histories of instances and limits, and against unused limits.
// CROCUS_SEEDS and CROCUS_FIRST_SEED choose the seeds.
func TestLimitHistories(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("CROCUS_SEEDS"))
	first, _ := strconv.ParseUint(os.Getenv("CROCUS_FIRST_SEED"), 10, 64)
	for _, c := range limitHistories {
		for i := range uint64(max(c.seeds, more)) {
			seed := max(first, 1) + i
			name := fmt.Sprintf("size-%d/replicas-%d/rate-%v/seed-%d", c.size, c.replicas, c.rate, seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				m := newLimitModel(t, seed, c.size, c.centres, c.replicas, c.pressure)
				m.playHistory(name, c.rate)
			})
		}
	}
}

// playHistory plays a calm phase, in which most of the limit must be used, a phase of
// random disturbances, and the end of the limit.
func (m *limitModel) playHistory(name string, rate float64) {
	m.play(5 * time.Second)
	m.setRate(rate)
	m.play(4 * time.Second)
	m.used = 0
	const calm = 16 * time.Second
	m.play(calm)
	if want := 0.6 * rate * calm.Seconds(); m.replicas == 1 && float64(m.used) < want {
		m.t.Errorf("%s: %d requests of the limit used in the calm phase, want %.1f", name, m.used, want)
	}
	m.used = 0
	const disturbed = 30 * time.Second
	for end := m.now.Add(disturbed); m.now.Before(end); {
		m.disturb(rate)
		m.play(time.Duration(300+m.random.IntN(1500)) * time.Millisecond)
	}
	m.calmDown()
	m.setRate(rate)
	m.play(8 * time.Second)
	m.setRate(-1)
	m.play(5 * time.Second)
	m.refused, m.served = 0, 0
	m.play(2 * time.Second)
	if m.refused > 0 {
		m.t.Errorf("%s: %d of %d requests refused over 5 s after the limit has ended", name, m.refused, m.refused+m.served)
	}
	m.checkWindows(name)
}

// disturb does one random thing to the instances or to the limit. At most a third of the
// instances is disturbed at a time.
func (m *limitModel) disturb(rate float64) {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	affected := 0
	for _, o := range m.nodes {
		if !o.up || o.frozen || o.inboundCut {
			affected++
		}
	}
	action := m.random.IntN(8)
	if 3*affected >= len(m.nodes) {
		action = 7
	}
	switch action {
	case 0:
		n.up = false
	case 1:
		n.frozen = n.up
	case 2:
		n.inboundCut = true
	case 3:
		m.restart(n)
	case 4:
		a := m.add("a", 200)
		m.startNode(a)
		m.reset(a)
	case 5:
		m.setRate(rate * (0.5 + m.random.Float64()))
	case 6:
		m.lossShare = 0.2 * m.random.Float64()
	case 7:
		m.calmDown()
	}
}

// calmDown ends all disturbances.
func (m *limitModel) calmDown() {
	m.lossShare = 0
	for _, n := range m.nodes {
		n.frozen, n.inboundCut = false, false
		if !n.up {
			m.restart(n)
		}
	}
}
