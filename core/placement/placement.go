// Package placement chooses the upstream for a request by the estimated time to
// its first token, weighing reuse on a warm replica, import from a store and
// recomputation.
package placement

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rates that the estimates use until an upstream reports its own.
const (
	// DefaultPrefill is the time to compute one block of context.
	DefaultPrefill = 40 * time.Millisecond
	// DefaultImport is the time to import one block over an idle link.
	DefaultImport = 8 * time.Millisecond
	// slotTime is the expected wait for each request ahead in a full batch.
	slotTime = 60 * time.Millisecond
	// homeBonus is taken off the estimate of the replica that a session returns
	// to, so that equal estimates don't scatter its context.
	homeBonus = 5 * time.Millisecond
)

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
	Name       string
	DataCentre string
	// Running and Limit are in requests at once.
	Running, Limit int
	// Held is the number of the prompt's blocks believed to be in its cache.
	Held int
	// Distance is the one-way delay to the upstream.
	Distance time.Duration
	// NeedsPermit is true for an upstream that is not known to be warm.
	NeedsPermit bool
}

// Request is what placement needs to know of a prompt.
type Request struct {
	// Session identifies the conversation; it selects the home replica.
	Session string
	// Blocks is the length of the prompt in blocks.
	Blocks int
	// Stored is the number of leading blocks that a store holds.
	Stored int
	// ImportTime is the time to import one block over the link as loaded now;
	// 0 means DefaultImport.
	ImportTime time.Duration
}

// Choice is a candidate with its estimate, as shown by explain.
type Choice struct {
	Upstream string        `json:"upstream"`
	Source   Source        `json:"source"`
	Blocks   int           `json:"blocks"`
	Estimate time.Duration `json:"estimate"`
	Reason   string        `json:"reason"`
}

// Placement ranks candidates. The zero value weighs by time alone.
type Placement struct {
	// RecomputeWeight is added to the estimate for each recomputed block, for
	// operators to whom saved computation matters more than the first token.
	RecomputeWeight time.Duration
}

// Rank returns the candidates with room, best first.
func (p Placement) Rank(req Request, all []Candidate) []Choice {
	home := -1
	if homes := Homes(req.Session, all, 1); len(homes) > 0 {
		home = homes[0]
	}
	ranked := make([]Choice, 0, len(all))
	for i, c := range all {
		if c.Running >= c.Limit {
			continue
		}
		ch := p.estimate(req, c)
		if i == home {
			ch.Estimate -= homeBonus
		}
		ranked = append(ranked, ch)
	}
	sort.SliceStable(ranked, func(i, j int) bool { return ranked[i].Estimate < ranked[j].Estimate })
	return ranked
}

func (p Placement) estimate(req Request, c Candidate) Choice {
	importTime := req.ImportTime
	if importTime == 0 {
		importTime = DefaultImport
	}
	held := min(c.Held, req.Blocks)
	wait := 2*c.Distance + queueDelay(c)
	ch := Choice{Upstream: c.Name, Source: Recompute}
	rest := req.Blocks - held
	if held > 0 {
		ch.Source, ch.Blocks = Reuse, held
	}
	ch.Estimate = wait + p.cost(rest)
	if req.Stored > held {
		imported := wait + time.Duration(req.Stored-held)*importTime + p.cost(req.Blocks-req.Stored)
		if imported < ch.Estimate {
			ch.Source, ch.Blocks, ch.Estimate = Import, req.Stored, imported
		}
	}
	ch.Reason = fmt.Sprintf("%d of %d blocks held, %d stored, %d of %d running", held, req.Blocks, req.Stored, c.Running, c.Limit)
	return ch
}

func (p Placement) cost(blocks int) time.Duration {
	return time.Duration(blocks) * (DefaultPrefill + p.RecomputeWeight)
}

// queueDelay grows steeply as the batch fills, since load is known late.
func queueDelay(c Candidate) time.Duration {
	if c.Limit == 0 {
		return 0
	}
	load := float64(c.Running) / float64(c.Limit)
	return time.Duration(load * load * float64(slotTime))
}

// Homes returns the indexes of the n replicas that a session returns to first.
func Homes(session string, all []Candidate, n int) []int {
	order := make([]int, len(all))
	scores := make([]uint64, len(all))
	for i, c := range all {
		order[i] = i
		scores[i] = xxhash.Sum64String(session + "\x00" + c.Name)
	}
	sort.Slice(order, func(i, j int) bool { return scores[order[i]] > scores[order[j]] })
	return order[:min(n, len(order))]
}
