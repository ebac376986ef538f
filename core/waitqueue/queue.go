// Package waitqueue orders the requests of one instance that wait for a replica: who goes next,
// who is refused, and when a refused caller should come back. It is meant for services whose
// replicas are all full for seconds at a time, with up to a few thousand requests waiting.
package waitqueue

import "time"

// Item is a waiting request.
type Item struct {
	// ID identifies the request among those that wait.
	ID uint64
	// Service is what it waits for. Account and Kind (its route) are what shares go by.
	Service, Account, Kind string
	// Weight is the weight of the account; 0 is 1.
	Weight float64
	// Priority orders the requests; 0 is the most urgent.
	Priority int
	// Size is the capacity that the request occupies, in any unit that is the same for all
	// requests of the service.
	Size float64
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Value is what a response is worth; 0 is 1.
	Value float64
	// StartBy is the latest start for a response in time, and GiveUp when the request is
	// refused if it still waits. Deadline is when its caller gives up.
	StartBy, GiveUp, Deadline time.Time
	// Returned is true if the caller comes back after a refusal.
	Returned bool
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// Hopeless means that the request would not be placed in time by what waits before it.
	Hopeless Reason = "queue-too-long"
	// Overflow means that the queue is at its bound, and the request the least useful one.
	Overflow Reason = "queue-full"
)

// Decision is Wait or Refuse.
type Decision interface{ decision() }

// Wait means that the request waits.
type Wait struct{}

// Refuse means that the request is refused at once.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Eviction is a request that waited and is refused in favour of others.
type Eviction struct {
	ID         uint64
	RetryAfter time.Duration
}

func (Wait) decision()   {}
func (Refuse) decision() {}

// Default bounds of a queue. The memory is a tenth of that of the smallest instance.
const (
	defaultMaxCount = 2000
	defaultMaxBytes = 16 << 20
)

// maxServices bounds the services for which nothing waits; configurations may have named many
// over time.
const maxServices = 256

// maxPassed is how many times its size smaller requests may take while a request finds no room.
const maxPassed = 4

// Queue has the requests that wait at one instance. The zero value is empty. It is not safe
// for concurrent use.
type Queue struct {
	// MaxCount and MaxBytes bound what waits over all services; 0 is the default.
	MaxCount, MaxBytes int
	services           map[string]*service
	items              map[uint64]*entry
	bytes              int
	seq                uint64
}

// service is what waits for one service.
type service struct {
	flows map[flowKey]*flow
	// list has the flows, which are looked through for each decision.
	list     []*flow
	accounts map[string]*consumer
	kinds    map[kindKey]*consumer
	// waiting is the number of requests that wait, size the sum of their sizes.
	waiting int
	size    float64
	// clock scales what accounts and kinds have consumed.
	clock    decayClock
	capacity capacity
	taken    taken
	recovery recovery
	// blocked is the request that went next and found no room; nil if there is none.
	blocked *entry
}

// service returns the state of a service, and creates it at the first call.
func (q *Queue) service(name string) *service {
	s, ok := q.services[name]
	if !ok {
		if q.services == nil {
			q.services = map[string]*service{}
		}
		if len(q.services) >= maxServices {
			for other, s := range q.services {
				if s.waiting == 0 {
					delete(q.services, other)
				}
			}
		}
		s = &service{flows: map[flowKey]*flow{}, accounts: map[string]*consumer{}, kinds: map[kindKey]*consumer{}}
		q.services[name] = s
	}
	return s
}

// Enter has a request wait, unless it can't be placed in time or is the least useful one of a
// queue at its bound. It returns the other requests that are refused to keep to the bound.
func (q *Queue) Enter(now time.Time, it Item) (Decision, []Eviction) {
	s := q.service(it.Service)
	s.arrive(now, it)
	if wait, known := s.expectedWait(now, it); known && s.hopeless(now, it, wait) {
		return Refuse{Hopeless, q.retryAfter(now, it)}, nil
	}
	e := q.add(now, s, it)
	var evicted []Eviction
	for q.overBound() {
		worst := q.leastUseful(now)
		q.drop(worst)
		if worst == e {
			return Refuse{Overflow, q.retryAfter(now, it)}, evicted
		}
		evicted = append(evicted, Eviction{worst.ID, q.retryAfter(now, worst.Item)})
	}
	return Wait{}, evicted
}

// overBound reports whether more waits than the bounds allow.
func (q *Queue) overBound() bool {
	count, bytes := q.MaxCount, q.MaxBytes
	if count <= 0 {
		count = defaultMaxCount
	}
	if bytes <= 0 {
		bytes = defaultMaxBytes
	}
	return len(q.items) > count || q.bytes > bytes && len(q.items) > 0
}

