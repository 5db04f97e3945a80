package balance

import "time"

const (
	// reportHalfLife is the age at which a report counts as much as the fleet's
	// mean load. Load shifts within milliseconds, so an older report says little.
	reportHalfLife = 50 * time.Millisecond
	// slowRatio is the ratio to the fleet's mean latency up to which a target
	// is not considered slow. It covers queueing noise and the distance to
	// another data centre.
	slowRatio = 2.0
	// ejectRatio is the ratio to the fleet's mean latency above which a target gets
	// no work. It is out of reach of queueing; a target gets there by failing. As its
	// units are always free, it would otherwise take all that waits under high load.
	ejectRatio = 16.0
	// maxSlowdown bounds the effect of one bad latency sample.
	maxSlowdown = 16.0
)

// Candidate is a target as this node sees it.
type Candidate struct {
	// Units is how many requests this node may have in flight at the target.
	Units int
	// InFlight is the number of this node's requests at the target.
	InFlight int
	// Reported is the load of the last report, in requests.
	Reported int
	// SentSince counts this node's requests since the last report.
	SentSince int
	// ReportAge is the age of the last report; negative when there is none.
	ReportAge time.Duration
	// LatencyMicros is the average response time in microseconds, in which
	// failures count as slow responses; 0 when it is unknown.
	LatencyMicros int64
	// Local tells that the target is in this node's data centre.
	Local bool
}

// Fleet is what the candidates have in common.
type Fleet struct {
	// MeanReported is the mean reported load of the candidates in requests.
	MeanReported float64
	// MeanLatencyMicros is the harmonic mean of the known latencies, on which a
	// few slow targets have little effect.
	MeanLatencyMicros float64
}

// Load estimates the requests at a target now. A report decays towards the
// fleet's mean, because other nodes that saw the same report also acted on it.
// Requests that this node sent since are added.
func Load(c *Candidate, fleet Fleet) float64 {
	reportWeight := 0.0
	if c.ReportAge >= 0 {
		reportWeight = float64(reportHalfLife) / float64(reportHalfLife+c.ReportAge)
	}
	load := reportWeight*float64(c.Reported) + (1-reportWeight)*fleet.MeanReported
	load += float64(min(c.SentSince, c.InFlight))
	return max(load, float64(c.InFlight))
}

// Slowdown returns the factor by which a target is slower than the fleet
// tolerates, at least 1. It makes a target that reports no load but answers
// slowly, or fails, look as busy as it is.
func Slowdown(c *Candidate, fleet Fleet) float64 {
	if fleet.MeanLatencyMicros <= 0 {
		return 1
	}
	ratio := float64(c.LatencyMicros) / (slowRatio * fleet.MeanLatencyMicros)
	return min(max(ratio, 1), maxSlowdown)
}

// isEjected tells whether a target is so far from the fleet that it gets no work.
// The mean is harmonic, so at least one target is never ejected.
func isEjected(c *Candidate, fleet Fleet) bool {
	return float64(c.LatencyMicros) > ejectRatio*fleet.MeanLatencyMicros && fleet.MeanLatencyMicros > 0
}
