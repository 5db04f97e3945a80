package balance

import "time"

const (
	// reportHalfLife is the age at which a report has the same weight as the fleet's mean load.
	// Load changes within milliseconds, so an older report is of little value.
	reportHalfLife = 50 * time.Millisecond
	// slowRatio is the ratio to the fleet's mean latency up to which a target is not treated as
	// slow. It allows for queueing noise and the latency to another data centre.
	slowRatio = 2.0
	// ejectRatio is the ratio to the fleet's mean latency above which a target receives no
	// requests. Queueing alone does not reach it; failing requests do. Since the units of a
	// failing target are always free, it would otherwise receive all waiting requests under high
	// load.
	ejectRatio = 16.0
	// maxSlowdown limits the effect of a single high latency.
	maxSlowdown = 16.0
)

// Candidate is the state of a target as seen by this node.
type Candidate struct {
	// Units is the number of requests that this node may have in flight at the target.
	Units int
	// InFlight is the number of requests that this node has in flight at the target.
	InFlight int
	// Reported is the load of the last report, in requests.
	Reported int
	// SentSince counts this node's requests since the last report.
	SentSince int
	// ReportAge is the age of the last report; negative if there is none.
	ReportAge time.Duration
	// LatencyMicros is the average latency in microseconds, in which failures count as slow
	// responses; 0 if it is unknown.
	LatencyMicros int64
	// Local is set if the target is in this node's data centre.
	Local bool
}

// Fleet holds the averages over all candidates.
type Fleet struct {
	// MeanReported is the mean reported load of the candidates in requests.
	MeanReported float64
	// MeanLatencyMicros is the harmonic mean of the known latencies. A few slow targets have
	// little effect on it.
	MeanLatencyMicros float64
}

// Load estimates the current number of requests at a target. The estimate decays from the last
// report towards the fleet's mean, because other nodes act on the same report. Requests that this
// node has sent since the report are added.
func Load(c *Candidate, fleet Fleet) float64 {
	reportWeight := 0.0
	if c.ReportAge >= 0 {
		reportWeight = float64(reportHalfLife) / float64(reportHalfLife+c.ReportAge)
	}
	load := reportWeight*float64(c.Reported) + (1-reportWeight)*fleet.MeanReported
	load += float64(min(c.SentSince, c.InFlight))
	return max(load, float64(c.InFlight))
}

// Slowdown returns the ratio of a target's latency to slowRatio times the fleet's mean, between 1
// and maxSlowdown. It raises the score of a target that reports a low load but responds slowly or
// fails.
func Slowdown(c *Candidate, fleet Fleet) float64 {
	if fleet.MeanLatencyMicros <= 0 {
		return 1
	}
	ratio := float64(c.LatencyMicros) / (slowRatio * fleet.MeanLatencyMicros)
	return min(max(ratio, 1), maxSlowdown)
}

// isEjected reports whether a target's latency is so far above the fleet's mean that it receives no
// requests. As the mean is harmonic, at least one target is never ejected.
func isEjected(c *Candidate, fleet Fleet) bool {
	return float64(c.LatencyMicros) > ejectRatio*fleet.MeanLatencyMicros && fleet.MeanLatencyMicros > 0
}
