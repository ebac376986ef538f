package peering

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/membership"
)

// TestDelayOfMessages guards against ages that are taken for small because a message waited
// for a frozen instance.
func TestDelayOfMessages(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(1_000_000)
	from := netip.MustParseAddrPort("10.0.0.2:1")
	var pg Peering
	pg.Start(start, membership.Entry{Name: "n1", Address: netip.MustParseAddrPort("10.0.0.1:1")}, 1, nil)
	receive := func(after, stamp time.Duration, process uint64) time.Duration {
		pg.Receive(start.Add(after), Header{Name: "n2", Address: from, Process: process, Stamp: stamp})
		return pg.Delay(from)
	}
	is.Equal(pg.Delay(from), unknownDelay)
	is.Equal(receive(100*time.Millisecond, 90*time.Millisecond, 2), unknownDelay)
	is.Equal(receive(200*time.Millisecond, 198*time.Millisecond, 2), time.Duration(0))
	is.Equal(receive(10*time.Second, 298*time.Millisecond, 2), 9700*time.Millisecond)
	is.Equal(receive(11*time.Second, time.Second, 3), unknownDelay) // another process
}

// TestGrantsOnlyWhileSettled guards against an instance that grants requests although it may
// not know the others yet, or is leaving.
func TestGrantsOnlyWhileSettled(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(1_000_000)
	var pg Peering
	pg.Start(start, membership.Entry{Name: "n1", Address: netip.MustParseAddrPort("10.0.0.1:1")}, 1, nil)
	share := func(after time.Duration) float64 {
		s, _ := pg.Grantors(start.Add(after)).Share("r", 5)
		return s
	}
	is.Equal(share(grantDelay-1), 0.0)
	is.Equal(share(grantDelay), 1.0)
	pg.Leave(start.Add(3 * time.Second))
	is.Equal(share(3*time.Second), 0.0)
}
