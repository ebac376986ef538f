package directory

import (
	"slices"
	"time"
)

// Weights of the stores' shares.
const (
	// meanWeight is the share of a new observation in a store's mean time to a
	// first answer, and meanLife the time after which the mean is forgotten.
	meanWeight = 0.15
	meanLife   = 3 * time.Second
	// slowTimes and slowBy are the multiple of the like stores' mean, and the
	// time on top of it, from which a store's own mean counts as slow. Replicas that
	// are slow make the answers of all stores late, so that none is blamed; single
	// late answers are common under load and tell nothing.
	slowTimes = 2
	slowBy    = 50 * time.Millisecond
	// An answer while the store is slow multiplies its share of fetches by
	// slowFactor, another one adds quickStep, so that the load settles at what the
	// store bears.
	slowFactor = 0.7
	quickStep  = 0.1
	leastShare = 0.1
	// savingShare is the share from which parts are saved to a store.
	savingShare = 0.7
	// shareLife is the time after which a share that is not used is forgotten.
	shareLife = 3 * time.Second
)

// throttle is the share of fetches that a store gets.
type throttle struct {
	// cut is what is missing to all of them, so that the zero value has none cut.
	cut    float64
	credit float64
	at     time.Time
}

func (t *throttle) share(now time.Time) float64 {
	if now.Sub(t.at) > shareLife {
		return 1
	}
	return 1 - t.cut
}

// Took takes the time to the first answer of a request that fetched from stores.
func (d *Directory) Took(now time.Time, stores []string, took time.Duration) {
	for _, name := range stores {
		s, ok := d.shelves[name]
		if !ok {
			continue
		}
		s.observe(now, took)
		others := d.othersMean(now, name)
		if others == 0 {
			continue
		}
		share := s.fetches.share(now)
		if s.mean > slowTimes*others+slowBy {
			share = max(leastShare, share*slowFactor)
		} else {
			share = min(1, share+quickStep)
		}
		s.fetches.cut, s.fetches.at = 1-share, now
	}
}

func (s *shelf) observe(now time.Time, took time.Duration) {
	if now.Sub(s.meanAt) > meanLife {
		s.mean = took
	}
	s.mean += time.Duration(meanWeight * float64(took-s.mean))
	s.meanAt = now
}

// othersMean is the median of the means of the other stores of a store's tier,
// which hold parts of like size; of all others if the tier has none; 0 if there
// is none at all.
func (d *Directory) othersMean(now time.Time, store string) time.Duration {
	var tier, all []time.Duration
	quick := d.shelves[store].transfer(probe)
	for name, s := range d.shelves {
		if name == store || now.Sub(s.meanAt) > meanLife {
			continue
		}
		all = append(all, s.mean)
		if s.transfer(probe) == quick {
			tier = append(tier, s.mean)
		}
	}
	if len(tier) > 0 {
		all = tier
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// Worth reports whether a part should be fetched from a store: it is expected
// to arrive within the limit, and the store bears the load.
func (d *Directory) Worth(now time.Time, store string, tokens int, limit time.Duration) bool {
	s, ok := d.shelves[store]
	if !ok || s.transfer(tokens) > limit {
		return false
	}
	share := s.fetches.share(now)
	if share >= 1 {
		return true
	}
	s.fetches.credit += share
	if s.fetches.credit < 1 {
		return false
	}
	s.fetches.credit--
	return true
}
