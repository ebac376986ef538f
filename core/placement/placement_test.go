package placement

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: "upstream NAME RUNNING HELD DISTANCE" adds a candidate with a
// limit of 10; "rank BLOCKS STORED" prints the choices.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		var all []Candidate
		p := Placement{}
		return func(args []string) []string {
			n := make([]int, len(args))
			for i := range args {
				n[i], _ = strconv.Atoi(args[i])
			}
			switch args[0] {
			case "upstream":
				d, _ := time.ParseDuration(args[4])
				all = append(all, Candidate{Name: args[1], Running: n[2], Limit: 10, CachedBlocks: n[3], Distance: d})
			case "weight":
				p.RecomputeWeight, _ = time.ParseDuration(args[1])
			case "rank":
				var out []string
				for _, ch := range p.Rank(Request{Session: "s", Blocks: n[1], StoredBlocks: n[2]}, all, nil) {
					out = append(out, fmt.Sprintf("%s %s %d", ch.Upstream, ch.Source, ch.ReusedBlocks))
				}
				return out
			}
			return nil
		}
	})
}

// TestAffinityReplicasStable checks that the homes do not depend on the order of candidates
// and that few sessions move when one replica goes.
func TestAffinityReplicasStable(t *testing.T) {
	var all []Candidate
	for i := range 20 {
		all = append(all, Candidate{Name: fmt.Sprintf("replica-%d", i)})
	}
	moved := 0
	for i := range 1000 {
		s := fmt.Sprint("session-", i)
		before := all[AffinityReplicas(s, all, 1, nil)[0]].Name
		fewer := all[1:]
		after := fewer[AffinityReplicas(s, fewer, 1, nil)[0]].Name
		if before != after {
			moved++
			if before != all[0].Name {
				t.Fatalf("%s moved from %s, which is still there", s, before)
			}
		}
	}
	if moved > 150 {
		t.Errorf("%d of 1000 sessions moved", moved)
	}
}

// TestRankAllocates checks that a decision needs no memory beyond its buffer.
func TestRankAllocates(t *testing.T) {
	all := candidates(600)
	out := make([]Choice, 0, MaxChoices)
	var p Placement
	got := testing.AllocsPerRun(100, func() { out = p.Rank(Request{Session: "s", Blocks: 8}, all, out) })
	if got > 0 {
		t.Errorf("a decision makes %v allocations", got)
	}
}

func candidates(n int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{Name: "replica-" + strings.Repeat("x", i%7) + fmt.Sprint(i), Running: i % 10, Limit: 16, CachedBlocks: i % 3})
	}
	return all
}

func BenchmarkRank600(b *testing.B) {
	all := candidates(600)
	out := make([]Choice, 0, MaxChoices)
	var p Placement
	b.ReportAllocs()
	for b.Loop() {
		out = p.Rank(Request{Session: "s", Blocks: 8, StoredBlocks: 4}, all, out)
	}
}
