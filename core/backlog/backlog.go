// Package backlog keeps the latest items of a sequence, until they expire, and how far each
// of several receivers has got them.
package backlog

import "time"

// Backlog is a sequence of items for receivers that are numbered from 0. The zero value is
// empty. It is not safe for concurrent use.
type Backlog[T any] struct {
	items []dated[T]
	// first is the number of the first item that is kept.
	first uint64
	// received has, by receiver, the number of the first item that it lacks.
	received []uint64
}

type dated[T any] struct {
	at   time.Time
	item T
}

// Add appends an item. If there are more than limit, the oldest half is dropped.
func (b *Backlog[T]) Add(now time.Time, limit int, item T) {
	b.items = append(b.items, dated[T]{now, item})
	if len(b.items) > limit {
		b.drop(len(b.items) / 2)
	}
}

// Expire drops the items that were added before a time.
func (b *Backlog[T]) Expire(before time.Time) {
	n := 0
	for n < len(b.items) && b.items[n].at.Before(before) {
		n++
	}
	b.drop(n)
}

func (b *Backlog[T]) drop(n int) {
	if n == 0 {
		return
	}
	// The rest is copied, so that the memory of the dropped items is freed.
	b.items = append([]dated[T](nil), b.items[n:]...)
	b.first += uint64(n)
}

// Missing returns up to limit items that a receiver lacks, the oldest first, and the number
// to pass to Received once it has them.
func (b *Backlog[T]) Missing(receiver, limit int) (items []T, next uint64) {
	next = b.first
	if receiver < len(b.received) {
		next = max(next, b.received[receiver])
	}
	for _, d := range b.items[next-b.first:] {
		if len(items) == limit {
			break
		}
		items = append(items, d.item)
		next++
	}
	return items, next
}

// Received records that a receiver has all items before the one with the number next.
func (b *Backlog[T]) Received(receiver int, next uint64) {
	for receiver >= len(b.received) {
		b.received = append(b.received, 0)
	}
	b.received[receiver] = max(b.received[receiver], next)
}

// Lost records that a receiver has lost the items that it had.
func (b *Backlog[T]) Lost(receiver int) {
	if receiver < len(b.received) {
		b.received[receiver] = 0
	}
}
