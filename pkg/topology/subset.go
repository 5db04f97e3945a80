package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/placement"
)

const (
	// usualSubset is how many targets of a version a node asks first, on average. A node
	// that asks all of some hundred targets comes to each so seldom that its connections
	// have been closed by then, and each question costs a new one.
	usualSubset = 4
	// leastSubset is the least size of a subset.
	leastSubset = 3
	// nodesPerTarget is in how many nodes' subsets a target is at least, so that what
	// it gets does not depend on a single node.
	nodesPerTarget = 4
)

// subsets chooses which targets a node asks first. Each target picks its nodes by
// rendezvous hashing, so that all targets are in equally many subsets, nodes differ, and
// little changes when targets or nodes come and go.
type subsets struct {
	self       uint64
	dataCentre string
	// nodes are the hashes of the other nodes' names by data centre.
	nodes map[string][]uint64
	fleet int
}

func newSubsets(self, dataCentre string, fleet []catalog.Node) *subsets {
	s := &subsets{self: xxhash.Sum64String(self), dataCentre: dataCentre, nodes: map[string][]uint64{}, fleet: 1}
	for _, node := range fleet {
		if node.Name != self {
			s.nodes[node.DataCentre] = append(s.nodes[node.DataCentre], xxhash.Sum64String(node.Name))
			s.fleet++
		}
	}
	return s
}

// choose sets the subset of a pool.
func (s *subsets) choose(p *Pool) {
	if p.Len() == 0 {
		return
	}
	wanted := max(nodesPerTarget, (usualSubset*s.fleet+p.Len()-1)/p.Len())
	local := placement.LocalProbes(wanted)
	for _, target := range p.Local {
		if s.isPicked(target, func(dataCentre string) bool { return dataCentre == s.dataCentre }, local) {
			p.Subset = append(p.Subset, target)
		}
	}
	for _, target := range p.Remote {
		if s.isPicked(target, func(dataCentre string) bool { return dataCentre != target.DataCentre }, wanted-local) {
			p.Subset = append(p.Subset, target)
		}
	}
	s.fill(p)
}

// isPicked tells whether the node is among the first count nodes for a target, of those
// in some data centres.
func (s *subsets) isPicked(target *Target, from func(dataCentre string) bool, count int) bool {
	hash := xxhash.Sum64String(target.ID)
	own := mix(hash, s.self)
	before := 0
	for dataCentre, nodes := range s.nodes {
		if !from(dataCentre) {
			continue
		}
		for _, node := range nodes {
			if mix(hash, node) > own {
				before++
				if before >= count {
					return false
				}
			}
		}
	}
	return true
}

// fill adds targets, local ones first, where too few picked the node.
func (s *subsets) fill(p *Pool) {
	for _, targets := range [][]*Target{p.Local, p.Remote} {
		missing := leastSubset - len(p.Subset)
		if missing <= 0 {
			return
		}
		ranked := slices.SortedFunc(slices.Values(targets), func(a, b *Target) int {
			return cmp.Compare(mix(s.self, xxhash.Sum64String(a.ID)), mix(s.self, xxhash.Sum64String(b.ID)))
		})
		for _, target := range ranked {
			if len(p.Subset) < leastSubset && !slices.Contains(p.Subset, target) {
				p.Subset = append(p.Subset, target)
			}
		}
	}
}

// mix combines two hashes so that each pair has a weight of its own; it is the finalizer
// of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
