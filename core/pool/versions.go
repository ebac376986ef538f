package pool

import "slices"

// Versions restricts a request to replicas by their software version. The zero value allows
// all.
type Versions struct {
	// Only is the one version that is allowed. If it is empty, all are but those in Except.
	Only   string
	Except []string
	// Among has the versions of which the version must be one; nil allows all of them.
	Among map[string]bool
	// First is the number of replicas that may be chosen: those with the lowest Rank, which is
	// given their id. 0 allows all, and needs no Rank.
	First int
	Rank  func(id string) uint64
}

// Allow reports whether a replica may have a software version.
func (v Versions) Allow(software string) bool {
	if v.Among != nil && !v.Among[software] {
		return false
	}
	if v.Only != "" {
		return software == v.Only
	}
	return !slices.Contains(v.Except, software)
}

// Restrict reports whether some versions are not allowed.
func (v Versions) Restrict() bool { return v.Only != "" || len(v.Except) > 0 || v.Among != nil }

// highestOfFirst returns the highest rank of the first replicas that a request may use; ok is
// false if it may use all. Replicas that leave or are in closed data centres don't count,
// but those that are full or failing do, so that the request does not spread to others.
func (p *Pool) highestOfFirst(req Request) (highest uint64, ok bool) {
	if req.Versions.First <= 0 {
		return 0, false
	}
	var ranks []uint64
	for _, r := range p.replicas {
		if r.Service == req.Service && !r.Draining && !req.ClosedDataCentres[r.DataCentre] && req.Versions.Allow(r.Software) {
			ranks = append(ranks, req.Versions.Rank(r.ID))
		}
	}
	if len(ranks) <= req.Versions.First {
		return 0, false
	}
	slices.Sort(ranks)
	return ranks[req.Versions.First-1], true
}

// ForEach calls do with each replica, in no particular order.
func (p *Pool) ForEach(do func(r Replica)) {
	for _, r := range p.replicas {
		do(r.Replica)
	}
}
