package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/retry"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/shell/network"
)

// engine is a replica that prefills one prompt at a time, and whose batch steps wait for that.
// Requests beyond its memory wait in the order in which they came.
type engine struct {
	mu        sync.Mutex
	running   int
	tokens    int
	waiting   []*fifo
	busyUntil time.Time
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own, _ := strconv.Atoi(r.Header.Get("Own"))
	events, _ := strconv.Atoi(r.Header.Get("Events"))
	prompt, _ := strconv.Atoi(r.Header.Get("Prompt"))
	e.enter(prompt)
	defer e.leave(prompt)
	e.mu.Lock()
	e.running++
	start := time.Now()
	if e.busyUntil.After(start) {
		start = e.busyUntil
	}
	e.busyUntil = start.Add(time.Duration(float64(own) / prefillPerMs * float64(time.Millisecond)))
	until := e.busyUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
	w.Header().Set("Id", r.Header.Get("Id"))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	for range events {
		e.mu.Lock()
		step := 3030*time.Microsecond + time.Duration(e.running)*121*time.Microsecond
		stalled := max(0, time.Until(e.busyUntil))
		e.mu.Unlock()
		time.Sleep(stride*step + stalled)
	}
	_, _ = io.WriteString(w, "done")
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

// fifo is a request that waits for memory.
type fifo struct {
	tokens int
	turn   chan struct{}
}

func (e *engine) enter(tokens int) {
	e.mu.Lock()
	f := &fifo{tokens, make(chan struct{})}
	e.waiting = append(e.waiting, f)
	e.admit()
	e.mu.Unlock()
	<-f.turn
}

func (e *engine) leave(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens -= tokens
	e.admit()
}

func (e *engine) admit() {
	for len(e.waiting) > 0 && e.tokens+e.waiting[0].tokens <= engineMemory {
		e.tokens += e.waiting[0].tokens
		close(e.waiting[0].turn)
		e.waiting = e.waiting[1:]
	}
}

// pipes is a listener whose connections are made by dial.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// plainDialect has the fields of a request in headers of the same names.
type plainDialect struct{ adapter.Dialect }

func (plainDialect) ParseRequest(h http.Header) adapter.RequestInfo {
	info := adapter.RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model")}
	info.PromptTokens, _ = strconv.Atoi(h.Get("Prompt"))
	ms, _ := strconv.Atoi(h.Get("Timeout-Ms"))
	info.Timeout = time.Duration(ms) * time.Millisecond
	return info
}
func (plainDialect) RewriteHeaders(http.Header, adapter.ForwardInfo) {}
func (plainDialect) ParseResponse(status int, h http.Header) adapter.ResponseInfo {
	return adapter.ResponseInfo{ID: h.Get("Id"), Succeeded: status < 300, Refused: status == http.StatusServiceUnavailable}
}

// intentDecoder decodes every configuration to one intent.
type intentDecoder struct {
	slowDecoder
	intent adapter.Intent
}

func (d intentDecoder) Intent([]topicview.Record) (adapter.Intent, error) { return d.intent, nil }

// newRelay returns an instance that serves an intent with replicas that are reached by dial.
func newRelay(ctx context.Context, t *testing.T, in adapter.Intent, all []pool.Replica, dial map[string]pipes, queue bool) *Relay {
	t.Helper()
	var bounds edgeconfig.LiveBounds
	bounds.Set(edgeconfig.Bounds{Revoke: time.Hour, Drain: 2 * time.Second})
	decoder := intentDecoder{intent: in}
	rs := &replicas.Replicas{Decoder: decoder, Now: time.Now, Logger: log.NewNopLogger(), Bounds: &bounds, Network: network.Network{
		DialTo: func(_ context.Context, address string) (net.Conn, error) {
			client, server := net.Pipe()
			dial[address] <- server
			return client, nil
		},
	}}
	rs.WithPool(func(p *pool.Pool) {
		for _, r := range all {
			p.Set(r)
		}
	})
	loaded := make(chan struct{}, 1)
	tp := &topics.Topics{
		Log: keyLog{changes: make(chan topicview.Record)}, Decoder: decoder, Now: time.Now, Logger: log.NewNopLogger(), Bounds: &bounds,
		OnReplicas: rs.ApplyRecords, OnInstances: func([]topicview.Record) {}, IsReader: func(time.Time) bool { return true },
		Isolated: func() bool { return true }, OnAdvance: func() {}, OnRestore: func() {},
		OnListLoaded: func(time.Time, []topicview.Record, bool) {},
		OnIntent:     func(*adapter.Intent) { loaded <- struct{}{} },
	}
	go tp.Run(ctx)
	<-loaded
	tp.ReachesLog()
	rs.SetContended(queue)
	return &Relay{
		Bounds: &bounds, Dialect: plainDialect{}, Topics: tp, Replicas: rs, Budgets: &retry.Budgets{Share: 0.2, Slack: 100}, Now: time.Now,
		Logger: log.NewNopLogger(), Metrics: NewMetrics(tally.NoopScope), Crashes: NewCrashes(1), NotifyPeers: func() {}, Queue: queue,
	}
}

// exchange passes the loads and what waits between all instances, as the gossip does.
func exchange(ctx context.Context, fleet []*Relay) {
	for ctx.Err() == nil {
		time.Sleep(160 * time.Millisecond)
		now := time.Now()
		for i, from := range fleet {
			g := message.Gossip{Header: peering.Header{Name: fmt.Sprint("n", i), Relation: peering.RootPeer}}
			from.Replicas.FillGossip(now, &g, now, nil)
			from.Waiting().FillGossip(now, &g, nil)
			for _, to := range fleet {
				if to != from {
					to.Replicas.MergeGossip(now, g)
					to.Waiting().SetInstances(len(fleet))
					to.Waiting().MergeGossip(now, g)
				}
			}
		}
	}
}
