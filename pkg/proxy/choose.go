package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/balance"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

// majorityShare is the share from which a version may also receive the requests of a version that
// has no targets. Below it, the version may be a canary, which must not exceed its share.
const majorityShare = 0.5

// sampleVersion samples a version by share. Blocked versions have no share. A sampled version
// without units and relays is replaced by the majority version.
func sampleVersion(service *snapshot.Service, rng *rand.Rand) *snapshot.Version {
	total := 0.0
	for i := range service.Versions {
		total += service.Versions[i].Share
	}
	remaining := rng.Float64() * total
	var selected *snapshot.Version
	for i := range service.Versions {
		version := &service.Versions[i]
		share := version.Share
		if share <= 0 {
			continue
		}
		selected = version
		remaining -= share
		if remaining < 0 {
			break
		}
	}
	if selected == nil || hasUnits(selected) || len(selected.Relays) > 0 {
		return selected
	}
	return majorityVersion(service)
}

// majorityVersion returns the version with at least majorityShare and units, or nil.
func majorityVersion(service *snapshot.Service) *snapshot.Version {
	for i := range service.Versions {
		version := &service.Versions[i]
		if version.Share >= majorityShare && hasUnits(version) {
			return version
		}
	}
	return nil
}

// hasUnits reports whether this node has a unit on a target of the version that is not leaving.
func hasUnits(version *snapshot.Version) bool {
	return slices.ContainsFunc(version.Targets, func(t *snapshot.Target) bool {
		return t.Units > 0 && !t.Counters.Leaving.Load()
	})
}

// choice is a chosen target, of which a unit is reserved, and what the choice was based on.
type choice struct {
	target     *snapshot.Target
	candidates []*snapshot.Target
	evidence   balance.Evidence
}

// chooseTarget chooses a target that was not attempted yet and reserves a unit of it. It returns
// false when the call should wait for a unit, and true without a chosen target when there is no
// target to wait for.
func (c *call) chooseTarget() bool {
	c.chosen = choice{}
	if !c.refreshSnapshot() {
		return true
	}
	candidates := c.candidateTargets()
	if len(candidates) == 0 {
		return true
	}
	states := make([]balance.Candidate, len(candidates))
	for range candidates {
		for i, target := range candidates {
			states[i] = balanceCandidate(target, c.handler.now())
		}
		index, evidence, ok := balance.Choose(states, c.route.Service.Spec.Slots, c.rng)
		if !ok {
			return false
		}
		if reserveUnit(candidates[index]) {
			c.chosen = choice{target: candidates[index], candidates: candidates, evidence: evidence}
			return true
		}
	}
	return false
}

// candidateTargets returns the targets to which the call may be sent, or the nodes to which it may
// be relayed when this node has no unit of any target. A call is relayed at most once.
func (c *call) candidateTargets() []*snapshot.Target {
	targets := c.version.Targets
	if !c.relayed && !c.version.HasUnits() {
		targets = c.version.Relays
	}
	available := make([]*snapshot.Target, 0, len(targets))
	now := nanos(c.handler.now())
	for _, target := range targets {
		if isAvailable(target, now) && !c.wasAttempted(target) {
			available = append(available, target)
		}
	}
	return available
}

// wasAttempted compares targets by their counters, which stay the same across snapshots.
func (c *call) wasAttempted(target *snapshot.Target) bool {
	return slices.ContainsFunc(c.attempted, func(attempted *snapshot.Target) bool { return attempted.Counters == target.Counters })
}

// isAvailable reports whether this node has units on the target and may send it new requests.
func isAvailable(t *snapshot.Target, nowNanos int64) bool {
	return t.Units > 0 && !t.Counters.Leaving.Load() && !t.Counters.IsOnHold(nowNanos)
}

// balanceCandidate returns the current load of a target; ReportAge is -1 without a load report.
func balanceCandidate(target *snapshot.Target, now time.Time) balance.Candidate {
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
