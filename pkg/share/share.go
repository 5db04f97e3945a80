package share

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranked returns the nodes in rendezvous order for a key. The first is the owner.
func Ranked(key string, nodes []string) []string {
	type scored struct {
		score uint64
		node  string
	}
	keyHash := xxhash.Sum64String(key)
	order := make([]scored, len(nodes))
	for i, node := range nodes {
		order[i] = scored{score(keyHash, node), node}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	ranked := make([]string, len(order))
	for i, entry := range order {
		ranked[i] = entry.node
	}
	return ranked
}

// Rank returns the position of a node in the rendezvous order, from 0. A node
// that is not listed ranks after all others: len(nodes).
func Rank(key, node string, nodes []string) int {
	keyHash := xxhash.Sum64String(key)
	own := score(keyHash, node)
	rank := 0
	listed := false
	for _, other := range nodes {
		if other == node {
			listed = true
			continue
		}
		if s := score(keyHash, other); s > own || s == own && other < node {
			rank++
		}
	}
	if !listed {
		return len(nodes)
	}
	return rank
}

// Units returns a node's part of a limit. The parts of all listed nodes add up to
// exactly total. A node that is not listed has none, and neither has any node
// when total is not positive.
func Units(key, node string, nodes []string, total int) int {
	if total <= 0 || !slices.Contains(nodes, node) {
		return 0
	}
	if total%len(nodes) == 0 {
		return total / len(nodes)
	}
	return UnitsForRank(Rank(key, node, nodes), len(nodes), total)
}

// UnitsForRank is Units for a node whose rank among count nodes is known. A rank of count
// or more is that of a node that is not listed.
func UnitsForRank(rank, count, total int) int {
	if total <= 0 || rank >= count {
		return 0
	}
	units := total / count
	if rank < total%count {
		units++
	}
	return units
}

// score combines the two hashes so that the key is hashed once per ranking.
func score(keyHash uint64, node string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], keyHash)
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(node))
	return xxhash.Sum64(pair[:])
}
