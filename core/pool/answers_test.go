package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// site is a deployment whose load is played against the pools of its instances.
type site struct {
	slots, memory, stride, chunk       int
	step, stepRequest, tokensPerMillis float64
	kinds                              []promptKind
	// slowdown returns how much longer work takes at an engine in a given tenth of a second.
	slowdown func(r *rand.Rand, engine int) float64
	stated   bool
	maxGap   time.Duration
}

type promptKind struct {
	rate             float64
	tokens, events   int
	target, deadline time.Duration
	priority         int
}

var sites = map[string]site{
	"A": {
		slots: 64, memory: 109_343, stride: 9, chunk: 2048, step: 3.03, stepRequest: 0.121, tokensPerMillis: 92.1,
		kinds: []promptKind{
			{147, 11_992, 42, 1500 * time.Millisecond, 12 * time.Second, 2},
			{370, 827, 32, 500 * time.Millisecond, 10 * time.Second, 0},
			{284, 2_368, 3, 500 * time.Millisecond, 3 * time.Second, 1},
		},
		slowdown: func(_ *rand.Rand, engine int) float64 { return 1 + 0.3*float64(engine%3/2) },
		maxGap:   500 * time.Millisecond,
	},
	"B": {
		slots: 24, memory: 81_383, stride: 9, chunk: 2048, step: 2.2, stepRequest: 0.1, tokensPerMillis: 140,
		kinds: []promptKind{
			{179, 11_992, 27, 600 * time.Millisecond, 8 * time.Second, 2},
			{409, 827, 21, 300 * time.Millisecond, 8 * time.Second, 0},
			{502, 2_368, 2, 400 * time.Millisecond, 2500 * time.Millisecond, 1},
		},
		slowdown: func(r *rand.Rand, _ int) float64 { return 1 + 1.5*float64(r.IntN(6)/5) },
		stated:   true,
		maxGap:   300 * time.Millisecond,
	},
}

// prompt is a request at a fake engine.
type prompt struct {
	promptKind
	kind           int
	at             *Pool
	on             *fakeEngine
	choice         Choice
	load           Load
	begun, last    time.Time
	first, gap     time.Duration
	prefill, steps int
	expected, seen int
}

// fakeEngine prefills prompts in chunks between the steps of its batch.
type fakeEngine struct {
	site             *site
	waiting, running []*prompt
	slow             float64
	next             time.Time
}

// step runs one step of the batch and calls done for each prompt whose response ends.
func (e *fakeEngine) step(done func(*prompt)) {
	work := e.site.step + e.site.stepRequest*float64(len(e.running))
	var chunk int
	if len(e.waiting) > 0 && len(e.running) < e.site.slots {
		chunk = min(e.site.chunk, e.waiting[0].prefill)
		work += float64(chunk) / e.site.tokensPerMillis
	}
	e.next = e.next.Add(time.Duration(work * e.slow * float64(time.Millisecond)))
	left := e.running[:0]
	for _, q := range e.running {
		q.steps--
		if q.steps%e.site.stride == 0 {
			q.event(e.next)
		}
		if q.steps > 0 {
			left = append(left, q)
		} else {
			done(q)
		}
	}
	e.running = left
	if chunk > 0 {
		q := e.waiting[0]
		if q.prefill -= chunk; q.prefill <= 0 {
			e.waiting, e.running = e.waiting[1:], append(e.running, q)
		}
	}
}

func (q *prompt) event(now time.Time) {
	if q.seen++; q.seen == 1 {
		q.first = now.Sub(q.begun)
		q.at.EndPrefill(q.choice.ID, q.load)
		if q.on.site.stated && q.choice.Contended {
			q.at.ObserveSlowdown(now, q.choice.ID, q.on.slow)
		}
		q.at.ObserveFirstEvent(now, q.choice, q.load, now.Sub(q.begun))
	} else {
		q.gap = max(q.gap, now.Sub(q.last))
		q.at.ObserveGap(now, q.choice, now.Sub(q.last))
	}
	q.last = now
}

// outcome counts the responses of a kind.
type outcome struct {
	all, late, lateFirst, paused, refused int
	sum                                   time.Duration
	// errors is the sum of the logarithms of estimated by measured times of the last event.
	errors, deviations float64
}

const (
	fakeEngines   = 90
	fakeInstances = 21
	warmUp        = 12 * time.Second
)

