// Package roster keeps the entry instances that an instance knows: the
// platform's list, which lags, and what its own calls to them showed.
package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/freshness"
)

// unreachableTTL is how long an instance that failed to answer gets no duties.
const unreachableTTL = 3 * time.Second

// readersPerDataCentre is how many instances of a data centre read the log;
// the others hear from them.
const readersPerDataCentre = 2

// Member is one entry instance.
type Member struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data-centre"`
	// Region groups data centres; loads are shared within it.
	Region string `json:"region,omitempty"`
	// Leaving is true while the instance finishes its running work.
	Leaving bool `json:"leaving,omitempty"`
}

// Roster is the set of known members. The zero value is empty; Self should be
// set before use. It is not safe for concurrent use.
type Roster struct {
	Self             Member
	listed           []Member
	unreachableUntil map[string]time.Time
	stopped          map[string]bool
}

// SetMembers takes the platform's list of instances.
func (r *Roster) SetMembers(members []Member) {
	r.listed = append([]Member(nil), members...)
	sort.Slice(r.listed, func(i, j int) bool { return r.listed[i].Name < r.listed[j].Name })
}

// MarkUnreachable notes that a call to a member got no answer.
func (r *Roster) MarkUnreachable(now time.Time, name string) {
	if r.unreachableUntil == nil {
		r.unreachableUntil = map[string]time.Time{}
	}
	r.unreachableUntil[name] = now.Add(unreachableTTL)
}

// MarkStopped notes that a member's host refused the connection: the process that had
// the address has ended.
func (r *Roster) MarkStopped(now time.Time, name string) {
	r.MarkUnreachable(now, name)
	if r.stopped == nil {
		r.stopped = map[string]bool{}
	}
	r.stopped[name] = true
}

// MarkReachable notes that a member answered a call.
func (r *Roster) MarkReachable(name string) {
	delete(r.unreachableUntil, name)
	delete(r.stopped, name)
}

// Peers returns the listed members other than this one, also those in doubt.
func (r *Roster) Peers() []Member {
	var peers []Member
	for _, m := range r.listed {
		if m.Name != r.Self.Name {
			peers = append(peers, m)
		}
	}
	return peers
}

// Live returns the members that may be given duties, this one included unless
// it is leaving, sorted by name.
func (r *Roster) Live(now time.Time) []Member {
	var live []Member
	selfListed := false
	for _, m := range r.listed {
		if m.Name == r.Self.Name {
			selfListed = true
			m = r.Self
		}
		if m.Leaving || now.Before(r.unreachableUntil[m.Name]) {
			continue
		}
		live = append(live, m)
	}
	if !selfListed && !r.Self.Leaving {
		live = append(live, r.Self)
	}
	return live
}

// InRegion returns the live members of this instance's region, without itself.
func (r *Roster) InRegion(now time.Time) []Member {
	var members []Member
	for _, m := range r.Live(now) {
		if m.Region == r.Self.Region && m.Name != r.Self.Name {
			members = append(members, m)
		}
	}
	return members
}

// Readers returns the names of the members of a data centre that read the log.
func (r *Roster) Readers(now time.Time, dataCentre string) []string {
	var names []string
	for _, m := range r.Live(now) {
		if m.DataCentre == dataCentre {
			names = append(names, m.Name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return score("log-reader", names[i]) > score("log-reader", names[j]) })
	return names[:min(len(names), readersPerDataCentre)]
}

// IsReader reports whether this instance reads the log itself.
func (r *Roster) IsReader(now time.Time) bool {
	for _, name := range r.Readers(now, r.Self.DataCentre) {
		if name == r.Self.Name {
			return true
		}
	}
	return false
}

// IsPrimaryReader reports whether this instance is its data centre's first reader, which
// appends the ticks and talks to the first readers of the other data centres.
func (r *Roster) IsPrimaryReader(now time.Time) bool {
	readers := r.Readers(now, r.Self.DataCentre)
	return len(readers) > 0 && readers[0] == r.Self.Name
}

// Local returns the other members of the same data centre.
func (r *Roster) Local() []Member {
	var local []Member
	for _, m := range r.Peers() {
		if m.DataCentre == r.Self.DataCentre {
			local = append(local, m)
		}
	}
	return local
}

// RemotePrimaryReaders returns the first readers of the other data centres. A data centre
// whose members are all in doubt is represented by one of those.
func (r *Roster) RemotePrimaryReaders(now time.Time) []Member {
	primary := map[string]string{}
	for dc := range r.dataCentres() {
		if readers := r.Readers(now, dc); len(readers) > 0 {
			primary[dc] = readers[0]
		}
	}
	var primaries []Member
	for _, m := range r.Peers() {
		if m.DataCentre == r.Self.DataCentre {
			continue
		}
		if primary[m.DataCentre] == "" {
			primary[m.DataCentre] = m.Name
		}
		if primary[m.DataCentre] == m.Name {
			primaries = append(primaries, m)
		}
	}
	return primaries
}

// Scope returns the members whose word is needed before an outage of the log is
// believed. Members in doubt stay in it until the platform's list drops them or
// their host refuses connections, since an instance that can't be heard may be
// the one that hears the log.
func (r *Roster) Scope(now time.Time) freshness.Scope {
	scope := freshness.Scope{Readers: map[string][]string{}}
	for _, m := range r.Peers() {
		if r.stopped[m.Name] {
			continue
		}
		if m.DataCentre == r.Self.DataCentre {
			scope.Local = append(scope.Local, m.Name)
			continue
		}
		if _, ok := scope.Readers[m.DataCentre]; !ok {
			scope.Readers[m.DataCentre] = r.Readers(now, m.DataCentre)
		}
	}
	return scope
}

func (r *Roster) dataCentres() map[string]bool {
	all := map[string]bool{}
	for _, m := range r.listed {
		all[m.DataCentre] = true
	}
	return all
}

// Owner returns the member that owns a key, by rendezvous hashing, so that a
// change of members moves only the keys of those that came or went.
func Owner(key string, members []Member) (Member, bool) {
	var best Member
	var topScore uint64
	found := false
	for _, m := range members {
		if s := score(key, m.Name); !found || s > topScore {
			best, topScore, found = m, s, true
		}
	}
	return best, found
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
