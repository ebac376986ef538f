// Package costs measures the overhead of an instance at several sizes: bytes of
// messages, memory of state, and processor time of decisions.
package costs

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
	"crocusfold.dev/measure/regression"
	"crocusfold.dev/shell/codec"
	"crocusfold.dev/shell/peer"
)

// Measurement is a named measurement that runs on demand.
type Measurement struct {
	Name string
	Run  func() regression.Series
}

// All lists the measurements in the order in which they run.
var All = []Measurement{
	{"ledger-memory", ledgerMemory},
	{"ledger-change-time", ledgerChangeTime},
	{"view-time", viewTime},
	{"snapshot-bytes", snapshotBytes},
	{"loads-bytes", loadsBytes},
	{"held-ask-bytes", cachedBlocksBytes},
	{"order-memory", orderMemory},
	{"order-time", orderTime},
	{"order-record-bytes", orderRecordBytes},
	{"quota-time", quotaTime},
	{"strike-memory", quarantineMemory},
	{"held-memory", cachedBlocksMemory},
	{"view-memory", viewMemory},
	{"quota-bytes", quotaBytes},
	{"order-call-bytes", claimCallBytes},
	{"rank-time", rankTime},
	{"block-time", blockTime},
	{"call-time", callTime},
	{"call-wire-bytes", callWireBytes},
	{"gossip-bytes", gossipBytes},
	{"known-bytes", memberBytes},
	{"choose-time", chooseTime},
	{"directory-memory", directoryMemory},
}

// heapGrowth returns the live heap bytes of the value that build returns.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	// One collection isn't enough: the contents of a sync.Pool and objects with
	// finalizers are freed by the second one.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// meanMicros returns the mean wall-clock time of n runs in microseconds.
func meanMicros(n int, run func(i int)) float64 {
	start := time.Now()
	for i := range n {
		run(i)
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n) / 1000
}

// newIntent returns an intent with n upstreams in 21 data centres.
func newIntent(n int) intent.Intent {
	var in intent.Intent
	for i := range n {
		in.Upstreams = append(in.Upstreams, upstream.Upstream{
			Name: fmt.Sprintf("telar-%05d", i), DataCentre: fmt.Sprintf("dc-%d", i%21), Role: fmt.Sprintf("model-%d", i%7),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80), WarmLimit: 16, ColdLimit: 2,
		})
	}
	return in
}

// newLedger returns a ledger to which one change has added n upstreams.
func newLedger(n int) *ledger.Ledger {
	l := &ledger.Ledger{}
	c := change.Change{ID: "first", Operator: "operator"}
	all := newIntent(n).Upstreams
	for i := range all {
		c.Steps = append(c.Steps, change.Step{Key: "upstream/" + all[i].Name, Value: change.Value{Upstream: &all[i]}})
	}
	if _, err := l.Apply(0, c); err != nil {
		panic(err)
	}
	return l
}

func ledgerMemory() regression.Series {
	return regression.Measure("ledger memory", "object", "B", []float64{2000, 6000, 12000}, func(n int) float64 {
		return heapGrowth(func() any { return newLedger(n) })
	})
}

func ledgerChangeTime() regression.Series {
	return regression.Measure("ledger change", "object", "us", []float64{2000, 6000, 12000}, func(n int) float64 {
		l := newLedger(n)
		return meanMicros(20, func(i int) {
			c := change.Change{ID: fmt.Sprint(i), Steps: []change.Step{{Key: fmt.Sprintf("drain/dc-%d", i), Value: change.Value{Drain: true}}}}
			if _, err := l.Apply(l.Next(), c); err != nil {
				panic(err)
			}
		})
	})
}

func viewTime() regression.Series {
	return regression.Measure("view", "object", "us", []float64{2000, 6000, 12000}, func(n int) float64 {
		l := newLedger(n)
		return meanMicros(10, func(int) { configview.New(1, l.Intent()) })
	})
}

func snapshotBytes() regression.Series {
	return regression.Measure("snapshot", "object", "B", []float64{2000, 6000, 12000}, func(n int) float64 {
		raw, err := codec.Changes.Encode(newLedger(n).Snapshot())
		if err != nil {
			panic(err)
		}
		return float64(len(raw))
	})
}

