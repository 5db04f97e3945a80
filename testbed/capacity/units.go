package capacity

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	targetsPerService = 19
	unitServices      = 80
)

// Units prints the units per node when the limit of each target is divided over
// the fleet, and the part of (node, service) pairs without any unit.
func Units(r Report) {
	rows := []table.Row{}
	for _, nodes := range []int{19, 60, 100, 150} {
		d := divide(nodes)
		rows = append(rows, table.Row{nodes, number(d.mean), d.least, d.most, number(d.targets), number(100 * d.without)})
	}
	title := fmt.Sprintf("(h) units of a service with %d targets of %d units, over %d services", targetsPerService, slots+queue, unitServices)
	r.Rows(title, table.Row{"nodes", "units per node", "least", "most", "targets per node", "nodes without a unit, %"}, rows)
}

// division is how the units of a service fall to the nodes.
type division struct {
	mean, targets, without float64
	least, most            int
}

func divide(nodes int) division {
	names := []string{}
	for i := range nodes {
		names = append(names, peerName(i))
	}
	d := division{least: 1 << 30}
	pairs, units, reached, without := 0, 0, 0, 0
	for service := range unitServices {
		for _, node := range names {
			own := 0
			for i := range targetsPerService {
				at := service*targetsPerService + i
				part := share.Units(fmt.Sprintf("127.2.%d.%d:8080", at/250, at%250+1), node, names, slots+queue)
				own += part
				reached += min(part, 1)
			}
			pairs++
			units += own
			without += 1 - min(own, 1)
			d.least, d.most = min(d.least, own), max(d.most, own)
		}
	}
	total := float64(pairs)
	d.mean, d.targets, d.without = float64(units)/total, float64(reached)/total, float64(without)/total
	return d
}
