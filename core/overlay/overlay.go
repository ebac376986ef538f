// Package overlay computes which other instances an instance exchanges state with,
// so that the number of exchanges per instance does not grow with the fleet. The
// overlay has two levels: a few roots of each data centre exchange with all other
// roots, and each other instance exchanges with one root of its data centre. A
// fleet in which no data centre has more members than roots is a full mesh.
package overlay

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RootLimit is the total number of roots, divided equally among the data
	// centres. With more than RootLimit data centres, each has one root.
	RootLimit = 16
	// fallbackFactor bounds how many members of another data centre may stand in for
	// its roots that do not respond, as a multiple of its number of roots.
	fallbackFactor = 3
)

// Node is a member of the fleet, with the attributes that decide its place in the
// overlay.
type Node struct {
	Address    netip.AddrPort
	DataCentre string
	// MilliCPU is the processor share in thousandths of a core. Members with more
	// become roots first.
	MilliCPU int
	// Down is true if the member does not respond or is about to terminate. Such a
	// member is not chosen as a root.
	Down bool
}

// Plan is an instance's place in the overlay.
type Plan struct {
	Root bool
	// Parent is the root that this instance exchanges with if it is not a root. It
	// precedes the instance in the order of its data centre, so that no two
	// instances are each other's parents.
	Parent netip.AddrPort
	// Roots are the other roots; empty if this instance is not a root.
	Roots []netip.AddrPort
	// PreferredRoots are the members that would be roots if no member were down,
	// without self. Those that are down are called from time to time.
	PreferredRoots []netip.AddrPort
}

// New returns the plan of self, given the other members that it knows.
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

// setLocalRoots sets Root, and adds the roots of the own data centre to Roots or
// chooses one of them as the parent, by rendezvous hashing.
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

// firstUp returns up to n nodes that are not down, from the first limit nodes.
func firstUp(nodes []Node, n, limit int) []Node {
	var out []Node
	for _, node := range nodes[:min(limit, len(nodes))] {
		if !node.Down && len(out) < n {
			out = append(out, node)
		}
	}
	return out
}

// sortNodes sorts the members of a data centre by decreasing MilliCPU, then by a hash
// of their address, so that all instances get the same order.
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
