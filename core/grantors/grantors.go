// Package grantors chooses the instances that grant requests within a limit which holds
// for the sum of all instances. A few instances are chosen for each key by rendezvous
// hashing. Each grants a fixed share, so that the sum holds without messages among them.
package grantors

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPerKey is the largest number of grantors of a key. If one fails, the shares of the
	// others can still be used.
	MaxPerKey = 3
	// sharedFrom is the rate, in requests per second, from which a limit has several
	// grantors. The shares of a lower one would be granted at irregular times.
	sharedFrom = 1.0
	// slots is the number of different sets of grantors. It bounds the number of
	// instances that each instance connects to.
	slots = 8
)

// Grantors is the set of instances that may grant. The zero value has none.
type Grantors struct {
	self  netip.AddrPort
	alive []netip.AddrPort
	// part is the part of each limit that the alive instances may grant together.
	part float64
}

// New returns the grantors among the alive instances, of which self may be one. The number
// all also counts the instances that don't respond but may be alive. If the alive ones are
// not the majority, they may grant only their part of each limit, since the others may be
// the majority and grant all of it. The sum of all parts is then below one and a half
// limits, however the fleet is partitioned.
func New(self netip.AddrPort, alive []netip.AddrPort, all int) Grantors {
	g := Grantors{self: self, alive: alive, part: 1}
	if 2*len(alive) <= all {
		g.part = float64(len(alive)) / float64(all)
	}
	return g
}

// Of returns the grantors of a key with a limit of rate requests per second, in an order
// that all instances share.
func (g Grantors) Of(key string, rate float64) []netip.AddrPort {
	type scored struct {
		address netip.AddrPort
		score   uint64
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(key)%slots)
	all := make([]scored, 0, len(g.alive))
	for _, a := range g.alive {
		binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(a.String()))
		all = append(all, scored{a, xxhash.Sum64(buf[:])})
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return a.address.Compare(b.address)
	})
	count := MaxPerKey
	if rate < sharedFrom {
		count = 1
	}
	var out []netip.AddrPort
	for _, s := range all[:min(len(all), count)] {
		out = append(out, s.address)
	}
	return out
}

// Share returns the fraction of a key's limit that this instance grants, and its rank
// among the grantors from 0. The share is 0 if it is not one of them.
func (g Grantors) Share(key string, rate float64) (share float64, rank int) {
	all := g.Of(key, rate)
	rank = slices.Index(all, g.self)
	if rank < 0 {
		return 0, 0
	}
	return g.part / float64(len(all)), rank
}
