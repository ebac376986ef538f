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

// TestReplicaStaysReloadingAfterOlderReport checks that a replica that is to be reloaded
// stays out of use when a peer reports that it has loaded the weights before. Peers send
// such a report for some seconds, so it may arrive after the next reload has begun.
func TestReplicaStaysReloadingAfterOlderReport(t *testing.T) {
	is := is.New(t)
	rs := &Replicas{Logger: log.NewNopLogger()}
	now := time.UnixMilli(1_000_000)
	rs.WithPool(func(p *pool.Pool) {
		p.Set(pool.Replica{ID: "r", Service: "s", Slots: 4, Versions: map[string]int{"m": 2}})
	})
	reason := func() (reason pool.Reason) {
		rs.WithPool(func(p *pool.Pool) { _, reason = p.Choose(now, pool.Request{Service: "s", Model: "m"}) })
		return reason
	}
	loaded := func(version int) message.Gossip {
		return message.Gossip{Header: peering.Header{Name: "other"}, Loaded: []message.ReplicaVersion{{Replica: "r", Model: "m", Version: version}}}
	}
	rs.MarkReloading(now, []message.ReplicaVersion{{Replica: "r", Model: "m", Version: 3}})
	is.Equal(reason(), pool.Reloading)
	rs.MergeGossip(now, loaded(2))
	is.Equal(reason(), pool.Reloading) // the replica held these weights already
	rs.MergeGossip(now, loaded(3))
	is.Equal(reason(), pool.Reason(""))
}
