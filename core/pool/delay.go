package pool

import (
	"slices"
	"time"
)

// excessDelay returns by how much the replica's delay exceeds 1.5 times the median.
// It decays with time, so that a slow replica gets requests again.
func (r *replica) excessDelay(now time.Time, median time.Duration) time.Duration {
	excess := r.meanDelay - median*3/2
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * decay(now, r.meanDelayAt))
}

// decay returns the weight of an observation by its age, from 1 down to 0.
func decay(now, at time.Time) float64 {
	age := float64(now.Sub(at)) / float64(decayTime)
	return 1 / (1 + age*age)
}

// delayMedian is the median delay of a service's replicas, computed at a time.
type delayMedian struct {
	at    time.Time
	delay time.Duration
}

// medianDelay returns the median of the replicas' mean delays, or defaultDelay if
// none has responded yet.
func (p *Pool) medianDelay(now time.Time, service string, all []candidate) time.Duration {
	if m, ok := p.medianDelays[service]; ok && now.Sub(m.at) < medianTTL && !now.Before(m.at) {
		return m.delay
	}
	var delays []time.Duration
	for _, r := range all {
		if !r.meanDelayAt.IsZero() {
			delays = append(delays, r.meanDelay)
		}
	}
	if len(delays) == 0 {
		return defaultDelay
	}
	slices.Sort(delays)
	if p.medianDelays == nil {
		p.medianDelays = map[string]delayMedian{}
	}
	p.medianDelays[service] = delayMedian{now, delays[len(delays)/2]}
	return p.medianDelays[service].delay
}
