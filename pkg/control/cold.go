package control

import "github.com/fireflychute/fireflychute/pkg/targets"

const (
	// saturationSampleWeight is the part that a sample of 100 ms has in the average use of a
	// cold target's units, which thereby covers about the last two seconds.
	saturationSampleWeight = 0.05
	// rampLimitedSaturation is the average use above which the ramp holds the traffic back. A
	// single sample says little: one unit at 30% use is found busy in 3 of 10.
	rampLimitedSaturation = 0.7
)

// coldTarget is a cold target of which this node has the first unit.
type coldTarget struct {
	counters   *targets.Counters
	units      int     // of this node
	saturation float64 // average part of the time in which all units were in use
}

// coldTargets is the cold targets that this node owns, by address.
type coldTargets map[string]*coldTarget

// track notes a cold target and its present units.
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

// sample adds the present use of the units to the averages.
func (t coldTargets) sample() {
	for _, cold := range t {
		busy := 0.0
		if cold.counters.InFlight.Load() >= int64(cold.units) {
			busy = 1
		}
		cold.saturation += saturationSampleWeight * (busy - cold.saturation)
	}
}

// isRampLimited tells that a target's ramp holds traffic back.
func (t coldTargets) isRampLimited(address string) bool {
	cold := t[address]
	return cold != nil && cold.saturation > rampLimitedSaturation
}
