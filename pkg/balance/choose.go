package balance

import "math/rand/v2"

const (
	// Samples is the number of targets that a choice compares. More samples make
	// nodes with the same view pick the same target.
	Samples = 3
	// crossingLoad is the penalty, in requests, of a target in another data centre.
	crossingLoad = 1.0
	// hotRatio is the ratio to the mean load above which a target is hot.
	hotRatio = 1.5
	// tie is the difference of scores, in requests, within which latency decides.
	tie = 0.5
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
	Samples [Samples]Sample
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
		rate(s, &candidates[s.Index], &evidence)
		if better(s, best) {
			best = s
		}
	}
	return best.Index, evidence, true
}

// summarise averages over all candidates, also those without free units, because
// these are the busiest.
func summarise(candidates []Candidate) Fleet {
	reported, reports := 0, 0
	speed, latencies := 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.ReportAge >= 0 {
			reported += c.Reported
			reports++
		}
		if c.LatencyMicros > 0 {
			speed += 1 / float64(c.LatencyMicros)
			latencies++
		}
	}
	fleet := Fleet{MeanReported: float64(reported) / float64(max(reports, 1))}
	if latencies > 0 {
		fleet.MeanLatencyMicros = float64(latencies) / speed
	}
	return fleet
}

// sample draws by reservoir sampling, which needs no memory beyond the result.
func sample(candidates []Candidate, evidence *Evidence, random *rand.Rand) {
	for i := range candidates {
		if candidates[i].InFlight >= candidates[i].Units {
			continue
		}
		if ejected(&candidates[i], evidence.Fleet) {
			evidence.Ejected++
			continue
		}
		evidence.Free++
		if evidence.Count < Samples {
			evidence.Samples[evidence.Count].Index = i
			evidence.Count++
			continue
		}
		place := random.IntN(evidence.Free)
		if place < Samples {
			evidence.Samples[place].Index = i
		}
	}
}

func rate(s *Sample, c *Candidate, evidence *Evidence) {
	s.Load = Load(c, evidence.Fleet)
	slowness := Slowness(c, evidence.Fleet)
	if slowness > 1 {
		s.Load = max(s.Load, evidence.Fleet.MeanReported) // a slow target's low report misleads
	}
	s.Score = (s.Load + 1) * slowness
	if !c.Local {
		s.Score += crossingLoad
	}
	s.Hot = s.Load*slowness > evidence.Threshold
	s.LatencyMicros = c.LatencyMicros
}

func better(a, b *Sample) bool {
	if a.Hot != b.Hot {
		return !a.Hot
	}
	if a.Score < b.Score-tie || a.Score > b.Score+tie {
		return a.Score < b.Score
	}
	return a.LatencyMicros < b.LatencyMicros
}
