package capacity

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	unitTargetsPerService = 19
	unitServices          = 80
)

// MeasureUnits prints the units per node when the limit of each target is divided over the fleet,
// and the share of (node, service) pairs without a unit.
func MeasureUnits(r TablePrinter) {
	rows := []table.Row{}
	for _, nodes := range []int{19, 60, 100, 150} {
		d := divideUnits(nodes)
		rows = append(rows, table.Row{nodes, formatNumber(d.meanUnits), d.minUnits, d.maxUnits, formatNumber(d.meanTargets), formatNumber(100 * d.withoutUnits)})
	}
	title := fmt.Sprintf("(h) units of a service with %d targets of %d units, over %d services", unitTargetsPerService, slots+queue, unitServices)
	r.PrintRows(title, table.Row{"nodes", "units per node", "least", "most", "targets per node", "nodes without a unit, %"}, rows)
}

// division summarises the units of a service that each node is assigned. withoutUnits is the share
// of (node, service) pairs without a unit, meanTargets the targets of which a node has units.
type division struct {
	meanUnits, meanTargets, withoutUnits float64
	minUnits, maxUnits                   int
}

func divideUnits(nodes int) division {
	names := []string{}
	for i := range nodes {
		names = append(names, peerName(i))
	}
	d := division{minUnits: 1 << 30}
	pairs, units, reached, without := 0, 0, 0, 0
	for service := range unitServices {
		for _, node := range names {
			ownUnits := 0
			for i := range unitTargetsPerService {
				index := service*unitTargetsPerService + i
				targetUnits := share.Units(fmt.Sprintf("127.2.%d.%d:8080", index/250, index%250+1), node, names, slots+queue)
				ownUnits += targetUnits
				reached += min(targetUnits, 1)
			}
			pairs++
			units += ownUnits
			without += 1 - min(ownUnits, 1)
			d.minUnits, d.maxUnits = min(d.minUnits, ownUnits), max(d.maxUnits, ownUnits)
		}
	}
	pairCount := float64(pairs)
	d.meanUnits, d.meanTargets, d.withoutUnits = float64(units)/pairCount, float64(reached)/pairCount, float64(without)/pairCount
	return d
}
