package admission

import (
	"context"
	"fmt"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/upstream"
)

// maxCachedBlocks bounds the blocks that a sponsor remembers for one upstream.
const maxCachedBlocks = 20_000

// cacheView is a sponsor's belief in what an engine's prefix cache holds. It
// is only a hint: the engine itself finds out when the request runs.
type cacheView struct {
	incarnation string
	next        uint64
	blocks      map[block.Key]bool
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
func (a *Admission) pollCache(ctx context.Context, u upstream.Upstream, cu *controlledUpstream) {
	a.mu.Lock()
	next := cu.cache.next
	a.mu.Unlock()
	var evs cacheEvents
	if err := a.get(ctx, u, fmt.Sprintf("/cache-events?from=%d", next), &evs); err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	cu.cache.apply(evs)
}

// apply takes events in order. A new incarnation or a gap makes what was held
// doubtful, so it is forgotten.
func (c *cacheView) apply(evs cacheEvents) {
	if evs.Incarnation != c.incarnation {
		*c = cacheView{incarnation: evs.Incarnation, next: c.next}
	}
	if c.blocks == nil {
		c.blocks = map[block.Key]bool{}
	}
	for _, ev := range evs.Events {
		if c.next > 0 && ev.Seq > c.next {
			clear(c.blocks)
		}
		c.next = ev.Seq + 1
		if ev.Kind == "evicted" {
			delete(c.blocks, ev.Key)
			continue
		}
		if len(c.blocks) < maxCachedBlocks {
			c.blocks[ev.Key] = true
		}
	}
}

func (a *Admission) cachedBlocks(name string, keys []block.Key) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	cu, ok := a.controlled[name]
	if !ok {
		return 0
	}
	n := 0
	for n < len(keys) && cu.cache.blocks[keys[n]] {
		n++
	}
	return n
}
