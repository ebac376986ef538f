package memorybudget

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// small is the budget of an instance with 112 MB, the smallest of the deployments: 36 MiB, of
// which large holders leave 9.
var small = Limits{MemoryMB: 112, MaxFDs: 4100}

// TestDecisions checks what becomes of reservations in common situations, among them those in
// which an instance ran out of memory, or in which its ordinary callers got nothing.
func TestDecisions(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits Limits
		crowd  int
		each   int64
		phase  Phase
		wants  int64
		want   Decision
		closed int
		age    time.Duration
	}{
		{"calm, the largest head", small, 0, 0, Idle, 360 << 10, Granted{}, 0, 2 * patience},
		{"calm, the largest body", small, 0, 0, Idle, 4 << 20, Granted{}, 0, 2 * patience},
		{"calm, smallest instance", Limits{MemoryMB: 1}, 0, 0, Idle, 4 << 20, Granted{}, 0, 2 * patience},
		{"more than there is", small, 0, 0, Idle, 100 << 20, Refused{}, 0, 2 * patience},
		{"no limits", Limits{}, 100, 1 << 30, Receiving, 1 << 30, Granted{}, 0, 2 * patience},
		{"large bodies leave the reserve", small, 6, 4 << 20, Receiving, 64 << 10, Granted{}, 0, 2 * patience},
		{"large bodies fill their share", small, 6, 4 << 20, Receiving, 4 << 20, Wait{}, 1, largePatience},
		{"large bodies may still arrive", small, 6, 4 << 20, Receiving, 4 << 20, Wait{}, 0, 2 * patience},
		{"an ordinary request needs their room", small, 9, 4<<20 - 16<<10, Receiving, 64 << 10, Wait{}, 1, 2 * patience},
		{"replicas have the requests", small, 6, 4 << 20, Serving, 4 << 20, Wait{}, 0, 2 * patience},
		{"responses are not read", small, 658, 40 << 10, Sending, 64 << 10, Wait{}, 2, 2 * patience},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b Budget
			b.SetLimits(c.limits)
			for range c.crowd {
				h, _ := b.Open(start)
				b.Charge(h, Body, c.each)
				b.SetPhase(start, h, c.phase)
			}
			now := start.Add(c.age)
			h, _ := b.Open(now)
			b.SetPhase(now, h, Receiving)
			if got := b.Reserve(now, h, Body, c.wants); got != c.want {
				t.Errorf("decision: got %T, want %T", got, c.want)
			}
			closed, _ := b.Sweep(now)
			if len(closed) != c.closed {
				t.Errorf("closed %d connections, want %d", len(closed), c.closed)
			}
		})
	}
}

// TestLargestAndSlowestAreClosedFirst guards against closing a small or new connection for
// what a large or old one holds.
func TestLargestAndSlowestAreClosedFirst(t *testing.T) {
	var b Budget
	b.SetLimits(Limits{MemoryMB: 60})
	open := func(bytes int64, age time.Duration) *Holder {
		h, _ := b.Open(start)
		b.Charge(h, Body, bytes)
		b.SetPhase(start.Add(-age), h, Receiving)
		return h
	}
	names := map[*Holder]string{
		open(1<<20, 10*time.Second): "small-old", open(3<<20, 10*time.Second): "large-old",
		open(3<<20, 5*time.Second): "large", open(2<<20, 0): "new",
	}
	waiting, served := open(0, 0), open(0, 0)
	b.SetPhase(start, served, Serving)
	if _, ok := b.Reserve(start, waiting, Body, 2<<20).(Wait); !ok {
		t.Fatal("the reservation does not wait")
	}
	var order []string
	for now := start; len(order) < 3 && now.Before(start.Add(time.Second)); now = now.Add(sweepInterval) {
		closed, _ := b.Sweep(now)
		for _, h := range closed {
			order = append(order, names[h])
			// What it held is taken by requests that are served, so that another one has to go.
			b.Charge(served, Body, h.Held())
			b.Close(h)
		}
	}
	if got, want := strings.Join(order, " "), "large-old large small-old"; got != want {
		t.Errorf("closed: got %s, want %s", got, want)
	}
}

// TestWaitingEnds checks that what waits gets memory once it is free, in order, and that it is
// refused after maxWait.
func TestWaitingEnds(t *testing.T) {
	var b Budget
	b.SetLimits(small)
	full, _ := b.Open(start)
	b.Charge(full, Body, 36<<20)
	first, _ := b.Open(start)
	second, _ := b.Open(start)
	for _, h := range []*Holder{first, second} {
		if got := b.Reserve(start, h, Body, 20<<20); got != (Wait{}) {
			t.Fatalf("decision: got %T, want Wait", got)
		}
	}
	b.Release(full, Body)
	if granted := b.Grant(start); len(granted) != 1 || granted[0] != first {
		t.Errorf("granted %d holders, want the first", len(granted))
	}
	if _, refused := b.Sweep(start.Add(maxWait)); len(refused) != 1 || refused[0] != second {
		t.Errorf("refused %d holders, want the second", len(refused))
	}
	if b.Waiting() != 0 {
		t.Errorf("%d holders wait, want none", b.Waiting())
	}
}

