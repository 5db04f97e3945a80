package capacity

import (
	"errors"
	"sync"
)

// sampleNodes is the number of nodes of one size over which the mean is computed.
const sampleNodes = 4

// MeasureMemory measures how the heap of a node's control state grows with the numbers of targets,
// nodes and services, each measured with the other two at a small size.
func MeasureMemory(r TablePrinter) error {
	base := stateSize{nodes: 19, targets: 38, services: 3}
	series := []struct {
		name   string
		sizes  []int
		target float64
		with   func(s *stateSize, value int)
	}{
		{"targets", []int{38, 400, 1500}, 1500, func(s *stateSize, value int) { s.targets = value }},
		{"nodes", []int{19, 50, 100, 150}, 150, func(s *stateSize, value int) { s.nodes = value }},
		{"services of 12 objects", []int{3, 20, 80}, 80, func(s *stateSize, value int) { s.services = value }},
	}
	for _, dimension := range series {
		xs, ys := []float64{}, []float64{}
		for _, value := range dimension.sizes {
			s := base
			dimension.with(&s, value)
			bytes, err := heapPerNode(s)
			if err != nil {
				return err
			}
			xs, ys = append(xs, float64(value)), append(ys, bytes/1024)
		}
		r.PrintFit("(c) heap of one node's control state", dimension.name, xs, dimension.target, Series{"KB", ys})
	}
	return nil
}

func heapPerNode(s stateSize) (float64, error) {
	server, err := newPlatform(s)
	if err != nil {
		return 0, err
	}
	before := heapBytes()
	var nodes [sampleNodes]*node
	var errs [sampleNodes]error
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() { nodes[i], errs[i] = startNode(server, s) })
	}
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return 0, err
	}
	bytes := (heapBytes() - before) / sampleNodes
	for _, n := range nodes {
		n.stop()
	}
	return bytes, nil
}
