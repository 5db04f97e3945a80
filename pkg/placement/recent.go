package placement

import (
	"cmp"
	"slices"
)

// slidingWindow keeps the latest values of a series, up to size of them.
type slidingWindow[T cmp.Ordered] struct {
	size   int
	values []T
	oldest int
}

func (r *slidingWindow[T]) add(value T) {
	if len(r.values) < r.size {
		r.values = append(r.values, value)
		return
	}
	r.values[r.oldest] = value
	r.oldest = (r.oldest + 1) % r.size
}

// quantile returns the value below which a part of the kept ones lies; there must be one.
func (r *slidingWindow[T]) quantile(q float64) T {
	sorted := slices.Sorted(slices.Values(r.values))
	return sorted[int(q*float64(len(sorted)-1))]
}
