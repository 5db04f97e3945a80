package forward

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an overload in which nodes ask all targets of a service for room that none of
// them has, each over a new connection, and against a node whose subset is gone and which looks
// no further.
func TestSearchUnderOverloadEndsWithTheSubset(t *testing.T) {
	for name, c := range map[string]struct {
		from        round
		pressed     bool
		answers     int
		first, last round
	}{
		"calm":                       {roundFirst, false, 3, roundFirst, roundAll},
		"calm, waiting":              {roundAll, false, 3, roundAll, roundAll},
		"pressure":                   {roundFirst, true, 3, roundFirst, roundSubset},
		"pressure, waiting":          {roundAll, true, 3, roundSubset, roundSubset},
		"pressure, subset is silent": {roundFirst, true, 0, roundFirst, roundAll},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(firstRound(c.from, c.pressed)).To(Equal(c.first))
			g.Expect(lastRound(c.pressed, c.answers)).To(Equal(c.last))
		})
	}
}
