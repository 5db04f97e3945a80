package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/testbed/instance"
)

// The bound of the users' platform for an instance that names a limit: in any limitWindow it gets at
// most limitFactor times what the limit allows, and limitSlack arrivals more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long after an instance first named a limit the bound begins to hold.
	limitGrace = 3 * time.Second
	// limitNotice is the time that nodes may take to notice a limit or a lower one. What arrives
	// before counts towards what was allowed then.
	limitNotice = time.Second
)

// namedPeriod is a time during which an instance names limits without a break.
type namedPeriod struct {
	start, end time.Time
	limits     []namedLimit
}

type namedLimit struct {
	at   time.Time
	rate float64
}

// namedPeriods returns the periods in which an instance named limits, as of now.
func namedPeriods(namings []instance.Naming, now time.Time) []namedPeriod {
	var periods []namedPeriod
	open := false
	for _, naming := range namings {
		rate, err := strconv.ParseFloat(naming.Limit, 64)
		named := err == nil && rate >= 0
		switch {
		case named && !open:
			periods = append(periods, namedPeriod{start: naming.At, end: now, limits: []namedLimit{{naming.At, rate}}})
		case named:
			last := &periods[len(periods)-1]
			last.limits = append(last.limits, namedLimit{naming.At, rate})
		case open && naming.Limit == "":
			periods[len(periods)-1].end = naming.At
		}
		open = named || open && naming.Limit != ""
	}
	return periods
}

// highest returns the highest limit in force between two times, given the time to notice a change.
func (p *namedPeriod) highest(from, to time.Time) float64 {
	highest := 0.0
	for i, limit := range p.limits {
		isReplaced := i+1 < len(p.limits) && p.limits[i+1].at.Add(limitNotice).Before(from)
		if !isReplaced && !limit.at.After(to) {
			highest = max(highest, limit.rate)
		}
	}
	return highest
}

// checkLimit checks that an instance received no more than it had named, whatever carried it:
// requests, retries, hedges and load probes of all nodes count. It returns a description of the
// worst window of each period that exceeds the bound.
func checkLimit(i *instance.Instance) []string {
	arrivals := i.Arrivals()
	slices.SortFunc(arrivals, time.Time.Compare)
	var failures []string
	for _, period := range namedPeriods(i.Namings(), time.Now()) {
		worst := ""
		worstExcess := 0.0
		for last, end := range arrivals {
			if end.Before(period.start.Add(limitGrace)) || end.After(period.end) {
				continue
			}
			start := end.Add(-limitWindow)
			if noticed := period.start.Add(limitNotice); noticed.After(start) {
				start = noticed
			}
			first, _ := slices.BinarySearchFunc(arrivals, start, time.Time.Compare)
			rate := period.highest(start, end)
			allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
			if excess := float64(last-first+1) - allowed; excess > worstExcess {
				worstExcess = excess
				worst = fmt.Sprintf("%s named a limit of %v per second and received %d requests and load probes in %v, %v after it first named one; allowed %v",
					i.ID(), rate, last-first+1, limitWindow, end.Sub(period.start).Round(time.Millisecond), allowed)
			}
		}
		if worst != "" {
			failures = append(failures, worst)
		}
	}
	return failures
}

// soakLimits are the values of the limit header in a soak, malformed ones included.
var soakLimits = []string{"0", "0.4", "1.5", "3", "8", "40", "1000000000", "-2", "1,x", "NaN"}

// Bounds of the time for which an instance names a limit in a soak.
const (
	minLimitTime = 4 * time.Second
	maxLimitTime = 9 * time.Second
)

// nameLimit makes the instance that is free of other faults name a limit and then another one: a node
// cannot keep a limit that it does not receive.
func (s *soak) nameLimit() {
	first, second := soakLimits[s.rng.IntN(len(soakLimits))], soakLimits[s.rng.IntN(len(soakLimits))]
	duration := minLimitTime + time.Duration(s.rng.Int64N(int64(maxLimitTime-minLimitTime)))
	if !s.isLimited.CompareAndSwap(false, true) {
		return
	}
	i := s.cluster.instances[s.options.Instances-1]
	s.logFault("%s names a limit of %s and then %s, each for %v", i.ID(), first, second, duration)
	s.pending.Go(func() {
		for _, limit := range []string{first, second} {
			i.NameLimit(limit)
			time.Sleep(duration)
		}
		i.NameLimit("")
		s.isLimited.Store(false)
	})
}

// checkLimits checks that no instance received more than it had named.
func (s *soak) checkLimits() {
	for _, i := range s.cluster.instances {
		for _, failure := range checkLimit(i) {
			s.load.addFailure("%s", failure)
		}
	}
}
