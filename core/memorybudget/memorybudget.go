// Package memorybudget decides how an instance divides its memory and descriptors among the
// connections of its callers: who gets memory, who waits unread, who is refused, and who is
// closed. It has no I/O and reads no clock.
package memorybudget

import (
	"cmp"
	"slices"
	"time"
)

// Cause is what memory is held for.
type Cause int

// The causes for which memory is held.
const (
	// Connection is an open connection, Head the header of a request, Body its body, and
	// Response what serving a request takes besides.
	Connection Cause = iota
	Head
	Body
	Response
	causes
)

// String returns the name of the cause in metrics.
func (c Cause) String() string {
	return [...]string{"connection", "head", "body", "response"}[c]
}

// Phase says whom a connection waits for.
type Phase int

// The phases of a connection.
const (
	// Idle connections have no request.
	Idle Phase = iota
	// Receiving connections wait for bytes of the caller.
	Receiving
	// Serving connections wait for a replica.
	Serving
	// Sending connections wait for the caller to read.
	Sending
)

// What things take, measured on the heap of Go 1.26 (BenchmarkHead in entry/callerconns): a
// connection has two buffers of 4 KiB, a goroutine and its state; a header line has an entry of
// a map, a slice and a string, once as received and once as sent on; a request that is served
// has the buffers and goroutines of the connection to the replica.
const (
	ConnectionCost = 16 << 10
	LineCost       = 160
	ResponseCost   = 32 << 10
)

// Shares and times of the budget.
const (
	// spareMB is the memory of an instance without callers: 18 to 40 MB were measured in
	// deployments.
	spareMB = 40
	// heapFactor is by how much a garbage-collected heap, with its garbage, exceeds what is in
	// use.
	heapFactor = 2
	// minBytes lets a request of the usual limits through on the smallest instance.
	minBytes = 8 << 20
	// smallBytes is the most that an ordinary request takes: its connection, response, head,
	// and a body of 64 KiB. A share of one in reserveShare is reserved for holders up to this.
	smallBytes   = 192 << 10
	reserveShare = 4
	// connectionShare and descriptorShare are the largest shares of memory and of descriptors,
	// as one in so many, for connections of callers. The other descriptors are for replicas,
	// peers and the store.
	connectionShare = 2
	descriptorShare = 2
	spareFDs        = 32
	// patience is how long a connection may wait for its caller while ordinary requests wait for
	// memory, and largePatience while only larger ones do. Only then it may be closed. The 4 MiB
	// of the largest body take 0.4 s at 100 Mbit/s and 3.4 s at 10.
	patience      = time.Second
	largePatience = 5 * time.Second
	// maxWait is how long a connection waits for memory before its request is refused. It is
	// shorter than the deadlines of most requests, so that the caller can go elsewhere.
	maxWait = 2 * time.Second
	// sweepInterval bounds how often the holders are searched for ones to close.
	sweepInterval = 100 * time.Millisecond
)

// Limits are those of the instance. The zero value does not limit anything.
type Limits struct {
	// MemoryMB is the memory of the machine in MB, and MaxFDs the number of descriptors.
	MemoryMB, MaxFDs int
	// Connections, if set, is the number of connections, whatever the others say.
	Connections int
}

// bytes returns how much callers may hold together; 0 is without limit.
func (l Limits) bytes() int64 {
	if l.MemoryMB <= 0 {
		return 0
	}
	return max(minBytes, int64(l.MemoryMB-spareMB)<<20/heapFactor)
}

// connections returns how many connections callers may have; 0 is without limit.
func (l Limits) connections() int {
	if l.Connections > 0 {
		return l.Connections
	}
	byMemory := int(l.bytes() / connectionShare / ConnectionCost)
	byFDs := 0
	if l.MaxFDs > 0 {
		byFDs = max(1, l.MaxFDs/descriptorShare-spareFDs)
	}
	switch {
	case byMemory == 0:
		return byFDs
	case byFDs == 0:
		return byMemory
	}
	return min(byMemory, byFDs)
}

// Holder is a connection. Its methods are those of Budget.
type Holder struct {
	id     uint64
	held   [causes]int64
	total  int64
	served bool
	phase  Phase
	// since is when the phase began.
	since time.Time
	// wants is what the holder waits for, if waiting.
	waiting bool
	wants   int64
	cause   Cause
	waits   time.Time
	closing bool
}

