package replay

import "time"

// Times and limits of the simulated engines, links and stores.
const (
	// prefillTime and importTime are for one block, tokenTime is for one token of the
	// response.
	prefillTime = 40 * time.Millisecond
	importTime  = 8 * time.Millisecond
	tokenTime   = 20 * time.Millisecond
	lookupTime  = 3 * time.Millisecond
	// reportLag is the maximum age of the loads that a policy uses.
	reportLag = 500 * time.Millisecond
	warmUp    = 10 * time.Second
	warmLimit = 16
	coldLimit = 2
)

// lruCache maps sessions to their numbers of cached blocks, up to a total capacity in
// blocks. It evicts the session that was put least recently. A session's blocks are a
// prefix of its context.
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

// replica simulates a model engine: it has a limit of concurrent requests, runs one
// prefill at a time, and has a prefix cache.
type replica struct {
	name, dataCentre string
	cache            lruCache
	completions      []time.Duration
	prefillUntil     time.Duration
	coldSince        time.Duration
	inOutage         bool
	// reportedLoad is the number of running requests as last reported,
	// reportedPrefillUntil the end of the prefills that were queued then, and reportedAt
	// the time of the report.
	reportedLoad         int
	reportedPrefillUntil time.Duration
	reportedAt           time.Duration
}

// running returns the number of requests that run at now, and forgets those that ended.
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

// limit returns the maximum number of running requests. After an outage it grows
// linearly from coldLimit to warmLimit over warmUp.
func (r *replica) limit(now time.Duration) int {
	age := now - r.coldSince
	if r.coldSince == 0 || age >= warmUp {
		return warmLimit
	}
	return coldLimit + int(float64(warmLimit-coldLimit)*float64(age)/float64(warmUp))
}

// reportedRunning returns the number of running requests as last reported. It makes a new
// report if the last one has reached the age reportLag.
func (r *replica) reportedRunning(now time.Duration) int {
	if now-r.reportedAt >= reportLag {
		r.reportedLoad, r.reportedPrefillUntil, r.reportedAt = r.running(now), r.prefillUntil, now
	}
	return r.reportedLoad
}

// backlog returns the remaining time of the prefills that were queued at the last report.
func (r *replica) backlog(now time.Duration) time.Duration { return max(0, r.reportedPrefillUntil-now) }

// kvStore simulates a store whose link carries one transfer at a time. linkFreeAt is the
// end of the queued transfers, and linkBusy the total time of all transfers.
type kvStore struct {
	name       string
	blocks     lruCache
	linkFreeAt time.Duration
	linkBusy   time.Duration
}

// transfer queues a transfer on the link and returns the time at which it ends.
func (s *kvStore) transfer(now time.Duration, blocks int) time.Duration {
	took := time.Duration(blocks) * importTime
	s.linkFreeAt = max(s.linkFreeAt, now) + took
	s.linkBusy += took
	return s.linkFreeAt
}
