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

// lruCache holds the blocks of sessions up to a capacity, least recently used out
// first. A session's blocks are a prefix of its context.
type lruCache struct {
	capacity, used int
	blocks         map[string]int
	recency        []string
}

func (s *lruCache) get(session string) int { return s.blocks[session] }

func (s *lruCache) put(session string, blocks int) {
	if s.blocks == nil {
		s.blocks = map[string]int{}
	}
	if old, ok := s.blocks[session]; ok {
		s.used -= old
		for i, o := range s.recency {
			if o == session {
				s.recency = append(s.recency[:i], s.recency[i+1:]...)
				break
			}
		}
	}
	s.blocks[session] = blocks
	s.recency = append(s.recency, session)
	s.used += blocks
	for s.used > s.capacity && len(s.recency) > 0 {
		s.used -= s.blocks[s.recency[0]]
		delete(s.blocks, s.recency[0])
		s.recency = s.recency[1:]
	}
}

func (s *lruCache) clear() { *s = lruCache{capacity: s.capacity} }

// replica is a fake of a model engine: slots for requests, one prefill at a
// time, and a prefix cache.
type replica struct {
	name, dataCentre string
	cache            lruCache
	completions      []time.Duration
	prefillUntil     time.Duration
	coldSince        time.Duration
	drained          bool
	// reportedLoad is the load as reported, freeAt the end of the prefills that waited
	// then, seenAt when.
	reportedLoad         int
	reportedPrefillUntil time.Duration
	reportedAt           time.Duration
}

func (r *replica) running(now time.Duration) int {
	active := r.completions[:0]
	for _, e := range r.completions {
		if e > now {
			active = append(active, e)
		}
	}
	r.completions = active
	return len(active)
}

func (r *replica) limit(now time.Duration) int {
	age := now - r.coldSince
	if r.coldSince == 0 || age >= warmUp {
		return warmLimit
	}
	return coldLimit + int(float64(warmLimit-coldLimit)*float64(age)/float64(warmUp))
}

// reportedRunning returns the running requests as last reported.
func (r *replica) reportedRunning(now time.Duration) int {
	if now-r.reportedAt >= reportLag {
		r.reportedLoad, r.reportedPrefillUntil, r.reportedAt = r.running(now), r.prefillUntil, now
	}
	return r.reportedLoad
}

// backlog returns what is left of the prefills that were last reported.
func (r *replica) backlog(now time.Duration) time.Duration { return max(0, r.reportedPrefillUntil-now) }

// store is a store with a link that carries one transfer after the other.
type store struct {
	name       string
	blocks     lruCache
	linkFreeAt time.Duration
	linkBusy   time.Duration
}

// transfer books a transfer and returns when it ends.
func (s *store) transfer(now time.Duration, blocks int) time.Duration {
	took := time.Duration(blocks) * importTime
	s.linkFreeAt = max(s.linkFreeAt, now) + took
	s.linkBusy += took
	return s.linkFreeAt
}
