package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a bucket that admits more than its rate in any window, whatever the pattern of
// askers and changes of the rate, or that wastes what it could admit.
func TestBucketKeepsItsRate(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		rate := 0.2 + 20*random.Float64()
		bucket := NewBucket(rate, 1, start)
		var taken []time.Time
		for now := start; now.Before(at(30)); now = now.Add(time.Duration(random.ExpFloat64() / (2 * rate) * float64(time.Second))) {
			if _, ok := bucket.Take(now); ok {
				taken = append(taken, now)
			}
		}
		g.Expect(float64(len(taken))).To(BeNumerically("<=", rate*30))
		g.Expect(float64(len(taken))).To(BeNumerically(">", rate*30/2-2))
		for first := range taken {
			count := 0
			for _, later := range taken[first:] {
				if later.Sub(taken[first]) < 4*time.Second {
					count++
				}
			}
			g.Expect(float64(count)).To(BeNumerically("<=", rate*4+1))
		}
	}
}

// Guards against units saved up before the rate was lowered, and against a first unit right after a
// start, of which nobody knows what was sent before it.
func TestBucketStartsEmptyAndForgetsAHigherRate(t *testing.T) {
	g := NewWithT(t)
	bucket := NewBucket(100, 10, start)
	_, ok := bucket.Take(start)
	g.Expect(ok).To(BeFalse())
	bucket.SetRate(1, 1, at(1))
	_, ok = bucket.Take(at(1))
	g.Expect(ok).To(BeTrue())
	wait, ok := bucket.Take(at(1))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(time.Second))
}

// Guards against refused askers that all come back for the same unit, and against a time to return
// that is infinite or not a number.
func TestRefusedAskersComeBackOneByOne(t *testing.T) {
	g := NewWithT(t)
	bucket := NewBucket(2, 1, start)
	var waits []time.Duration
	for range 3 {
		wait, _ := bucket.Take(start)
		waits = append(waits, wait)
	}
	g.Expect(waits).To(Equal([]time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond}))
	for range 30 {
		wait, _ := bucket.Take(start)
		g.Expect(wait).To(BeNumerically("<=", maxWait))
	}
	wait, ok := NewBucket(0, 1, start).Take(at(100))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(maxWait))
}
