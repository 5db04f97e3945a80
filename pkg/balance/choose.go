package balance

import "math/rand/v2"

const (
	// SampleCount is the number of random targets that a choice compares. With more samples,
	// nodes with the same view tend to choose the same target.
	SampleCount = 3
	// remotePenalty is added to the score of a target in another data centre, in requests.
	remotePenalty = 1.0
	// hotRatio is the ratio to the mean load above which a target is hot.
	hotRatio = 1.5
	// scoreTolerance is the difference of scores, in requests, up to which the latency decides.
	scoreTolerance = 0.5
)

// Sample is a target that a choice compared.
type Sample struct {
	// Index is the position of the target in the candidates.
	Index int
	// Load is the estimated load in requests.
	Load float64
	// Score is the load adjusted for the slowdown and for a remote data centre; lower is better.
	Score float64
	// Hot is set if the load times the slowdown is above Evidence.Threshold.
	Hot bool
	// LatencyMicros is the latency that the choice used, in microseconds.
	LatencyMicros int64
}

// Evidence records why a target was chosen. It contains no pointers.
type Evidence struct {
	Fleet Fleet
	// Free counts the candidates with free units that were not ejected.
	Free int
	// Ejected counts the candidates with free units that were excluded because of their latency.
	Ejected int
	// Threshold is the load in requests above which a target is hot.
	Threshold float64
	// Samples holds the compared targets in its first Count entries.
	Samples [SampleCount]Sample
	Count   int
}

// Choose returns the index of the best of SampleCount random candidates with free units; ok is
// false if there is none. slots is the number of requests that one target runs at the same time.
// Choose does not allocate.
func Choose(candidates []Candidate, slots int, random *rand.Rand) (index int, evidence Evidence, ok bool) {
	evidence.Fleet = summarise(candidates)
	evidence.Threshold = max(float64(slots), hotRatio*evidence.Fleet.MeanReported)
	sample(candidates, &evidence, random)
	if evidence.Count == 0 {
		return -1, evidence, false
	}
	best := &evidence.Samples[0]
	for i := range evidence.Samples[:evidence.Count] {
		s := &evidence.Samples[i]
		score(s, &candidates[s.Index], &evidence)
		if isBetter(s, best) {
			best = s
		}
	}
	return best.Index, evidence, true
}

// summarise averages over all candidates. Those without free units are included because they are
// the busiest.
func summarise(candidates []Candidate) Fleet {
	reported, reports := 0, 0
	inverseSum, latencies := 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.ReportAge >= 0 {
			reported += c.Reported
			reports++
		}
		if c.LatencyMicros > 0 {
			inverseSum += 1 / float64(c.LatencyMicros)
			latencies++
		}
	}
	fleet := Fleet{MeanReported: float64(reported) / float64(max(reports, 1))}
	if latencies > 0 {
		fleet.MeanLatencyMicros = float64(latencies) / inverseSum
	}
	return fleet
}

// sample selects random candidates by reservoir sampling, which needs no memory beyond the result.
func sample(candidates []Candidate, evidence *Evidence, random *rand.Rand) {
	for i := range candidates {
		if candidates[i].InFlight >= candidates[i].Units {
			continue
		}
		if isEjected(&candidates[i], evidence.Fleet) {
			evidence.Ejected++
			continue
		}
		evidence.Free++
		if evidence.Count < SampleCount {
			evidence.Samples[evidence.Count].Index = i
			evidence.Count++
			continue
		}
		position := random.IntN(evidence.Free)
		if position < SampleCount {
			evidence.Samples[position].Index = i
		}
	}
}

func score(s *Sample, c *Candidate, evidence *Evidence) {
	s.Load = Load(c, evidence.Fleet)
	slowdown := Slowdown(c, evidence.Fleet)
	if slowdown > 1 {
		s.Load = max(s.Load, evidence.Fleet.MeanReported) // the low load report of a slow target is misleading
	}
	s.Score = (s.Load + 1) * slowdown
	if !c.Local {
		s.Score += remotePenalty
	}
	s.Hot = s.Load*slowdown > evidence.Threshold
	s.LatencyMicros = c.LatencyMicros
}

func isBetter(a, b *Sample) bool {
	if a.Hot != b.Hot {
		return !a.Hot
	}
	if a.Score < b.Score-scoreTolerance || a.Score > b.Score+scoreTolerance {
		return a.Score < b.Score
	}
	return a.LatencyMicros < b.LatencyMicros
}
