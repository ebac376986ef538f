package waitqueue

import (
	"math"
	"time"
)

// Capacity is what the instances together know of a service.
type Capacity struct {
	// Held is the sum of the sizes of the requests that run there for all instances.
	Held float64
	// PeersWaiting is the sum of the sizes of the requests that wait at the other instances,
	// and Instances the number of all instances.
	PeersWaiting float64
	Instances    int
}

// capacity is the latest Capacity, with how long requests hold their part of it.
type capacity struct {
	Capacity
	at time.Time
	// held is the sum of the sizes of the requests that ended lately, heldTime that of their
	// sizes times the seconds that they ran, and finished the number of all requests that
	// ended.
	held, heldTime float64
	finished       int
	// nextReturn is when the next refused caller is told to come back at the earliest.
	nextReturn time.Time
}

const (
	// capacityTTL is how long a Capacity counts, as long as what peers report.
	capacityTTL = 2 * time.Second
	// minFinished is the number of completed requests from which the rate is known.
	minFinished = 8
	// holdDecay is what each completed request leaves of the weight of the earlier ones.
	holdDecay = 0.98
	// The caller of a returned request has been told to come, so that it is refused on arrival
	// only if it is expected to wait returnedFactor times as long as it may.
	returnedFactor = 2.0
	// A new request is refused on arrival if it is expected to wait for more than a share of the
	// time that it may. The share is learned for each kind: it falls to shareAfterLate of itself
	// with each request that waited and was not placed in time, and rises by sharePerStart with
	// each that was, so that about one of twelve that wait is refused late. It stays between
	// minWaitShare and maxWaitShare.
	shareAfterLate = 0.5
	sharePerStart  = 0.03
	minWaitShare   = 0.1
	maxWaitShare   = 0.8
	// arrivalTime is the time over which arrivals are averaged.
	arrivalTime = 2 * time.Second
	// minRateShare is the part of the rate that is left to a request at least, whatever
	// arrives with a higher priority.
	minRateShare = 0.15
	// unknownComposition is the part of what waits at peers that is assumed to go before a
	// request while nothing waits here.
	unknownComposition = 0.5

	// minRetryAfter is the shortest Retry-After delay, and defaultRetryAfter the delay if the
	// rate is not known.
	minRetryAfter     = 100 * time.Millisecond
	defaultRetryAfter = 400 * time.Millisecond
	// maxRetryShare bounds the Retry-After delay. Callers honour it up to a third of the time
	// that they have left.
	maxRetryShare = 0.3
	// maxRetryAfter is the longest delay for callers without a deadline.
	maxRetryAfter = 2 * time.Second
	// returnShare is the part of the capacity that is left to returning callers. The rest
	// serves new ones.
	returnShare = 0.5
)

// Observe records the capacity of a service.
func (q *Queue) Observe(now time.Time, service string, c Capacity) {
	s := q.service(service)
	s.capacity.Capacity, s.capacity.at = c, now
}

// Finished records that a request of a size has ended, which ran for some time.
func (q *Queue) Finished(service string, size float64, took time.Duration) {
	c := &q.service(service).capacity
	c.held = c.held*holdDecay + size
	c.heldTime = c.heldTime*holdDecay + size*took.Seconds()
	c.finished++
}

// State is what a decision about a service is based on, for the log.
type State struct {
	// Waiting is the number of requests that wait here, Size the sum of their sizes, and
	// PeersWaiting that of those at the peers.
	Waiting            int
	Size, PeersWaiting float64
	// Rate is the capacity that becomes free per second; 0 if it is not known.
	Rate float64
}

// State returns the state of a service.
func (q *Queue) State(now time.Time, service string) State {
	s := q.service(service)
	rate, _ := s.capacity.rate(now)
	return State{s.waiting, s.size, s.capacity.PeersWaiting, rate}
}

// rate returns the capacity that becomes free per second over all instances: what is held
// divided by how long it is held. ok is false if it is not known.
func (c *capacity) rate(now time.Time) (perSecond float64, ok bool) {
	if c.finished < minFinished || c.Held <= 0 || c.heldTime <= 0 || now.Sub(c.at) > capacityTTL {
		return 0, false
	}
	return c.Held * c.held / c.heldTime, true
}

// share returns the part of the freed capacity that this instance takes.
func (s *service) share() float64 {
	if s.size > 0 {
		return s.size / (s.size + s.capacity.PeersWaiting)
	}
	return 1 / float64(max(s.capacity.Instances, 1))
}

