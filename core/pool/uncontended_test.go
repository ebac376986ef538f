package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// formerBest returns the replica that a request for a model gets if all are compared by the delay
// of the first event alone, as before requests could compete for replicas.
func formerBest(p *Pool, now time.Time, req Request) string {
	var all []candidate
	newest := 0
	for _, r := range p.replicas {
		if r.Service == req.Service && !now.Before(r.avoidUntil) {
			all = append(all, candidate{r, r.Versions[req.Model]})
			newest = max(newest, r.Versions[req.Model])
		}
	}
	median := p.medianDelay(now, req.Service, all)
	best, lowest := "", time.Duration(0)
	for _, r := range all {
		load := r.load(now)
		running, cost := load.Running, time.Duration(0)
		if now.Sub(r.reported.at) < reportTTL {
			running = max(running, r.reported.running)
			cost += time.Duration(r.reported.waiting) * waitingDelay
		}
		fill := float64(load.Tokens+req.Tokens) / float64(max(req.Memory, 1))
		if running >= 2*r.Slots || req.Memory > 0 && fill > 1 && load.Running > 0 {
			continue
		}
		if running >= r.Slots {
			cost += time.Duration(running-r.Slots+1) * waitingDelay
		}
		if req.Memory > 0 {
			if fill > memoryPressureFrom {
				cost += time.Duration((fill - memoryPressureFrom) / (1 - memoryPressureFrom) * float64(memoryPressureDelay))
			}
			cost += time.Duration(running)*time.Millisecond + time.Duration(load.PendingPrefill)*time.Millisecond/80
			cost += load.PendingTransfer + transferTime(req.Transfers, r.DataCentre)
		} else {
			cost += median * time.Duration(running) / time.Duration(r.Slots)
		}
		if r.DataCentre == p.DataCentre {
			cost -= localBonus
		}
		cost += r.excessDelay(now, median) + time.Duration(r.failRate*decay(now, r.failAt)*float64(failDelay))
		if r.version < newest {
			cost += oldVersionDelay
		}
		if best == "" || cost < lowest || cost == lowest && r.ID < best {
			best, lowest = r.ID, cost
		}
	}
	return best
}

// TestUncontendedChoices guards against other choices for services whose requests do not compete
// for replicas: on random pools, what another service's replicas state, and what requests say
// about the whole response, must not matter, and the choice must be the former one.
func TestUncontendedChoices(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		now := time.UnixMilli(1_000_000)
		plain, stated := &Pool{DataCentre: "dc0"}, &Pool{DataCentre: "dc0"}
		for _, p := range []*Pool{plain, stated} {
			r := rand.New(rand.NewPCG(seed, 3))
			disturb(p, r, now)
		}
		for i := range 5 {
			stated.ObserveSlowdown(now, fmt.Sprint("other", i), 2.5)
			stated.ObserveGap(now, Choice{Replica: Replica{ID: fmt.Sprint("s", i)}}, time.Second)
		}
		r := rand.New(rand.NewPCG(seed, 4))
		for range 20 {
			now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
			req := Request{Service: "s"}
			if seed%3 > 0 {
				req.Model, req.Memory, req.Tokens, req.PrefillTokens = "m", 80_000, r.IntN(12_000), r.IntN(12_000)
				req.Transfers = []Transfer{{DataCentre: "dc1", LinkTime: time.Duration(r.IntN(20)) * time.Millisecond}}
			}
			former := formerBest(plain, now, req)
			if c, reason := plain.Choose(now, req); reason == "" {
				is.Equal(c.ID, former)
			} else {
				is.Equal(former, "")
			}
			if r.IntN(2) == 0 {
				req.SampleSeed, req.AffinityKey, req.MissingTokens = r.Uint64()|1, "part", r.IntN(9_000)
			}
			want, wantReason := plain.Choose(now, req)
			req.Events, req.Stride, req.Target, req.Deadline = r.IntN(100), 9, now.Add(time.Millisecond), now.Add(2*time.Millisecond)
			got, reason := stated.Choose(now, req)
			is.Equal(got, want)
			is.Equal(reason, wantReason)
			for _, p := range []*Pool{plain, stated} {
				p.Begin(want.ID, Load{Tokens: req.Tokens, PendingPrefill: req.PrefillTokens})
			}
		}
	}
}

// disturb fills a pool with replicas of two services in random states.
func disturb(p *Pool, r *rand.Rand, now time.Time) {
	for i := range 5 {
		p.Set(Replica{ID: fmt.Sprint("other", i), Service: "other", Slots: 8})
	}
	loads := map[string]Load{}
	for i := range 1 + r.IntN(40) {
		id := fmt.Sprint("s", i)
		p.Set(Replica{ID: id, Service: "s", DataCentre: fmt.Sprint("dc", r.IntN(3)), Slots: 4 + r.IntN(30), Versions: map[string]int{"m": 1 + r.IntN(2)}})
		loads[id] = Load{Running: r.IntN(20), Tokens: r.IntN(90_000), PendingPrefill: r.IntN(20_000), PendingTransfer: time.Duration(r.IntN(50)) * time.Millisecond}
		p.SetReportedLoad(now.Add(-time.Duration(r.IntN(800))*time.Millisecond), id, r.IntN(40), r.IntN(3))
		p.ResponseStarted(now.Add(-time.Duration(r.IntN(5))*time.Second), id, Load{}, time.Duration(r.IntN(400))*time.Millisecond)
		switch r.IntN(8) {
		case 0:
			p.ReturnedError(now, id)
		case 1:
			p.Failed(now.Add(-10*time.Second), id)
		}
	}
	p.SetPeerLoads(now, "peer", loads)
}
