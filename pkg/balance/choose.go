package balance

import "math/rand/v2"

const (
	// SampleCount is the number of targets that a choice compares. More samples make
	// nodes with the same view pick the same target.
	SampleCount = 3
	// remotePenalty is the penalty, in requests, of a target in another data centre.
	remotePenalty = 1.0
	// hotRatio is the ratio to the mean load above which a target is hot.
	hotRatio = 1.5
	// scoreTolerance is the difference of scores, in requests, within which latency decides.
	scoreTolerance = 0.5
)

// Sample is one target that a choice compared.
type Sample struct {
	// Index is the position of the target in the candidates.
	Index int
	// Load is the estimated load in requests.
	Load float64
	// Score is the load with the effect of slowness and distance; lower is better.
	Score float64
	// Hot tells that the load is above the fleet's threshold.
	Hot bool
	// LatencyMicros is the latency that the choice used.
	LatencyMicros int64
}

// Evidence records why a target was chosen. It holds no references.
type Evidence struct {
	Fleet Fleet
	// Free counts the candidates with free units that were not ejected.
	Free int
	// Ejected counts those that got no work because of their latency.
	Ejected int
	// Threshold is the load in requests above which a target is hot.
	Threshold float64
	// Samples has the first Count entries set.
	Samples [SampleCount]Sample
	Count   int
}

// Choose returns the index of the best of a few random candidates with free
// units; ok is false when there is none. slots is the number of requests that one
// target runs at the same time. It does not allocate.
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

// summarise averages over all candidates, also those without free units, because
// these are the busiest.
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

// sample draws by reservoir sampling, which needs no memory beyond the result.
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
		s.Load = max(s.Load, evidence.Fleet.MeanReported) // a slow target's low report misleads
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
