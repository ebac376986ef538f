// Package limitgroup divides a limit that holds for the sum of all instances among
// them. In a fleet so large that an equal share for each would be too small to use, a
// few instances are chosen for each key by rendezvous hashing, and only these share
// the limit.
package limitgroup

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Group is the set of instances that share limits. The zero value is a group of one
// instance.
type Group struct {
	self    uint64
	members []uint64
}

// New returns the group of the instance self and the given members, which may include
// self.
func New(self netip.AddrPort, members []netip.AddrPort) Group {
	g := Group{self: digest(self)}
	for _, a := range members {
		if a != self {
			g.members = append(g.members, digest(a))
		}
	}
	return g
}

// Size returns the number of instances in the group.
func (g Group) Size() int { return 1 + len(g.members) }

// Share returns this instance's share of the limit that belongs to a key, as a fraction
// of 1. At most maxSharers instances share it (at least one does); Share returns 0 if
// this instance is not one of them.
func (g Group) Share(key uint64, maxSharers int) float64 {
	maxSharers = max(maxSharers, 1)
	if g.Size() <= maxSharers {
		return 1 / float64(g.Size())
	}
	own, ahead := score(g.self, key), 0
	for _, m := range g.members {
		if s := score(m, key); s > own || s == own && m > g.self {
			ahead++
		}
	}
	if ahead >= maxSharers {
		return 0
	}
	return 1 / float64(maxSharers)
}

func digest(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

func score(member, key uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], member)
	binary.LittleEndian.PutUint64(buf[8:], key)
	return xxhash.Sum64(buf[:])
}