// Held returns the bytes that the holder has.
func (h *Holder) Held() int64 { return h.total }

// Budget divides the memory. The zero value has no limits. It is not safe for concurrent use.
type Budget struct {
	limits  Limits
	held    [causes]int64
	total   int64
	holders map[*Holder]struct{}
	// queue has the holders that wait for memory, in their order.
	queue []*Holder
	// closing is what the connections hold that are being closed.
	closing int64
	nextID  uint64
	swept   time.Time
}

// SetLimits replaces the limits. They apply to what is requested from now on.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// Held returns the bytes that are held for a cause.
func (b *Budget) Held(c Cause) int64 { return b.held[c] }

// Connections returns the number of open connections.
func (b *Budget) Connections() int { return len(b.holders) }

// Waiting returns the number of connections that wait for memory.
func (b *Budget) Waiting() int { return len(b.queue) }

// Open adds a connection. If there are too many, evict is the one to close: the oldest that
// never had a response, else the one that is idle for the longest time, else the one whose caller
// has not read for the longest time. If all are in use, it is the new one.
func (b *Budget) Open(now time.Time) (opened, evict *Holder) {
	if b.holders == nil {
		b.holders = map[*Holder]struct{}{}
	}
	b.nextID++
	h := &Holder{id: b.nextID, since: now}
	limit := b.limits.connections()
	full := limit > 0 && len(b.holders) >= limit
	if full {
		evict = b.leastUseful(now)
	}
	b.holders[h] = struct{}{}
	b.add(h, Connection, ConnectionCost)
	if full && evict == nil {
		evict = h
	}
	if evict != nil {
		b.markClosing(evict)
	}
	return h, evict
}

// leastUseful returns the connection to close in favour of a new one, or nil.
func (b *Budget) leastUseful(now time.Time) *Holder {
	var worst *Holder
	worstUse := inUse
	for h := range b.holders {
		u := h.use(now)
		if h.closing || u == inUse {
			continue
		}
		if u < worstUse || u == worstUse && (h.since.Before(worst.since) || h.since.Equal(worst.since) && h.id < worst.id) {
			worst, worstUse = h, u
		}
	}
	return worst
}

// use says how useful a connection is when there are too many, in ascending order.
type use int

const (
	unused use = iota
	kept
	notRead
	inUse
)

func (h *Holder) use(now time.Time) use {
	switch {
	case h.phase <= Receiving && !h.served:
		return unused
	case h.phase == Idle:
		return kept
	case h.phase == Sending && now.Sub(h.since) >= patience:
		return notRead
	}
	return inUse
}

// Decision is what becomes of a reservation.
type Decision interface{ decision() }

// Granted says that the memory was given.
type Granted struct{}

// Wait says that the holder is queued. Its connection must not be read meanwhile.
type Wait struct{}

// Refused says that the holder can't get so much at all.
type Refused struct{}

func (Granted) decision() {}
func (Wait) decision()    {}
func (Refused) decision() {}

// Try gives a holder memory that is free, and reports whether it did. Unlike Reserve, it needs no
// time, so that the usual case reads no clock.
func (b *Budget) Try(h *Holder, c Cause, bytes int64) bool {
	ok := !h.closing && b.fits(h, bytes)
	if ok {
		b.add(h, c, bytes)
	}
	return ok
}

// Reserve asks for memory for a holder.
func (b *Budget) Reserve(now time.Time, h *Holder, c Cause, bytes int64) Decision {
	switch {
	case b.Try(h, c, bytes):
		return Granted{}
	case h.closing, h.total+bytes > b.limitFor(h, bytes):
		return Refused{}
	}
	h.waiting, h.wants, h.cause, h.waits = true, bytes, c, now
	b.queue = append(b.queue, h)
	return Wait{}
}

// Charge records memory that a holder has already.
func (b *Budget) Charge(h *Holder, c Cause, bytes int64) { b.add(h, c, bytes) }

// fits reports whether a holder may have more. Holders over smallBytes must leave the reserve.
func (b *Budget) fits(h *Holder, bytes int64) bool {
	limit := b.limitFor(h, bytes)
	return limit == 0 || b.total+bytes <= limit
}

// limitFor returns what all holders may have together after a holder has got more.
func (b *Budget) limitFor(h *Holder, bytes int64) int64 {
	limit := b.limits.bytes()
	if h.total+bytes > smallBytes {
		limit -= limit / reserveShare
	}
	return limit
}

