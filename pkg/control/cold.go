package control

import "github.com/fireflychute/fireflychute/pkg/targets"

const (
	// saturationSampleWeight is the weight of one 100 ms sample in the moving average of a target's
	// saturation. The average thereby covers about the last two seconds.
	saturationSampleWeight = 0.05
	// rampLimitedSaturation is the saturation above which the ramp counts as limiting the traffic.
	// A single sample is not enough: one unit at 30% utilisation is busy in 3 of 10 samples.
	rampLimitedSaturation = 0.7
)

// coldTarget is the state of a cold target whose first unit belongs to this node.
type coldTarget struct {
	counters   *targets.Counters
	units      int     // units of this node
	saturation float64 // moving average of the fraction of time in which all units are in use
}

// coldTargets holds the cold targets that this node owns, by address.
type coldTargets map[string]*coldTarget

// track records a cold target and its current units. A change of the units resets the saturation.
func (t coldTargets) track(entry targets.Entry, units int) {
	cold := t[entry.Address]
	if cold == nil {
		cold = &coldTarget{counters: entry.Counters}
		t[entry.Address] = cold
	}
	if cold.units != units {
		cold.saturation = 0
	}
	cold.units = units
}

// sample updates the saturation of each target with its current requests in flight.
func (t coldTargets) sample() {
	for _, cold := range t {
		busy := 0.0
		if cold.counters.InFlight.Load() >= int64(cold.units) {
			busy = 1
		}
		cold.saturation += saturationSampleWeight * (busy - cold.saturation)
	}
}

// isRampLimited reports whether a target's ramp limits its traffic.
func (t coldTargets) isRampLimited(address string) bool {
	cold := t[address]
	return cold != nil && cold.saturation > rampLimitedSaturation
}
