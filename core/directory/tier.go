package directory

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the sample that the tiers are drawn from.
const (
	// sampled is the number of different parts whose sizes are kept.
	sampled = 4096
	// resample is the number of parts after which the tiers are drawn anew.
	resample = 128
	// probe is the size of the parts by whose transfer time stores are ranked.
	probe = 1024
)

// sizes is a sample of the sizes of the different parts that were asked for.
// The zero value is empty.
type sizes struct {
	// slots has the size of the last part that hashed to a slot, so that a part
	// that is asked for often counts once: it takes space once.
	slots [sampled]int32
	count int
	// bounds has the range of sizes of each store's tier, from the sample.
	bounds map[string][2]int
	drawn  int
}

// Asked notes the size of a part that a request names.
func (d *Directory) Asked(id string, tokens int) {
	d.sizes.slots[xxhash.Sum64String(id)%sampled] = int32(tokens)
	d.sizes.count++
}

// inTier reports whether a part of this size belongs to a store. A transfer has
// a fixed delay that differs between stores, so quick stores save most time per
// token of space with small parts: the smallest parts go to the quickest
// stores, such that each store gets the same share of the different parts'
// tokens as it has of all space.
func (d *Directory) inTier(store string, tokens int) bool {
	if d.sizes.bounds == nil || d.sizes.count-d.sizes.drawn >= min(resample, d.sizes.drawn) {
		d.drawTiers()
	}
	b, ok := d.sizes.bounds[store]
	return ok && tokens > b[0] && tokens <= b[1]
}

func (d *Directory) drawTiers() {
	d.sizes.drawn = d.sizes.count
	d.sizes.bounds = map[string][2]int{}
	var sample []int
	asked := 0
	for _, n := range d.sizes.slots {
		if n > 0 {
			sample = append(sample, int(n))
			asked += int(n)
		}
	}
	sort.Ints(sample)
	names := d.ranked()
	space := 0
	for _, name := range names {
		space += d.shelves[name].Capacity
	}
	if asked == 0 || space == 0 {
		return
	}
	taken, below, at, low := 0, 0, 0, 0
	for i := 0; i < len(names); {
		// Stores that are equally quick are one tier.
		quick := d.shelves[names[i]].transfer(probe)
		j := i
		for ; j < len(names) && d.shelves[names[j]].transfer(probe) == quick; j++ {
			taken += d.shelves[names[j]].Capacity
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
			d.sizes.bounds[name] = [2]int{low, high}
		}
		low, i = high, j
	}
}

// ranked returns the stores, quickest first.
func (d *Directory) ranked() []string {
	names := make([]string, 0, len(d.shelves))
	for name := range d.shelves {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := d.shelves[names[i]].transfer(probe), d.shelves[names[j]].transfer(probe)
		return a < b || a == b && names[i] < names[j]
	})
	return names
}

func (s *shelf) transfer(tokens int) time.Duration {
	return s.First + time.Duration(tokens)*s.PerToken
}