// play plays the load of a site for some time and returns the outcomes by kind.
func play(seed uint64, s site, contended bool, length time.Duration) []outcome {
	r := rand.New(rand.NewPCG(seed, 7))
	start := time.UnixMilli(1_000_000)
	pools, engines := make([]*Pool, fakeInstances), make([]*fakeEngine, fakeEngines)
	index := map[string]int{}
	for i := range engines {
		engines[i] = &fakeEngine{site: &s, slow: 1, next: start}
		index[fmt.Sprint("e", i)] = i
	}
	for i := range pools {
		pools[i] = &Pool{Contended: contended}
		for id := range index {
			pools[i].Set(Replica{ID: id, Service: "s", Slots: s.slots, Versions: map[string]int{"m": 1}})
		}
	}
	out := make([]outcome, len(s.kinds))
	begin := func(now time.Time, kind int) {
		k := s.kinds[kind]
		p := pools[r.IntN(len(pools))]
		events := int(min(max(1, -math.Log(1-r.Float64())*float64(k.events)*1.1), float64(k.events)*3.3))
		q := &prompt{promptKind: k, kind: kind, at: p, begun: now, prefill: k.tokens, steps: events * s.stride}
		q.expected = max(1, int(float64(events)*(0.7+0.6*r.Float64())))
		q.load = Load{Tokens: k.tokens + q.expected, PendingPrefill: k.tokens}
		c, reason := p.Choose(now, Request{
			Service: "s", Model: "m", Memory: s.memory, Tokens: q.load.Tokens, PrefillTokens: k.tokens, Priority: k.priority,
			Target: now.Add(k.target), Deadline: now.Add(k.deadline), Events: q.expected, Stride: s.stride, SampleSeed: r.Uint64() | 1,
		})
		o := &out[kind]
		if reason != "" {
			o.refused++
			return
		}
		q.choice = c
		q.load.Urgency = c.Urgency(now, now.Add(k.deadline))
		p.Begin(c.ID, q.load)
		e := engines[index[c.ID]]
		if e.next.Before(now) {
			e.next = now
		}
		q.on = e
		e.waiting = append(e.waiting, q)
	}
	var now time.Time
	done := func(q *prompt) {
		took := q.last.Sub(q.begun)
		q.at.End(q.choice.ID, q.load)
		q.at.ObserveResponse(q.last, q.choice, q.seen, q.expected, took)
		if now.Sub(start) < warmUp {
			return
		}
		o := &out[q.kind]
		o.all++
		o.sum += took
		if took > q.deadline {
			o.late++
		}
		if q.gap > s.maxGap {
			o.paused++
		}
		if q.first > q.target {
			o.lateFirst++
		}
		if est := q.choice.Estimate.Answer.Last; est > 0 {
			l := math.Log(float64(est) / float64(took))
			o.errors += l
			o.deviations += l * l
		}
	}
	for tick := 0; ; tick++ {
		now = start.Add(time.Duration(tick) * time.Millisecond)
		if now.Sub(start) >= length {
			return out
		}
		for i, k := range s.kinds {
			if r.Float64() < k.rate/1000 {
				begin(now, i)
			}
		}
		for i, e := range engines {
			if tick%300 == i*3 {
				e.slow = s.slowdown(r, i)
			}
			for e.next.Before(now) && len(e.waiting)+len(e.running) > 0 {
				e.step(done)
			}
		}
		if tick%8 == 0 {
			from := tick / 8 % 20
			for i := from; i < len(pools); i += 20 {
				loads := pools[i].OwnLoads()
				for j, other := range pools {
					if i != j {
						other.SetPeerLoads(now, fmt.Sprint(i), loads)
					}
				}
			}
		}
	}
}

// TestAnswers guards against long responses that end after their deadline at replicas that looked
// idle when they were chosen, against first events that come later for that, and against estimates
// that say nothing.
func TestAnswers(t *testing.T) {
	const length = 30 * time.Second
	for name, s := range sites {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var late, lateFirst [2]int
			for i, contended := range []bool{false, true} {
				for kind, o := range play(1, s, contended, length) {
					n := float64(o.all)
					t.Logf("contended %t, kind %d: %d responses, %d late, %d first events late, %d with a long pause, %d refused, mean %v, estimate off by %.2f, deviation %.2f",
						contended, kind, o.all, o.late, o.lateFirst, o.paused, o.refused, (o.sum / time.Duration(o.all)).Round(time.Millisecond), o.errors/n, math.Sqrt(o.deviations/n))
					late[i] += o.late
					lateFirst[i] += o.lateFirst
					is.Equal(o.refused, 0)
					if contended && s.kinds[kind].events > 10 {
						is.True(math.Abs(o.errors/n) < 0.25 && math.Sqrt(o.deviations/n) < 0.5)
					}
				}
			}
			is.True(4*late[1] <= late[0])
			is.True(10*lateFirst[1] <= 11*lateFirst[0])
		})
	}
}
