// Package probe measures what the control of an instance costs: bytes of
// messages, memory of state, and processor time of decisions.
package probe

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/change"
	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/intent"
	"crocusfold.dev/core/ledger"
	"crocusfold.dev/core/order"
	"crocusfold.dev/core/placement"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/quota"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/configview"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/measure/slope"
	"crocusfold.dev/shell/codec"
	"crocusfold.dev/shell/peer"
)

// Probe is one measurement.
type Probe struct {
	Name string
	Run  func() slope.Slope
}

// All is the table of measurements.
var All = []Probe{
	{"ledger-memory", ledgerMemory},
	{"ledger-change-time", ledgerChangeTime},
	{"view-time", viewTime},
	{"snapshot-bytes", snapshotBytes},
	{"loads-bytes", loadsBytes},
	{"held-ask-bytes", heldBytes},
	{"order-memory", orderMemory},
	{"order-time", orderTime},
	{"order-record-bytes", orderBytes},
	{"quota-time", quotaTime},
	{"strike-memory", strikeMemory},
	{"held-memory", heldMemory},
	{"view-memory", viewMemory},
	{"quota-bytes", quotaBytes},
	{"order-call-bytes", orderCallBytes},
	{"rank-time", rankTime},
	{"block-time", blockTime},
	{"call-time", callTime},
	{"call-wire-bytes", callWireBytes},
	{"gossip-bytes", gossipBytes},
	{"known-bytes", knownBytes},
	{"choose-time", chooseTime},
	{"directory-memory", directoryMemory},
}

// heap returns the live bytes that build adds.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	// The second collection frees what the first one only made ready for it.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// micros returns the mean time of n runs, in microseconds.
func micros(n int, run func(i int)) float64 {
	start := time.Now()
	for i := range n {
		run(i)
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n) / 1000
}

func upstreams(n int) intent.Intent {
	var in intent.Intent
	for i := range n {
		in.Upstreams = append(in.Upstreams, upstream.Upstream{
			Name: fmt.Sprintf("telar-%05d", i), DataCentre: fmt.Sprintf("dc-%d", i%21), Role: fmt.Sprintf("model-%d", i%7),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80), WarmLimit: 16, ColdLimit: 2,
		})
	}
	return in
}

func filled(n int) *ledger.Ledger {
	l := &ledger.Ledger{}
	c := change.Change{ID: "first", Operator: "operator"}
	all := upstreams(n).Upstreams
	for i := range all {
		c.Steps = append(c.Steps, change.Step{Key: "upstream/" + all[i].Name, Value: change.Value{Upstream: &all[i]}})
	}
	if _, err := l.Apply(0, c); err != nil {
		panic(err)
	}
	return l
}

func ledgerMemory() slope.Slope {
	return slope.Measure("ledger memory", "object", "B", []float64{2000, 6000, 12000}, func(n int) float64 {
		return heap(func() any { return filled(n) })
	})
}

func ledgerChangeTime() slope.Slope {
	return slope.Measure("ledger change", "object", "us", []float64{2000, 6000, 12000}, func(n int) float64 {
		l := filled(n)
		return micros(20, func(i int) {
			c := change.Change{ID: fmt.Sprint(i), Steps: []change.Step{{Key: fmt.Sprintf("drain/dc-%d", i), Value: change.Value{Drain: true}}}}
			if _, err := l.Apply(l.Next(), c); err != nil {
				panic(err)
			}
		})
	})
}

func viewTime() slope.Slope {
	return slope.Measure("view", "object", "us", []float64{2000, 6000, 12000}, func(n int) float64 {
		l := filled(n)
		return micros(10, func(int) { configview.New(1, l.Intent()) })
	})
}

func snapshotBytes() slope.Slope {
	return slope.Measure("snapshot", "object", "B", []float64{2000, 6000, 12000}, func(n int) float64 {
		raw, err := codec.Changes.Encode(filled(n).Snapshot())
		if err != nil {
			panic(err)
		}
		return float64(len(raw))
	})
}

func size(m message.Message) float64 {
	raw, err := message.Codec.Encode(m)
	if err != nil {
		panic(err)
	}
	return float64(len(raw))
}

