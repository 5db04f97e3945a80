package experiment

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a misspelt mechanism in an experiment that then measures nothing.
func TestParseRejectsUnknownMechanisms(t *testing.T) {
	for list, want := range map[string]Disabled{
		"":                              {},
		"waiting":                       {Waiting: true},
		" subsets , second-sends":       {Subsets: true, Hedging: true},
		"waiting,waiting,,return-times": {Waiting: true, RetryAfter: true},
	} {
		g := NewWithT(t)
		disabled, err := Parse(list)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(disabled).To(Equal(want))
	}
	_, err := Parse("waiting,hedges")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring(`"hedges"`)))
}
