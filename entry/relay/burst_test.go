package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/retry"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/shell/network"
)

// kind is a kind of requests of the page docs/design/contended-fleets.md.
type kind struct {
	name                string
	rate                float64 // per second, for 90 engines
	shared, own, events int
	target, deadline    time.Duration
	priority            int
}

var kinds = []kind{
	{"drafts", 147, 9122, 2870, 42, 1500 * time.Millisecond, 12 * time.Second, 2},
	{"questions", 370, 650, 177, 32, 500 * time.Millisecond, 10 * time.Second, 0},
	{"tags", 284, 1861, 507, 3, 500 * time.Millisecond, 3 * time.Second, 1},
}

// The fleet of the test has the page's ratio of engines to instances.
const (
	burstInstances, burstEngines = 4, 6
	engineMemory, engineSlots    = 109343, 64
	stride                       = 9
	loadFactor                   = 1.6 * burstEngines / 90
	prefillPerMs                 = 92.1
	burstFactor                  = 2.3
	burstFrom, burstTime         = 4 * time.Second, 6800 * time.Millisecond
	loadTime                     = 16 * time.Second
	accounts                     = 24
)

// engine is a replica that prefills one prompt at a time, and whose batch steps wait for that.
type engine struct {
	mu        sync.Mutex
	running   int
	busyUntil time.Time
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own, _ := strconv.Atoi(r.Header.Get("Own"))
	events, _ := strconv.Atoi(r.Header.Get("Events"))
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
	return &Relay{
		Bounds: &bounds, Dialect: plainDialect{}, Topics: tp, Replicas: rs, Budgets: &retry.Budgets{Share: 0.2, Slack: 100}, Now: time.Now,
		Logger: log.NewNopLogger(), Metrics: NewMetrics(tally.NoopScope), Crashes: NewCrashes(1), NotifyPeers: func() {}, Queue: queue,
	}
}

// tally of what callers got.
type results struct {
	mu                               sync.Mutex
	refusedEarly, refusedLate, again int
	sent, inTime, served             map[string]int
	codes                            map[string]int
}

// serveRecorder is a response recorder that notes when the head was written.
type serveRecorder struct {
	*httptest.ResponseRecorder
	head time.Time
}

func (r *serveRecorder) WriteHeader(status int) {
	r.head = time.Now()
	r.ResponseRecorder.WriteHeader(status)
}

// lateAfter is the time from which a refusal is late: longer than any that is decided on
// arrival.
const lateAfter = 20 * time.Millisecond

// call sends one request as callers do: a refused one comes back after the delay that it was
// told, as long as that is at most a third of the time left.
func (res *results) call(k kind, account int, id string, handlers []*Relay) {
	began, tries := time.Now(), 0
	labels := []string{k.name, fmt.Sprintf("account-%d", account)}
	count := func(m map[string]int) {
		for _, l := range labels {
			m[l]++
		}
	}
	res.mu.Lock()
	count(res.sent)
	res.mu.Unlock()
	for ; ; tries++ {
		left := k.deadline - time.Since(began)
		ctx, cancel := context.WithTimeout(context.Background(), left)
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/"+k.name, strings.NewReader(id))
		for name, value := range map[string]any{
			"Id": fmt.Sprintf("%s-%d", id, tries), "Key": fmt.Sprintf("key-%d", account), "Model": "m", "Prompt": k.shared + k.own,
			"Own": k.own, "Events": k.events, "Timeout-Ms": left.Milliseconds(),
		} {
			r.Header.Set(name, fmt.Sprint(value))
		}
		w, sent := &serveRecorder{ResponseRecorder: httptest.NewRecorder()}, time.Now()
		func() {
			defer func() { _ = recover() }()
			handlers[rand.IntN(len(handlers))].ServeHTTP(w, r)
		}()
		cancel()
		res.mu.Lock()
		if w.Code == http.StatusOK && w.Body.String() == "done" && time.Since(began) < k.deadline {
			count(res.served)
			if w.head.Sub(began) <= k.target {
				count(res.inTime)
			}
			res.mu.Unlock()
			return
		}
		res.codes[fmt.Sprintf("%s/%v/%s", k.name, tries > 0, strings.Trim(w.Body.String(), "{}\n"))]++
		if w.Code != http.StatusServiceUnavailable {
			res.mu.Unlock()
			return
		}
		if time.Since(sent) >= lateAfter {
			res.refusedLate++
		} else {
			res.refusedEarly++
		}
		if tries > 0 {
			res.again++
		}
		res.mu.Unlock()
		after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		wait := time.Duration(after * float64(time.Second))
		if wait > (k.deadline-time.Since(began))/3 {
			return
		}
		time.Sleep(wait)
	}
}

