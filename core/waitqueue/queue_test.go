package waitqueue

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusfold.dev/script"
)

// t0 is when each test begins.
var t0 = time.Unix(1_000_000, 0)

// TestQueue runs the commands
//
//	at MS                       sets the time
//	bound COUNT BYTES           sets the bounds
//	enter ID [NAME=VALUE]...    of account, kind, priority, size, bytes, by (the latest start in
//	                            ms), deadline (ms) and returned; prints what was decided
//	next [BELOW]                prints the request that goes next
//	start ID, remove ID         have it start, or no longer wait
//	late ID                     refuses it late; prints the Retry-After delay
//	blocked ID                  prints whether smaller ones may go before it
//	observe HELD PEERS COUNT    sets what is held, what waits at peers and the instances
//	finished COUNT SIZE MS      has requests end
//	take ID SIZE FREE           prints whether a request may take free capacity
//	recover TOTAL               begins a recovery of replicas of a total capacity
//	answered SIZE, allows ID SIZE   has a response begin, prints whether a request may be sent
//	returned KEY, refused KEY   ask for and remember the key of a refused request
//	timeout MS [COUNT]          prints whether the last caller seems to have come back
func TestQueue(t *testing.T) {
	script.Run(t, "testdata/queue.txt", func(t *testing.T) func([]string) []string {
		var q Queue
		var returns Returns
		var timeouts Timeouts
		items, now := map[string]Item{}, t0
		return func(args []string) []string {
			num := func(i int) float64 {
				v, err := strconv.ParseFloat(args[i], 64)
				if err != nil {
					t.Fatal(err)
				}
				return v
			}
			switch args[0] {
			case "at":
				now = t0.Add(millis(num(1)))
			case "bound":
				q.MaxCount, q.MaxBytes = int(num(1)), int(num(2))
			case "enter":
				it := parseItem(t, now, args[1:])
				items[args[1]] = it
				decision, evicted := q.Enter(now, it)
				var out []string
				for _, e := range evicted {
					out = append(out, fmt.Sprintf("evicted %d", e.ID))
				}
				if r, ok := decision.(Refuse); ok {
					return append(out, fmt.Sprintf("%s %v", r.Reason, r.RetryAfter.Round(time.Millisecond)))
				}
				return append(out, "waits")
			case "next":
				below := math.Inf(1)
				if len(args) > 1 {
					below = num(1)
				}
				if it, ok := q.Next(now, "s", below, nil); ok {
					return []string{strconv.FormatUint(it.ID, 10)}
				}
				return []string{"none"}
			case "start":
				q.Started(now, items[args[1]].ID)
			case "remove":
				q.Remove(items[args[1]].ID)
			case "late":
				return []string{q.Refused(now, items[args[1]]).Round(time.Millisecond).String()}
			case "blocked":
				return []string{strconv.FormatBool(q.Blocked(items[args[1]].ID))}
			case "observe":
				q.Observe(now, "s", Capacity{Held: num(1), PeersWaiting: num(2), Instances: int(num(3))})
			case "finished":
				for range int(num(1)) {
					q.Finished("s", num(2), millis(num(3)))
				}
			case "take":
				return []string{strconv.FormatBool(q.MayTake(now, Item{ID: uint64(num(1)), Service: "s", Size: num(2)}, num(3)))}
			case "recover":
				q.Recover(now, "s", num(1))
			case "answered":
				q.Answered("s", num(1), true)
			case "allows":
				return []string{strconv.FormatBool(q.RecoveryAllows(now, Item{ID: uint64(num(1)), Service: "s", Size: num(2)}))}
			case "refused":
				returns.Add(now, time.Second, uint64(num(1)))
			case "returned":
				return []string{strconv.FormatBool(returns.Take(now, uint64(num(1))))}
			case "timeout":
				back := false
				for n := 1; n == 1 || len(args) > 2 && n <= int(num(2)); n++ {
					back = timeouts.Observe(millis(num(1)))
				}
				return []string{strconv.FormatBool(back)}
			}
			return nil
		}
	})
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// parseItem returns the request that the arguments of enter describe.
func parseItem(t *testing.T, now time.Time, args []string) Item {
	id, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	it := Item{ID: id, Service: "s", Account: "a", Kind: "k", Size: 1, StartBy: now.Add(time.Second), Deadline: now.Add(10 * time.Second)}
	for _, arg := range args[1:] {
		name, value, _ := strings.Cut(arg, "=")
		n, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "account":
			it.Account = value
		case "kind":
			it.Kind = value
		case "priority":
			it.Priority = int(n)
		case "size":
			it.Size = n
		case "bytes":
			it.Bytes = int(n)
		case "by":
			it.StartBy = t0.Add(millis(n))
		case "deadline":
			it.Deadline = t0.Add(millis(n))
		case "returned":
			it.Returned = true
		default:
			t.Fatalf("unknown field %q", name)
		}
	}
	it.GiveUp = it.StartBy
	return it
}

