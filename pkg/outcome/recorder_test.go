package outcome

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests lost or counted twice while counts are taken.
func TestCollectLosesNothing(t *testing.T) {
	g := NewWithT(t)
	recorder := &Recorder{}
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for i := range 1000 {
				recorder.Record(time.Duration(i)*time.Microsecond, i%10 == 0)
			}
		})
	}
	requests, failures, recorded := 0, 0, int64(0)
	add := func(counts Counts) {
		requests += counts.Requests
		failures += counts.Failures
		if counts.Histogram != nil {
			recorded += counts.Histogram.TotalCount()
		}
	}
	for range 100 {
		add(recorder.Collect())
	}
	writers.Wait()
	add(recorder.Collect())
	g.Expect([]int{requests, failures, int(recorded)}).To(Equal([]int{4000, 400, 4000}))
}
