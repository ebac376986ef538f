package directory

import "time"

// Weights of the stores' delays.
const (
	// usualWeight and delayWeight are the shares of a new observation in the
	// means of all requests and of one store.
	usualWeight = 0.02
	delayWeight = 0.1
	// usualCap bounds an observation in the mean of all, in multiples of it, so
	// that a slow store does not become the usual.
	usualCap = 3
	// probeEvery lets one fetch in so many through to a slow store, so that its
	// recovery is seen.
	probeEvery = 6
	// delayLife is the time after which a delay that is not seen again is forgotten.
	delayLife = 3 * time.Second
	// savingDelay is the delay from which nothing is saved to a store.
	savingDelay = 80 * time.Millisecond
)

// Took takes the time to the first answer of a request that fetched from stores.
func (d *Directory) Took(now time.Time, stores []string, took time.Duration) {
	if d.usual == 0 {
		d.usual = took
	}
	d.usual += time.Duration(usualWeight * float64(min(took, usualCap*d.usual)-d.usual))
	for _, name := range stores {
		if s, ok := d.shelves[name]; ok {
			s.delay += time.Duration(delayWeight * float64(max(0, took-d.usual)-s.delay))
			s.delayAt = now
		}
	}
}

// Worth reports whether a fetch of a part is expected to end within the limit.
func (d *Directory) Worth(now time.Time, store string, tokens int, limit time.Duration) bool {
	s, ok := d.shelves[store]
	if !ok {
		return false
	}
	if s.slowness(now)+s.transfer(tokens) <= limit {
		return true
	}
	s.skipped++
	return s.skipped%probeEvery == 0
}

func (s *shelf) slowness(now time.Time) time.Duration {
	if now.Sub(s.delayAt) > delayLife {
		return 0
	}
	return s.delay
}
