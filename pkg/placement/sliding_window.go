package placement

import (
	"cmp"
	"slices"
)

// slidingWindow holds the latest values of a series, up to size of them.
type slidingWindow[T cmp.Ordered] struct {
	size   int
	values []T
	// oldest is the index that is overwritten next once the window is full.
	oldest int
}

func (w *slidingWindow[T]) add(value T) {
	if len(w.values) < w.size {
		w.values = append(w.values, value)
		return
	}
	w.values[w.oldest] = value
	w.oldest = (w.oldest + 1) % w.size
}

// quantile returns the q-quantile of the stored values; the window must not be empty.
func (w *slidingWindow[T]) quantile(q float64) T {
	sorted := slices.Sorted(slices.Values(w.values))
	return sorted[int(q*float64(len(sorted)-1))]
}