func (b *Budget) add(h *Holder, c Cause, bytes int64) {
	h.held[c] += bytes
	h.total += bytes
	b.held[c] += bytes
	b.total += bytes
	if h.closing {
		b.closing += bytes
	}
}

// Release returns what a holder has for a cause.
func (b *Budget) Release(h *Holder, c Cause) { b.add(h, c, -h.held[c]) }

// SetPhase records whom a connection waits for. A connection that becomes idle after a request
// has had a response. The time does not matter for Serving.
func (b *Budget) SetPhase(now time.Time, h *Holder, p Phase) {
	if p == Idle && h.phase != Idle {
		h.served = true
	}
	h.phase, h.since = p, now
}

// Close removes a connection with all that it holds.
func (b *Budget) Close(h *Holder) {
	if _, ok := b.holders[h]; !ok {
		return
	}
	for c := range causes {
		b.Release(h, c)
	}
	b.Abandon(h)
	delete(b.holders, h)
}

// Abandon ends the waiting of a holder.
func (b *Budget) Abandon(h *Holder) {
	if h.waiting {
		h.waiting = false
		b.queue = slices.DeleteFunc(b.queue, func(other *Holder) bool { return other == h })
	}
}

// Grant gives memory that has become free to the holders that wait, in their order, and
// returns these. One that does not fit does not hold up smaller ones.
func (b *Budget) Grant(now time.Time) []*Holder {
	var granted []*Holder
	for _, h := range b.queue {
		if b.fits(h, h.wants) {
			b.add(h, h.cause, h.wants)
			h.waiting = false
			// The time in the queue is not the caller's.
			h.since = h.since.Add(now.Sub(h.waits))
			granted = append(granted, h)
		}
	}
	if len(granted) > 0 {
		b.queue = slices.DeleteFunc(b.queue, func(h *Holder) bool { return !h.waiting })
	}
	return granted
}

// Sweep returns the connections to close and the ones to refuse, while others wait for memory.
// Closed are those that wait for their callers, the largest and slowest first, as many as
// are needed for the holders that wait. Refused are those that have waited for maxWait.
func (b *Budget) Sweep(now time.Time) (closed, refused []*Holder) {
	if len(b.queue) == 0 || now.Sub(b.swept) < sweepInterval {
		return nil, nil
	}
	b.swept = now
	for _, h := range slices.Clone(b.queue) {
		if now.Sub(h.waits) >= maxWait {
			b.Abandon(h)
			refused = append(refused, h)
		}
	}
	if len(b.queue) == 0 {
		return nil, refused
	}
	first, patience := b.firstWaiting()
	need := b.total - b.closing + first.wants - b.limitFor(first, first.wants)
	if need <= 0 {
		return nil, refused
	}
	var stalled []*Holder
	for h := range b.holders {
		// A connection that is much smaller than what waits is not closed for it.
		if h.stalled(now, patience) && h != first && h.total >= (first.total+first.wants)/2 {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(x, y *Holder) int {
		return cmp.Or(cmp.Compare(y.weight(now), x.weight(now)), cmp.Compare(x.id, y.id))
	})
	for _, h := range stalled {
		if need <= 0 {
			break
		}
		need -= h.total
		b.markClosing(h)
		closed = append(closed, h)
	}
	return closed, refused
}

// firstWaiting returns the holder to make room for, and how long the others may have waited for
// their callers: the first small one, or else the first. Large ones are often slow themselves.
func (b *Budget) firstWaiting() (*Holder, time.Duration) {
	for _, h := range b.queue {
		if h.total+h.wants <= smallBytes {
			return h, patience
		}
	}
	return b.queue[0], largePatience
}

// stalled reports whether a connection holds memory beyond its own and waits for its caller.
func (h *Holder) stalled(now time.Time, patience time.Duration) bool {
	caller := h.phase == Receiving || h.phase == Sending
	return caller && !h.closing && !h.waiting && h.total > ConnectionCost && now.Sub(h.since) >= patience
}

// weight orders the connections to close by their size and by how long they wait.
func (h *Holder) weight(now time.Time) float64 {
	return float64(h.total) * now.Sub(h.since).Seconds()
}

func (b *Budget) markClosing(h *Holder) {
	if !h.closing {
		h.closing = true
		b.closing += h.total
	}
}
