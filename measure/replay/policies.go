package replay

import (
	"time"

	"crocusfold.dev/core/placement"
	"crocusfold.dev/measure/trace"
)

// queriedReplicas is the number of affinity replicas whose cached blocks are queried, as
// in the entry instances.
const queriedReplicas = 3

// place chooses a replica and the source of the context. It returns nil if no replica is
// available, and the request is refused.
func (r *run) place(rec trace.Record) (*replica, placement.Source) {
	available := r.available(rec.At)
	if len(available) == 0 {
		return nil, ""
	}
	switch r.policy {
	case Random:
		return available[r.rand.IntN(len(available))], placement.Recompute
	case LeastLoaded:
		return leastLoaded(rec.At, available), placement.Recompute
	case PrefixHash:
		return available[placement.AffinityReplicas(rec.Session, candidates(rec.At, available), 1, nil)[0]], placement.Recompute
	case Oracle:
		return r.oracle(rec, available)
	default:
		return r.product(rec, available)
	}
}

// available returns the replicas that have no outage and are below their limit. All
// policies use the exact state here, since permits of the controllers ensure it in a real
// deployment.
func (r *run) available(now time.Duration) []*replica {
	var available []*replica
	for _, x := range r.replicas {
		if !x.inOutage && x.running(now) < x.limit(now) {
			available = append(available, x)
		}
	}
	return available
}

func candidates(now time.Duration, available []*replica) []placement.Candidate {
	all := make([]placement.Candidate, len(available))
	for i, x := range available {
		all[i] = placement.Candidate{Name: x.name, Running: x.reportedRunning(now), Limit: warmLimit}
		all[i].Backlog = x.backlog(now)
	}
	return all
}

func leastLoaded(now time.Duration, available []*replica) *replica {
	best := available[0]
	for _, x := range available[1:] {
		if x.reportedRunning(now) < best.reportedRunning(now) {
			best = x
		}
	}
	return best
}

// oracle uses the exact state of all caches, queues and links, and returns the replica and
// the source with the earliest first token.
func (r *run) oracle(rec trace.Record, available []*replica) (*replica, placement.Source) {
	var best *replica
	var bestSource placement.Source
	var first time.Duration
	for _, x := range available {
		for _, source := range []placement.Source{placement.Import, placement.Recompute} {
			if t, _, _ := r.serve(rec, x, source, false); best == nil || t < first {
				best, bestSource, first = x, source, t
			}
		}
	}
	return best, bestSource
}

// product ranks the replicas with core/placement, as the entry instances do.
func (r *run) product(rec trace.Record, available []*replica) (*replica, placement.Source) {
	all := candidates(rec.At, available)
	for _, i := range placement.AffinityReplicas(rec.Session, all, queriedReplicas, nil) {
		all[i].CachedBlocks = available[i].cache.get(rec.Session)
	}
	req := placement.Request{
		Session: rec.Session, Blocks: rec.Blocks,
		LinkWait:     max(0, r.store(rec.Session).linkFreeAt-rec.At),
		StoredBlocks: min(r.store(rec.Session).blocks.get(rec.Session), rec.Blocks),
	}
	r.buf = r.placer.Rank(req, all, r.buf)
	if len(r.buf) == 0 {
		return nil, ""
	}
	for i := range all {
		if all[i].Name == r.buf[0].Upstream {
			return available[i], r.buf[0].Source
		}
	}
	return nil, ""
}
