package control

import (
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/datacentre"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// maxReportAge is how long a node's report on a data centre counts.
const maxReportAge = 3 * reportInterval

// nodeLoad is what one node last reported of the data centres that are out.
type nodeLoad struct {
	receivedAt  time.Time
	revision    uint64
	incarnation uint64
	sequence    uint64
	loads       map[string]dataCentreLoad
}

// dataCentreLoad is one node's requests at the targets of a data centre.
type dataCentreLoad struct {
	inFlight int
	sent     uint64 // since the node started
	limited  int
}

// moves is what the controller knows of data centres that move.
type moves struct {
	loadsByNode map[string]nodeLoad
	// sentNew counts requests sent since the previous step, by data centre.
	sentNew map[string]int
	// settledSteps counts the steps in a row in which no target was limited by its ramp.
	settledSteps map[dataCentreKey]int
}

// dataCentreKey is a data centre under one generation of its declaration.
type dataCentreKey struct {
	name       string
	generation int
}

// minSettledSteps is how many calm steps show that a returned data centre bears its load.
const minSettledSteps = 3

func newMoves() moves {
	return moves{loadsByNode: map[string]nodeLoad{}, sentNew: map[string]int{}, settledSteps: map[dataCentreKey]int{}}
}

// isDuplicate tells that a report was taken in before.
func (m *moves) isDuplicate(report message.NodeReport) bool {
	last, exists := m.loadsByNode[report.Node]
	return exists && last.incarnation == report.Incarnation && report.Sequence <= last.sequence
}

// record notes a node's report. Requests are counted as new only against an earlier
// report of the same start of the node under the same or a newer configuration.
func (m *moves) record(node string, report nodeLoad, revision uint64) {
	previous, exists := m.loadsByNode[node]
	m.loadsByNode[node] = report
	if !exists || previous.incarnation != report.incarnation || previous.revision < revision {
		return
	}
	for name, load := range report.loads {
		previousLoad, hasPreviousLoad := previous.loads[name]
		if hasPreviousLoad && load.sent > previousLoad.sent {
			m.sentNew[name] += int(load.sent - previousLoad.sent)
		}
	}
}

// resetReturnedDataCentres makes the targets of data centres cold that a newer
// configuration takes back into service: their caches are old and their
// connections have to be set up again.
func (c *Controller) resetReturnedDataCentres(now time.Time, next *configuration.Set) {
	if c.set == nil {
		return
	}
	for name, spec := range next.DataCentres {
		current, known := c.set.DataCentres[name]
		if known && current.State == api.DataCentreStateOut && spec.State == api.DataCentreStateIn {
			c.registry.ResetDataCentre(now, name)
		}
	}
}

// dataCentreLoads counts this node's requests at the targets of data centres that
// are out, and the cold targets that it owns and that are limited by their ramp.
func (c *Controller) dataCentreLoads() map[string]dataCentreLoad {
	loads := map[string]dataCentreLoad{}
	for name, spec := range c.set.DataCentres {
		if spec.State == api.DataCentreStateOut {
			loads[name] = dataCentreLoad{}
		}
	}
	for _, entry := range c.registry.Entries() {
		load, out := loads[entry.DataCentre]
		if out {
			load.inFlight += int(entry.Counters.InFlight.Load())
			load.sent += entry.Counters.Sent.Load()
			loads[entry.DataCentre] = load
			continue
		}
		if !entry.Leaving && c.cold.isRampLimited(entry.Address) {
			load.limited++
			loads[entry.DataCentre] = load
		}
	}
	return loads
}

// stepDataCentres computes the next status of each data centre and stores what changed.
func (c *Controller) stepDataCentres(now time.Time) {
	for name, spec := range c.set.DataCentres {
		entry := c.statuses.dataCentres[name]
		if entry == nil {
			entry = &storedStatus[api.DataCentreStatus]{}
			c.statuses.dataCentres[name] = entry
		}
		if entry.writing {
			continue
		}
		generation := c.set.Generations[api.KindDataCentre+"/"+name]
		observed := c.observeDataCentre(now, name)
		observed.Unsettled = c.moves.unsettled(dataCentreKey{name, generation}, observed)
		next, changed := datacentre.Next(now, c.options.Self.Name, int(c.statuses.epoch), spec, generation, entry.status, observed)
		if !changed {
			continue
		}
		if next.Phase != entry.status.Phase {
			c.options.Log.Info().Str("dataCentre", name).Str("state", string(spec.State)).Str("phase", string(next.Phase)).Msg("data centre move")
		}
		next.Operation = newOperationID()
		writeStatus(c, objectstore.KindDataCentreStatus, name, entry, next, func(time.Time) {})
	}
}

// unsettled counts calm steps and tells whether there were too few of them.
func (m *moves) unsettled(key dataCentreKey, observed datacentre.Observation) bool {
	if observed.SaturatedColdTargets > 0 || observed.UnreportedNodes > 0 {
		m.settledSteps[key] = 0
		return true
	}
	m.settledSteps[key]++
	return m.settledSteps[key] < minSettledSteps
}

func (c *Controller) observeDataCentre(now time.Time, name string) datacentre.Observation {
	observed := datacentre.Observation{}
	for _, member := range c.members.Members() {
		if member.State == membership.Left || member.State == membership.Failed {
			continue
		}
		report, known := c.moves.loadsByNode[member.Name]
		if !known || now.Sub(report.receivedAt) > maxReportAge || report.revision < c.revision() {
			observed.UnreportedNodes++
			continue
		}
		observed.InFlight += report.loads[name].inFlight
		observed.SaturatedColdTargets += report.loads[name].limited
	}
	observed.NewRequests = c.moves.sentNew[name]
	delete(c.moves.sentNew, name)
	for _, entry := range c.registry.Entries() {
		if entry.DataCentre != name || entry.Leaving {
			continue
		}
		observed.Targets++
	}
	return observed
}