func loadsBytes() slope.Slope {
	return slope.Measure("loads message", "upstream", "B", []float64{0, 8, 32}, func(n int) float64 {
		m := message.Loads{Start: 1 << 60, Seq: 1 << 20}
		for i := range n {
			m.Loads = append(m.Loads, message.Load{
				Upstream: message.Digest(fmt.Sprint("telar-", i)), Incarnation: message.Digest(fmt.Sprint("life-", i)),
				Version: message.Digest("v1"), Running: 12, BacklogMillis: 400, Warm: true,
			})
		}
		return size(m)
	})
}

func heldBytes() slope.Slope {
	return slope.Measure("held ask and reply", "block", "B", []float64{1, 10, 30}, func(n int) float64 {
		return size(message.CachedBlocksRequest{Upstream: "telar-00001", Keys: make([]block.Key, n)}) + size(message.CachedBlocksResponse{Blocks: n})
	})
}

func claims(n int) *order.Registry {
	r := &order.Registry{Retention: time.Hour}
	now := time.Unix(1_000_000, 0)
	answer := order.Response{Status: 200, ContentType: "application/json", Body: make([]byte, 100)}
	for i := range n {
		key := order.NewKey("account", fmt.Sprint(i))
		claim := fmt.Sprintf("instance/%036d", i)
		r.Step(now, order.Requested{Key: key, Claim: claim, Deadline: now.Add(time.Second)})
		r.Step(now, order.AppendDone{})
		r.Step(now, order.Read{Offset: r.Next(), Time: now, Records: []order.Record{order.Claimed{Key: key, Claim: claim}}})
		r.Step(now, order.Finished{Key: key, Claim: claim, Response: answer})
		r.Step(now, order.Read{Offset: r.Next(), Time: now, Records: []order.Record{order.Settled{Key: key, Claim: claim, Response: answer}}})
		now = now.Add(time.Millisecond)
	}
	return r
}

func orderMemory() slope.Slope {
	return slope.Measure("claims memory", "claim", "B", []float64{5000, 20000, 50000}, func(n int) float64 {
		return heap(func() any { return claims(n) })
	})
}

func orderTime() slope.Slope {
	return slope.Measure("claims time", "claim", "us", []float64{5000, 20000, 50000}, func(n int) float64 {
		return micros(1, func(int) { claims(n) })
	})
}

func orderBytes() slope.Slope {
	return slope.Measure("claim and report in the log", "claim", "B", []float64{1, 10, 100}, func(n int) float64 {
		a, err := codec.Orders.Encode(order.Claimed{Claim: fmt.Sprintf("instance/%036d", 1)})
		if err != nil {
			panic(err)
		}
		b, err := codec.Orders.Encode(order.Settled{Claim: fmt.Sprintf("instance/%036d", 1), Response: order.Response{Status: 200, Body: make([]byte, 100)}})
		if err != nil {
			panic(err)
		}
		return float64(n * (len(a) + len(b)))
	})
}

func quotaTime() slope.Slope {
	return slope.Measure("quota grant", "member", "us", []float64{10, 100, 370}, func(n int) float64 {
		q := &quota.Quota{}
		now := time.Unix(1_000_000, 0)
		return micros(5000, func(i int) {
			q.Grant(now, fmt.Sprint("member-", i%n), n, quota.Limit{Rate: 100, Burst: 100, Slots: 1000}, quota.Request{Tokens: 1, Slots: 2})
			now = now.Add(time.Millisecond)
		})
	})
}

func strikeMemory() slope.Slope {
	return slope.Measure("strikes memory", "strike", "B", []float64{1000, 5000, 10000}, func(n int) float64 {
		return heap(func() any {
			s := &quarantine.Quarantine{}
			for i := range n {
				s.Apply(time.Unix(1000, 0), quarantine.Outcome{Fingerprint: quarantine.NewFingerprint(fmt.Append(nil, i))})
			}
			return s
		})
	})
}

func heldMemory() slope.Slope {
	return slope.Measure("held blocks memory", "block", "B", []float64{5000, 20000, 50000}, func(n int) float64 {
		return heap(func() any {
			held := map[block.Key]bool{}
			for i := range n {
				var k block.Key
				copy(k[:], fmt.Sprintf("%016d", i))
				held[k] = true
			}
			return held
		})
	})
}

