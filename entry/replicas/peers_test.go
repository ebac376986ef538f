package replicas

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/message"
)

// TestReplicaStaysReloadingAfterOlderReport: peers tell for some seconds that a replica has loaded
// weights. Meanwhile it may be out of use for the next ones, and must stay so.
func TestReplicaStaysReloadingAfterOlderReport(t *testing.T) {
	is := is.New(t)
	u := &Replicas{Logger: log.NewNopLogger()}
	now := time.UnixMilli(1_000_000)
	u.WithPool(func(p *pool.Pool) {
		p.Set(pool.Replica{ID: "r", Service: "s", Slots: 4, Versions: map[string]int{"m": 2}})
	})
	reason := func() (reason pool.Reason) {
		u.WithPool(func(p *pool.Pool) { _, reason = p.Choose(now, pool.Request{Service: "s", Model: "m"}) })
		return reason
	}
	loaded := func(version int) message.Gossip {
		return message.Gossip{Header: peering.Header{Name: "other"}, Loaded: []message.ReplicaVersion{{Replica: "r", Model: "m", Version: version}}}
	}
	u.MarkReloading(now, []message.ReplicaVersion{{Replica: "r", Model: "m", Version: 3}})
	is.Equal(reason(), pool.Reloading)
	u.MergeGossip(now, loaded(2))
	is.Equal(reason(), pool.Reloading) // the news is of the weights that it holds
	u.MergeGossip(now, loaded(3))
	is.Equal(reason(), pool.Reason(""))
}