// load is a random load on a service with a capacity of 100 per second.
type load struct {
	accounts []account
	kinds    []Item
}

// account sends requests of random kinds, of a total size per second.
type account struct {
	name          string
	weight, rate  float64
	owed          float64
	served, asked float64
}

func drawLoad(t *rapid.T) *load {
	l := &load{}
	for i := range rapid.IntRange(2, 8).Draw(t, "accounts") {
		l.accounts = append(l.accounts, account{
			name: fmt.Sprint("a", i), weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"), rate: rapid.Float64Range(5, 200).Draw(t, "rate"),
		})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "kinds") {
		l.kinds = append(l.kinds, Item{
			Service: "s", Kind: fmt.Sprint("k", i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Size: rapid.Float64Range(0.5, 8).Draw(t, "size"),
		})
	}
	return l
}

// playTime is several times the half-life of what accounts and kinds consumed.
const playTime = 16 * time.Second

// play has the queue serve the load for some seconds, and returns what was served by kind.
func (l *load) play(t *rapid.T, q *Queue) map[string]float64 {
	const tick, rate, patience = 40 * time.Millisecond, 100.0, 2 * time.Second
	served, budget, next := map[string]float64{}, 0.0, 0
	waiting := map[uint64]Item{}
	for now := t0; now.Before(t0.Add(playTime)); now = now.Add(tick) {
		for i := range l.accounts {
			a := &l.accounts[i]
			a.owed += a.rate * tick.Seconds()
			for it := l.kinds[next%len(l.kinds)]; a.owed >= it.Size; it = l.kinds[next%len(l.kinds)] {
				next++
				a.owed -= it.Size
				a.asked += it.Size
				it.ID, it.Account, it.Weight = uint64(next), a.name, a.weight
				it.StartBy, it.GiveUp = now.Add(patience), now.Add(patience)
				decision, evicted := q.Enter(now, it)
				if _, ok := decision.(Wait); ok {
					waiting[it.ID] = it
				}
				for _, e := range evicted {
					delete(waiting, e.ID)
				}
			}
		}
		for budget = min(budget+rate*tick.Seconds(), rate); ; {
			it, ok := q.Next(now, "s", math.Inf(1), nil)
			if !ok || it.Size > budget {
				break
			}
			budget -= it.Size
			q.Started(now, it.ID)
			delete(waiting, it.ID)
			served[it.Kind] += it.Size
			for i := range l.accounts {
				if l.accounts[i].name == it.Account {
					l.accounts[i].served += it.Size
				}
			}
		}
		for id, it := range waiting {
			if now.After(it.GiveUp) {
				q.Refused(now, it)
				delete(waiting, id)
			}
		}
		if len(q.items) != len(waiting) {
			t.Fatalf("%d requests wait, the queue has %d", len(waiting), len(q.items))
		}
	}
	return served
}

// TestNothingStarves guards against a kind, a size or an account that gets nothing because
// others are more urgent, smaller or more numerous.
func TestNothingStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, q := drawLoad(t), &Queue{}
		served := l.play(t, q)
		total := 0.0
		for _, size := range served {
			total += size
		}
		asked, weights := 0.0, 0.0
		for _, a := range l.accounts {
			asked, weights = asked+a.asked, weights+a.weight
		}
		for _, k := range l.kinds {
			// Requests of all kinds come equally often, so that small ones ask for less.
			sum := 0.0
			for _, o := range l.kinds {
				sum += o.Size
			}
			want := 0.8 * min(kindGuarantee*total/float64(len(l.kinds)), asked*k.Size/sum)
			if served[k.Kind] < want-2*k.Size {
				t.Fatalf("kind %s of priority %d and size %.1f: %.0f of %.0f served, want %.0f", k.Kind, k.Priority, k.Size, served[k.Kind], total, want)
			}
		}
		for _, a := range l.accounts {
			want := 0.8 * min(accountGuarantee*total*a.weight/weights, a.asked)
			if a.served < want-16 {
				t.Fatalf("account %s of weight %.1f: %.0f of %.0f served, want %.0f", a.name, a.weight, a.served, a.asked, want)
			}
		}
	})
}

