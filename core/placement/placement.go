// Package placement ranks the upstreams for a request by the estimated time to its
// first token. The estimate compares reuse of context cached at a replica, import from
// a store, and recomputation. crocus-entry uses this package, crocus-edge core/pool.
package placement

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times that the estimates use.
const (
	// prefillTime is the time to compute one block of context.
	prefillTime = 40 * time.Millisecond
	// importTime is the time to import one block over an idle link.
	importTime = 8 * time.Millisecond
	// fullBatchWait is the expected wait at an upstream whose batch is full.
	fullBatchWait = 60 * time.Millisecond
	// affinityBonus is subtracted from the estimate of a session's affinity replica,
	// so that equal estimates don't scatter the session's context.
	affinityBonus = 5 * time.Millisecond
)

// MaxChoices is the maximum number of choices in a ranking.
const MaxChoices = 8

// Source is where a request's context comes from.
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
	// Running is the number of requests in flight, and Limit the maximum.
	Running, Limit int
	// CachedBlocks is the number of the prompt's blocks that are probably in the
	// upstream's cache.
	CachedBlocks int
	// Backlog is the time that the upstream needs for the computation queued before a
	// new request, as last reported, less the age of the report.
	Backlog time.Duration
	// Distance is the one-way delay to the upstream.
	Distance time.Duration
}

// Request describes a prompt to be placed.
type Request struct {
	// Session identifies the conversation, and selects its affinity replicas.
	Session string
	// Blocks is the length of the prompt in blocks.
	Blocks int
	// StoredBlocks is the number of leading blocks that a store holds.
	StoredBlocks int
	// LinkWait is how long earlier transfers occupy the link to the store.
	LinkWait time.Duration
}

// Choice is a ranked candidate with its estimate, as explain shows it.
type Choice struct {
	Upstream string        `json:"upstream"`
	Source   Source        `json:"source"`
	Estimate time.Duration `json:"estimate"`
	// ReusedBlocks is the number of the PromptBlocks that are not recomputed.
	ReusedBlocks int `json:"blocks"`
	PromptBlocks int `json:"of"`
	CachedBlocks int `json:"held"`
	StoredBlocks int `json:"stored"`
	Running      int `json:"running"`
	Limit        int `json:"limit"`
}

// String returns the estimate and its inputs as a line of text.
func (c Choice) String() string {
	return fmt.Sprintf("%-14s %-10s %8s  %d of %d blocks held, %d stored, %d of %d running",
		c.Upstream, c.Source, c.Estimate, c.CachedBlocks, c.PromptBlocks, c.StoredBlocks, c.Running, c.Limit)
}

// Placement ranks candidates. The zero value ranks them by the estimated time alone.
type Placement struct {
	// RecomputeWeight is added to the estimate for each recomputed block. It is for
	// operators to whom saving computation matters more than the time to the first
	// token.
	RecomputeWeight time.Duration
}

// Rank returns up to MaxChoices candidates below their limit, best first. It
// overwrites out and returns it, grown if necessary.
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
		// Build a Choice only for candidates that get into the ranking.
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

// affinityReplica returns the index of a session's first affinity replica, or -1 if
// there are no candidates.
func (p Placement) affinityReplica(session string, all []Candidate) int {
	var buf [1]int
	if replicas := AffinityReplicas(session, all, 1, buf[:0]); len(replicas) > 0 {
		return replicas[0]
	}
	return -1
}

// insert inserts a choice in order of the estimates. If there are MaxChoices already,
// the last one is dropped.
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

// estimate returns the cheapest source of the context at a candidate, the number of
// blocks that need no recomputation, and the time to the first token.
func (p Placement) estimate(req Request, c *Candidate) (Source, int, time.Duration) {
	cached := min(c.CachedBlocks, req.Blocks)
	wait := 2*c.Distance + c.Backlog + queueDelay(c)
	source := Recompute
	if cached > 0 {
		source = Reuse
	}
	best := wait + p.recomputeCost(req.Blocks-cached)
	if req.StoredBlocks <= cached {
		return source, cached, best
	}
	// The transfer runs while the request waits behind the backlog.
	transfer := req.LinkWait + time.Duration(req.StoredBlocks-cached)*importTime
	if imported := 2*c.Distance + max(transfer, c.Backlog) + queueDelay(c) + p.recomputeCost(req.Blocks-req.StoredBlocks); imported < best {
		return Import, req.StoredBlocks, imported
	}
	return source, cached, best
}

func (p Placement) recomputeCost(blocks int) time.Duration {
	return time.Duration(blocks) * (prefillTime + p.RecomputeWeight)
}

// queueDelay returns the expected wait for a place in the batch. It grows with the
// square of the load, since the known load lags behind.
func queueDelay(c *Candidate) time.Duration {
	load := float64(c.Running) / float64(max(c.Limit, 1))
	return time.Duration(load * load * float64(fullBatchWait))
}

// maxAffinityReplicas is the maximum number of affinity replicas of a session.
const maxAffinityReplicas = 8

// AffinityReplicas returns the indexes of up to n replicas that a session returns to,
// first choice first, by rendezvous hashing. It appends them to out, which must be
// empty. n must be at least 1; more than maxAffinityReplicas are not returned.
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

// mix is the finalizer of MurmurHash3. It spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
