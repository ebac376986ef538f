package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/route"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/shell/network"
)

// TestObservedTimes guards against times of events that are learned from what is not the speed of
// a replica: a caller that reads slowly, several events in one read, error responses, and services
// whose requests do not compete for replicas.
func TestObservedTimes(t *testing.T) {
	for _, c := range []struct {
		name      string
		contended bool
		status    int
		// perRead is the number of events that each read has, readGap the time between two reads
		// without writeTime, which the caller takes.
		perRead            int
		readGap, writeTime time.Duration
		want               time.Duration
	}{
		{"one event each 200 ms", true, http.StatusOK, 1, 200 * time.Millisecond, 0, 200 * time.Millisecond},
		{"one event each 20 ms", true, http.StatusOK, 1, 20 * time.Millisecond, 0, 20 * time.Millisecond},
		{"four events each 200 ms", true, http.StatusOK, 4, 200 * time.Millisecond, 0, 50 * time.Millisecond},
		{"the caller reads slowly", true, http.StatusOK, 1, time.Millisecond, time.Second, 0},
		{"an error response", true, http.StatusInternalServerError, 1, 200 * time.Millisecond, 0, 0},
		{"no competition", false, http.StatusOK, 1, 200 * time.Millisecond, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.UnixMilli(1_000_000)
			clock := func() time.Time { return now }
			rs := &replicas.Replicas{Network: network.Network{}, Logger: log.NewNopLogger(), Bounds: &edgeconfig.LiveBounds{}, Now: clock}
			rs.SetContended(c.contended)
			rs.WithPool(func(p *pool.Pool) {
				p.Set(pool.Replica{ID: "a", Service: "s", Slots: 4, Versions: map[string]int{"m": 1}})
			})
			cl := &call{
				relay: &Relay{Now: clock, Replicas: rs}, route: &route.Route{}, began: now,
				service: route.Service{Name: "s", Engine: &route.Engine{ContextTokens: 10_000, Stride: 4}},
				info:    adapter.RequestInfo{Model: "m", PromptTokens: 10, MaxOutputTokens: 303},
			}
			cl.summary.status = c.status
			req := replicas.PlacementRequest{Request: pool.Request{Service: "s", Model: "m", Memory: 10_000, Tokens: 10}}
			cl.boundAnswer(&req)
			is.Equal(req.Events, 26)
			place := func() *replicas.Placement {
				pl, refusal := rs.Place(now, req)
				is.Equal(refusal, replicas.Refusal{})
				return pl
			}
			pl := place()
			before := pl.Estimate.Answer
			for range 2000 {
				now = now.Add(c.readGap)
				cl.summary.events += c.perRead
				cl.observeTimes(pl)
				now = now.Add(c.writeTime)
				cl.times.written(clock)
			}
			rs.End(pl)
			req.Deadline = now.Add(time.Hour)
			after := place().Estimate.Answer
			if c.want == 0 {
				is.Equal(after.Last-after.First, before.Last-before.First)
				return
			}
			gap := (after.Last - after.First) / time.Duration(req.Events-1)
			t.Logf("a gap of %v", gap)
			is.True(gap > c.want*8/10 && gap < c.want*12/10)
		})
	}
}