// TestLargeAccountLeavesSharesOfOthers guards against an account that fills the queue and
// takes what others are entitled to: with one kind, an account that asks for less than its
// share gets all of that.
func TestLargeAccountLeavesSharesOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Float64Range(0.5, 4).Draw(t, "size")
		l := &load{kinds: []Item{{Service: "s", Kind: "k", Size: size}}}
		n := rapid.IntRange(1, 6).Draw(t, "small accounts")
		for i := range n {
			l.accounts = append(l.accounts, account{name: fmt.Sprint("small", i), weight: 1, rate: 0.8 * 100 / float64(n+1)})
		}
		l.accounts = append(l.accounts, account{name: "large", weight: 1, rate: rapid.Float64Range(200, 800).Draw(t, "rate")})
		l.play(t, &Queue{})
		total := 0.0
		for _, a := range l.accounts[:n] {
			total += a.served
			if a.served < 0.95*a.asked-2*size {
				t.Fatalf("%s: %.0f of %.0f served", a.name, a.served, a.asked)
			}
		}
		// What the small ones leave is lent.
		if large := l.accounts[n].served; large < 0.95*(100*playTime.Seconds()-total)-100 {
			t.Fatalf("the large account got %.0f beside %.0f of the others", large, total)
		}
	})
}

// TestOrderAndBounds guards against a request that goes before one with a better place, and
// against memory that grows with the callers, under random operations.
func TestOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{MaxCount: rapid.IntRange(1, 60).Draw(t, "count"), MaxBytes: 4000}
		var returns Returns
		now, ids := t0, []uint64{}
		for id := uint64(1); id <= 150; id++ {
			now = now.Add(millis(rapid.Float64Range(0, 30).Draw(t, "pause")))
			it := Item{
				ID: id, Service: "s", Account: rapid.StringMatching("[a-z]{1,2}").Draw(t, "account"), Kind: rapid.StringMatching("[a-c]").Draw(t, "kind"),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Size: rapid.Float64Range(0.1, 50).Draw(t, "size"), Bytes: rapid.IntRange(0, 300).Draw(t, "bytes"),
				StartBy: now.Add(millis(rapid.Float64Range(0, 900).Draw(t, "by"))), Returned: rapid.Bool().Draw(t, "returned"),
			}
			it.GiveUp, it.Deadline = it.StartBy, now.Add(time.Second)
			q.Observe(now, "s", Capacity{Held: 100, PeersWaiting: 10, Instances: 3})
			q.Finished("s", it.Size, 100*time.Millisecond)
			if d, _ := q.Enter(now, it); d == (Wait{}) {
				ids = append(ids, id)
			} else if r := d.(Refuse); r.RetryAfter <= 0 || r.RetryAfter > time.Second/3 {
				t.Fatalf("Retry-After %v of a caller with 1 s left", r.RetryAfter)
			}
			returns.Add(now, time.Second, id*7919, id*104729)
			if len(q.items) > q.MaxCount || q.bytes > q.MaxBytes {
				t.Fatalf("%d requests and %d bytes wait", len(q.items), q.bytes)
			}
			if next, ok := q.Next(now, "s", math.Inf(1), nil); ok {
				checkFirst(t, now, q, next)
				if rapid.Bool().Draw(t, "start") {
					q.Started(now, next.ID)
				}
			}
		}
		s := q.services["s"]
		if len(s.accounts) > maxIdleConsumers+q.MaxCount+1 || len(returns.expected) > maxReturns {
			t.Fatalf("%d accounts and %d refused callers are remembered", len(s.accounts), len(returns.expected))
		}
		for _, id := range ids {
			q.Remove(id)
		}
		if len(q.items)+len(s.flows)+s.waiting != 0 || q.bytes != 0 {
			t.Fatalf("an empty queue has %d flows, %d waiting, %d bytes", len(s.flows), s.waiting, q.bytes)
		}
	})
}

