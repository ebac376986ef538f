package waitqueue

import "time"

const (
	// maxReturns bounds the refused callers that are remembered.
	maxReturns = 4096
	// returnGrace is how much later than it was told a caller may come back.
	returnGrace = 2 * time.Second
)

// Returns remembers the requests that were refused, so that they are recognised when their
// callers come back. The zero value remembers none. It is not safe for concurrent use.
type Returns struct {
	expected map[uint64]expected
	// keys has the remembered keys in the order in which they were added, from next on.
	keys [maxReturns]uint64
	next int
}

// expected is the number of callers that are expected back with a key, and until when.
type expected struct {
	callers int
	until   time.Time
}

// Add remembers a refused request by the keys that it may be recognised by.
func (r *Returns) Add(now time.Time, retryAfter time.Duration, keys ...uint64) {
	if r.expected == nil {
		r.expected = map[uint64]expected{}
	}
	for _, key := range keys {
		e, known := r.expected[key]
		if !known {
			delete(r.expected, r.keys[r.next])
			r.keys[r.next] = key
			r.next = (r.next + 1) % maxReturns
		}
		if e.until.Before(now) {
			e.callers = 0
		}
		r.expected[key] = expected{e.callers + 1, now.Add(retryAfter + returnGrace)}
	}
}

// Empty reports whether nothing is remembered.
func (r *Returns) Empty() bool { return len(r.expected) == 0 }

// Take reports whether a request with one of the keys was refused and is expected back now. It
// is then no longer expected.
func (r *Returns) Take(now time.Time, keys ...uint64) bool {
	returned := false
	for _, key := range keys {
		e, ok := r.expected[key]
		if !ok {
			continue
		}
		returned = returned || now.Before(e.until)
		if e.callers--; e.callers <= 0 || !now.Before(e.until) {
			delete(r.expected, key)
		} else {
			r.expected[key] = e
		}
	}
	return returned
}

// Timeouts learns the timeout that the callers of a kind of requests state at first, if most
// of them state the same one. A caller that states less has spent a part of its time, so that
// it was refused elsewhere before. The zero value knows none.
type Timeouts struct {
	usual time.Duration
	// votes is by how many requests the usual timeout is ahead of all others.
	votes int
}

const (
	// The usual timeout is known from minVotes on, and replaced after maxVotes requests with
	// other timeouts at the latest.
	minVotes = 16
	maxVotes = 64
	// spentShare is the share of the usual timeout that a returned caller has spent at least.
	spentShare = 0.005
)

// Observe records the timeout of a request, and reports whether its caller seems to have
// spent a part of its time already.
func (t *Timeouts) Observe(stated time.Duration) bool {
	if stated <= 0 {
		return false
	}
	returned := t.votes >= minVotes && float64(stated) < (1-spentShare)*float64(t.usual)
	switch {
	case stated == t.usual:
		t.votes = min(t.votes+1, maxVotes)
	case t.votes == 0:
		t.usual, t.votes = stated, 1
	default:
		t.votes--
	}
	return returned
}
