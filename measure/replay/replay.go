// Package replay runs a trace through the placement decisions of crocusfold and through
// baseline policies, with simulated engines, links and stores.
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

// Policy names a placement policy.
type Policy string

// The policies: that of crocusfold, three baselines, and an oracle that uses the exact
// state of all caches, queues and links.
const (
	Crocusfold  Policy = "crocusfold"
	Random      Policy = "random"
	LeastLoaded Policy = "least-loaded"
	PrefixHash  Policy = "prefix-hash"
	Oracle      Policy = "oracle"
)

// Policies lists all policies in the order in which they are reported.
var Policies = []Policy{Crocusfold, Random, LeastLoaded, PrefixHash, Oracle}

// Deployment describes the simulated deployment.
type Deployment struct {
	DataCentres []string
	Replicas    int
	Stores      []string
	// CacheBlocks is the capacity of each replica's cache, and StoreBlocks that of each
	// store.
	CacheBlocks, StoreBlocks int
	// RecomputeWeight is the value that the operators' preset gives to
	// placement.Placement.RecomputeWeight.
	RecomputeWeight time.Duration
}

// Result holds the measures of one policy.
type Result struct {
	Policy     Policy
	Requests   int
	Refused    int
	blocks     int
	recomputed int
	imported   int
	firstToken *hdrhistogram.Histogram
	// duringOutage counts the requests during an outage and for recoveryPeriod after it,
	// and inTimeDuringOutage those of them that met firstTokenTarget.
	duringOutage, inTimeDuringOutage int
	// linkBusy is the mean utilisation of the stores' links, from 0 to 1.
	linkBusy float64
}

// firstTokenTarget is the longest time to the first token that counts as in time.
const firstTokenTarget = 650 * time.Millisecond

// recoveryPeriod is how long after the end of a data centre's outage requests still count
// as during the outage.
const recoveryPeriod = 10 * time.Minute

// String returns the measures on one line, in the columns of Header.
func (r Result) String() string {
	return fmt.Sprintf("%-13s %8d %8d  %6.2f%%  %6.2f%%  %7.0f %7.0f ms  %6.2f%%  %6.2f%%",
		r.Policy, r.Requests, r.Refused, 100*r.RecomputedShare(), 100*ratio(r.imported, r.blocks),
		r.FirstTokenPercentile(50), r.FirstTokenPercentile(95), 100*r.linkBusy, 100*ratio(r.inTimeDuringOutage, r.duringOutage))
}

// Header names the columns of String.
const Header = "policy        requests  refused  recomp.  import.   p50 and p95 first tok.   links  in time while out"

// RecomputedShare returns the share of the prompts' blocks that were recomputed, from 0 to
// 1.
func (r Result) RecomputedShare() float64 { return ratio(r.recomputed, r.blocks) }

// FirstTokenPercentile returns a percentile, from 0 to 100, of the time to the first token
// in milliseconds.
func (r Result) FirstTokenPercentile(percent float64) float64 {
	return float64(r.firstToken.ValueAtPercentile(percent)) / 1000
}

func ratio(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// run is the state of one replay.
type run struct {
	policy     Policy
	deployment Deployment
	replicas   []*replica
	stores     []*kvStore
	rand       *rand.Rand
	placer     placement.Placement
	result     Result
	// outageUntil is the time until which requests count as during an outage.
	outageUntil time.Duration
	buf         []placement.Choice
}

// Run replays a trace under a policy. The seed is for the random policy. The trace must be
// ordered by time.
func Run(records []trace.Record, d Deployment, p Policy, seed uint64) Result {
	r := &run{
		policy: p, deployment: d, rand: rand.New(rand.NewPCG(seed, 1)),
		placer: placement.Placement{RecomputeWeight: d.RecomputeWeight},
		result: Result{Policy: p, firstToken: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)},
	}
	for i := range d.Replicas {
		dc := d.DataCentres[i%len(d.DataCentres)]
		r.replicas = append(r.replicas, &replica{name: fmt.Sprintf("replica-%d", i), dataCentre: dc, cache: lruCache{capacity: d.CacheBlocks}})
	}
	for _, name := range d.Stores {
		r.stores = append(r.stores, &kvStore{name: name, blocks: lruCache{capacity: d.StoreBlocks}})
	}
	var end time.Duration
	for _, rec := range records {
		r.step(rec)
		end = rec.At
	}
	for _, s := range r.stores {
		r.result.linkBusy += float64(s.linkBusy) / float64(end) / float64(len(r.stores))
	}
	return r.result
}

// step applies a record of the trace.
func (r *run) step(rec trace.Record) {
	switch {
	case rec.OutageStart != "":
		r.forEachIn(rec.OutageStart, func(x *replica) { x.inOutage = true })
		r.outageUntil = math.MaxInt64
	case rec.OutageEnd != "":
		// After an outage a replica is cold and its cache is empty.
		r.forEachIn(rec.OutageEnd, func(x *replica) {
			x.inOutage, x.coldSince = false, rec.At
			x.cache.clear()
		})
		r.outageUntil = rec.At + recoveryPeriod
	case rec.FailedStore != "":
		for _, s := range r.stores {
			if s.name == rec.FailedStore {
				s.blocks.clear()
			}
		}
	default:
		r.handle(rec)
	}
}

func (r *run) forEachIn(dataCentre string, do func(*replica)) {
	for _, x := range r.replicas {
		if x.dataCentre == dataCentre {
			do(x)
		}
	}
}

// handle places and serves a request and adds it to the result.
func (r *run) handle(rec trace.Record) {
	res := &r.result
	res.Requests++
	outage := rec.At < r.outageUntil
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
	res.recomputed += rec.Blocks - reused - imported
	_ = res.firstToken.RecordValue(int64(first / time.Microsecond))
	if outage && first <= firstTokenTarget {
		res.inTimeDuringOutage++
	}
}

// serve returns the time to the first token if x serves the request, and the numbers of
// blocks that are reused from its cache and imported from the store. If commit is true, it
// also runs the request: it updates the replica, the store and its link.
func (r *run) serve(rec trace.Record, x *replica, source placement.Source, commit bool) (first time.Duration, reused, imported int) {
	now := rec.At
	reused = min(x.cache.get(rec.Session), rec.Blocks)
	ready := now + lookupTime
	st := r.store(rec.Session)
	if source == placement.Import {
		if stored := min(st.blocks.get(rec.Session), rec.Blocks); stored > reused {
			imported = stored - reused
			arrives := max(st.linkFreeAt, ready) + time.Duration(imported)*importTime
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
	x.completions = append(x.completions, done+time.Duration(rec.Tokens)*tokenTime)
	x.cache.put(rec.Session, rec.Blocks)
	if r.usesStores() {
		if stored := st.blocks.get(rec.Session); rec.Blocks > stored {
			st.transfer(done, rec.Blocks-stored)
		}
		st.blocks.put(rec.Session, rec.Blocks)
	}
	return done - now, reused, imported
}

// usesStores reports whether the policy saves contexts to the stores and imports them.
func (r *run) usesStores() bool { return r.policy == Crocusfold || r.policy == Oracle }

// store returns the store of a session's context.
func (r *run) store(session string) *kvStore {
	var all []placement.Candidate
	for _, s := range r.stores {
		all = append(all, placement.Candidate{Name: s.name})
	}
	return r.stores[placement.AffinityReplicas(session, all, 1, nil)[0]]
}
