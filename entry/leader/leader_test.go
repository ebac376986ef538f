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

// TestPeerBeforeRun checks that a peer's status is recorded before Run is called, since
// an instance accepts messages of peers as soon as it listens.
func TestPeerBeforeRun(t *testing.T) {
	is := is.New(t)
	l := &Leader{Bounds: &edgeconfig.LiveBounds{}}
	now := time.Unix(1000, 0)
	l.RecordPeerLeader(now, []string{"replica"})
	age, ok := l.PeerLeaderAge(now.Add(time.Millisecond))
	is.True(ok)
	is.Equal(age, time.Millisecond)
	is.True(!l.IsLeader(now))
}

// slowControl is a platform whose replicas take some time to report their state. It
// counts the commands to them.
type slowControl struct {
	adapter.Control
	report   func()
	commands int
}

func (c *slowControl) Report(context.Context, netip.AddrPort) (adapter.Report, error) {
	c.report()
	return adapter.Report{}, nil
}

func (c *slowControl) LoadWeights(context.Context, netip.AddrPort, adapter.LoadCommand) (adapter.LoadResult, error) {
	c.commands++
	return adapter.LoadBusy, nil
}

// TestLeadershipCheckedBeforeCommand checks that no command is sent to a replica if the
// lease expires while the replica is polled for its state.
func TestLeadershipCheckedBeforeCommand(t *testing.T) {
	const ttl = time.Second
	for _, c := range []struct {
		name       string
		reportTime time.Duration
		commands   int
	}{
		{"the lease is still held", ttl / 2, 1},
		{"the lease has expired", ttl, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			control := &slowControl{report: func() { now = now.Add(c.reportTime) }}
			l := &Leader{Bounds: &edgeconfig.LiveBounds{}, Control: control, Logger: log.NewNopLogger(), Now: func() time.Time { return now }}
			l.lease.Renew(now, ttl, lease.Grant{Generation: 1, Held: true})
			l.load(t.Context(), pool.Replica{ID: "r"}, "m", reload.Load{ID: "r", Version: 2})
			is.Equal(control.commands, c.commands)
		})
	}
}