// expectedWait returns how long a request that enters now is expected to wait: the capacity
// that what goes before it needs, here and at the peers, divided by the rate.
func (s *service) expectedWait(now time.Time, it Item) (wait time.Duration, known bool) {
	rate, ok := s.capacity.rate(now)
	if !ok {
		return 0, false
	}
	shares, ahead, same := s.shares(), 0.0, s.flows[keyOf(it)]
	own := s.place(now, it, shares)
	for _, f := range s.list {
		if f == same {
			ahead += f.size
			continue
		}
		if place := f.head(now).place(now); place.before(&own) {
			ahead += f.size
		}
	}
	if s.size > 0 {
		ahead += ahead / s.size * s.capacity.PeersWaiting
	} else {
		ahead = unknownComposition * s.capacity.PeersWaiting
	}
	// What arrives later with a higher priority goes before the request, too.
	return seconds(ahead / max(minRateShare*rate, rate-s.urgentArrivals(now, it.Priority))), true
}

// arrive records the arrival of a request.
func (s *service) arrive(now time.Time, it Item) {
	k := s.kind(kindKey{it.Kind, sizeClass(it.Size)})
	k.arrived = k.arrivedLately(now) + it.Size
	k.arrivedAt, k.priority = now, it.Priority
}

// arrivedLately returns the size of the requests that arrived within about arrivalTime.
func (c *consumer) arrivedLately(now time.Time) float64 {
	return c.arrived * math.Exp(-now.Sub(c.arrivedAt).Seconds()/arrivalTime.Seconds())
}

// urgentArrivals returns the capacity per second that requests with a higher priority need,
// over all instances, which are assumed to get the same.
func (s *service) urgentArrivals(now time.Time, priority int) float64 {
	sum := 0.0
	for _, k := range s.kinds {
		if k.priority < priority && k.arrived > 0 {
			sum += k.arrivedLately(now)
		}
	}
	return sum / arrivalTime.Seconds() * float64(max(s.capacity.Instances, 1))
}

// hopeless reports whether a request that is expected to wait for a time can't be placed
// before it is given up. One that would be late but be served is not hopeless: most of the
// refused ones come back later for the same capacity.
func (s *service) hopeless(now time.Time, it Item, wait time.Duration) bool {
	factor := returnedFactor
	if !it.Returned {
		factor = s.kind(kindKey{it.Kind, sizeClass(it.Size)}).share()
	}
	return wait.Seconds() > factor*max(0, it.GiveUp.Sub(now).Seconds())
}

// share returns the learned part of the time that a request may wait within which it must be
// expected to be placed.
func (c *consumer) share() float64 { return maxWaitShare - c.distrust }

// placed records that a request of the kind was placed after waiting, or was refused late.
func (c *consumer) placed(inTime bool) {
	share := c.share() + sharePerStart
	if !inTime {
		share = c.share() * shareAfterLate
	}
	c.distrust = maxWaitShare - min(max(share, minWaitShare), maxWaitShare)
}

// retryAfter returns when the caller of a refused request should come back: when what waits
// now is expected to be served, later by the time that the callers refused before need. If
// that is later than the caller would wait, the delays are spread over the second half of the
// time that it does.
func (q *Queue) retryAfter(now time.Time, it Item) time.Duration {
	s := q.service(it.Service)
	limit := maxRetryAfter
	if !it.Deadline.IsZero() {
		limit = max(minRetryAfter, time.Duration(maxRetryShare*float64(it.Deadline.Sub(now))))
	}
	after, spacing := defaultRetryAfter, time.Duration(0)
	if rate, ok := s.capacity.rate(now); ok {
		after = max(minRetryAfter, seconds((s.size+s.capacity.PeersWaiting)/rate))
		spacing = seconds(it.Size / (rate * s.share() * returnShare))
	}
	at := now.Add(after)
	if s.capacity.nextReturn.After(at) {
		at = s.capacity.nextReturn
	}
	if at.Sub(now) > limit {
		return limit/2 + time.Duration(fraction(it.ID)*float64(limit/2))
	}
	s.capacity.nextReturn = at.Add(spacing)
	if spacing == 0 {
		return min(limit, after/2+time.Duration(fraction(it.ID)*float64(after)))
	}
	return at.Sub(now)
}

// seconds converts a number of seconds to a duration of an hour at most.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// fraction returns a number from 0 to 1 that differs between ids.
func fraction(id uint64) float64 {
	id = (id + 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	id = (id ^ id>>29) * 0x94d049bb133111eb
	return float64(id>>11) / (1 << 53)
}
