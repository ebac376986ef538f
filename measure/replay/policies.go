package replay

import (
	"time"

	"crocusfold.dev/core/placement"
	"crocusfold.dev/measure/trace"
)

// askedForHeld is how many homes are asked what they hold, as the product does.
const askedForHeld = 3

// place chooses a replica and the source of the context; nil refuses.
func (r *run) place(rec trace.Record) (*replica, placement.Source) {
	open := r.open(rec.At)
	if len(open) == 0 {
		return nil, ""
	}
	switch r.policy {
	case Random:
		return open[r.rand.IntN(len(open))], placement.Recompute
	case LeastLoaded:
		return least(rec.At, open), placement.Recompute
	case PrefixHash:
		return open[placement.AffinityReplicas(rec.Session, candidates(rec.At, open), 1, nil)[0]], placement.Recompute
	case Oracle:
		return r.oracle(rec, open)
	default:
		return r.product(rec, open)
	}
}

// open lists the replicas that are not out and have room. All policies know this
// exactly, as the sponsors' permits see to it.
func (r *run) open(now time.Duration) []*replica {
	var open []*replica
	for _, x := range r.replicas {
		if !x.out && x.running(now) < x.limit(now) {
			open = append(open, x)
		}
	}
	return open
}

func candidates(now time.Duration, open []*replica) []placement.Candidate {
	all := make([]placement.Candidate, len(open))
	for i, x := range open {
		all[i] = placement.Candidate{Name: x.name, Running: x.reported(now), Limit: warmLimit}
		all[i].Backlog = x.backlog(now)
	}
	return all
}

func least(now time.Duration, open []*replica) *replica {
	best := open[0]
	for _, x := range open[1:] {
		if x.reported(now) < best.reported(now) {
			best = x
		}
	}
	return best
}

// oracle knows all places, queues and links, and takes the earliest first token.
func (r *run) oracle(rec trace.Record, open []*replica) (*replica, placement.Source) {
	var best *replica
	var how placement.Source
	var first time.Duration
	for _, x := range open {
		for _, source := range []placement.Source{placement.Import, placement.Recompute} {
			if t, _, _ := r.serve(rec, x, source, false); best == nil || t < first {
				best, how, first = x, source, t
			}
		}
	}
	return best, how
}

// product places as the entry instances do, through the deciding core.
func (r *run) product(rec trace.Record, open []*replica) (*replica, placement.Source) {
	all := candidates(rec.At, open)
	for _, i := range placement.AffinityReplicas(rec.Session, all, askedForHeld, nil) {
		all[i].CachedBlocks = open[i].cache.get(rec.Session)
	}
	req := placement.Request{
		Session: rec.Session, Blocks: rec.Blocks,
		LinkWait:     max(0, r.store(rec.Session).until-rec.At),
		StoredBlocks: min(r.store(rec.Session).shelf.get(rec.Session), rec.Blocks),
	}
	r.buf = r.placing.Rank(req, all, r.buf)
	if len(r.buf) == 0 {
		return nil, ""
	}
	for i := range all {
		if all[i].Name == r.buf[0].Upstream {
			return open[i], r.buf[0].Source
		}
	}
	return nil, ""
}