// checkFirst checks that no waiting request has a better place than the next one.
func checkFirst(t *rapid.T, now time.Time, q *Queue, next Item) {
	q.services["s"].shares()
	best := q.items[next.ID].place(now)
	for _, e := range q.items {
		if place := e.place(now); place.before(&best) && !place.late {
			t.Fatalf("%+v goes before %+v", next, e.Item)
		}
	}
}

// TestReturnsAreSpread guards against refused callers that all come back at once: of those that
// are refused together, at most a few return within the time in which few are served.
func TestReturnsAreSpread(t *testing.T) {
	q := &Queue{}
	for range 20 {
		q.Finished("s", 1, 100*time.Millisecond)
	}
	q.Observe(t0, "s", Capacity{Held: 10, Instances: 1}) // 100 a second become free
	var delays []time.Duration
	for id := range uint64(200) {
		delays = append(delays, q.Refused(t0, Item{ID: id, Service: "s", Size: 1, Deadline: t0.Add(30 * time.Second)}))
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	for i := 10; i < len(delays); i++ {
		if apart := delays[i] - delays[i-10]; apart < 150*time.Millisecond {
			t.Fatalf("10 callers return within %v, at %v", apart, delays[i])
		}
	}
}

// BenchmarkDecision measures each decision while 2,000 wait for one service, in 24 accounts and
// 6 kinds: whether a request enters, and which one goes next.
func BenchmarkDecision(b *testing.B) {
	for _, name := range []string{"enter", "next"} {
		b.Run(name, func(b *testing.B) {
			q := &Queue{MaxCount: 3000}
			now, id := t0, uint64(0)
			accounts, kinds := make([]string, 24), make([]string, 6)
			for i := range accounts {
				accounts[i], kinds[i%6] = fmt.Sprint("a", i), fmt.Sprint("k", i%6)
			}
			enter := func() {
				id++
				kind := int(id % 7 % 6)
				it := Item{ID: id, Service: "s", Account: accounts[id%24], Kind: kinds[kind], Priority: kind % 3, Size: float64(100*(kind+1)) + float64(id%97)}
				it.StartBy, it.GiveUp, it.Deadline = now.Add(time.Hour), now.Add(time.Hour), now.Add(2*time.Hour)
				q.Enter(now, it)
			}
			for range 20 {
				q.Finished("s", 1000, time.Second)
			}
			for range 2000 {
				enter()
			}
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				q.Observe(now, "s", Capacity{Held: 1e9, PeersWaiting: 1e6, Instances: 63})
				if name == "enter" {
					enter()
					q.Remove(id)
				} else {
					q.Next(now, "s", math.Inf(1), nil)
				}
			}
		})
	}
}
