package forward

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against nodes that probe all targets of an overloaded service, each over a new
// connection, although none has free capacity. A node whose whole subset does not respond must
// still probe the other targets.
func TestSearchUnderOverloadEndsWithTheSubset(t *testing.T) {
	for name, c := range map[string]struct {
		from        round
		overloaded  bool
		results     int
		first, last round
	}{
		"normal load":                   {roundFirst, false, 3, roundFirst, roundAll},
		"normal load, waiting":          {roundAll, false, 3, roundAll, roundAll},
		"overload":                      {roundFirst, true, 3, roundFirst, roundSubset},
		"overload, waiting":             {roundAll, true, 3, roundSubset, roundSubset},
		"overload, subset unresponsive": {roundFirst, true, 0, roundFirst, roundAll},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(firstRound(c.from, c.overloaded)).To(Equal(c.first))
			g.Expect(lastRound(c.overloaded, c.results)).To(Equal(c.last))
		})
	}
}
