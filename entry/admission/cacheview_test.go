package admission

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"crocusfold.dev/core/block"
)

// replica numbers the cache events of each incarnation from 1.
type replica struct {
	incarnation string
	events      []cacheEvent
}

func (r *replica) start(incarnation string) { *r = replica{incarnation: incarnation} }

func (r *replica) add(kind string, keys ...block.Key) {
	for _, k := range keys {
		r.events = append(r.events, cacheEvent{uint64(len(r.events) + 1), kind, k})
	}
}

func (r *replica) eventsFrom(next uint64) cacheEvents {
	i := slices.IndexFunc(r.events, func(ev cacheEvent) bool { return ev.Seq >= next })
	if i < 0 {
		return cacheEvents{Incarnation: r.incarnation}
	}
	return cacheEvents{r.incarnation, r.events[i:]}
}

func TestBlocksOfARestartedReplicaAreKnown(t *testing.T) {
	for _, after := range []int{1, 3, 5} {
		is := is.New(t)
		r, view := replica{}, cacheView{}
		poll := func() { view.apply(r.eventsFrom(view.next)) }
		r.start("a")
		r.add("stored", block.Key{1}, block.Key{2}, block.Key{3})
		poll()
		is.Equal(len(view.blocks), 3)
		r.start("b")
		for i := range after {
			r.add("stored", block.Key{9, byte(i)})
		}
		poll()
		poll()
		is.Equal(len(view.blocks), after) // blocks of the new incarnation
		is.True(!view.blocks[block.Key{1}])
		r.add("evicted", block.Key{9, 0})
		poll()
		is.Equal(len(view.blocks), after-1)
	}
}
