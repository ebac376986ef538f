package leader

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/reload"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
)

// TestPeerBeforeRun: peers reach an instance as soon as it listens, which is
// before its duty runs.
func TestPeerBeforeRun(t *testing.T) {
	is := is.New(t)
	d := &Leader{Bounds: &edgeconfig.LiveBounds{}}
	now := time.Unix(1000, 0)
	d.RecordPeerLeader(now, []string{"replica"})
	age, ok := d.PeerLeaderAge(now.Add(time.Millisecond))
	is.True(ok)
	is.Equal(age, time.Millisecond)
	is.True(!d.IsLeader(now))
}

// slowControl is a platform whose replicas take a while to report.
type slowControl struct {
	adapter.Control
	report func()
	orders int
}

func (c *slowControl) Report(context.Context, netip.AddrPort) (adapter.Report, error) {
	c.report()
	return adapter.Report{}, nil
}

func (c *slowControl) LoadWeights(context.Context, netip.AddrPort, adapter.LoadCommand) (adapter.LoadResult, error) {
	c.orders++
	return adapter.LoadBusy, nil
}

// TestLeadershipCheckedBeforeCommand: the duty may be lost while a replica is asked for its
// state. No order may follow.
func TestLeadershipCheckedBeforeCommand(t *testing.T) {
	const ttl = time.Second
	for _, c := range []struct {
		name   string
		takes  time.Duration
		orders int
	}{
		{"the duty is still held", ttl / 2, 1},
		{"the duty has lapsed", ttl, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			control := &slowControl{report: func() { now = now.Add(c.takes) }}
			d := &Leader{Bounds: &edgeconfig.LiveBounds{}, Control: control, Logger: log.NewNopLogger(), Now: func() time.Time { return now }}
			d.lease.Renew(now, ttl, lease.Grant{Generation: 1, Held: true})
			d.load(t.Context(), pool.Replica{ID: "r"}, "m", reload.Load{ID: "r", Version: 2})
			is.Equal(control.orders, c.orders)
		})
	}
}
