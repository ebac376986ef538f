package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/route"
	"crocusfold.dev/entry/adapter"
)

// erring is a replica of a plain service that responds at once with 500 to a share of the
// look-ups. All look-ups within one spell fare alike.
type erring struct {
	index uint64
	share float64
	spell time.Duration
}

func (e erring) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	spell := uint64(time.Now().UnixNano() / int64(e.spell))
	if r.URL.Path == "/look-ups" && rand.New(rand.NewPCG(e.index, spell)).Float64() < e.share {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(30 * time.Millisecond)
}

// playErrors sends orders and look-ups to four replicas that respond with errors, and returns
// the share of the look-ups that got one.
func playErrors(t *testing.T, queue bool, spell time.Duration) (lookUps float64) {
	const instances, rate, seconds = 16, 172.0, 60
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		all, dial := []pool.Replica{}, map[string]pipes{}
		for i, share := range []float64{0.14, 0.14, 0.14, 0.45} {
			address, conns := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), make(pipes)
			dial[address.String()] = conns
			srv := &http.Server{Handler: erring{uint64(i), share, spell}}
			go func() { _ = srv.Serve(conns) }()
			defer srv.Close()
			all = append(all, pool.Replica{ID: fmt.Sprint("p", i), Service: "app", Address: address, Slots: 6})
		}
		app := []route.WeightedService{{Service: "app", Weight: 1}}
		routes := []route.Route{
			{Name: "orders", Host: "h", Prefix: "/orders", Services: app, MaxAttempts: 1, TargetLatency: 150 * time.Millisecond},
			{Name: "look-ups", Host: "h", Prefix: "/look-ups", Services: app, MaxAttempts: 2, TargetLatency: 150 * time.Millisecond, Kind: route.Idempotent},
		}
		in := adapter.Intent{Table: route.NewTable(1, route.Limits{}, routes, []route.Service{{Name: "app"}}, nil, false)}
		var fleet []*Relay
		for range instances {
			fleet = append(fleet, newRelay(ctx, t, in, all, dial, queue))
		}
		go exchange(ctx, fleet)
		rnd := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		var wg sync.WaitGroup
		sent, failed := map[string]float64{}, map[string]float64{}
		for i := range int(rate * seconds) {
			time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
			name := "orders"
			if rnd.Float64() < 0.2 {
				name = "look-ups"
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprint("r", i)
				r := httptest.NewRequest(http.MethodPost, "http://h/"+name, nil)
				r.Header.Set("Id", id)
				r.Header.Set("Timeout-Ms", "2500")
				w := httptest.NewRecorder()
				fleet[xxhash.Sum64String(id)%instances].ServeHTTP(w, r)
				mu.Lock()
				defer mu.Unlock()
				sent[name]++
				if w.Code != http.StatusOK {
					failed[name]++
				}
			}()
		}
		wg.Wait()
		cancel()
		time.Sleep(10 * time.Second)
		lookUps = failed["look-ups"] / sent["look-ups"]
	})
	return lookUps
}

// TestLookUps guards against a second attempt that goes to a replica which has just responded
// with 500, or fails nearly half of the look-ups, so that idempotent requests gain little from it.
func TestLookUps(t *testing.T) {
	for _, c := range []struct {
		spell time.Duration
		bound func(before float64) float64
	}{
		// Errors that do not depend on each other hit both attempts of 0.14 * 0.14 = 2.0% at least.
		{time.Millisecond, func(float64) float64 { return 0.029 }},
		{250 * time.Millisecond, func(before float64) float64 { return 0.75 * before }},
	} {
		before, now := playErrors(t, false, c.spell), playErrors(t, true, c.spell)
		t.Logf("spells of %v: %.1f%% of the look-ups get errors with the poll, %.1f%% with the queue", c.spell, 100*before, 100*now)
		if now > c.bound(before) || now >= before {
			t.Errorf("spells of %v: %.1f%% of the look-ups get errors, %.1f%% with the poll", c.spell, 100*now, 100*before)
		}
	}
}
