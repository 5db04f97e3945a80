package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against rejected callers that all retry at the same time, or too early at a service that
// still rejects most requests.
func TestRetryAfterGrowsWithRejectedShare(t *testing.T) {
	g := NewWithT(t)
	d := &OverloadDetector{}
	normal := d.RetryAfter(0.5)
	g.Expect(normal).To(Equal(minRetryAfter))
	for range 200 {
		d.RecordRequest(true)
	}
	g.Expect(d.RetryAfter(0.5)).To(BeNumerically(">", 4*normal))
	g.Expect(d.RetryAfter(0)).To(BeNumerically("<", d.RetryAfter(1)*2/3))
	for range 200 {
		d.RecordRequest(false)
	}
	g.Expect(d.RetryAfter(0.5)).To(BeNumerically("<", 2*normal))
}

// Guards against long retry delays although the service has free capacity: targets that reject
// a part of their requests at random are no more likely to reject the retry.
func TestTargetRejectionGivesShortRetryAfter(t *testing.T) {
	g := NewWithT(t)
	d := &OverloadDetector{}
	for i := range 200 {
		d.RecordAttempt(i%2 == 0)
	}
	g.Expect(d.RetryAfterTargetRejection(0.5)).To(BeNumerically("<", minRetryAfter))
	for range 200 {
		d.RecordAttempt(true)
	}
	g.Expect(d.RetryAfterTargetRejection(0.5)).To(BeNumerically("~", maxRetryAfter, maxRetryAfter/50))
}

// Guards against a single rejection that is taken for overload, and against overload that is
// still reported after the peak.
func TestOverloadIsDetectedWhileManyAreRejected(t *testing.T) {
	g := NewWithT(t)
	d := &OverloadDetector{}
	d.RecordRequest(true)
	g.Expect(d.IsOverloaded()).To(BeFalse())
	for i := range 40 {
		d.RecordRequest(i%4 == 0)
	}
	g.Expect(d.IsOverloaded()).To(BeTrue())
	for range 30 {
		d.RecordRequest(false)
	}
	g.Expect(d.IsOverloaded()).To(BeFalse())
}
