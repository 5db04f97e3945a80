package judge

import (
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

const (
	// slowQuantile is the percentile of the old version's latency above which a response is slow.
	slowQuantile = 95
	// minSamples is how many responses give a usable percentile.
	minSamples = 100
	// windowSamples is how many responses make up a window, after which the percentile is
	// replaced. Older responses no longer count, so the percentile follows the load.
	windowSamples = 1000
)

// threshold is the latency above which a response is slow. It is computed from past periods
// of the old version.
type threshold struct {
	// window collects the responses for the next threshold.
	window outcome.Counts
	// micros is the current threshold in microseconds, 0 while there is none.
	micros int64
}

// slowMicros returns the threshold in microseconds and whether there is one.
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
