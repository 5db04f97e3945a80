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

// maxReportAge is the age up to which a node's report on a data centre is used.
const maxReportAge = 3 * reportInterval

// nodeLoad is the last report of one node on the loads of data centres.
type nodeLoad struct {
	receivedAt  time.Time
	revision    uint64
	incarnation uint64
	sequence    uint64
	loads       map[string]dataCentreLoad
}

// dataCentreLoad is the load that one node reports for a data centre.
type dataCentreLoad struct {
	inFlight int
	sent     uint64 // total since the node started
	limited  int    // cold targets whose traffic is limited by their ramp
}

// transitions holds the load data by which the leader tracks data centres that go out of service or
// return to it.
type transitions struct {
	loadsByNode map[string]nodeLoad
	// sentNew counts the requests sent since the previous step, by data centre.
	sentNew map[string]int
	// settledSteps counts the consecutive steps in which no target was limited by its ramp and no
	// report was missing.
	settledSteps map[dataCentreKey]int
}

// dataCentreKey identifies one generation of a data centre.
type dataCentreKey struct {
	name       string
	generation int
}

// minSettledSteps is how many consecutive settled steps show that a returned data centre sustains
// its load.
const minSettledSteps = 3

func newTransitions() transitions {
	return transitions{loadsByNode: map[string]nodeLoad{}, sentNew: map[string]int{}, settledSteps: map[dataCentreKey]int{}}
}

// isDuplicate reports whether a report was already received.
func (t *transitions) isDuplicate(report message.NodeReport) bool {
	last, exists := t.loadsByNode[report.Node]
	return exists && last.incarnation == report.Incarnation && report.Sequence <= last.sequence
}

// record stores a node's report. Requests count as new only if the node's previous report is of the
// same incarnation and was made under the given revision, which the leader applied, or a newer one.
func (t *transitions) record(node string, report nodeLoad, revision uint64) {
	previous, exists := t.loadsByNode[node]
	t.loadsByNode[node] = report
	if !exists || previous.incarnation != report.incarnation || previous.revision < revision {
		return
	}
	for name, load := range report.loads {
		previousLoad, hasPreviousLoad := previous.loads[name]
		if hasPreviousLoad && load.sent > previousLoad.sent {
			t.sentNew[name] += int(load.sent - previousLoad.sent)
		}
	}
}

// resetReturnedDataCentres marks as cold the targets of data centres that a newer configuration
// takes back into service, because their caches are stale and their connections must be established
// again.
func (c *Controller) resetReturnedDataCentres(now time.Time, next *configuration.Set) {
	if c.set == nil {
		return
	}
	for name, spec := range next.DataCentres {
		current, ok := c.set.DataCentres[name]
		if ok && current.State == api.DataCentreStateOut && spec.State == api.DataCentreStateIn {
			c.registry.ResetDataCentre(now, name)
		}
	}
}

// dataCentreLoads counts this node's requests to the targets of data centres that are out, and the
// cold targets that it owns and whose traffic is limited by the ramp.
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
		observed.Unsettled = c.transitions.unsettled(dataCentreKey{name, generation}, observed)
		next, changed := datacentre.Next(now, c.options.Self.Name, int(c.statuses.epoch), spec, generation, entry.status, observed)
		if !changed {
			continue
		}
		if next.Phase != entry.status.Phase {
			c.options.Log.Info().Str("dataCentre", name).Str("state", string(spec.State)).Str("phase", string(next.Phase)).Msg("data centre phase changed")
		}
		next.Operation = newOperationID()
		writeStatus(c, objectstore.KindDataCentreStatus, name, entry, next, func(time.Time) {})
	}
}

// unsettled updates the number of consecutive settled steps and reports whether it is still below
// minSettledSteps.
func (t *transitions) unsettled(key dataCentreKey, observed datacentre.Observation) bool {
	if observed.SaturatedColdTargets > 0 || observed.UnreportedNodes > 0 {
		t.settledSteps[key] = 0
		return true
	}
	t.settledSteps[key]++
	return t.settledSteps[key] < minSettledSteps
}

func (c *Controller) observeDataCentre(now time.Time, name string) datacentre.Observation {
	observed := datacentre.Observation{}
	for _, member := range c.members.Members() {
		if member.State == membership.Left || member.State == membership.Failed {
			continue
		}
		report, ok := c.transitions.loadsByNode[member.Name]
		if !ok || now.Sub(report.receivedAt) > maxReportAge || report.revision < c.revision() {
			observed.UnreportedNodes++
			continue
		}
		observed.InFlight += report.loads[name].inFlight
		observed.SaturatedColdTargets += report.loads[name].limited
	}
	observed.NewRequests = c.transitions.sentNew[name]
	delete(c.transitions.sentNew, name)
	for _, entry := range c.registry.Entries() {
		if entry.DataCentre != name || entry.Leaving {
			continue
		}
		observed.Targets++
	}
	return observed
}
