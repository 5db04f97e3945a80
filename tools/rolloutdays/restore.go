package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// restoreDay is a day on which the store comes back from an older copy, once or in series, beside changes of all kinds.
type restoreDay struct {
	seed         uint64
	faults, plan []string
	restores     int
}

const restoreDayLength = 36.0

// restoreTroubles are disruptions beside a restore; %.1f is the time at which one begins.
var restoreTroubles = []string{
	`{ at = %.1f, kind = "platform_down", for_s = 3.0, how = "silent" }`,
	`{ at = %.1f, kind = "platform_slow", x = 50.0, for_s = 4.0 }`,
	`{ at = %.1f, kind = "platform_lost", x = 0.3, for_s = 4.0, how = "late" }`,
	`{ at = %.1f, kind = "platform_down", how = "nodes busy", share = 0.35, for_s = 5.0 }`,
	`{ at = %.1f, kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "leader" }`,
	`{ at = %.1f, kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "leader" }`,
	`{ at = %.1f, kind = "core_cut", count = 1, for_s = 4.0, how = "leader" }`,
	`{ at = %.1f, kind = "roll_term", share = 0.4, x = 1.0, gap_s = 1.0 }`,
	`{ at = %.1f, kind = "herd_kill", share = 0.6, for_s = 1.0, on = "core" }`,
	`{ at = %.1f, kind = "srv_crash", share = 0.15, for_s = 4.0 }`,
	`{ at = %.1f, kind = "node_cut", share = 0.2, for_s = 4.0 }`,
}

// restorePlans are changes that the operator makes; the first value is the time, the second a service.
var restorePlans = []string{
	`{ at = %.1f, kind = "config_change", how = "route" }`,
	`{ at = %.1f, kind = "config_change", how = "route" }`,
	`{ at = %.1f, kind = "config_change", how = "weights" }`,
	`{ at = %.1f, kind = "config_change", how = "timeout" }`,
	`{ at = %.1f, kind = "config_change", how = "idle" }`,
	`{ at = %.1f, kind = "scale_in", share = 0.1 }`,
	`{ at = %.1f, kind = "scale_out", share = 0.2 }`,
	`{ at = %.1f, kind = "release", share = 0.3, x = 1.0, gap_s = 1.0 }`,
	`{ at = %.1f, kind = "rollout_good", for_s = 14.0 }`,
	`{ at = %.1f, kind = "rollout_bad", for_s = 14.0, share = 0.5, how = "errors" }`,
	`{ at = %.1f, kind = "evacuate", for_s = 8.0, how = "warm" }`,
}

func drawRestoreDay(seed uint64) restoreDay {
	random := rand.New(rand.NewPCG(seed, 33))
	d := restoreDay{seed: seed, restores: 1 + random.IntN(3)/2}
	at := 8 + 10*random.Float64()
	for range d.restores {
		age, duration := 1+11*random.Float64(), 0.5+3.5*random.Float64()
		d.faults = append(d.faults, fmt.Sprintf(`{ at = %.1f, kind = "platform_down", how = "restored", x = %.1f, for_s = %.1f }`, at, age, duration))
		at += duration + 8*random.Float64()
	}
	for range random.IntN(3) {
		d.faults = append(d.faults, fmt.Sprintf(pick(random, restoreTroubles), 4+22*random.Float64()))
	}
	for range 3 + random.IntN(6) {
		d.plan = append(d.plan, fmt.Sprintf(pick(random, restorePlans), 2+26*random.Float64()))
	}
	return d
}

// text returns the day in the format of the users' bench.
func (d restoreDay) text() string {
	return fmt.Sprintf("[[day]]\nname = \"restored-%d\"\nlength_s = %.1f\nplan = [\n  %s,\n]\nfaults = [\n  %s,\n]\n",
		d.seed, restoreDayLength, strings.Join(d.plan, ",\n  "), strings.Join(d.faults, ",\n  "))
}
