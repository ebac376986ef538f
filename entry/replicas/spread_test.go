package replicas

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/statedlimit"
	"crocusfold.dev/entry/message"
)

// TestChangeRecordedAfterLaterMessage checks that a peer is sent a change that was observed
// before a message was filled for it, but recorded after that.
func TestChangeRecordedAfterLaterMessage(t *testing.T) {
	observed := time.UnixMilli(1_000_000)
	filled := observed.Add(50 * time.Millisecond)
	for _, tt := range []struct {
		name   string
		record func(rs *Replicas)
		sent   func(g message.Gossip) int
	}{
		{"leaving", func(rs *Replicas) { rs.ObserveLeaving(observed, pool.Replica{ID: "r"}) }, func(g message.Gossip) int { return len(g.Leaving) }},
		{"limit", func(rs *Replicas) {
			p := &Placement{}
			p.ID = "r"
			rs.ObserveLimit(observed, p, statedlimit.Statement{Limited: true, Rate: 5, SentAt: observed, ReceivedAt: observed})
		}, func(g message.Gossip) int { return len(g.Limits) }},
		{"weights", func(rs *Replicas) {
			rs.RecordLoaded(observed, message.ReplicaVersion{Replica: "r", Model: "m", Version: 2})
		}, func(g message.Gossip) int { return len(g.Loaded) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rs := &Replicas{Logger: log.NewNopLogger()}
			rs.WithPool(func(p *pool.Pool) { p.Set(pool.Replica{ID: "r", Service: "s", Versions: map[string]int{"m": 1}}) })
			var before, after message.Gossip
			rs.FillGossip(filled, &before, time.Time{}, nil)
			is.Equal(tt.sent(before), 0)
			tt.record(rs)
			rs.FillGossip(filled.Add(time.Second), &after, filled, nil)
			is.Equal(tt.sent(after), 1)
		})
	}
}
