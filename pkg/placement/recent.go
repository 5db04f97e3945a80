package placement

import (
	"cmp"
	"slices"
)

// recent keeps the latest values of a series, up to size of them.
type recent[T cmp.Ordered] struct {
	size int
	kept []T
	next int
}

func (r *recent[T]) add(value T) {
	if len(r.kept) < r.size {
		r.kept = append(r.kept, value)
		return
	}
	r.kept[r.next] = value
	r.next = (r.next + 1) % r.size
}

// quantile returns the value below which a part of the kept ones lies; there must be one.
func (r *recent[T]) quantile(part float64) T {
	sorted := slices.Sorted(slices.Values(r.kept))
	return sorted[int(part*float64(len(sorted)-1))]
}
