package capacity

import (
	"math"
	"math/rand/v2"
)

// lognormal returns a log-normal random value with median 1 and shape latencySigma.
func lognormal(random *rand.Rand) float64 {
	return math.Exp(latencySigma * random.NormFloat64())
}
