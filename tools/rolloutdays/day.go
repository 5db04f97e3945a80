package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// The values that the figures of a day are drawn from.
var (
	durations = []float64{5, 6, 7, 8, 9, 10, 11, 12, 14, 16, 20, 26, 34}
	hows      = []string{"errors", "slow", "under_load", "one_class", "late"}
	shares    = []float64{0.05, 0.1, 0.2, 0.3, 0.5}
	// loads are factors of the site's usual traffic.
	loads = []float64{0.3, 0.6, 1, 1, 1, 1.6}
)

// orderAt is when the rollout is ordered, in seconds of traffic. dayTail is how long the day goes on after the
// deadline, so that a bad version that was kept shows.
const (
	orderAt = 4.0
	dayTail = 12.0
)

// troubles are the other disruptions; %.1f is the time at which one begins.
var troubles = []string{
	`{ at = %.1f, kind = "burst", x = 1.7, for_s = 4.0 }`,
	`{ at = %.1f, kind = "srv_crash", share = 0.15, for_s = 4.0 }`,
	`{ at = %.1f, kind = "srv_grey", share = 0.15, x = 0.3, for_s = 5.0, how = "errors" }`,
	`{ at = %.1f, kind = "srv_slow", share = 0.2, x = 4.0, for_s = 5.0 }`,
	`{ at = %.1f, kind = "answer_lost", share = 0.4, x = 0.03, for_s = 5.0 }`,
	`{ at = %.1f, kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.0 }`,
	`{ at = %.1f, kind = "platform_down", for_s = 4.0, how = "silent" }`,
	`{ at = %.1f, kind = "platform_slow", x = 50.0, for_s = 4.0 }`,
	`{ at = %.1f, kind = "platform_lost", x = 0.3, for_s = 4.0, how = "late" }`,
	`{ at = %.1f, kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader" }`,
	`{ at = %.1f, kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "leader" }`,
	`{ at = %.1f, kind = "core_cut", count = 1, for_s = 4.0, how = "leader" }`,
	`{ at = %.1f, kind = "lossy", x = 0.025, for_s = 5.0 }`,
	`{ at = %.1f, kind = "roll_term", share = 0.4, x = 1.0, gap_s = 1.0 }`,
}

// day is a day with one rollout.
type day struct {
	Seed      uint64
	Service   string
	Good      bool
	How       string
	Share     float64
	DurationS float64
	Load      float64
	Others    int
	faults    []string
}

// drawDay draws a day from a seed. Half of the days have no other disruption.
func drawDay(seed uint64, services []string, good bool) day {
	random := rand.New(rand.NewPCG(seed, 32))
	d := day{
		Seed: seed, Good: good, Service: pick(random, services), How: pick(random, hows), Share: pick(random, shares),
		DurationS: pick(random, durations), Load: pick(random, loads),
	}
	if random.IntN(2) == 0 {
		d.Others = 1 + random.IntN(2)
	}
	for range d.Others {
		d.faults = append(d.faults, fmt.Sprintf(pick(random, troubles), orderAt-1+random.Float64()*(d.DurationS+1)))
	}
	if d.Load != 1 {
		d.faults = append(d.faults, fmt.Sprintf(`{ at = 0.0, kind = "burst", x = %.1f, for_s = %.1f }`, d.Load, d.lengthS()))
	}
	if good {
		d.How, d.Share = "good", 0
	}
	return d
}

func pick[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }

func (d day) lengthS() float64 { return orderAt + d.DurationS + dayTail }

// text returns the day in the format of the users' bench.
func (d day) text() string {
	order := fmt.Sprintf(`{ at = %.1f, kind = "rollout_good", service = %q, for_s = %.1f }`, orderAt, d.Service, d.DurationS)
	if !d.Good {
		order = fmt.Sprintf(`{ at = %.1f, kind = "rollout_bad", service = %q, for_s = %.1f, share = %.2f, gap_s = %.1f, x = 8.0, how = %q }`,
			orderAt, d.Service, d.DurationS, d.Share, d.DurationS/3, d.How)
	}
	return fmt.Sprintf("[[day]]\nname = \"rollout-%d\"\nlength_s = %.1f\nplan = [\n  %s,\n]\nfaults = [\n  %s\n]\n",
		d.Seed, d.lengthS(), order, strings.Join(d.faults, ",\n  "))
}
