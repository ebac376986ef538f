package waitqueue

import (
	"container/heap"
	"math"
	"time"
)

// kindKey is a kind of requests with a class of sizes. Classes have shares of their own, so
// that large requests are not passed over for ever by small ones of their kind.
type kindKey struct {
	kind  string
	class int
}

// sizeClass returns the class of a size. Sizes of one class differ by less than a factor of
// four.
func sizeClass(size float64) int {
	if size <= 1 {
		return 0
	}
	return int(math.Ceil(math.Log2(size) / 2))
}

// classSize is the largest size of the class of a size. The order goes by it, so that it is the
// same for all requests of a class.
func classSize(size float64) float64 {
	return float64(uint64(1) << min(2*sizeClass(size), 62))
}

type flowKey struct {
	account  string
	kind     kindKey
	priority int
}

// keyOf returns the flow of a request.
func keyOf(it Item) flowKey {
	return flowKey{it.Account, kindKey{it.Kind, sizeClass(it.Size)}, it.Priority}
}

// entry is a request in a flow.
type entry struct {
	Item
	seq     uint64
	flow    *flow
	density float64
	// index is the place in the heap, late true if that is the heap of late requests.
	index int
	late  bool
	// passed is the sum of the sizes of the smaller requests that started since this one was
	// blocked.
	passed float64
}

// flow has the waiting requests of one account, kind, class of sizes and priority.
type flow struct {
	key           flowKey
	account, kind *consumer
	// index is the place in the list of the service.
	index int
	// size is the sum of the sizes.
	size float64
	// inTime has the requests that could be served in time when they were last looked at,
	// and late the others.
	inTime, late entryHeap
}

// entryHeap orders the requests of a flow: those of returned callers first, then by the
// latest start.
type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Returned != b.Returned {
		return a.Returned
	}
	if !a.StartBy.Equal(b.StartBy) {
		return a.StartBy.Before(b.StartBy)
	}
	return a.seq < b.seq
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by package heap.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop is called by package heap.
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

func (f *flow) push(now time.Time, e *entry) {
	f.size += e.Size
	e.late = now.After(e.StartBy)
	heap.Push(f.heapOf(e), e)
}

func (f *flow) remove(e *entry) {
	f.size -= e.Size
	heap.Remove(f.heapOf(e), e.index)
}

func (f *flow) heapOf(e *entry) *entryHeap {
	if e.late {
		return &f.late
	}
	return &f.inTime
}

func (f *flow) empty() bool { return len(f.inTime)+len(f.late) == 0 }

// head returns the request that goes next. It sets those aside that can no longer be served in
// time, since they would delay the others.
func (f *flow) head(now time.Time) *entry {
	for len(f.inTime) > 0 {
		e := f.inTime[0]
		if !now.After(e.StartBy) {
			return e
		}
		heap.Pop(&f.inTime)
		e.late = true
		if !e.Returned {
			f.kind.placed(false)
		}
		heap.Push(&f.late, e)
	}
	if len(f.late) > 0 {
		return f.late[0]
	}
	return nil
}

// last returns a request that goes after most others of the flow. It is a leaf of the heap and
// not always the very last, which is found without a search.
func (f *flow) last() *entry {
	if n := len(f.late); n > 0 {
		return f.late[n-1]
	}
	return f.inTime[len(f.inTime)-1]
}
