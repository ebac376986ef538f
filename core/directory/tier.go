package directory

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the sample that the tiers are drawn from.
const (
	// sampleSlots is the number of different parts whose sizes are kept.
	sampleSlots = 4096
	// recomputeAfter is the number of parts after which the tiers are drawn anew.
	recomputeAfter = 128
	// probeTokens is the size of the parts by whose transfer time stores are ranked.
	probeTokens = 1024
)

// sizeSample is a sample of the sizes of the different parts that were asked for.
// The zero value is empty.
type sizeSample struct {
	// slots has the size of the last part that hashed to a slot, so that a part
	// that is asked for often counts once: it takes space once.
	slots [sampleSlots]int32
	count int
	// bounds has the range of sizes of each store's tier, from the sample.
	bounds     map[string][2]int
	computedAt int
}

// ObserveSize notes the size of a part that a request names.
func (d *Directory) ObserveSize(id string, tokens int) {
	d.sizeSample.slots[xxhash.Sum64String(id)%sampleSlots] = int32(tokens)
	d.sizeSample.count++
}

// inTier reports whether a part of this size belongs to a store. A transfer has
// a fixed delay that differs between stores, so quick stores save most time per
// token of space with small parts: the smallest parts go to the quickest
// stores, such that each store gets the same share of the different parts'
// tokens as it has of all space.
func (d *Directory) inTier(store string, tokens int) bool {
	if d.sizeSample.bounds == nil || d.sizeSample.count-d.sizeSample.computedAt >= min(recomputeAfter, d.sizeSample.computedAt) {
		d.computeTiers()
	}
	b, ok := d.sizeSample.bounds[store]
	return ok && tokens > b[0] && tokens <= b[1]
}

func (d *Directory) computeTiers() {
	d.sizeSample.computedAt = d.sizeSample.count
	d.sizeSample.bounds = map[string][2]int{}
	var sample []int
	asked := 0
	for _, n := range d.sizeSample.slots {
		if n > 0 {
			sample = append(sample, int(n))
			asked += int(n)
		}
	}
	sort.Ints(sample)
	names := d.storesBySpeed()
	space := 0
	for _, name := range names {
		space += d.stores[name].Capacity
	}
	if asked == 0 || space == 0 {
		return
	}
	taken, below, at, low := 0, 0, 0, 0
	for i := 0; i < len(names); {
		// Stores that are equally quick are one tier.
		quick := d.stores[names[i]].transferTime(probeTokens)
		j := i
		for ; j < len(names) && d.stores[names[j]].transferTime(probeTokens) == quick; j++ {
			taken += d.stores[names[j]].Capacity
		}
		high := low
		for at < len(sample) && (float64(below) < float64(taken)/float64(space)*float64(asked) || j == len(names)) {
			high = sample[at]
			below += sample[at]
			at++
		}
		if j == len(names) {
			high = int(^uint(0) >> 1)
		}
		for _, name := range names[i:j] {
			d.sizeSample.bounds[name] = [2]int{low, high}
		}
		low, i = high, j
	}
}

// storesBySpeed returns the stores, quickest first.
func (d *Directory) storesBySpeed() []string {
	names := make([]string, 0, len(d.stores))
	for name := range d.stores {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := d.stores[names[i]].transferTime(probeTokens), d.stores[names[j]].transferTime(probeTokens)
		return a < b || a == b && names[i] < names[j]
	})
	return names
}

func (s *storeState) transferTime(tokens int) time.Duration {
	return s.TransferDelay + time.Duration(tokens)*s.TransferPerToken
}
