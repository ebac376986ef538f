// Package placement chooses the upstream for a request by the estimated time to
// its first token, weighing reuse on a warm replica, import from a store and
// recomputation.
package placement

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rates that the estimates use.
const (
	// prefillTime is the time to compute one block of context.
	prefillTime = 40 * time.Millisecond
	// importTime is the time to import one block over an idle link.
	importTime = 8 * time.Millisecond
	// fullBatchWait is the expected wait at a full batch.
	fullBatchWait = 60 * time.Millisecond
	// affinityBonus is taken off the estimate of the replica that a session returns
	// to, so that equal estimates don't scatter its context.
	affinityBonus = 5 * time.Millisecond
)

// MaxChoices is the number of choices that a ranking returns at most.
const MaxChoices = 8

// Source says where a request's context comes from.
type Source string

// The sources of context.
const (
	Reuse     Source = "reuse"
	Import    Source = "import"
	Recompute Source = "recompute"
)

// Candidate is an upstream that may run the request.
type Candidate struct {
	Name string
	// Running and Limit are in requests at once.
	Running, Limit int
	// CachedBlocks is the number of the prompt's blocks believed to be in its cache.
	CachedBlocks int
	// Backlog is the work that waits for computation before a new request, as
	// far as it was reported, less its age.
	Backlog time.Duration
	// Distance is the one-way delay to the upstream.
	Distance time.Duration
}

// Request is what placement needs to know of a prompt.
type Request struct {
	// Session identifies the conversation; it selects the home replica.
	Session string
	// Blocks is the length of the prompt in blocks.
	Blocks int
	// StoredBlocks is the number of leading blocks that a store holds.
	StoredBlocks int
	// LinkWait is how long the link to the store is taken by earlier transfers.
	LinkWait time.Duration
}

// Choice is a candidate with its estimate, as shown by explain.
type Choice struct {
	Upstream string        `json:"upstream"`
	Source   Source        `json:"source"`
	Estimate time.Duration `json:"estimate"`
	// ReusedBlocks is the number of blocks that are not recomputed, of Of.
	ReusedBlocks int `json:"blocks"`
	PromptBlocks int `json:"of"`
	CachedBlocks int `json:"held"`
	StoredBlocks int `json:"stored"`
	Running      int `json:"running"`
	Limit        int `json:"limit"`
}

// String explains the estimate.
func (c Choice) String() string {
	return fmt.Sprintf("%-14s %-10s %8s  %d of %d blocks held, %d stored, %d of %d running",
		c.Upstream, c.Source, c.Estimate, c.CachedBlocks, c.PromptBlocks, c.StoredBlocks, c.Running, c.Limit)
}

// Placement ranks candidates. The zero value weighs by time alone.
type Placement struct {
	// RecomputeWeight is added to the estimate for each recomputed block, for
	// operators to whom saved computation matters more than the first token.
	RecomputeWeight time.Duration
}

// Rank returns up to Width candidates with room, best first, in out, which is
// overwritten.
func (p Placement) Rank(req Request, all []Candidate, out []Choice) []Choice {
	out = out[:0]
	affinity := p.affinityReplica(req.Session, all)
	for i := range all {
		c := &all[i]
		if c.Running >= c.Limit {
			continue
		}
		source, blocks, estimate := p.estimate(req, c)
		if i == affinity {
			estimate -= affinityBonus
		}
		// A full choice is made only of those that get into the ranking.
		if len(out) == MaxChoices && estimate >= out[MaxChoices-1].Estimate {
			continue
		}
		out = insert(out, Choice{
			Upstream: c.Name, Source: source, Estimate: estimate, ReusedBlocks: blocks, PromptBlocks: req.Blocks,
			CachedBlocks: c.CachedBlocks, StoredBlocks: req.StoredBlocks, Running: c.Running, Limit: c.Limit,
		})
	}
	return out
}

// affinityReplica returns the index of the replica that a session returns to first, or -1.
func (p Placement) affinityReplica(session string, all []Candidate) int {
	var buf [1]int
	if homes := AffinityReplicas(session, all, 1, buf[:0]); len(homes) > 0 {
		return homes[0]
	}
	return -1
}

// insert keeps the best Width choices in order.
func insert(out []Choice, ch Choice) []Choice {
	if len(out) < MaxChoices {
		out = append(out, ch)
	}
	i := len(out) - 1
	for ; i > 0 && out[i-1].Estimate > ch.Estimate; i-- {
		out[i] = out[i-1]
	}
	out[i] = ch
	return out
}

// estimate returns the cheapest source of the context, the blocks that it
// saves, and the time to the first token.
func (p Placement) estimate(req Request, c *Candidate) (Source, int, time.Duration) {
	held := min(c.CachedBlocks, req.Blocks)
	wait := 2*c.Distance + c.Backlog + queueDelay(c)
	source := Recompute
	if held > 0 {
		source = Reuse
	}
	best := wait + p.recomputeCost(req.Blocks-held)
	if req.StoredBlocks <= held {
		return source, held, best
	}
	// The transfer goes on while the request waits for its turn to compute.
	transfer := req.LinkWait + time.Duration(req.StoredBlocks-held)*importTime
	if imported := 2*c.Distance + max(transfer, c.Backlog) + queueDelay(c) + p.recomputeCost(req.Blocks-req.StoredBlocks); imported < best {
		return Import, req.StoredBlocks, imported
	}
	return source, held, best
}

func (p Placement) recomputeCost(blocks int) time.Duration {
	return time.Duration(blocks) * (prefillTime + p.RecomputeWeight)
}

// queueDelay grows steeply as the batch fills, since load is known late.
func queueDelay(c *Candidate) time.Duration {
	load := float64(c.Running) / float64(max(c.Limit, 1))
	return time.Duration(load * load * float64(fullBatchWait))
}

// maxAffinityReplicas bounds the replicas that a session returns to.
const maxAffinityReplicas = 8

// AffinityReplicas returns the indexes of the n replicas that a session returns to, first
// choice first, by rendezvous hashing. They are appended to out.
func AffinityReplicas(session string, all []Candidate, n int, out []int) []int {
	key := xxhash.Sum64String(session)
	var scores [maxAffinityReplicas]uint64
	n = min(n, maxAffinityReplicas)
	for i := range all {
		s := mix(key ^ xxhash.Sum64String(all[i].Name))
		if len(out) == n && s <= scores[n-1] {
			continue
		}
		if len(out) < n {
			out = append(out, 0)
		}
		j := len(out) - 1
		for ; j > 0 && scores[j-1] < s; j-- {
			scores[j], out[j] = scores[j-1], out[j-1]
		}
		scores[j], out[j] = s, i
	}
	return out
}

// mix spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
