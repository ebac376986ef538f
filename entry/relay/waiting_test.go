package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/shutdown"
	"crocusfold.dev/entry/adapter"
)

// response is what a caller got after a time.
type response struct {
	status int
	body   string
	took   time.Duration
}

// oneReplica runs a test on an instance with one replica of a plain service, which has one slot,
// so that it takes two requests, and answers after 400 ms.
func oneReplica(t *testing.T, test func(rl *Relay, send func(ctx context.Context) chan response)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		conns, address := make(pipes), netip.MustParseAddrPort("10.0.0.1:80")
		srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) })}
		go func() { _ = srv.Serve(conns) }()
		routes := []route.Route{{Name: "orders", Host: "h", Prefix: "/", Services: []route.WeightedService{{Service: "app", Weight: 1}}, TargetLatency: 2 * time.Second, Timeout: 4 * time.Second}}
		in := adapter.Intent{Table: route.NewTable(1, route.Limits{}, routes, []route.Service{{Name: "app"}}, nil, false)}
		all := []pool.Replica{{ID: "p", Service: "app", Address: address, Slots: 1}}
		rl := newRelay(ctx, t, in, all, map[string]pipes{address.String(): conns}, true)
		send := func(ctx context.Context) chan response {
			out, began := make(chan response, 1), time.Now()
			go func() {
				w := httptest.NewRecorder()
				defer func() {
					_ = recover() // the caller has left
					out <- response{w.Code, w.Body.String(), time.Since(began)}
				}()
				rl.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/x", nil))
			}()
			synctest.Wait()
			return out
		}
		// The first requests of a process start slowly.
		<-send(context.Background())
		time.Sleep(10 * time.Second)
		test(rl, send)
		cancel()
		_ = srv.Close()
		time.Sleep(time.Minute)
	})
}

// TestEndWakesTheNext guards against a free slot that stays unused until a waiting request tries
// again.
func TestEndWakesTheNext(t *testing.T) {
	is := is.New(t)
	oneReplica(t, func(rl *Relay, send func(context.Context) chan response) {
		first, second := send(context.Background()), send(context.Background())
		time.Sleep(5 * time.Millisecond)
		third, fourth := send(context.Background()), send(context.Background())
		is.Equal(rl.Waiting().count.Load(), int64(2))
		is.Equal((<-first).took+(<-second).took, 800*time.Millisecond)
		is.Equal((<-third).took, 795*time.Millisecond) // it began when the first two ended
		is.Equal((<-fourth).took, 795*time.Millisecond)
		is.Equal(rl.Waiting().count.Load(), int64(0))
	})
}

// TestStoppingInstanceRefusesWhatWaits guards against requests that wait at a stopping instance
// until the end of its grace period, and against ones that begin to wait there.
func TestStoppingInstanceRefusesWhatWaits(t *testing.T) {
	is := is.New(t)
	oneReplica(t, func(rl *Relay, send func(context.Context) chan response) {
		first, second, third := send(context.Background()), send(context.Background()), send(context.Background())
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		rl.BeginShutdown(shutdown.Shutdown{Began: now, LateFrom: now.Add(time.Second), End: now.Add(5 * time.Second)})
		refused := response{http.StatusServiceUnavailable, `{"error":"instance-stops"}` + "\n", 100 * time.Millisecond}
		is.Equal(<-third, refused)
		refused.took = 0
		is.Equal(<-send(context.Background()), refused) // it would have to wait
		is.Equal((<-first).status, http.StatusOK)
		is.Equal((<-second).status, http.StatusOK)
		is.Equal((<-send(context.Background())).status, http.StatusOK) // there is room again
	})
}

// TestCallerLeavesQueue guards against a request that stays in the queue after its caller has
// left, and takes the place of others.
func TestCallerLeavesQueue(t *testing.T) {
	is := is.New(t)
	oneReplica(t, func(rl *Relay, send func(context.Context) chan response) {
		first, second := send(context.Background()), send(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		third, fourth := send(ctx), send(context.Background())
		time.Sleep(50 * time.Millisecond)
		cancel()
		is.Equal((<-third).took, 50*time.Millisecond)
		is.Equal(rl.Waiting().count.Load(), int64(1))
		<-first
		<-second
		is.Equal((<-fourth).took, 800*time.Millisecond)
	})
}
