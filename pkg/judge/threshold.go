package judge

import (
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

const (
	// slowQuantile is the percentile of the old version above which an answer is slow.
	slowQuantile = 95
	// minReference is how many answers give a usable percentile.
	minReference = 100
	// fullReference is how many answers replace the percentile. Older answers
	// no longer count then, so the percentile follows the load.
	fullReference = 1000
)

// threshold is the latency above which an answer is slow, from past periods of
// the old version.
type threshold struct {
	filling outcome.Counts
	micros  int64
}

// slowMicros returns the limit in microseconds and whether one is known.
func (t *threshold) slowMicros() (int64, bool) {
	return t.micros, t.micros > 0
}

func (t *threshold) add(old outcome.Counts) {
	t.filling.Merge(old)
	timed := t.filling.Timed()
	if timed < minReference || (t.micros > 0 && timed < fullReference) {
		return
	}
	t.micros = t.filling.Histogram.ValueAtQuantile(slowQuantile)
	if timed >= fullReference {
		t.filling = outcome.Counts{}
	}
}
