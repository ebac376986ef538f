// Package overlay decides with which other instances an instance exchanges state,
// so that the number of exchanges does not grow with the fleet. A few roots of
// each data centre exchange with all other roots; each other instance exchanges
// with one root of its data centre. A fleet of up to RootLimit instances is a full
// mesh.
package overlay

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RootLimit is the number of roots in all, if there are no more data centres.
	RootLimit = 16
	// fallbackFactor is how many further members of another data centre are tried, in
	// roots, while its roots do not answer.
	fallbackFactor = 3
)

// Node is a member as the overlay sees it.
type Node struct {
	Address    netip.AddrPort
	DataCentre string
	// MilliCPU is the processor's share of a core, in thousandths: strong members
	// become roots first.
	MilliCPU int
	// Down members are not relied on: they do not answer or are about to end.
	Down bool
}

// Plan is an instance's place in the overlay.
type Plan struct {
	Root bool
	// Parent is the root that an instance exchanges with which is none itself. It
	// comes before the instance in the order of its data centre, so that no two
	// instances are each other's parents.
	Parent netip.AddrPort
	// Roots are the other roots that a root exchanges with.
	Roots []netip.AddrPort
	// PreferredRoots are the members that would be roots if all answered, without self: the
	// down ones among them are tried from time to time.
	PreferredRoots []netip.AddrPort
}

// New plans for an instance that knows the others.
func New(self Node, others []Node) Plan {
	centres := map[string][]Node{self.DataCentre: {self}}
	for _, n := range others {
		centres[n.DataCentre] = append(centres[n.DataCentre], n)
	}
	rootsPerCentre := max(1, RootLimit/len(centres))
	var plan Plan
	for name, nodes := range centres {
		sortNodes(nodes)
		preferred := nodes[:min(rootsPerCentre, len(nodes))]
		for _, n := range preferred {
			if n.Address != self.Address {
				plan.PreferredRoots = append(plan.PreferredRoots, n.Address)
			}
		}
		if name == self.DataCentre {
			plan.setLocalRoots(self, firstUp(nodes, rootsPerCentre, len(nodes)))
			continue
		}
		for _, n := range firstUp(nodes, rootsPerCentre, (1+fallbackFactor)*rootsPerCentre) {
			plan.Roots = append(plan.Roots, n.Address)
		}
	}
	if !plan.Root {
		plan.Roots = nil
	}
	return plan
}

// setLocalRoots takes the roots of the own data centre.
func (p *Plan) setLocalRoots(self Node, roots []Node) {
	for _, n := range roots {
		if n.Address == self.Address {
			p.Root = true
		}
	}
	var top uint64
	for _, n := range roots {
		switch {
		case n.Address == self.Address:
		case p.Root:
			p.Roots = append(p.Roots, n.Address)
		default:
			if s := xxhash.Sum64String(self.Address.String() + "\x00" + n.Address.String()); !p.Parent.IsValid() || s > top {
				p.Parent, top = n.Address, s
			}
		}
	}
}

// firstUp returns the first n nodes that are not down, of the first limit.
func firstUp(nodes []Node, n, limit int) []Node {
	var out []Node
	for _, node := range nodes[:min(limit, len(nodes))] {
		if !node.Down && len(out) < n {
			out = append(out, node)
		}
	}
	return out
}

// sortNodes orders the members of a data centre: strong ones first, else by a hash
// on which all instances agree.
func sortNodes(nodes []Node) {
	slices.SortFunc(nodes, func(a, b Node) int {
		if a.MilliCPU != b.MilliCPU {
			return b.MilliCPU - a.MilliCPU
		}
		x, y := xxhash.Sum64String(a.Address.String()), xxhash.Sum64String(b.Address.String())
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return a.Address.Compare(b.Address)
	})
}
