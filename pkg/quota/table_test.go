package quota

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newTable() *Table { return NewTable(func(Change) {}) }

func named(rate float64) Statement { return Statement{Kind: Named, Rate: rate} }

// Guards against a response that the target sent before it named its limit, and that arrives after
// one that carries the limit, lifting or raising the limit; and against a limit that never ends.
func TestOlderResponseDoesNotLiftTheLimit(t *testing.T) {
	key := Key{Target: "i-1", Incarnation: 7}
	for name, c := range map[string]struct {
		said        Statement
		sent        float64
		wantLimited bool
		wantRate    float64
	}{
		"without limit, sent before":  {Statement{}, 0.9, true, 2},
		"without limit, sent after":   {Statement{}, 1.1, false, 0},
		"higher, sent before":         {named(9), 0.9, true, 2},
		"higher, sent after":          {named(9), 1.1, true, 9},
		"lower, sent before":          {named(1), 0.9, true, 1},
		"zero":                        {named(0), 1.1, true, 0},
		"malformed":                   {Statement{Kind: Malformed}, 1.1, true, 2},
		"the same again, sent before": {named(2), 0.9, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTable()
			table.Observe(key, named(2), at(0.5), at(1))
			table.Observe(key, c.said, at(c.sent), at(1.2))
			limit, limited := table.Get(key)
			g.Expect(limited).To(Equal(c.wantLimited))
			if limited {
				g.Expect(limit.Rate).To(Equal(c.wantRate))
			}
			_, limited = table.Get(Key{Target: "i-1", Incarnation: 8})
			g.Expect(limited).To(BeFalse(), "a restarted target has named no limit")
		})
	}
}

// Guards against a limit that is lost while its target's entry is missing for some seconds, and
// against limits of targets that are gone for good piling up.
func TestLimitOutlastsMissingEntry(t *testing.T) {
	g := NewWithT(t)
	key := Key{Target: "i-1"}
	table := newTable()
	table.Observe(key, named(2), at(0), at(0))
	table.Sweep(map[Key]bool{}, at(20))
	g.Expect(table.LimitedCount()).To(Equal(1))
	table.Sweep(map[Key]bool{key: true}, at(30))
	table.Sweep(map[Key]bool{}, at(140))
	g.Expect(table.LimitedCount()).To(Equal(1))
	table.Sweep(map[Key]bool{}, at(151))
	g.Expect(table.IsEmpty()).To(BeTrue())
}

// Guards against a message that arrives late bringing back a limit that has changed or ended, and
// against nodes that end up with different limits after hearing different ones at the same time.
func TestPeersAgreeOnTheLatestLimit(t *testing.T) {
	key := Key{Target: "i-1"}
	limit := func(version uint64, limited bool, rate float64) Limit {
		return Limit{Key: key, Version: version, Limited: limited, Rate: rate}
	}
	for name, c := range map[string]struct{ known, received, want Limit }{
		"newer":                  {limit(1, true, 2), limit(2, false, 0), limit(2, false, 0)},
		"older":                  {limit(2, false, 0), limit(1, true, 2), limit(2, false, 0)},
		"same version, stricter": {limit(2, false, 0), limit(2, true, 3), limit(2, true, 3)},
		"same version, looser":   {limit(2, true, 1), limit(2, true, 3), limit(2, true, 1)},
		"not a number":           {limit(1, true, 2), limit(2, true, math.NaN()), limit(1, true, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTable()
			table.Merge("n1", []Limit{c.known}, start)
			table.Merge("n2", []Limit{c.received}, start)
			g.Expect(table.Known(key)).To(Equal(c.want))
			g.Expect(table.Own()).To(BeEmpty())
		})
	}
}