// encodedSize returns the size of a message on the wire, in bytes.
func encodedSize(m message.Message) float64 {
	raw, err := message.Codec.Encode(m)
	if err != nil {
		panic(err)
	}
	return float64(len(raw))
}

func loadsBytes() regression.Series {
	return regression.Measure("loads message", "upstream", "B", []float64{0, 8, 32}, func(n int) float64 {
		m := message.Loads{Start: 1 << 60, Seq: 1 << 20}
		for i := range n {
			m.Loads = append(m.Loads, message.Load{
				Upstream: message.Digest(fmt.Sprint("telar-", i)), Incarnation: message.Digest(fmt.Sprint("life-", i)),
				Version: message.Digest("v1"), Running: 12, BacklogMillis: 400, Warm: true,
			})
		}
		return encodedSize(m)
	})
}

func cachedBlocksBytes() regression.Series {
	return regression.Measure("held ask and reply", "block", "B", []float64{1, 10, 30}, func(n int) float64 {
		return encodedSize(message.CachedBlocksRequest{Upstream: "telar-00001", Keys: make([]block.Key, n)}) + encodedSize(message.CachedBlocksResponse{Blocks: n})
	})
}

// newRegistry returns a registry with n settled claims, each with a response body of 100
// bytes.
func newRegistry(n int) *order.Registry {
	r := &order.Registry{Retention: time.Hour}
	now := time.Unix(1_000_000, 0)
	response := order.Response{Status: 200, ContentType: "application/json", Body: make([]byte, 100)}
	for i := range n {
		key := order.NewKey("account", fmt.Sprint(i))
		claim := fmt.Sprintf("instance/%036d", i)
		r.Step(now, order.Requested{Key: key, Claim: claim, Deadline: now.Add(time.Second)})
		r.Step(now, order.AppendDone{})
		r.Step(now, order.Read{Offset: r.Next(), Time: now, Records: []order.Record{order.Claimed{Key: key, Claim: claim}}})
		r.Step(now, order.Finished{Key: key, Claim: claim, Response: response})
		r.Step(now, order.Read{Offset: r.Next(), Time: now, Records: []order.Record{order.Settled{Key: key, Claim: claim, Response: response}}})
		now = now.Add(time.Millisecond)
	}
	return r
}

func orderMemory() regression.Series {
	return regression.Measure("claims memory", "claim", "B", []float64{5000, 20000, 50000}, func(n int) float64 {
		return heapGrowth(func() any { return newRegistry(n) })
	})
}

func orderTime() regression.Series {
	return regression.Measure("claims time", "claim", "us", []float64{5000, 20000, 50000}, func(n int) float64 {
		return meanMicros(1, func(int) { newRegistry(n) })
	})
}