// shares returns the counts of the kinds, the largest account and the small ones, of those sent.
func (res *results) shares(m map[string]int) string {
	small, ofSmall := 0, 0
	for i := 4; i < accounts; i++ {
		small, ofSmall = small+m[fmt.Sprint("account-", i)], ofSmall+res.sent[fmt.Sprint("account-", i)]
	}
	out := fmt.Sprintf("small %d/%d", small, ofSmall)
	for _, l := range []string{"account-0", "drafts", "questions", "tags"} {
		out += fmt.Sprintf(", %s %d/%d", l, m[l], res.sent[l])
	}
	return out
}

// playBurst plays the page's load with the burst of drafts, and returns what callers got.
func playBurst(t *testing.T, queue bool, seed uint64) *results {
	res := &results{sent: map[string]int{}, inTime: map[string]int{}, served: map[string]int{}, codes: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		in, all, dial := adapter.Intent{}, []pool.Replica{}, map[string]pipes{}
		service := route.Service{Name: "llm", Engine: &route.Engine{Slots: engineSlots, ContextTokens: engineMemory, Models: []string{"m"}}}
		var routes []route.Route
		for _, k := range kinds {
			routes = append(routes, route.Route{
				Name: k.name, Host: "h", Prefix: "/" + k.name, Services: []route.WeightedService{{Service: "llm", Weight: 1}}, MaxAttempts: 1,
				Timeout: k.deadline, TargetLatency: k.target, Priority: k.priority,
			})
		}
		keys := map[string]route.Account{}
		for i := range accounts {
			keys[fmt.Sprintf("key-%d", i)] = route.Account{Name: fmt.Sprintf("account-%d", i)}
		}
		in.Table = route.NewTable(1, route.Limits{}, routes, []route.Service{service}, keys, true)
		for i := range burstEngines {
			address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1))
			dial[address.String()] = make(pipes)
			srv := &http.Server{Handler: &engine{}}
			go func() { _ = srv.Serve(dial[address.String()]) }()
			defer srv.Close()
			all = append(all, pool.Replica{ID: fmt.Sprint("e", i), Service: "llm", Address: address, Slots: engineSlots, Versions: map[string]int{"m": 1}})
		}
		var fleet []*Relay
		for range burstInstances {
			fleet = append(fleet, newRelay(ctx, t, in, all, dial, queue))
		}
		go exchange(ctx, fleet)
		rnd := rand.New(rand.NewPCG(seed, 2))
		var wg sync.WaitGroup
		began := time.Now()
		for i := 0; ; i++ {
			at := time.Since(began)
			if at > loadTime {
				break
			}
			total, rates := 0.0, make([]float64, len(kinds))
			for j, k := range kinds {
				rates[j] = k.rate * loadFactor
				if k.name == "drafts" && at >= burstFrom && at < burstFrom+burstTime {
					rates[j] *= burstFactor
				}
				total += rates[j]
			}
			time.Sleep(time.Duration(rnd.ExpFloat64() / total * float64(time.Second)))
			pick, chosen := rnd.Float64()*total, 0
			for pick > rates[chosen] && chosen < len(kinds)-1 {
				pick -= rates[chosen]
				chosen++
			}
			// The first account sends more than a third of the requests.
			account := int(float64(accounts) * rnd.Float64() * rnd.Float64() * rnd.Float64())
			wg.Add(1)
			go func() {
				defer wg.Done()
				res.call(kinds[chosen], account, fmt.Sprint("r", i), fleet)
			}()
		}
		wg.Wait()
		for _, rl := range fleet {
			rl.Replicas.WithPool(func(p *pool.Pool) {
				for _, r := range all {
					p.Remove(time.Now(), time.Now(), r.ID)
				}
			})
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
	return res
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

// TestBurst guards against refusals that come late, without an attempt, after a request has
// waited for half of its target, and against callers that are refused again.
func TestBurst(t *testing.T) {
	for seed := range uint64(8) {
		poll, queue := playBurst(t, false, seed), playBurst(t, true, seed)
		for name, r := range map[string]*results{"poll": poll, "queue": queue} {
			t.Logf("SUM %s %d %d %d %d %d %d %d %d", name, r.refusedEarly, r.refusedLate, r.again, r.inTime["drafts"], r.inTime["tags"], r.inTime["questions"], r.served["drafts"], r.served["tags"])
			t.Logf("seed %d %s: late %d, early %d, again %d, in time %s, served %s, codes %v", seed, name, r.refusedLate, r.refusedEarly, r.again, r.shares(r.inTime), r.shares(r.served), r.codes)
		}
	}
}
