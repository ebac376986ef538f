package pool

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// best returns the replica with the lowest cost, or nil if all are full. It compares
// the sampled replicas, the affinity replicas and the one that prefills the context.
func (p *Pool) best(now time.Time, req Request, eligible []candidate) (*replica, Estimate) {
	newest := 0
	for _, r := range eligible {
		newest = max(newest, r.version)
	}
	median := p.medianDelay(now, req.Service, eligible)
	first, second := affinityReplicas(req.AffinityKey, eligible)
	bonus := affinityBonus + time.Duration(req.MissingTokens)*missingTokenBonus
	n, contended := sampleSize, p.contended(req.Service)
	if contended {
		n = wideSampleSize
	}
	sampled := sample(req.SampleSeed, eligible, n)
	var best *replica
	var bestEstimate Estimate
	var lowest time.Duration
	compare := func(i int) {
		r := eligible[i]
		estimate, ok := p.estimate(now, req, r.replica, median)
		if !ok {
			return
		}
		cost := estimate.Delay + r.errorCost(now, req)
		if r.version < newest {
			cost += oldVersionDelay
		}
		switch {
		case r.ID == req.PrefillReplica:
			cost -= 2 * bonus
		case i == first:
			cost -= bonus
		case i == second:
			cost -= bonus / 2
		}
		if best == nil || cost < lowest || cost == lowest && r.ID < best.ID {
			best, bestEstimate, lowest = r.replica, estimate, cost
		}
	}
	for i, r := range eligible {
		if sampled[i] == narrow || i == first || i == second || r.ID == req.PrefillReplica {
			compare(i)
		}
	}
	if !contended || best == nil || lateness(now, bestEstimate.Answer.Last, req.Deadline) <= wideSampleRisk {
		return best, bestEstimate
	}
	for i := range eligible {
		if sampled[i] == wide && i != first && i != second {
			compare(i)
		}
	}
	return best, bestEstimate
}

// sampleSize is the number of replicas that are compared for a request. Instances
// learn of each other's requests late, so if they compared all replicas, they would
// all choose the same one. The best of a small random sample is nearly as good.
const sampleSize = 3

// A response that has a probability above wideSampleRisk to end after its deadline at the best
// replica of the sample is compared at wideSampleSize replicas in all. Few responses are so long,
// so that these do not all choose the same replica either.
const (
	wideSampleSize = 9
	wideSampleRisk = 0.05
)

// sampling says in which sample of a request a replica is.
type sampling uint8

// The samples; 0 stands for none.
const (
	narrow sampling = iota + 1
	wide
)

// sample marks the replicas that are compared for a request, by rendezvous hashing
// with the seed: sampleSize narrow ones, and wide ones up to n in all. It marks all of them
// narrow if the seed is 0 or there are at most sampleSize.
func sample(seed uint64, all []candidate, n int) []sampling {
	sampled := make([]sampling, len(all))
	if seed == 0 || len(all) <= sampleSize {
		for i := range sampled {
			sampled[i] = narrow
		}
		return sampled
	}
	// top holds the highest scores so far, in descending order.
	var buf [wideSampleSize]struct {
		score uint64
		index int
	}
	top := buf[:min(n, len(all))]
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	for i, r := range all {
		binary.LittleEndian.PutUint64(key[8:], r.hash)
		score := xxhash.Sum64(key[:])
		if score <= top[len(top)-1].score {
			continue
		}
		for k := range top {
			if score > top[k].score {
				copy(top[k+1:], top[k:])
				top[k].score, top[k].index = score, i
				break
			}
		}
	}
	for k, c := range top {
		sampled[c.index] = wide
		if k < sampleSize {
			sampled[c.index] = narrow
		}
	}
	return sampled
}
