package judge

import (
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

const (
	// slowQuantile is the percentile of the old version above which an answer is slow.
	slowQuantile = 95
	// minSamples is how many answers give a usable percentile.
	minSamples = 100
	// windowSamples is how many answers replace the percentile. Older answers
	// no longer count then, so the percentile follows the load.
	windowSamples = 1000
)

// threshold is the latency above which an answer is slow, from past periods of
// the old version.
type threshold struct {
	window outcome.Counts
	micros int64
}

// slowMicros returns the limit in microseconds and whether one is known.
func (t *threshold) slowMicros() (int64, bool) {
	return t.micros, t.micros > 0
}

func (t *threshold) add(old outcome.Counts) {
	t.window.Merge(old)
	timed := t.window.Timed()
	if timed < minSamples || (t.micros > 0 && timed < windowSamples) {
		return
	}
	t.micros = t.window.Histogram.ValueAtQuantile(slowQuantile)
	if timed >= windowSamples {
		t.window = outcome.Counts{}
	}
}