func viewMemory() slope.Slope {
	return slope.Measure("view memory", "object", "B", []float64{2000, 6000, 12000}, func(n int) float64 {
		in := upstreams(n)
		return heap(func() any { return configview.New(1, in) })
	})
}

func quotaBytes() slope.Slope {
	return slope.Measure("quota ask and reply", "ask", "B", []float64{1, 10, 100}, func(n int) float64 {
		one := size(message.QuotaRequest{Account: "salones-azuay", Request: quota.Request{Tokens: 1, Slots: 3, Held: 2}}) +
			size(message.QuotaResponse{Lease: quota.Lease{Tokens: 1, Slots: 3}})
		return float64(n) * one
	})
}

func orderCallBytes() slope.Slope {
	return slope.Measure("order ask, end and replies", "order", "B", []float64{1, 10, 100}, func(n int) float64 {
		claim := fmt.Sprintf("instance/%036d", 1)
		answer := order.Response{Status: 200, ContentType: "application/json", Body: make([]byte, 100)}
		one := size(message.ClaimRequest{Claim: claim, Wait: time.Second}) + size(message.ClaimResponse{Verdict: order.Granted}) +
			size(message.ClaimReport{Claim: claim, Response: answer}) + size(message.ClaimResponse{Verdict: order.Recorded})
		return float64(n) * one
	})
}

func rankTime() slope.Slope {
	return slope.Measure("placement", "candidate", "us", []float64{60, 200, 600}, func(n int) float64 {
		all := make([]placement.Candidate, n)
		for i := range all {
			all[i] = placement.Candidate{Name: fmt.Sprintf("telar-%05d", i), Running: i % 10, Limit: 16, CachedBlocks: i % 3}
		}
		var p placement.Placement
		out := make([]placement.Choice, 0, placement.MaxChoices)
		return micros(5000, func(int) { out = p.Rank(placement.Request{Session: "s", Blocks: 8, StoredBlocks: 4}, all, out) })
	})
}

func blockTime() slope.Slope {
	return slope.Measure("block keys", "block", "us", []float64{1, 10, 30}, func(n int) float64 {
		text := ""
		for i := range n * block.Tokens {
			text += fmt.Sprint("word", i%1000, " ")
		}
		return micros(20, func(int) { block.Keys(block.Scope{Account: "a"}, text) })
	})
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept waits for a connection and counts what it carries.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accepting: %w", err)
	}
	return countingConn{c, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what comes in.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// heartbeats runs n heartbeats over loopback. It returns the processor time of
// both ends in microseconds and the bytes on the connection.
func heartbeats(n int) (cpu float64, bytes int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var count atomic.Int64
	report, err := message.Codec.Encode(message.Report{Report: freshness.Report{Next: 1 << 30, ProofAge: 700 * time.Millisecond}})
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: peer.Accept("t", func(context.Context, string, []byte) ([]byte, error) { return report, nil })}
	go func() { _ = srv.Serve(countingListener{ln, &count}) }()
	defer srv.Close()
	p := &peer.Peer{Address: ln.Addr().(*net.TCPAddr).AddrPort(), Self: "self", Token: "t"}
	defer p.Close()
	ask, err := message.Codec.Encode(message.ReportQuery{})
	if err != nil {
		panic(err)
	}
	call := func() {
		if _, err := p.Call(context.Background(), ask); err != nil {
			panic(err)
		}
	}
	call()
	first, started := count.Load(), cpuTime()
	for range n {
		call()
	}
	return float64((cpuTime() - started).Microseconds()), count.Load() - first
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func callTime() slope.Slope {
	return slope.Measure("heartbeat, both ends", "call", "us", []float64{1000, 3000, 9000}, func(n int) float64 {
		cpu, _ := heartbeats(n)
		return cpu
	})
}

func callWireBytes() slope.Slope {
	return slope.Measure("heartbeat, both ways", "call", "B", []float64{1000, 3000, 9000}, func(n int) float64 {
		_, bytes := heartbeats(n)
		return float64(bytes)
	})
}
