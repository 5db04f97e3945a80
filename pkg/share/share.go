// Package share divides limits over nodes by rendezvous hashing.
package share

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Ranked returns nodes in rendezvous order for key; the first is the owner.
func Ranked(key string, nodes []string) []string {
	ranked := append([]string(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool { return before(key, ranked[i], ranked[j]) })
	return ranked
}

// Rank returns the position of node in the rendezvous order for key.
func Rank(key, node string, nodes []string) int {
	rank := 0
	for _, other := range nodes {
		if other != node && before(key, other, node) {
			rank++
		}
	}
	return rank
}

// Units returns the part of total that node gets.
func Units(key, node string, nodes []string, total int) int {
	if len(nodes) == 0 {
		return 0
	}
	units := total / len(nodes)
	if Rank(key, node, nodes) < total%len(nodes) {
		units++
	}
	return units
}

func before(key, a, b string) bool {
	ha, hb := xxhash.Sum64String(key+"\x00"+a), xxhash.Sum64String(key+"\x00"+b)
	if ha != hb {
		return ha > hb
	}
	return a < b
}
