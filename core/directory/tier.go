package directory

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the sample from which the tiers are computed.
const (
	// sampleSlots bounds the number of different parts whose sizes are kept.
	sampleSlots = 4096
	// recomputeAfter is the number of observed sizes after which the tiers are
	// recomputed; at first they are recomputed whenever the number has doubled.
	recomputeAfter = 128
	// probeTokens is the size of the part by whose transfer time stores are compared.
	probeTokens = 1024
)

// sizeSample is a sample of the sizes of the different parts in requests. The zero
// value is empty.
type sizeSample struct {
	// slots has the size of the latest part that hashed to each slot, so that a part
	// that is requested often counts once, as it takes up space once.
	slots [sampleSlots]int32
	// count is the number of observed sizes.
	count int
	// bounds has the range of part sizes of each store's tier: more than the first
	// bound, up to the second.
	bounds map[string][2]int
	// computedAt is the count at which bounds was last computed.
	computedAt int
}

// ObserveSize records the size of a part of a request.
func (d *Directory) ObserveSize(id string, tokens int) {
	d.sizeSample.slots[xxhash.Sum64String(id)%sampleSlots] = int32(tokens)
	d.sizeSample.count++
}

// inTier reports whether a store is in the tier for parts of the given size. Transfers
// have a fixed delay that differs between stores, so a fast store saves the most time per
// token of space with small parts. The smallest parts therefore go to the fastest stores, and
// each tier gets the same share of the different parts' tokens as it has of the total
// capacity.
func (d *Directory) inTier(store string, tokens int) bool {
	if d.sizeSample.bounds == nil || d.sizeSample.count-d.sizeSample.computedAt >= min(recomputeAfter, d.sizeSample.computedAt) {
		d.computeTiers()
	}
	b, ok := d.sizeSample.bounds[store]
	return ok && tokens > b[0] && tokens <= b[1]
}

// computeTiers groups the stores into tiers of equal transfer time, and assigns each
// tier a range of part sizes.
func (d *Directory) computeTiers() {
	d.sizeSample.computedAt = d.sizeSample.count
	d.sizeSample.bounds = map[string][2]int{}
	var sample []int
	sampledTokens := 0
	for _, n := range d.sizeSample.slots {
		if n > 0 {
			sample = append(sample, int(n))
			sampledTokens += int(n)
		}
	}
	sort.Ints(sample)
	names := d.storesBySpeed()
	totalCapacity := 0
	for _, name := range names {
		totalCapacity += d.stores[name].Capacity
	}
	if sampledTokens == 0 || totalCapacity == 0 {
		return
	}
	cumulativeCapacity, assignedTokens, next, low := 0, 0, 0, 0
	for i := 0; i < len(names); {
		tierTime := d.stores[names[i]].transferTime(probeTokens)
		j := i
		for ; j < len(names) && d.stores[names[j]].transferTime(probeTokens) == tierTime; j++ {
			cumulativeCapacity += d.stores[names[j]].Capacity
		}
		high := low
		for next < len(sample) && (float64(assignedTokens) < float64(cumulativeCapacity)/float64(totalCapacity)*float64(sampledTokens) || j == len(names)) {
			high = sample[next]
			assignedTokens += sample[next]
			next++
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

// storesBySpeed returns the names of the stores, fastest first.
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

// transferTime returns the expected time to transfer a part of the given size.
func (s *storeState) transferTime(tokens int) time.Duration {
	return s.TransferDelay + time.Duration(tokens)*s.TransferPerToken
}
