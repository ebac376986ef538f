package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/route"
	"crocusfold.dev/entry/adapter"
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
	restartBacklog               = 2 * time.Second
	loadTime                     = 16 * time.Second
	accounts                     = 24
	// The accounts from this one on send a quarter of the requests together.
	firstSmall = 4
)

// results is what callers got.
type results struct {
	mu                               sync.Mutex
	refusedEarly, refusedLate, again int
	sent, inTime, served             map[string]int
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
	if account >= firstSmall {
		labels = append(labels, "small")
	}
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
			handlers[xxhash.Sum64String(r.Header.Get("Id"))%uint64(len(handlers))].ServeHTTP(w, r)
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
	out := ""
	for _, l := range []string{"drafts", "questions", "tags", "account-0", "small"} {
		out += fmt.Sprintf("%s %d/%d ", l, m[l], res.sent[l])
	}
	return out
}

// add adds the results of another run.
func (res *results) add(o *results) {
	res.refusedEarly, res.refusedLate, res.again = res.refusedEarly+o.refusedEarly, res.refusedLate+o.refusedLate, res.again+o.again
	for to, from := range map[*map[string]int]map[string]int{&res.sent: o.sent, &res.inTime: o.inTime, &res.served: o.served} {
		if *to == nil {
			*to = map[string]int{}
		}
		for l, n := range from {
			(*to)[l] += n
		}
	}
}

// play is a load: with the page's burst of drafts, or after a restart of everything, when the
// requests of two seconds come at once.
type play struct {
	queue   bool
	seed    uint64
	restart bool
}

// run plays the load and returns what callers got.
func (p play) run(t *testing.T) *results {
	res := &results{sent: map[string]int{}, inTime: map[string]int{}, served: map[string]int{}}
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
			conns := make(pipes)
			dial[address.String()] = conns
			srv := &http.Server{Handler: &engine{}}
			go func() { _ = srv.Serve(conns) }()
			defer srv.Close()
			all = append(all, pool.Replica{ID: fmt.Sprint("e", i), Service: "llm", Address: address, Slots: engineSlots, Versions: map[string]int{"m": 1}})
		}
		var fleet []*Relay
		for range burstInstances {
			fleet = append(fleet, newRelay(ctx, t, in, all, dial, p.queue))
		}
		go exchange(ctx, fleet)
		rnd := rand.New(rand.NewPCG(p.seed, 2))
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
				if k.name == "drafts" && !p.restart && at >= burstFrom && at < burstFrom+burstTime {
					rates[j] *= burstFactor
				}
				total += rates[j]
			}
			if !p.restart || float64(i) > total*restartBacklog.Seconds() {
				time.Sleep(time.Duration(rnd.ExpFloat64() / total * float64(time.Second)))
			}
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

// TestBurst guards against refusals that come late, without an attempt, after a request has
// waited for its turn, against callers that are refused again when they come back, and against
// a queue that pays for this with the most valuable kind or with the small accounts.
func TestBurst(t *testing.T) {
	var poll, queue results
	for seed := range uint64(2) {
		for name, sum := range map[string]*results{"poll": &poll, "queue": &queue} {
			r := play{queue: name == "queue", seed: seed}.run(t)
			sum.add(r)
			t.Logf("seed %d, %s: refused early %d, late %d, again %d; in time: %s; served: %s", seed, name, r.refusedEarly, r.refusedLate, r.again, r.shares(r.inTime), r.shares(r.served))
		}
	}
	for _, c := range []struct {
		failure string
		failed  bool
	}{
		{"late refusals did not fall to a tenth", queue.refusedLate*10 > poll.refusedLate},
		{"refusals of returned callers did not fall to a quarter", queue.again*4 > poll.again},
		{"fewer questions in time than with the poll", queue.inTime["questions"] < poll.inTime["questions"]},
		{"fewer tags in time than with the poll", queue.inTime["tags"] < poll.inTime["tags"]},
		{"fewer requests of small accounts in time than with the poll", queue.inTime["small"] < poll.inTime["small"]},
		{"less than 97% of the drafts served", queue.served["drafts"]*100 < queue.sent["drafts"]*97},
		{"less than 97% of the large account's requests served", queue.served["account-0"]*100 < queue.sent["account-0"]*97},
	} {
		if c.failed {
			t.Errorf("%s: poll late %d, again %d, in time %s; queue late %d, again %d, in time %s, served %s", c.failure,
				poll.refusedLate, poll.again, poll.shares(poll.inTime), queue.refusedLate, queue.again, queue.shares(queue.inTime), queue.shares(queue.served))
		}
	}
}

// TestRestart guards against a start of everything at which the requests that come at once keep
// each other from being served in time, and are refused late, so that they come again.
func TestRestart(t *testing.T) {
	var poll, queue results
	for seed := range uint64(2) {
		poll.add(play{seed: seed, restart: true}.run(t))
		queue.add(play{queue: true, seed: seed, restart: true}.run(t))
	}
	t.Logf("poll: late %d, again %d, in time %s; queue: late %d, again %d, in time %s", poll.refusedLate, poll.again, poll.shares(poll.inTime), queue.refusedLate, queue.again, queue.shares(queue.inTime))
	if queue.refusedLate*4 > poll.refusedLate || queue.again > poll.again+2 || queue.inTime["questions"] < poll.inTime["questions"]-10 || queue.served["drafts"] < poll.served["drafts"]-5 {
		t.Errorf("refused late %d (poll %d), again %d (%d), in time %s (%s), served %s (%s)", queue.refusedLate, poll.refusedLate, queue.again, poll.again,
			queue.shares(queue.inTime), poll.shares(poll.inTime), queue.shares(queue.served), poll.shares(poll.served))
	}
}
