// Package membership holds an instance's table of the instances of the fleet. Entries
// are merged by revision, as in SWIM: a member refutes a wrong entry about itself with
// a higher revision, and peers are sent only the entries that changed.
package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a member.
type Status int

// The states of a member. Of two entries with the same revision, the one with the
// greater status wins.
const (
	Alive Status = iota
	// Unreachable members do not respond, but may be alive behind a network partition.
	Unreachable
	// Left members have announced that they terminate.
	Left
)

const (
	// unreachableTTL is how long an unreachable member still counts as one that shares
	// limits, and how long its entry is kept. It is long because regions may be
	// partitioned from each other for an hour.
	unreachableTTL = 2 * time.Hour
	// leftTTL is how long a member that has left still counts as one that shares
	// limits, since it completes the requests that it has accepted.
	leftTTL = 30 * time.Second
	// leftRetention is how long the entry of a member that has left is kept, so that
	// an older entry received from a peer does not bring the member back.
	leftRetention = 5 * time.Minute
)

// Entry is the state of one member.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// MilliCPU is the processor share in thousandths of a core.
	MilliCPU int
	// Revision orders the entries of a member. It increases with each start of the
	// member and with each wrong entry that the member refutes.
	Revision uint64
	Status   Status
}

type member struct {
	Entry
	changed time.Time
}

// Membership is the table of all members but this one, whose own entry is Self. Self
// must be set before any method is called. It is not safe for concurrent use.
type Membership struct {
	Self    Entry
	members map[netip.AddrPort]*member
	// selfChanged is when the own entry last changed, lastChanged when any did.
	selfChanged, lastChanged time.Time
	version                  uint64
}

// Version returns a number that increases with each change of the table.
func (m *Membership) Version() uint64 { return m.version }

// Merge merges an entry received from a peer and reports whether it changed the table
// or the own entry. It ignores an entry without a name or a valid address. An entry
// about this instance that supersedes its own is refuted with a higher revision.
func (m *Membership) Merge(now time.Time, e Entry) bool {
	if !e.Address.IsValid() || e.Name == "" {
		return false
	}
	if e.Address == m.Self.Address {
		return m.refute(now, e)
	}
	known, ok := m.members[e.Address]
	if ok && (e.Revision < known.Revision || e.Revision == known.Revision && e.Status <= known.Status) {
		return false
	}
	if m.members == nil {
		m.members = map[netip.AddrPort]*member{}
	}
	m.members[e.Address] = &member{e, now}
	m.version, m.lastChanged = m.version+1, now
	return true
}

// refute raises the own revision above that of a received entry about this instance, if
// the received one has a higher revision, or the same one and a greater status. It
// reports whether it did.
func (m *Membership) refute(now time.Time, e Entry) bool {
	if e.Revision < m.Self.Revision || e.Revision == m.Self.Revision && e.Status <= m.Self.Status {
		return false
	}
	m.Self.Revision, m.selfChanged, m.lastChanged = e.Revision+1, now, now
	return true
}

// Leave sets the status of this instance to Left.
func (m *Membership) Leave(now time.Time) {
	m.Self.Status, m.selfChanged = Left, now
	m.version, m.lastChanged = m.version+1, now
}

// MarkUnreachable sets the status of a member to Unreachable and reports whether the
// member was alive until then. It ignores an unknown address.
func (m *Membership) MarkUnreachable(now time.Time, address netip.AddrPort) bool {
	known, ok := m.members[address]
	if !ok || known.Status != Alive {
		return false
	}
	known.Status, known.changed = Unreachable, now
	m.version, m.lastChanged = m.version+1, now
	return true
}

// Member returns the entry of another member; ok is false if the address is unknown.
func (m *Membership) Member(address netip.AddrPort) (Entry, bool) {
	known, ok := m.members[address]
	if !ok {
		return Entry{}, false
	}
	return known.Entry, true
}

// ChangedSince returns the entries that changed at or after the given moment, the own
// entry among them. The zero time returns all entries. The order is undefined.
func (m *Membership) ChangedSince(moment time.Time) []Entry {
	if moment.After(m.lastChanged) {
		return nil
	}
	var out []Entry
	if !m.selfChanged.Before(moment) {
		out = append(out, m.Self)
	}
	for _, e := range m.members {
		if !e.changed.Before(moment) {
			out = append(out, e.Entry)
		}
	}
	return out
}

// Entries returns the entries of the other members that have not left, in undefined
// order.
func (m *Membership) Entries() []Entry {
	out := make([]Entry, 0, len(m.members))
	for _, e := range m.members {
		if e.Status != Left {
			out = append(out, e.Entry)
		}
	}
	return out
}

// LimitSharers returns the addresses of the members that share limits: this one and all
// others that may still send requests to upstreams.
func (m *Membership) LimitSharers(now time.Time) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, 1+len(m.members))
	out = append(out, m.Self.Address)
	for _, e := range m.members {
		age := now.Sub(e.changed)
		if e.Status == Alive || e.Status == Unreachable && age < unreachableTTL || e.Status == Left && age < leftTTL {
			out = append(out, e.Address)
		}
	}
	return out
}

// Responsive returns the addresses of the other members with status Alive, and the number
// of the other members that may be alive, which includes those that are unreachable.
func (m *Membership) Responsive() (alive []netip.AddrPort, all int) {
	alive = make([]netip.AddrPort, 0, 1+len(m.members))
	for _, e := range m.members {
		switch e.Status {
		case Alive:
			alive = append(alive, e.Address)
			all++
		case Unreachable:
			all++
		}
	}
	return alive, all
}

// AliveCount returns the number of members with status Alive, without this one.
func (m *Membership) AliveCount() int {
	n := 0
	for _, e := range m.members {
		if e.Status == Alive {
			n++
		}
	}
	return n
}

// Digest returns the digest of a member, which is its term in the sum of AliveDigest.
func Digest(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }

// AliveDigest returns the sum of the digests of the members with status Alive, without
// this one.
func (m *Membership) AliveDigest() uint64 {
	sum := uint64(0)
	for _, e := range m.members {
		if e.Status == Alive {
			sum += Digest(e.Address)
		}
	}
	return sum
}

// Sweep deletes the entries of members that left more than leftRetention ago, and of
// those that have been unreachable for longer than unreachableTTL.
func (m *Membership) Sweep(now time.Time) {
	for address, e := range m.members {
		age := now.Sub(e.changed)
		if e.Status == Left && age > leftRetention || e.Status == Unreachable && age > unreachableTTL {
			delete(m.members, address)
			m.version++
		}
	}
}
