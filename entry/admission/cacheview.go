package admission

import (
	"context"
	"fmt"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/upstream"
)

// maxHeld bounds the blocks that a sponsor remembers for one upstream.
const maxHeld = 20_000

// cacheView is a sponsor's belief in what an engine's prefix cache holds. It
// is only a hint: the engine itself finds out when the request runs.
type cacheView struct {
	incarnation string
	next        uint64
	held        map[block.Key]bool
}

type cacheEvent struct {
	Seq  uint64    `json:"seq"`
	Kind string    `json:"kind"`
	Key  block.Key `json:"key"`
}

type cacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []cacheEvent `json:"events"`
}

// pollCache reads the engine's cache events since the last poll.
func (f *Admission) pollCache(ctx context.Context, u upstream.Upstream, sp *sponsored) {
	f.mu.Lock()
	next := sp.events.next
	f.mu.Unlock()
	var evs cacheEvents
	if err := f.get(ctx, u, fmt.Sprintf("/cache-events?from=%d", next), &evs); err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	sp.events.apply(evs)
}

// apply takes events in order. A new incarnation or a gap makes what was held
// doubtful, so it is forgotten.
func (c *cacheView) apply(evs cacheEvents) {
	if evs.Incarnation != c.incarnation {
		*c = cacheView{incarnation: evs.Incarnation, next: c.next}
	}
	if c.held == nil {
		c.held = map[block.Key]bool{}
	}
	for _, ev := range evs.Events {
		if c.next > 0 && ev.Seq > c.next {
			clear(c.held)
		}
		c.next = ev.Seq + 1
		if ev.Kind == "evicted" {
			delete(c.held, ev.Key)
			continue
		}
		if len(c.held) < maxHeld {
			c.held[ev.Key] = true
		}
	}
}

func (f *Admission) held(name string, keys []block.Key) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sp, ok := f.ramps[name]
	if !ok {
		return 0
	}
	n := 0
	for n < len(keys) && sp.events.held[keys[n]] {
		n++
	}
	return n
}
