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
	meanTTL    = 3 * time.Second
	// slowMultiple and slowBy are the multiple of the like stores' mean, and the
	// time on top of it, from which a store's own mean counts as slow. Replicas that
	// are slow make the answers of all stores late, so that none is blamed; single
	// late answers are common under load and tell nothing.
	slowMultiple = 2
	slowMargin   = 50 * time.Millisecond
	// An answer while the store is slow multiplies its share of fetches by
	// slowFactor, another one adds quickStep, so that the load settles at what the
	// store bears.
	shareDecrease = 0.7
	shareIncrease = 0.1
	minFetchShare = 0.1
	// minSaveShare is the share from which parts are saved to a store.
	minSaveShare = 0.7
	// shareTTL is the time after which a share that is not used is forgotten.
	shareTTL = 3 * time.Second
)

// throttle is the share of fetches that a store gets.
type throttle struct {
	// reduction is what is missing to all of them, so that the zero value has none cut.
	reduction float64
	credit    float64
	updated   time.Time
}

func (t *throttle) share(now time.Time) float64 {
	if now.Sub(t.updated) > shareTTL {
		return 1
	}
	return 1 - t.reduction
}

// ObserveFirstChunk takes the time to the first answer of a request that fetched from stores.
func (d *Directory) ObserveFirstChunk(now time.Time, stores []string, took time.Duration) {
	for _, name := range stores {
		s, ok := d.stores[name]
		if !ok {
			continue
		}
		s.updateMean(now, took)
		others := d.medianOfOthers(now, name)
		if others == 0 {
			continue
		}
		share := s.fetches.share(now)
		if s.meanDelay > slowMultiple*others+slowMargin {
			share = max(minFetchShare, share*shareDecrease)
		} else {
			share = min(1, share+shareIncrease)
		}
		s.fetches.reduction, s.fetches.updated = 1-share, now
	}
}

func (s *storeState) updateMean(now time.Time, took time.Duration) {
	if now.Sub(s.meanUpdated) > meanTTL {
		s.meanDelay = took
	}
	s.meanDelay += time.Duration(meanWeight * float64(took-s.meanDelay))
	s.meanUpdated = now
}

// medianOfOthers is the median of the means of the other stores of a store's tier,
// which hold parts of like size; of all others if the tier has none; 0 if there
// is none at all.
func (d *Directory) medianOfOthers(now time.Time, store string) time.Duration {
	var tier, all []time.Duration
	quick := d.stores[store].transferTime(probeTokens)
	for name, s := range d.stores {
		if name == store || now.Sub(s.meanUpdated) > meanTTL {
			continue
		}
		all = append(all, s.meanDelay)
		if s.transferTime(probeTokens) == quick {
			tier = append(tier, s.meanDelay)
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

// ShouldFetch reports whether a part should be fetched from a store: it is expected
// to arrive within the limit, and the store bears the load.
func (d *Directory) ShouldFetch(now time.Time, store string, tokens int, limit time.Duration) bool {
	s, ok := d.stores[store]
	if !ok || s.transferTime(tokens) > limit {
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