// Next returns the request that goes next to a replica of a service, among those smaller than
// a size. It passes over the accounts and kinds whose first request is in skip. ok is false if
// there is none.
func (q *Queue) Next(now time.Time, service string, below float64, skip map[uint64]bool) (it Item, ok bool) {
	s, known := q.services[service]
	if !known || s.waiting == 0 {
		return Item{}, false
	}
	s.shares()
	var best *entry
	var bestRank rank
	for _, f := range s.list {
		e := f.head(now)
		if e.Size >= below || skip[e.ID] {
			continue
		}
		if r := e.place(now); best == nil || r.before(&bestRank) {
			best, bestRank = e, r
		}
	}
	if best == nil {
		return Item{}, false
	}
	return best.Item, true
}

// Blocked records that no replica had room for the request that goes next. It reports whether
// smaller ones may still go before it. They may until they have taken maxPassed times its size,
// so that a large request gets its room in the end.
func (q *Queue) Blocked(id uint64) (passable bool) {
	e, ok := q.items[id]
	if !ok {
		return true
	}
	q.services[e.Service].blocked = e
	return e.passed < maxPassed*e.Size
}

// Started removes a waiting request that goes to a replica, and charges its account and kind.
func (q *Queue) Started(now time.Time, id uint64) {
	e, ok := q.items[id]
	if !ok {
		return
	}
	if !e.late && !e.Returned {
		e.flow.kind.placed(true)
	}
	q.drop(e)
	q.services[e.Service].started(now, e.Item)
}

// StartedAtOnce charges the account and kind of a request that did not wait.
func (q *Queue) StartedAtOnce(now time.Time, it Item) {
	s := q.service(it.Service)
	s.arrive(now, it)
	s.started(now, it)
}

// started charges the account and kind of a request that goes to a replica.
func (s *service) started(now time.Time, it Item) {
	s.charge(now, it)
	s.taken.size += it.Size
	s.recovery.unanswered += it.Size
	if b := s.blocked; b != nil && b.Size > it.Size {
		b.passed += it.Size
	}
	s.prune()
}

// Remove removes a request that no longer waits.
func (q *Queue) Remove(id uint64) {
	if e, ok := q.items[id]; ok {
		q.drop(e)
	}
}

// Refused returns the Retry-After delay of a request that is refused although it was not
// refused on arrival, and removes it.
func (q *Queue) Refused(now time.Time, it Item) time.Duration {
	if e, ok := q.items[it.ID]; ok {
		q.drop(e)
	}
	return q.retryAfter(now, it)
}

// Waiting returns the number of requests that wait for a service, and the sum of their sizes.
func (q *Queue) Waiting(service string) (count int, size float64) {
	if s, ok := q.services[service]; ok {
		return s.waiting, s.size
	}
	return 0, 0
}

// Services returns the services for which requests wait.
func (q *Queue) Services() []string {
	var out []string
	for name, s := range q.services {
		if s.waiting > 0 {
			out = append(out, name)
		}
	}
	return out
}

// add puts a request into its flow.
func (q *Queue) add(now time.Time, s *service, it Item) *entry {
	q.seq++
	key := keyOf(it)
	f, ok := s.flows[key]
	if !ok {
		f = &flow{key: key, account: s.account(key.account, it.Weight), kind: s.kind(key.kind)}
		s.flows[key] = f
		f.index = len(s.list)
		s.list = append(s.list, f)
		f.account.flows++
		f.kind.flows++
	}
	e := &entry{Item: it, seq: q.seq, flow: f, density: it.density()}
	f.push(now, e)
	if q.items == nil {
		q.items = map[uint64]*entry{}
	}
	q.items[it.ID] = e
	q.bytes += it.Bytes
	s.waiting++
	s.size += it.Size
	return e
}

// drop removes a request from its flow.
func (q *Queue) drop(e *entry) {
	s, f := q.services[e.Service], e.flow
	f.remove(e)
	if s.blocked == e {
		s.blocked = nil
	}
	delete(q.items, e.ID)
	q.bytes -= e.Bytes
	s.waiting--
	s.size -= e.Size
	if s.waiting == 0 {
		s.size = 0
	}
	if f.empty() {
		delete(s.flows, f.key)
		last := s.list[len(s.list)-1]
		s.list[f.index], last.index = last, f.index
		s.list[len(s.list)-1] = nil
		s.list = s.list[:len(s.list)-1]
		f.account.flows--
		f.kind.flows--
	}
}

// leastUseful returns the request that is refused first.
func (q *Queue) leastUseful(now time.Time) *entry {
	var worst *entry
	var worstRank rank
	for _, s := range q.services {
		s.shares()
		for _, f := range s.list {
			e := f.last()
			if r := e.place(now); worst == nil || worstRank.before(&r) {
				worst, worstRank = e, r
			}
		}
	}
	return worst
}
