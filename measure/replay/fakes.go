package replay

import "time"

// Times and sizes of the fakes.
const (
	prefillTime = 40 * time.Millisecond
	importTime  = 8 * time.Millisecond
	tokenTime   = 20 * time.Millisecond
	lookupTime  = 3 * time.Millisecond
	// reportLag is the age of the loads that a policy sees.
	reportLag = 500 * time.Millisecond
	warmUp    = 10 * time.Second
	warmLimit = 16
	coldLimit = 2
)

// shelf holds the blocks of sessions up to a capacity, least recently used out
// first. A session's blocks are a prefix of its context.
type shelf struct {
	capacity, used int
	held           map[string]int
	order          []string
}

func (s *shelf) get(session string) int { return s.held[session] }

func (s *shelf) put(session string, blocks int) {
	if s.held == nil {
		s.held = map[string]int{}
	}
	if old, ok := s.held[session]; ok {
		s.used -= old
		for i, o := range s.order {
			if o == session {
				s.order = append(s.order[:i], s.order[i+1:]...)
				break
			}
		}
	}
	s.held[session] = blocks
	s.order = append(s.order, session)
	s.used += blocks
	for s.used > s.capacity && len(s.order) > 0 {
		s.used -= s.held[s.order[0]]
		delete(s.held, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *shelf) clear() { *s = shelf{capacity: s.capacity} }

// replica is a fake of a model engine: slots for requests, one prefill at a
// time, and a prefix cache.
type replica struct {
	name, dataCentre string
	cache            shelf
	ends             []time.Duration
	prefillUntil     time.Duration
	coldSince        time.Duration
	out              bool
	// seen is the load as reported, freeAt the end of the prefills that waited
	// then, seenAt when.
	seen   int
	freeAt time.Duration
	seenAt time.Duration
}

func (r *replica) running(now time.Duration) int {
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e > now {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	return len(kept)
}

func (r *replica) limit(now time.Duration) int {
	age := now - r.coldSince
	if r.coldSince == 0 || age >= warmUp {
		return warmLimit
	}
	return coldLimit + int(float64(warmLimit-coldLimit)*float64(age)/float64(warmUp))
}

// reported returns the running requests as last reported.
func (r *replica) reported(now time.Duration) int {
	if now-r.seenAt >= reportLag {
		r.seen, r.freeAt, r.seenAt = r.running(now), r.prefillUntil, now
	}
	return r.seen
}

// backlog returns what is left of the prefills that were last reported.
func (r *replica) backlog(now time.Duration) time.Duration { return max(0, r.freeAt-now) }

// fakeStore is a store with a link that carries one transfer after the other.
type fakeStore struct {
	name  string
	shelf shelf
	until time.Duration
	busy  time.Duration
}

// transfer books a transfer and returns when it ends.
func (s *fakeStore) transfer(now time.Duration, blocks int) time.Duration {
	took := time.Duration(blocks) * importTime
	s.until = max(s.until, now) + took
	s.busy += took
	return s.until
}
