package engineclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/guard"
	"crocusfold.dev/shell/network"
)

// TestOpenErrors checks, for answers of an engine, the error and what may be
// said of the request.
func TestOpenErrors(t *testing.T) {
	drained := errors.New("drained")
	cases := []struct {
		name   string
		status int
		xRun   string
		guard  error
		want   error
		run    attempt.RunState
		// received is the number of requests that reach the engine.
		received int64
	}{
		{"answered", 200, "", nil, nil, attempt.Unknown, 1},
		{"refused", 409, "not-run", nil, ErrRefused, attempt.NotRun, 1},
		{"failed", 500, "", nil, ErrFailed, attempt.Unknown, 1},
		{"stopped", 200, "", drained, ErrStopped, attempt.NotRun, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Header.Get("X-Request-Id") == "first" {
					return
				}
				received.Add(1)
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
				w.Header().Set("X-Run", c.xRun)
				w.WriteHeader(c.status)
			}))
			defer srv.Close()
			client := &Client{HTTP: &http.Client{Transport: guard.Transport(network.Network{}.Transport())}}
			u := upstream.Upstream{Name: "u", Address: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
			// The first request leaves a connection behind that the second one
			// may use: there the check matters most.
			first := &attempt.Attempt{}
			_, _ = client.Open(context.Background(), first, u, Request{ID: "first", FirstEventTimeout: time.Minute, Body: []byte("{}")})
			att := &attempt.Attempt{Guard: func(time.Time) error { return c.guard }}
			s, err := client.Open(context.Background(), att, u, Request{ID: "second", FirstEventTimeout: time.Minute, Body: []byte("{}")})
			if s != nil {
				s.Close()
			}
			is.True(errors.Is(err, c.want)) // the kind of error
			is.Equal(att.RunState(), c.run)
			is.Equal(received.Load(), c.received)
		})
	}
}

// TestUnreachable checks that a refused connection is no run.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	u := upstream.Upstream{Name: "u", Address: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
	srv.Close()
	att := &attempt.Attempt{}
	_, err := (&Client{HTTP: &http.Client{Transport: guard.Transport(network.Network{}.Transport())}}).Open(context.Background(), att, u, Request{ID: "x", FirstEventTimeout: time.Minute, Body: []byte("{}")})
	is.True(errors.Is(err, ErrUnreachable))
	is.Equal(att.RunState(), attempt.NotRun)
}

// TestNothingIsWrittenAfterNotRun cancels a request while its connection is
// being opened. Once it is said not to have run, no write may begin.
func TestNothingIsWrittenAfterNotRun(t *testing.T) {
	is := is.New(t)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	nw := network.Network{DialTo: func(ctx context.Context, _ string) (net.Conn, error) {
		close(dialing)
		<-proceed
		return nil, errors.New("too late")
	}}
	defer close(proceed)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-dialing
		cancel()
	}()
	att := &attempt.Attempt{}
	u := upstream.Upstream{Name: "u", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := (&Client{HTTP: &http.Client{Transport: guard.Transport(nw.Transport())}}).Open(ctx, att, u, Request{ID: "x", FirstEventTimeout: time.Minute})
	is.True(errors.Is(err, ErrUnreachable))
	is.Equal(att.RunState(), attempt.NotRun)
	is.True(errors.Is(att.Begin(time.Now()), attempt.ErrRevoked)) // a late write is stopped
}
