package control

import "github.com/fireflychute/fireflychute/pkg/targets"

const (
	// busyWeight is the part that a sample of 100 ms has in the average use of a
	// cold target's units, which thereby covers about the last two seconds.
	busyWeight = 0.05
	// limitedUse is the average use above which the ramp holds the traffic back. A
	// single sample says little: one unit at 30% use is found busy in 3 of 10.
	limitedUse = 0.7
)

// coldTarget is a cold target of which this node has the first unit.
type coldTarget struct {
	counters *targets.Counters
	units    int     // of this node
	use      float64 // average part of the time in which all units were in use
}

// coldTargets is the cold targets that this node owns, by address.
type coldTargets map[string]*coldTarget

// keep notes a cold target and its present units.
func (t coldTargets) keep(entry targets.Entry, units int) {
	known := t[entry.Address]
	if known == nil {
		known = &coldTarget{counters: entry.Counters}
		t[entry.Address] = known
	}
	if known.units != units {
		known.use = 0
	}
	known.units = units
}

// sample adds the present use of the units to the averages.
func (t coldTargets) sample() {
	for _, cold := range t {
		busy := 0.0
		if cold.counters.InFlight.Load() >= int64(cold.units) {
			busy = 1
		}
		cold.use += busyWeight * (busy - cold.use)
	}
}

// limited tells that a target's ramp holds traffic back.
func (t coldTargets) limited(address string) bool {
	cold := t[address]
	return cold != nil && cold.use > limitedUse
}