// TestConnections checks that a new connection takes the place of one that never had a
// response, then of an idle one, then of one whose response is not read, and never of one with a
// request that is served.
func TestConnections(t *testing.T) {
	var b Budget
	b.SetLimits(Limits{Connections: 4})
	unread, _ := b.Open(start)
	b.SetPhase(start, unread, Sending)
	serving, _ := b.Open(start)
	b.SetPhase(start, serving, Serving)
	idle, _ := b.Open(start)
	b.SetPhase(start, idle, Serving)
	b.SetPhase(start.Add(time.Minute), idle, Idle)
	unused, _ := b.Open(start.Add(2 * time.Minute))
	for i, want := range []*Holder{unused, idle, unread} {
		h, evicted := b.Open(start.Add(3 * time.Minute))
		if evicted != want {
			t.Errorf("connection %d does not replace the expected one", i)
		}
		b.Close(evicted)
		b.SetPhase(start.Add(3*time.Minute), h, Serving)
	}
	if h, evicted := b.Open(start.Add(4 * time.Minute)); evicted != h {
		t.Error("a connection in use was closed for a new one")
	}
}

// TestNeverOverTheBudget draws histories of connections. What was granted never exceeds the
// budget, the sums agree with the holders, and one small holder always fits if all others are
// closed when asked for.
func TestNeverOverTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		limits := Limits{MemoryMB: rapid.IntRange(1, 536).Draw(t, "memory"), MaxFDs: rapid.IntRange(100, 8192).Draw(t, "fds")}
		b.SetLimits(limits)
		now := start
		var open []*Holder
		drop := func(h *Holder) {
			b.Close(h)
			for i := range open {
				if open[i] == h {
					open = append(open[:i], open[i+1:]...)
					return
				}
			}
		}
		pick := func() *Holder { return open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")] }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 4).Draw(t, "step")
			switch {
			case step == 0 || len(open) == 0:
				h, evicted := b.Open(now)
				open = append(open, h)
				if evicted != nil {
					drop(evicted)
				}
			case step == 1:
				if h := pick(); !h.waiting {
					b.Reserve(now, h, Body, int64(rapid.IntRange(1, 4<<20).Draw(t, "bytes")))
				}
			case step == 2:
				if h := pick(); !h.waiting {
					b.SetPhase(now, h, Phase(rapid.IntRange(0, 3).Draw(t, "phase")))
				}
			case step == 3:
				b.Release(pick(), Body)
				b.Grant(now)
			default:
				closed, _ := b.Sweep(now)
				for _, h := range closed {
					drop(h)
				}
				b.Grant(now)
			}
			check(t, &b, limits)
		}
		for _, h := range append([]*Holder(nil), open...) {
			drop(h)
		}
		if b.total != 0 || b.closing != 0 || len(b.queue) != 0 || len(b.holders) != 0 {
			t.Fatalf("after all connections are closed, %d bytes are held, %d of them closing, %d wait", b.total, b.closing, len(b.queue))
		}
	})
}

func check(t *rapid.T, b *Budget, limits Limits) {
	var total, closing int64
	waiting := 0
	for h := range b.holders {
		total += h.total
		if h.closing {
			closing += h.total
		}
		if h.waiting {
			waiting++
		}
	}
	if total != b.total || closing != b.closing || waiting != len(b.queue) {
		t.Fatalf("the sums differ: %d and %d bytes, %d and %d closing, %d and %d wait", total, b.total, closing, b.closing, waiting, len(b.queue))
	}
	if total > limits.bytes() {
		t.Fatalf("%d bytes are held of %d", total, limits.bytes())
	}
	if n := len(b.holders); n > limits.connections() {
		t.Fatalf("%d connections are open of %d", n, limits.connections())
	}
}

// BenchmarkRequest measures the calls of one request beside a number of connections.
func BenchmarkRequest(bench *testing.B) {
	for _, n := range []int{1, 1000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			var b Budget
			b.SetLimits(Limits{MemoryMB: 536, MaxFDs: 8192})
			for range n - 1 {
				b.Open(start)
			}
			h, _ := b.Open(start)
			for bench.Loop() {
				b.SetPhase(start, h, Receiving)
				b.Reserve(start, h, Head, 4<<10)
				b.SetPhase(start, h, Serving)
				b.Reserve(start, h, Body, 4<<10)
				b.Reserve(start, h, Response, ResponseCost)
				for c := Head; c < causes; c++ {
					b.Release(h, c)
				}
				b.SetPhase(start, h, Idle)
			}
		})
	}
}
