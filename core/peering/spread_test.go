package peering

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/core/membership"
)

// TestMemberReceivedAfterLaterMessage checks that a peer is sent an entry that arrived before
// a message was filled for it, but was merged after that.
func TestMemberReceivedAfterLaterMessage(t *testing.T) {
	is := is.New(t)
	address := func(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
	began := time.UnixMilli(1_000_000)
	received, filled := began.Add(time.Second), began.Add(1050*time.Millisecond)
	entry := func(name, addr string) membership.Entry {
		return membership.Entry{Name: name, Address: address(addr), Revision: 1}
	}
	self, a, b, c := entry("n", "10.0.0.1:1"), entry("a", "10.0.0.2:1"), entry("b", "10.0.0.3:1"), entry("c", "10.0.0.4:1")
	var pg Peering
	pg.Start(began, self, 1, nil)
	pg.Receive(began, Header{Name: "a", Address: a.Address, Process: 2, Members: []membership.Entry{a}})
	pg.Receive(began, Header{Name: "b", Address: b.Address, Process: 3, Members: []membership.Entry{b}})
	h, _ := pg.RequestHeader(filled, a.Address)
	pg.Receive(received, Header{Name: "b", Address: b.Address, Process: 3, Stamp: time.Second, Members: []membership.Entry{c}})
	pg.Receive(filled, Header{Name: "a", Address: a.Address, Process: 2, Stamp: time.Second, EchoProcess: 1, Echo: h.Stamp})
	h, _ = pg.RequestHeader(filled.Add(time.Second), a.Address)
	names := map[string]bool{}
	for _, e := range h.Members {
		names[e.Name] = true
	}
	is.True(names["c"])
}
