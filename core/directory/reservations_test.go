package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReservedSpace compares the sum of the reserved space with one that is counted anew after each
// of many random steps.
func TestReservedSpace(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.UnixMilli(1_000_000)
	var r reservations
	part := func() Part { return Part{Salt: "s", ID: fmt.Sprint(rnd.IntN(12))} }
	for range 20_000 {
		now = now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
		r.expire(now)
		switch rnd.IntN(6) {
		case 0, 1, 2:
			r.add(part(), pendingSave{tokens: rnd.IntN(100), expires: now.Add(saveTimeout)})
		case 3:
			r.dropSave(part())
		case 4:
			r.dropPartial(part())
		case 5:
			partial := map[Part]partialWrite{}
			for range rnd.IntN(5) {
				partial[part()] = partialWrite{Partial: Partial{Reserved: rnd.IntN(100)}}
			}
			r.replacePartial(partial)
		}
		saves, writes := 0, 0
		for _, sv := range r.pending {
			is.True(now.Before(sv.expires))
			saves += roundToBlocks(sv.tokens)
		}
		for p, w := range r.partial {
			if _, ok := r.pending[p]; !ok {
				writes += roundToBlocks(w.Reserved)
			}
		}
		is.Equal(r.saves, saves)
		is.Equal(r.writes, writes)
	}
}

// BenchmarkLongPrompt measures planning the saves of a prompt of 1,900 parts, while those of others
// are pending.
func BenchmarkLongPrompt(b *testing.B) {
	d := &Directory{}
	d.Configure(map[string]StoreConfig{"a": {Capacity: 1_700_000}, "b": {Capacity: 1_700_000}})
	now := time.UnixMilli(1_000_000)
	for _, name := range []string{"a", "b"} {
		d.Replace(now, name, Listing{Epoch: 1, Last: 1})
	}
	for n := 0; b.Loop(); n++ {
		now = now.Add(50 * time.Millisecond)
		for i := range 1900 {
			d.Reserve(now, Part{Salt: "s", ID: fmt.Sprintf("%d-%d", n, i)}, 1, "r")
		}
	}
}
