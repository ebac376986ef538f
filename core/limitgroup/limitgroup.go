// Package limitgroup shares a limit that holds for the sum of all instances. In a fleet
// that is larger than the limit bears, a few instances are chosen for each thing by
// rendezvous hashing, so that their shares are large enough to be used.
package limitgroup

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Group is the instances that share limits. The zero value is one instance alone.
type Group struct {
	self    uint64
	members []uint64
}

// New returns the crew of an instance; members may include it.
func New(self netip.AddrPort, members []netip.AddrPort) Group {
	g := Group{self: digest(self)}
	for _, a := range members {
		if a != self {
			g.members = append(g.members, digest(a))
		}
	}
	return g
}

// Size is the number of instances.
func (g Group) Size() int { return 1 + len(g.members) }

// Share returns this instance's part of the limit of a thing that is shared by at
// most the given number of instances; 0 if it is not one of them.
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