func orderRecordBytes() regression.Series {
	return regression.Measure("claim and report in the log", "claim", "B", []float64{1, 10, 100}, func(n int) float64 {
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

func quotaTime() regression.Series {
	return regression.Measure("quota grant", "member", "us", []float64{10, 100, 370}, func(n int) float64 {
		q := &quota.Quota{}
		now := time.Unix(1_000_000, 0)
		return meanMicros(5000, func(i int) {
			q.Grant(now, fmt.Sprint("member-", i%n), n, quota.Limit{Rate: 100, Burst: 100, Slots: 1000}, quota.Request{Tokens: 1, Slots: 2})
			now = now.Add(time.Millisecond)
		})
	})
}

func quarantineMemory() regression.Series {
	return regression.Measure("strikes memory", "strike", "B", []float64{1000, 5000, 10000}, func(n int) float64 {
		return heapGrowth(func() any {
			s := &quarantine.Quarantine{}
			for i := range n {
				s.Apply(time.Unix(1000, 0), quarantine.Outcome{Fingerprint: quarantine.NewFingerprint(fmt.Append(nil, i))})
			}
			return s
		})
	})
}

func cachedBlocksMemory() regression.Series {
	return regression.Measure("held blocks memory", "block", "B", []float64{5000, 20000, 50000}, func(n int) float64 {
		return heapGrowth(func() any {
			cached := map[block.Key]bool{}
			for i := range n {
				var k block.Key
				copy(k[:], fmt.Sprintf("%016d", i))
				cached[k] = true
			}
			return cached
		})
	})
}

func viewMemory() regression.Series {
	return regression.Measure("view memory", "object", "B", []float64{2000, 6000, 12000}, func(n int) float64 {
		in := newIntent(n)
		return heapGrowth(func() any { return configview.New(1, in) })
	})
}

func quotaBytes() regression.Series {
	return regression.Measure("quota ask and reply", "ask", "B", []float64{1, 10, 100}, func(n int) float64 {
		one := encodedSize(message.QuotaRequest{Account: "salones-azuay", Request: quota.Request{Tokens: 1, Slots: 3, Held: 2}}) +
			encodedSize(message.QuotaResponse{Lease: quota.Lease{Tokens: 1, Slots: 3}})
		return float64(n) * one
	})
}

func claimCallBytes() regression.Series {
	return regression.Measure("order ask, end and replies", "order", "B", []float64{1, 10, 100}, func(n int) float64 {
		claim := fmt.Sprintf("instance/%036d", 1)
		response := order.Response{Status: 200, ContentType: "application/json", Body: make([]byte, 100)}
		one := encodedSize(message.ClaimRequest{Claim: claim, Wait: time.Second}) + encodedSize(message.ClaimResponse{Verdict: order.Granted}) +
			encodedSize(message.ClaimReport{Claim: claim, Response: response}) + encodedSize(message.ClaimResponse{Verdict: order.Recorded})
		return float64(n) * one
	})
}

func rankTime() regression.Series {
	return regression.Measure("placement", "candidate", "us", []float64{60, 200, 600}, func(n int) float64 {
		all := make([]placement.Candidate, n)
		for i := range all {
			all[i] = placement.Candidate{Name: fmt.Sprintf("telar-%05d", i), Running: i % 10, Limit: 16, CachedBlocks: i % 3}
		}
		var p placement.Placement
		out := make([]placement.Choice, 0, placement.MaxChoices)
		return meanMicros(5000, func(int) { out = p.Rank(placement.Request{Session: "s", Blocks: 8, StoredBlocks: 4}, all, out) })
	})
}

func blockTime() regression.Series {
	return regression.Measure("block keys", "block", "us", []float64{1, 10, 30}, func(n int) float64 {
		text := ""
		for i := range n * block.Tokens {
			text += fmt.Sprint("word", i%1000, " ")
		}
		return meanMicros(20, func(int) { block.Keys(block.Scope{Account: "a"}, text) })
	})
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, wrapped so that its bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accepting a connection: %w", err)
	}
	return countingConn{c, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// reportRequests makes n report requests over loopback. It returns the processor time
// of both ends in microseconds, and the bytes on the connection in both directions. A
// first request is not counted, since it opens the connection.
func reportRequests(n int) (cpu float64, bytes int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var count atomic.Int64
	report, err := message.Codec.Encode(message.Report{Report: freshness.Report{Next: 1 << 30, ProofAge: 700 * time.Millisecond}})
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: peer.Accept("t", &peer.Inbound{}, func(context.Context, string, []byte) ([]byte, error) { return report, nil })}
	go func() { _ = srv.Serve(countingListener{ln, &count}) }()
	defer srv.Close()
	p := &peer.Peer{Address: ln.Addr().(*net.TCPAddr).AddrPort(), Self: "self", Token: "t"}
	defer p.Close()
	query, err := message.Codec.Encode(message.ReportQuery{})
	if err != nil {
		panic(err)
	}
	call := func() {
		if _, err := p.Call(context.Background(), query); err != nil {
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

// cpuTime returns the processor time of the process, in user and kernel mode.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func callTime() regression.Series {
	return regression.Measure("heartbeat, both ends", "call", "us", []float64{1000, 3000, 9000}, func(n int) float64 {
		cpu, _ := reportRequests(n)
		return cpu
	})
}

func callWireBytes() regression.Series {
	return regression.Measure("heartbeat, both ways", "call", "B", []float64{1000, 3000, 9000}, func(n int) float64 {
		_, bytes := reportRequests(n)
		return float64(bytes)
	})
}
