// Package replay runs a trace through the placement decisions, with small fakes
// of engines, links and stores, and through baselines on the same trace.
package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crocusfold.dev/core/placement"
	"crocusfold.dev/measure/trace"
)

// Policy names how requests are placed.
type Policy string

// The policies: the product's, baselines, and one that knows all.
const (
	Crocusfold  Policy = "crocusfold"
	Random      Policy = "random"
	LeastLoaded Policy = "least-loaded"
	PrefixHash  Policy = "prefix-hash"
	Oracle      Policy = "oracle"
)

// Policies lists all policies in the order of a report.
var Policies = []Policy{Crocusfold, Random, LeastLoaded, PrefixHash, Oracle}

// Fleet describes the fakes.
type Fleet struct {
	DataCentres []string
	Replicas    int
	Stores      []string
	// CacheBlocks and StoreBlocks are for each replica and store.
	CacheBlocks, StoreBlocks int
	// RecomputeWeight is that of the operators' preset.
	RecomputeWeight time.Duration
}

// Result holds the measures of one policy.
type Result struct {
	Policy    Policy
	Requests  int
	Refused   int
	blocks    int
	recompute int
	imported  int
	first     *hdrhistogram.Histogram
	// duringOutage counts requests while a data centre is out or just back.
	duringOutage, inTime int
	linkBusy             float64
}

// firstTokenTarget is the time to the first token that counts as in time.
const firstTokenTarget = 650 * time.Millisecond

// returnWave is how long after its return a data centre's outage still counts.
const returnWave = 10 * time.Minute

// String prints the measures on one line.
func (r Result) String() string {
	return fmt.Sprintf("%-13s %8d %8d  %6.2f%%  %6.2f%%  %7.0f %7.0f ms  %6.2f%%  %6.2f%%",
		r.Policy, r.Requests, r.Refused, 100*r.Share(), 100*share(r.imported, r.blocks),
		r.FirstToken(50), r.FirstToken(95), 100*r.linkBusy, 100*share(r.inTime, r.duringOutage))
}

// Header names the columns of String.
const Header = "policy        requests  refused  recomp.  import.   p50 and p95 first tok.   links  in time while out"

// Share is the share of the prompts' blocks that was recomputed.
func (r Result) Share() float64 { return share(r.recompute, r.blocks) }

// FirstToken is a percentile of the time to the first token in milliseconds.
func (r Result) FirstToken(percent float64) float64 {
	return float64(r.first.ValueAtPercentile(percent)) / 1000
}

func share(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

type run struct {
	policy   Policy
	fleet    Fleet
	replicas []*replica
	stores   []*fakeStore
	rand     *rand.Rand
	placing  placement.Placement
	result   Result
	outUntil time.Duration
	buf      []placement.Choice
}

// Run replays a trace under a policy. The seed is that of the random policy.
func Run(all []trace.Record, f Fleet, p Policy, seed uint64) Result {
	r := &run{
		policy: p, fleet: f, rand: rand.New(rand.NewPCG(seed, 1)),
		placing: placement.Placement{RecomputeWeight: f.RecomputeWeight},
		result:  Result{Policy: p, first: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)},
	}
	for i := range f.Replicas {
		dc := f.DataCentres[i%len(f.DataCentres)]
		r.replicas = append(r.replicas, &replica{name: fmt.Sprintf("replica-%d", i), dataCentre: dc, cache: shelf{capacity: f.CacheBlocks}})
	}
	for _, name := range f.Stores {
		r.stores = append(r.stores, &fakeStore{name: name, shelf: shelf{capacity: f.StoreBlocks}})
	}
	var end time.Duration
	for _, rec := range all {
		r.step(rec)
		end = rec.At
	}
	for _, s := range r.stores {
		r.result.linkBusy += float64(s.busy) / float64(end) / float64(len(r.stores))
	}
	return r.result
}

func (r *run) step(rec trace.Record) {
	switch {
	case rec.Out != "":
		r.take(rec.Out, func(x *replica) { x.out = true })
		r.outUntil = math.MaxInt64
	case rec.Back != "":
		// What returns is cold and its caches are empty.
		r.take(rec.Back, func(x *replica) {
			x.out, x.coldSince = false, rec.At
			x.cache.clear()
		})
		r.outUntil = rec.At + returnWave
	case rec.Fails != "":
		for _, s := range r.stores {
			if s.name == rec.Fails {
				s.shelf.clear()
			}
		}
	default:
		r.request(rec)
	}
}

func (r *run) take(dataCentre string, do func(*replica)) {
	for _, x := range r.replicas {
		if x.dataCentre == dataCentre {
			do(x)
		}
	}
}

func (r *run) request(rec trace.Record) {
	res := &r.result
	res.Requests++
	outage := rec.At < r.outUntil
	if outage {
		res.duringOutage++
	}
	x, source := r.place(rec)
	if x == nil {
		res.Refused++
		return
	}
	first, reused, imported := r.serve(rec, x, source, true)
	res.blocks += rec.Blocks
	res.imported += imported
	res.recompute += rec.Blocks - reused - imported
	_ = res.first.RecordValue(int64(first / time.Microsecond))
	if outage && first <= firstTokenTarget {
		res.inTime++
	}
}

// serve works out the time to the first token on a replica. With commit it also
// takes place.
func (r *run) serve(rec trace.Record, x *replica, source placement.Source, commit bool) (first time.Duration, reused, imported int) {
	now := rec.At
	reused = min(x.cache.get(rec.Session), rec.Blocks)
	ready := now + lookupTime
	st := r.store(rec.Session)
	if source == placement.Import {
		if stored := min(st.shelf.get(rec.Session), rec.Blocks); stored > reused {
			imported = stored - reused
			arrives := max(st.until, ready) + time.Duration(imported)*importTime
			if commit {
				arrives = st.transfer(ready, imported)
			}
			ready = arrives
		}
	}
	begin := max(ready, x.prefillUntil)
	done := begin + time.Duration(rec.Blocks-reused-imported)*prefillTime
	if !commit {
		return done - now, reused, imported
	}
	x.prefillUntil = done
	x.ends = append(x.ends, done+time.Duration(rec.Tokens)*tokenTime)
	x.cache.put(rec.Session, rec.Blocks)
	if r.usesStores() {
		if have := st.shelf.get(rec.Session); rec.Blocks > have {
			st.transfer(done, rec.Blocks-have)
		}
		st.shelf.put(rec.Session, rec.Blocks)
	}
	return done - now, reused, imported
}

func (r *run) usesStores() bool { return r.policy == Crocusfold || r.policy == Oracle }

func (r *run) store(session string) *fakeStore {
	var all []placement.Candidate
	for _, s := range r.stores {
		all = append(all, placement.Candidate{Name: s.name})
	}
	return r.stores[placement.AffinityReplicas(session, all, 1, nil)[0]]
}
