package main

import (
	"strings"
	"testing"
)

// Guards against plays of two versions of the code that are compared although their days differ.
func TestSeedDeterminesTheDay(t *testing.T) {
	services := []string{"a", "b"}
	kinds := map[string]bool{}
	for seed := range uint64(60) {
		first, second := drawDay(seed, services, false), drawDay(seed, services, false)
		if first.text() != second.text() {
			t.Fatalf("seed %d draws two days", seed)
		}
		kinds[first.How] = true
		good := drawDay(seed, services, true)
		if good.DurationS != first.DurationS || good.Others != first.Others || !strings.Contains(good.text(), "rollout_good") {
			t.Fatalf("seed %d: the day of the good version differs in more than the version", seed)
		}
	}
	if len(kinds) != len(hows) {
		t.Fatalf("kinds of faults drawn: %v", kinds)
	}
}
