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
	c := Group{self: digest(self)}
	for _, a := range members {
		if a != self {
			c.members = append(c.members, digest(a))
		}
	}
	return c
}

// Size is the number of instances.
func (c Group) Size() int { return 1 + len(c.members) }

// Share returns this instance's part of the limit of a thing that is shared by at
// most the given number of instances; 0 if it is not one of them.
func (c Group) Share(thing uint64, most int) float64 {
	most = max(most, 1)
	if c.Size() <= most {
		return 1 / float64(c.Size())
	}
	own, before := score(c.self, thing), 0
	for _, m := range c.members {
		if s := score(m, thing); s > own || s == own && m > c.self {
			before++
		}
	}
	if before >= most {
		return 0
	}
	return 1 / float64(most)
}

func digest(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

func score(member, thing uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], member)
	binary.LittleEndian.PutUint64(key[8:], thing)
	return xxhash.Sum64(key[:])
}
