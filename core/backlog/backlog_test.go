package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReceivers checks that each receiver gets each item once, unless it has lost them, and
// that items expire for all.
func TestReceivers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var b Backlog[int]
	for n := range 5 {
		b.Add(start.Add(time.Duration(n)*time.Second), 100, n)
	}
	items, next := b.Missing(0, 3)
	is.Equal(items, []int{0, 1, 2})
	b.Received(0, next)
	items, _ = b.Missing(0, 3)
	is.Equal(items, []int{3, 4})
	items, _ = b.Missing(1, 100)
	is.Equal(items, []int{0, 1, 2, 3, 4}) // the other receiver has none
	b.Expire(start.Add(4 * time.Second))
	items, next = b.Missing(0, 100)
	is.Equal(items, []int{4})
	b.Received(0, next)
	items, _ = b.Missing(0, 100)
	is.Equal(len(items), 0)
	b.Lost(0)
	items, _ = b.Missing(0, 100)
	is.Equal(items, []int{4})
}

// TestLimit checks that the memory is bounded, and that what a receiver reports of items
// that were dropped meanwhile is taken.
func TestLimit(t *testing.T) {
	is := is.New(t)
	var b Backlog[int]
	for n := range 8 {
		b.Add(time.Unix(0, 0), 8, n)
	}
	_, next := b.Missing(0, 4)
	for n := range 1000 {
		b.Add(time.Unix(0, 0), 8, 8+n)
	}
	is.True(len(b.items) <= 8)
	b.Received(0, next)
	items, _ := b.Missing(0, 100)
	is.Equal(items[len(items)-1], 1007)
	is.Equal(len(items), len(b.items))
}
