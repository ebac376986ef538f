package waitqueue

import "time"

// takenTTL is the time in which the loads of peers reach this instance. What it has started
// within that time counts against its share of the room.
const takenTTL = 200 * time.Millisecond

// taken is the sum of the sizes of the requests that were started since a time.
type taken struct {
	since time.Time
	size  float64
}

// MayTake reports whether a request may take some of the free capacity of a service, so that
// all instances together don't take it several times. Each instance takes the share that
// corresponds to what waits there, of what was free when the others last heard of it. A share
// of less than one request is taken by chance, which the id decides, so that the instances
// together take all of it.
func (q *Queue) MayTake(now time.Time, it Item, free float64) bool {
	s := q.service(it.Service)
	if now.Sub(s.capacity.at) > capacityTTL || s.capacity.PeersWaiting <= 0 {
		return true
	}
	if now.Sub(s.taken.since) > takenTTL || now.Before(s.taken.since) {
		s.taken = taken{since: now}
	}
	own := max(s.size, it.Size)
	allowed := (free+s.taken.size)*own/(own+s.capacity.PeersWaiting) - s.taken.size
	if allowed >= it.Size {
		return true
	}
	window := uint64(now.UnixNano()) / uint64(takenTTL)
	return allowed > 0 && fraction(it.ID^window<<20) < allowed/it.Size
}
