package control

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

// sendReport sends the counts of this node since its last report to the leader. A lost report is
// not repeated: the evidence that it carried is lost for both versions alike.
func (c *Controller) sendReport(now time.Time) {
	if c.set == nil {
		return
	}
	report := c.nodeReport()
	if c.statuses.epoch > 0 {
		c.collectReport(now, report)
		return
	}
	address := c.leaderAddress()
	if address != "" {
		c.options.Peers.Send(address, message.Message{NodeReport: &report})
	}
}

func (c *Controller) nodeReport() message.NodeReport {
	c.reportSequence++
	report := message.NodeReport{
		Node: c.options.Self.Name, Incarnation: c.options.Self.Incarnation, Sequence: c.reportSequence, Revision: c.revision(),
	}
	for key, counts := range c.rollouts.unreported {
		report.Counts = append(report.Counts, message.RolloutCount{
			Rollout: key.rollout.name, Generation: key.rollout.generation, Route: key.route, Version: key.version,
			Requests: uint64(counts.Requests), Failures: uint64(counts.Failures), Histogram: encodeHistogram(counts.Histogram),
		})
	}
	clear(c.rollouts.unreported)
	for name, load := range c.dataCentreLoads() {
		report.DataCentres = append(report.DataCentres, message.DataCentreLoad{Name: name, InFlight: load.inFlight, Sent: load.sent, Limited: load.limited})
	}
	return report
}

func encodeHistogram(histogram *hdrhistogram.Histogram) []byte {
	if histogram == nil {
		return nil
	}
	encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return encoded
}

func decodeHistogram(encoded []byte) *hdrhistogram.Histogram {
	if len(encoded) == 0 {
		return nil
	}
	histogram, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil
	}
	return histogram
}

// leaderAddress returns the peer address of the leader, or "" if it is unknown.
func (c *Controller) leaderAddress() string {
	fact, ok := c.members.Fact(prefixLease + leaseController)
	if !ok {
		return ""
	}
	member, _ := c.members.Member(string(fact.Value))
	return member.Address
}

// collectReport adds a node's report to the leader's evidence and load data. It ignores the report
// if this node is not the leader or has already received it.
func (c *Controller) collectReport(now time.Time, report message.NodeReport) {
	if c.statuses.epoch == 0 || c.transitions.isDuplicate(report) {
		return
	}
	for _, count := range report.Counts {
		key := countKey{rolloutKey{count.Rollout, count.Generation}, count.Route, count.Version}
		addCounts(c.rollouts.received, key, outcome.Counts{
			Requests: int(count.Requests), Failures: int(count.Failures), Histogram: decodeHistogram(count.Histogram),
		})
	}
	loads := map[string]dataCentreLoad{}
	for _, load := range report.DataCentres {
		loads[load.Name] = dataCentreLoad{inFlight: load.InFlight, sent: load.Sent, limited: load.Limited}
	}
	c.transitions.record(report.Node, nodeLoad{
		receivedAt: now, revision: report.Revision, incarnation: report.Incarnation, sequence: report.Sequence, loads: loads,
	}, c.revision())
}
