package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against refused callers that all return at the same time, or to a service
// that still refuses most requests.
func TestRetryAfterGrowsWithRejectedShare(t *testing.T) {
	g := NewWithT(t)
	p := &OverloadDetector{}
	calm := p.RetryAfter(0.5)
	g.Expect(calm).To(Equal(minRetryAfter))
	for range 200 {
		p.RecordRequest(true)
	}
	g.Expect(p.RetryAfter(0.5)).To(BeNumerically(">", 4*calm))
	g.Expect(p.RetryAfter(0)).To(BeNumerically("<", p.RetryAfter(1)*2/3))
	for range 200 {
		p.RecordRequest(false)
	}
	g.Expect(p.RetryAfter(0.5)).To(BeNumerically("<", 2*calm))
}

// Guards against callers that wait although the service has room: targets that refuse a
// part of their requests at random refuse the next attempt no more than any other.
func TestTargetRejectionGivesShortRetryAfter(t *testing.T) {
	g := NewWithT(t)
	p := &OverloadDetector{}
	for i := range 200 {
		p.RecordAttempt(i%2 == 0)
	}
	g.Expect(p.RetryAfterTargetRejection(0.5)).To(BeNumerically("<", minRetryAfter))
	for range 200 {
		p.RecordAttempt(true)
	}
	g.Expect(p.RetryAfterTargetRejection(0.5)).To(BeNumerically("~", maxRetryAfter, maxRetryAfter/50))
}

// Guards against a pressure that a single refusal raises, or that stays after the peak.
func TestOverloadIsDetectedWhileManyAreRejected(t *testing.T) {
	g := NewWithT(t)
	p := &OverloadDetector{}
	p.RecordRequest(true)
	g.Expect(p.IsOverloaded()).To(BeFalse())
	for i := range 40 {
		p.RecordRequest(i%4 == 0)
	}
	g.Expect(p.IsOverloaded()).To(BeTrue())
	for range 30 {
		p.RecordRequest(false)
	}
	g.Expect(p.IsOverloaded()).To(BeFalse())
}
