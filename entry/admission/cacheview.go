package admission

import (
	"context"
	"fmt"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/upstream"
)

// maxCachedBlocks is the maximum number of blocks in the view of one engine's cache.
const maxCachedBlocks = 20_000

// cacheView is a controller's view of the contents of an engine's prefix cache, built
// from the engine's events. It may be wrong and is used only as a hint: the engine
// looks the blocks up itself when the request runs.
type cacheView struct {
	incarnation string
	// next is the sequence number of the next event.
	next   uint64
	blocks map[block.Key]bool
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

// apply applies events in order. A new incarnation or a gap in the sequence numbers
// clears the view, since its blocks may have been lost or evicted meanwhile. Each
// incarnation numbers its own events, so those of a new one are read from the start.
func (c *cacheView) apply(evs cacheEvents) {
	if evs.Incarnation != c.incarnation {
		complete := c.next == 0
		*c = cacheView{incarnation: evs.Incarnation}
		if !complete {
			return
		}
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

// cachedBlocks returns how many of the leading blocks of keys are in the view of an
// upstream's cache; 0 if this instance is not its controller.
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
