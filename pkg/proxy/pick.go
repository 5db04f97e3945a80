package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/balance"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// mainShare is the share from which a version may also take the work of a
// version without targets. A version under trial must not exceed its share.
const mainShare = 0.5

// pickVersion draws a version by share. Blocked versions have no share.
func pickVersion(service *snapshot.Service, random *rand.Rand) *snapshot.Version {
	total := 0.0
	for i := range service.Versions {
		total += service.Versions[i].Share
	}
	left := random.Float64() * total
	var picked *snapshot.Version
	for i := range service.Versions {
		version := &service.Versions[i]
		share := version.Share
		if share <= 0 {
			continue
		}
		picked = version
		left -= share
		if left < 0 {
			break
		}
	}
	if picked == nil || hasUnits(picked) || len(picked.Relays) > 0 {
		return picked
	}
	return mainVersion(service)
}

func mainVersion(service *snapshot.Service) *snapshot.Version {
	for i := range service.Versions {
		version := &service.Versions[i]
		if version.Share >= mainShare && hasUnits(version) {
			return version
		}
	}
	return nil
}

func hasUnits(version *snapshot.Version) bool {
	return slices.ContainsFunc(version.Targets, func(t *snapshot.Target) bool {
		return t.Units > 0 && !t.Counters.Leaving.Load()
	})
}

// choice is a chosen target, of which a unit is reserved.
type choice struct {
	target   *snapshot.Target
	among    []*snapshot.Target
	evidence balance.Evidence
}

// choose picks a target among those not tried yet and reserves a unit of it. It
// returns false when waiting for a unit makes sense, and true without a chosen
// target when there is none to wait for.
func (c *call) choose() bool {
	c.chosen = choice{}
	if !c.refresh() {
		return true
	}
	among := c.candidates()
	if len(among) == 0 {
		return true
	}
	states := make([]balance.Candidate, len(among))
	for range among {
		for i, target := range among {
			states[i] = observe(target, c.handler.now())
		}
		index, evidence, ok := balance.Choose(states, c.route.Service.Spec.Slots, c.random)
		if !ok {
			return false
		}
		if reserve(among[index]) {
			c.chosen = choice{target: among[index], among: among, evidence: evidence}
			return true
		}
	}
	return false
}

// candidates returns the targets that may take the call, or nodes that may when
// this node has no unit of any target. A call is handed over once at most.
func (c *call) candidates() []*snapshot.Target {
	targets := c.version.Targets
	if !c.relayed && !c.version.OwnUnits() {
		targets = c.version.Relays
	}
	among := make([]*snapshot.Target, 0, len(targets))
	now := nanos(c.handler.now())
	for _, target := range targets {
		if takesWork(target, now) && !c.wasTried(target) {
			among = append(among, target)
		}
	}
	return among
}

// wasTried compares by counters, which a target keeps from snapshot to snapshot.
func (c *call) wasTried(target *snapshot.Target) bool {
	return slices.ContainsFunc(c.tried, func(tried *snapshot.Target) bool { return tried.Counters == target.Counters })
}

func takesWork(t *snapshot.Target, nowNanos int64) bool {
	return t.Units > 0 && !t.Counters.Leaving.Load() && !t.Counters.IsOnHold(nowNanos)
}

func observe(target *snapshot.Target, now time.Time) balance.Candidate {
	counters := target.Counters
	candidate := balance.Candidate{
		Units: target.Units, InFlight: int(counters.InFlight.Load()), ReportAge: -1,
		LatencyMicros: counters.LatencyMicros.Load(), Local: target.Local,
	}
	report := counters.LastReport.Load()
	if report == nil {
		return candidate
	}
	candidate.Reported = report.InFlight
	candidate.SentSince = int(counters.Sent.Load() - report.SentBefore)
	candidate.ReportAge = time.Duration(nanos(now) - report.ArrivedNanos)
	return candidate
}

func nanos(now time.Time) int64 { return targets.MonotonicNanos(now) }
