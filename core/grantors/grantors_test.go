package grantors

import (
	"fmt"
	"net/netip"
	"testing"
)

func fleet(size int) []netip.AddrPort {
	all := make([]netip.AddrPort, size)
	for i := range all {
		all[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1)
	}
	return all
}

// TestSumOfShares guards against shares that add up to more or less than the limit, and
// against grantors on which the instances disagree.
func TestSumOfShares(t *testing.T) {
	for _, size := range []int{1, 2, 9, 58, 195} {
		all := fleet(size)
		for _, c := range []struct {
			rate  float64
			count int
		}{{0.5, 1}, {4.9, min(size, MaxPerKey)}} {
			for i := range 20 {
				key, sum, ranks := fmt.Sprintf("r%d", i), 0.0, map[int]bool{}
				for _, self := range all {
					share, rank := New(self, all, size).Share(key, c.rate)
					if sum += share; share > 0 {
						ranks[rank] = true
					}
				}
				if sum < 0.999 || sum > 1.001 || len(ranks) != c.count {
					t.Fatalf("%d instances, rate %v: the shares of %s add up to %v, with %d ranks", size, c.rate, key, sum, len(ranks))
				}
			}
		}
	}
}

// TestParts guards against more than one and a half limits in a fleet that has fallen into
// parts, and against a majority that may not use the limit.
func TestParts(t *testing.T) {
	all := fleet(9)
	for _, sizes := range [][]int{{9}, {8, 1}, {5, 4}, {4, 4, 1}, {3, 3, 3}, {1, 1, 1, 1, 1, 1, 1, 1, 1}} {
		sum, from := 0.0, 0
		for _, size := range sizes {
			part := all[from : from+size]
			from += size
			share := 0.0
			for _, self := range part {
				s, _ := New(self, part, len(all)).Share("r", 4.9)
				share += s
			}
			if 2*size > len(all) && share < 0.999 {
				t.Errorf("parts %v: the majority may use only %v of the limit", sizes, share)
			}
			sum += share
		}
		if sum >= 1.5 {
			t.Errorf("parts %v: all together may use %v limits", sizes, sum)
		}
	}
}

// TestFewSets guards against instances that connect to many grantors when many replicas
// state limits.
func TestFewSets(t *testing.T) {
	all, used := fleet(195), map[netip.AddrPort]bool{}
	for i := range 1000 {
		for _, a := range New(all[0], all, len(all)).Of(fmt.Sprintf("r%d", i), 4.9) {
			used[a] = true
		}
	}
	if len(used) > MaxPerKey*slots {
		t.Errorf("%d different grantors for 1,000 replicas", len(used))
	}
}
