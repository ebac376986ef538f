package directory

import (
	"sort"
	"time"
)

// Sizes of the sample that the tiers are drawn from.
const (
	// sampled is the number of recent parts whose sizes are kept.
	sampled = 256
	// resample is the number of parts after which the tiers are drawn anew.
	resample = 32
	// probe is the size of the parts by whose transfer time stores are ranked.
	probe = 1024
)

// sizes is a sample of the sizes of parts that were asked for. The zero value
// is empty.
type sizes struct {
	ring  [sampled]int
	count int
	// tierOf has the largest part of each store's tier, from the sample.
	bounds map[string][2]int
	drawn  int
}

// Asked notes the size of a part that a request names.
func (d *Directory) Asked(tokens int) {
	d.sizes.ring[d.sizes.count%sampled] = tokens
	d.sizes.count++
}

// inTier reports whether a part of this size belongs to a store. A transfer has
// a fixed delay that differs between stores, so quick stores save most time per
// token of space with small parts: the smallest parts go to the quickest
// stores, such that each store has the same share of the tokens asked for as it
// has of all space.
func (d *Directory) inTier(store string, tokens int) bool {
	if d.sizes.bounds == nil || d.sizes.count-d.sizes.drawn >= resample {
		d.drawTiers()
	}
	b, ok := d.sizes.bounds[store]
	return ok && tokens > b[0] && tokens <= b[1]
}

func (d *Directory) drawTiers() {
	d.sizes.drawn = d.sizes.count
	d.sizes.bounds = map[string][2]int{}
	sample := append([]int(nil), d.sizes.ring[:min(d.sizes.count, sampled)]...)
	sort.Ints(sample)
	asked := 0
	for _, n := range sample {
		asked += n
	}
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
