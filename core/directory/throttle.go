package directory

import (
	"slices"
	"time"
)

// Parameters of the throttle.
const (
	// meanWeight is the weight of a new observation in a store's mean time to the
	// first response chunk, an exponentially weighted moving average, and meanTTL the
	// time without observations after which the mean expires.
	meanWeight = 0.15
	meanTTL    = 3 * time.Second
	// A store counts as slow if its mean exceeds slowMultiple times the median of
	// comparable stores by more than slowMargin. The comparison ignores slow replicas,
	// which delay the responses of all stores alike; the mean ignores single late
	// responses, which are common under load.
	slowMultiple = 2
	slowMargin   = 50 * time.Millisecond
	// The share of fetches adapts by additive increase and multiplicative decrease, so
	// that the load settles at what the store can sustain: an observation that leaves
	// the store slow multiplies its share by shareDecrease, any other adds
	// shareIncrease. The share is not reduced below minFetchShare.
	shareDecrease = 0.7
	shareIncrease = 0.1
	minFetchShare = 0.1
	// minSaveShare is the share of fetches below which no parts are saved to a store.
	minSaveShare = 0.7
	// shareTTL is the time without updates after which a reduced share expires.
	shareTTL = 3 * time.Second
)

// throttle limits the share of fetches that a store gets. The zero value does not limit
// it.
type throttle struct {
	// reduction is the share of fetches that the store does not get.
	reduction float64
	// credit accumulates the share of each fetch; a whole credit permits one.
	credit  float64
	updated time.Time
}

// share returns the share of fetches that the store gets, up to 1.
func (t *throttle) share(now time.Time) float64 {
	if now.Sub(t.updated) > shareTTL {
		return 1
	}
	return 1 - t.reduction
}

// ObserveFirstChunk records the time to the first response chunk of a request that
// fetched from stores, and adapts their shares of fetches.
func (d *Directory) ObserveFirstChunk(now time.Time, stores []string, latency time.Duration) {
	for _, name := range stores {
		s, ok := d.stores[name]
		if !ok {
			continue
		}
		s.updateMean(now, latency)
		median := d.medianOfOthers(now, name)
		if median == 0 {
			continue
		}
		share := s.fetches.share(now)
		if s.meanDelay > slowMultiple*median+slowMargin {
			share = max(minFetchShare, share*shareDecrease)
		} else {
			share = min(1, share+shareIncrease)
		}
		s.fetches.reduction, s.fetches.updated = 1-share, now
	}
}

// updateMean adds an observation to the mean, which starts anew with it after meanTTL.
func (s *storeState) updateMean(now time.Time, latency time.Duration) {
	if now.Sub(s.meanUpdated) > meanTTL {
		s.meanDelay = latency
	}
	s.meanDelay += time.Duration(meanWeight * float64(latency-s.meanDelay))
	s.meanUpdated = now
}

// medianOfOthers returns the median of the means of the other stores in a store's tier,
// which hold parts of similar size. If the tier has no other store with a mean, it
// returns the median over all other stores, or 0 if none has one.
func (d *Directory) medianOfOthers(now time.Time, store string) time.Duration {
	var tier, all []time.Duration
	tierTime := d.stores[store].transferTime(probeTokens)
	for name, s := range d.stores {
		if name == store || now.Sub(s.meanUpdated) > meanTTL {
			continue
		}
		all = append(all, s.meanDelay)
		if s.transferTime(probeTokens) == tierTime {
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

// ShouldFetch reports whether a part should be fetched from a store: the transfer is
// expected to take no longer than the limit, and the store's throttle permits it. A
// permitted fetch uses up credit of the throttle.
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
