package share

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against units that are lost or handed out twice, and against a rank that
// depends on the order in which nodes are listed, and against units by a kept rank
// that differ from those by a new one.
func TestUnitsAddUpToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringN(1, 8, 16), 1, 40, rapid.ID).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		total := rapid.IntRange(-2, 500).Draw(t, "total")
		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		g := NewWithT(t)
		sum := 0
		for rank, node := range Ranked(key, nodes) {
			g.Expect(UnitsForRank(rank, len(nodes), total)).To(Equal(Units(key, node, shuffled, total)))
			g.Expect(Rank(key, node, shuffled)).To(Equal(rank))
			sum += Units(key, node, shuffled, total)
		}
		g.Expect(sum).To(Equal(max(total, 0)))
		g.Expect(Units(key, "a name that is longer than any", nodes, total)).To(BeZero())
		g.Expect(UnitsForRank(len(nodes), len(nodes), total)).To(BeZero())
	})
}

// Guards against a ranking that moves owners between nodes that stay.
func TestLeavingNodeMovesOnlyItsOwnKeys(t *testing.T) {
	g := NewWithT(t)
	nodes := names(19)
	for i := range 500 {
		key := fmt.Sprint("target-", i)
		if owner := Ranked(key, nodes)[0]; owner != nodes[18] {
			g.Expect(Ranked(key, nodes[:18])[0]).To(Equal(owner))
		}
	}
}

func BenchmarkUnits150(b *testing.B) {
	nodes := names(150)
	for b.Loop() {
		Units("10.0.0.1:80", nodes[75], nodes, 170)
	}
}

func names(count int) []string {
	nodes := make([]string, count)
	for i := range nodes {
		nodes[i] = fmt.Sprint("node-", i)
	}
	return nodes
}
