package retry

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a second execution that section 6 forbids and against a final
// not-run after a try whose outcome is unknown.
func TestDecideBoundsExecutions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		budget := &Budget{}
		attempt := Attempt{
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Depth: rapid.IntRange(0, 2).Draw(t, "depth"),
			NoRetry: rapid.Bool().Draw(t, "noRetry"),
		}
		for {
			attempt.Attempts++
			attempt.Outcome = rapid.SampledFrom([]Outcome{NotRun, Unknown}).Draw(t, "outcome")
			if attempt.Outcome == Unknown {
				attempt.UnknownOutcomes++
			}
			decision := budget.Decide(attempt)
			g.Expect(decision.Outcome == NotRun).To(Equal(attempt.UnknownOutcomes == 0))
			if !decision.Retry {
				break
			}
		}
		g.Expect(attempt.Attempts).To(BeNumerically("<=", MaxAttempts))
		g.Expect(attempt.UnknownOutcomes).To(BeNumerically("<=", 2))
		if !attempt.Idempotent || attempt.Depth > 0 || attempt.NoRetry {
			g.Expect(attempt.UnknownOutcomes).To(BeNumerically("<=", 1))
		}
	})
}

// Guards against a budget above 10 percent of the successes plus 10.
func TestBudget(t *testing.T) {
	g := NewWithT(t)
	budget := &Budget{}
	allowed := 0
	for i := range 1000 {
		if budget.Decide(Attempt{Outcome: Unknown, Attempts: 1, UnknownOutcomes: 1, Idempotent: true}).Retry {
			allowed++
		}
		if i < 500 {
			budget.RecordSuccess()
		}
	}
	g.Expect(allowed).To(Equal(reserveRetries + 50))
}

// Guards against a refusal being taken for not run without proof.
func TestClassify(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Classify(Failure{NotSent: true})).To(Equal(NotRun))
	g.Expect(Classify(Failure{Status: 503, Declared: NotRun})).To(Equal(NotRun))
	g.Expect(Classify(Failure{Status: 503})).To(Equal(Unknown))
	g.Expect(Classify(Failure{Status: 500, Declared: NotRun})).To(Equal(Unknown))
}
