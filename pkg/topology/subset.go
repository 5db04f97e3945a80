package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/placement"
)

const (
	// meanSubsetSize is how many targets of a version a node asks first, on average. A node
	// that asks all of some hundred targets comes to each so seldom that its connections
	// have been closed by then, and each question costs a new one.
	meanSubsetSize = 4
	// minSubsetSize is the least size of a subset.
	minSubsetSize = 3
	// minNodesPerTarget is in how many nodes' subsets a target is at least, so that what
	// it gets does not depend on a single node.
	minNodesPerTarget = 4
)

// subsetSelector chooses which targets a node asks first. Each target picks its nodes by
// rendezvous hashing, so that all targets are in equally many subsets, nodes differ, and
// little changes when targets or nodes come and go.
type subsetSelector struct {
	selfHash   uint64
	dataCentre string
	// nodeHashes are the hashes of the other nodes' names by data centre.
	nodeHashes map[string][]uint64
	fleetSize  int
}

func newSubsetSelector(self, dataCentre string, fleet []catalog.Node) *subsetSelector {
	s := &subsetSelector{selfHash: xxhash.Sum64String(self), dataCentre: dataCentre, nodeHashes: map[string][]uint64{}, fleetSize: 1}
	for _, node := range fleet {
		if node.Name != self {
			s.nodeHashes[node.DataCentre] = append(s.nodeHashes[node.DataCentre], xxhash.Sum64String(node.Name))
			s.fleetSize++
		}
	}
	return s
}

// selectSubset sets the subset of a pool.
func (s *subsetSelector) selectSubset(p *Pool) {
	if p.Len() == 0 {
		return
	}
	nodesPerTarget := max(minNodesPerTarget, (meanSubsetSize*s.fleetSize+p.Len()-1)/p.Len())
	localNodes := placement.LocalProbes(nodesPerTarget)
	for _, target := range p.Local {
		if s.isSelected(target, func(dataCentre string) bool { return dataCentre == s.dataCentre }, localNodes) {
			p.Subset = append(p.Subset, target)
		}
	}
	for _, target := range p.Remote {
		if s.isSelected(target, func(dataCentre string) bool { return dataCentre != target.DataCentre }, nodesPerTarget-localNodes) {
			p.Subset = append(p.Subset, target)
		}
	}
	s.fill(p)
}

// isSelected tells whether the node is among the first count nodes for a target, of those
// in some data centres.
func (s *subsetSelector) isSelected(target *Target, matches func(dataCentre string) bool, count int) bool {
	hash := xxhash.Sum64String(target.ID)
	own := combineHashes(hash, s.selfHash)
	higher := 0
	for dataCentre, nodes := range s.nodeHashes {
		if !matches(dataCentre) {
			continue
		}
		for _, node := range nodes {
			if combineHashes(hash, node) > own {
				higher++
				if higher >= count {
					return false
				}
			}
		}
	}
	return true
}

// fill adds targets, local ones first, where too few picked the node.
func (s *subsetSelector) fill(p *Pool) {
	for _, targets := range [][]*Target{p.Local, p.Remote} {
		missing := minSubsetSize - len(p.Subset)
		if missing <= 0 {
			return
		}
		ranked := slices.SortedFunc(slices.Values(targets), func(a, b *Target) int {
			return cmp.Compare(combineHashes(s.selfHash, xxhash.Sum64String(a.ID)), combineHashes(s.selfHash, xxhash.Sum64String(b.ID)))
		})
		for _, target := range ranked {
			if len(p.Subset) < minSubsetSize && !slices.Contains(p.Subset, target) {
				p.Subset = append(p.Subset, target)
			}
		}
	}
}

// combineHashes combines two hashes so that each pair has a weight of its own; it is the finalizer
// of SplitMix64.
func combineHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
