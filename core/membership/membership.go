// Package membership keeps what an instance knows of the instances of the fleet.
// Entries are merged by revision, as in SWIM: a member refutes what others say of
// it with a higher one, and peers are told only what changed.
package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a member.
type Status int

// The states. At one revision the later one wins.
const (
	Alive Status = iota
	// Unreachable members do not answer, but may live behind a cut.
	Unreachable
	// Left members have said that they end.
	Left
)

// Times of a member's state.
const (
	// unreachableTTL is how long a silent member counts as one that shares limits;
	// regions may lose each other for an hour.
	unreachableTTL = 2 * time.Hour
	// leftTTL is how long a member that left counts, since it finishes requests.
	leftTTL = 30 * time.Second
	// leftRetention is how long its entry is kept against older news of it.
	leftRetention = 5 * time.Minute
)

// Entry is the state of one member.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// MilliCPU is the processor's share of a core, in thousandths.
	MilliCPU int
	// Revision orders the states of a member; it grows with each start.
	Revision uint64
	Status   Status
}

type member struct {
	Entry
	changed time.Time
}

// Membership is the table of all members but this one. Self must be set first. It
// is not safe for concurrent use.
type Membership struct {
	Self    Entry
	members map[netip.AddrPort]*member
	// selfChanged is when the own entry last changed, lastChanged when any did.
	selfChanged, lastChanged time.Time
	version                  uint64
}

// Version changes with each change of the table.
func (m *Membership) Version() uint64 { return m.version }

// Merge takes a member's state and reports whether it is news.
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

// refute answers an entry of this instance that is newer or worse than its own.
func (m *Membership) refute(now time.Time, e Entry) bool {
	if e.Revision < m.Self.Revision || e.Revision == m.Self.Revision && e.Status <= m.Self.Status {
		return false
	}
	m.Self.Revision, m.selfChanged, m.lastChanged = e.Revision+1, now, now
	return true
}

// Leave notes that this instance ends.
func (m *Membership) Leave(now time.Time) {
	m.Self.Status, m.selfChanged = Left, now
	m.version, m.lastChanged = m.version+1, now
}

// MarkUnreachable notes that a member does not answer, and reports whether that is news.
func (m *Membership) MarkUnreachable(now time.Time, address netip.AddrPort) bool {
	known, ok := m.members[address]
	if !ok || known.Status != Alive {
		return false
	}
	known.Status, known.changed = Unreachable, now
	m.version, m.lastChanged = m.version+1, now
	return true
}

// Member returns a member's entry.
func (m *Membership) Member(address netip.AddrPort) (Entry, bool) {
	known, ok := m.members[address]
	if !ok {
		return Entry{}, false
	}
	return known.Entry, true
}

// ChangedSince returns the entries that changed at or after a moment, with the own one;
// the zero time returns all.
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

// Entries returns the other members that have not left, in no order.
func (m *Membership) Entries() []Entry {
	out := make([]Entry, 0, len(m.members))
	for _, e := range m.members {
		if e.Status != Left {
			out = append(out, e.Entry)
		}
	}
	return out
}

// LimitSharers returns the addresses of the members that share limits, this one
// included: all that may still send requests.
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

// AliveCount returns the number of members that are thought to live, without this one.
func (m *Membership) AliveCount() int {
	n := 0
	for _, e := range m.members {
		if e.Status == Alive {
			n++
		}
	}
	return n
}

// Digest is a member's part of a LivingDigest.
func Digest(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }

// AliveDigest is the sum of the digests of the members that are thought to live,
// without this one.
func (m *Membership) AliveDigest() uint64 {
	sum := uint64(0)
	for _, e := range m.members {
		if e.Status == Alive {
			sum += Digest(e.Address)
		}
	}
	return sum
}

// Sweep drops entries that no longer count.
func (m *Membership) Sweep(now time.Time) {
	for address, e := range m.members {
		age := now.Sub(e.changed)
		if e.Status == Left && age > leftRetention || e.Status == Unreachable && age > unreachableTTL {
			delete(m.members, address)
			m.version++
		}
	}
}
