package share

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a node with its score for a key.
type scored struct {
	score uint64
	node  string
}

// compare orders nodes by descending score.
func (s scored) compare(other scored) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.node, other.node))
}

// Ranked returns the nodes in rendezvous order for a key. The first one is the owner.
func Ranked(key string, nodes []string) []string {
	keyHash := xxhash.Sum64String(key)
	order := make([]scored, len(nodes))
	for i, node := range nodes {
		order[i] = scored{score(keyHash, node), node}
	}
	slices.SortFunc(order, scored.compare)
	ranked := make([]string, len(order))
	for i, entry := range order {
		ranked[i] = entry.node
	}
	return ranked
}

// First returns the first count nodes of the rendezvous order for a key. It costs less than Ranked
// if count is small.
func First(key string, nodes []string, count int) []string {
	keyHash := xxhash.Sum64String(key)
	first := make([]scored, 0, count+1)
	for _, node := range nodes {
		candidate := scored{score(keyHash, node), node}
		at, _ := slices.BinarySearchFunc(first, candidate, scored.compare)
		if at < count {
			first = slices.Insert(first, at, candidate)
			first = first[:min(len(first), count)]
		}
	}
	names := make([]string, len(first))
	for i, entry := range first {
		names[i] = entry.node
	}
	return names
}

// Rank returns the position of a node in the rendezvous order for a key, counted from 0. It returns
// len(nodes) for a node that is not listed.
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

// Units returns a node's share of the total units of a limit. The shares of all listed nodes add up
// to exactly total. The share is 0 for a node that is not listed, and for all nodes if total is not
// positive.
func Units(key, node string, nodes []string, total int) int {
	if total <= 0 || !slices.Contains(nodes, node) {
		return 0
	}
	if total%len(nodes) == 0 {
		return total / len(nodes)
	}
	return UnitsForRank(Rank(key, node, nodes), len(nodes), total)
}

// UnitsForRank returns the same as Units for a node whose rank among count nodes is known. A rank
// of count or more means that the node is not listed.
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

// score combines the hashes of key and node. It takes the key's hash so that the key is hashed only
// once per ranking.
func score(keyHash uint64, node string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], keyHash)
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(node))
	return xxhash.Sum64(pair[:])
}
