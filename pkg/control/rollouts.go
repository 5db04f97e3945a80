package control

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/judge"
	"github.com/fireflychute/fireflychute/pkg/membership"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
	"github.com/fireflychute/fireflychute/pkg/outcome"
	"github.com/fireflychute/fireflychute/pkg/rollout"
)

// rolloutKey identifies one generation of a rollout.
type rolloutKey struct {
	name       string
	generation int
}

func (k rolloutKey) factKey(prefix string) string {
	return prefix + k.name + "/" + strconv.Itoa(k.generation)
}

// countKey identifies the request counts of one route and version.
type countKey struct {
	rollout rolloutKey
	route   string
	version string
}

// rollouts holds the evidence on the active rollouts.
type rollouts struct {
	recorders map[countKey]*outcome.Recorder
	// localJudges evaluate the requests of this node, fleetJudges the reports of all nodes.
	localJudges map[rolloutKey]*judge.Judge
	fleetJudges map[rolloutKey]*judge.Judge
	// unreported holds the counts of this node since its last report.
	unreported map[countKey]*outcome.Counts
	// received holds the counts that were reported to the leader since its last analysis.
	received map[countKey]*outcome.Counts
}

func newRollouts() rollouts {
	return rollouts{
		recorders:   map[countKey]*outcome.Recorder{},
		localJudges: map[rolloutKey]*judge.Judge{},
		fleetJudges: map[rolloutKey]*judge.Judge{},
		unreported:  map[countKey]*outcome.Counts{},
		received:    map[countKey]*outcome.Counts{},
	}
}

// shareFact is the value of a fact whose key starts with prefixRollout.
type shareFact struct {
	Share float64 `json:"share"`
	Phase string  `json:"phase"`
}

// blockFact is the value of a fact whose key starts with prefixBlock.
type blockFact struct {
	Node   string `json:"node"`
	Reason string `json:"reason"`
}

// rolloutOf returns the rollout that is declared for a service, if any.
func (c *Controller) rolloutOf(service string) (rolloutKey, api.RolloutSpec, bool) {
	for name, spec := range c.set.Rollouts {
		if spec.Service == service {
			return rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}, spec, true
		}
	}
	return rolloutKey{}, api.RolloutSpec{}, false
}

// newVersionShare returns the fraction of a service's traffic that the new version receives. It is
// 0 until the leader has published a share.
func (c *Controller) newVersionShare(key rolloutKey, spec api.RolloutSpec) float64 {
	if spec.State == api.RolloutStateRolledBack || c.isBlocked(key) {
		return 0
	}
	fact, ok := c.members.Fact(key.factKey(prefixRollout))
	if !ok {
		return 0
	}
	var value shareFact
	err := json.Unmarshal(fact.Value, &value)
	if err != nil {
		return 0
	}
	return value.Share / 100
}

// isBlocked reports whether a node or the leader blocked the new version.
func (c *Controller) isBlocked(key rolloutKey) bool {
	_, ok := c.members.Fact(key.factKey(prefixBlock))
	return ok
}

// recorder returns the recorder of one route and version. It exists until the rollout's generation
// is no longer declared.
func (c *Controller) recorder(key countKey) *outcome.Recorder {
	recorder := c.rollouts.recorders[key]
	if recorder == nil {
		recorder = &outcome.Recorder{}
		c.rollouts.recorders[key] = recorder
	}
	return recorder
}

// routesOf returns the names of the routes that lead to a service.
func (c *Controller) routesOf(service string) []string {
	names := []string{}
	for name, spec := range c.set.Routes {
		if spec.Service == service {
			names = append(names, name)
		}
	}
	return names
}

// blockVersion publishes a fact that makes all nodes stop sending requests to the new version of a
// rollout. The fact remains until a new generation is declared.
func (c *Controller) blockVersion(now time.Time, key rolloutKey, reason string) {
	value, err := json.Marshal(blockFact{Node: c.options.Self.Name, Reason: reason})
	if err != nil {
		return
	}
	c.options.Log.Warn().Str("rollout", key.name).Int("generation", key.generation).Str("reason", reason).Msg("new version blocked until the next generation of the rollout")
	c.dirty = true
	c.publishFact(now, membership.Fact{Key: key.factKey(prefixBlock), Epoch: firstFactNumber, Version: firstFactNumber, Value: value})
}

// stepRollouts computes the next status of each rollout and stores what changed. A lower share and
// a block take effect before they are stored, a higher share after.
func (c *Controller) stepRollouts(now time.Time) {
	for name, spec := range c.set.Rollouts {
		key := rolloutKey{name, c.set.Generations[api.KindRollout+"/"+name]}
		entry := c.statuses.rollouts[name]
		if entry == nil {
			entry = &storedStatus[api.RolloutStatus]{}
			c.statuses.rollouts[name] = entry
		}
		if entry.writing {
			continue
		}
		bad, evidence := c.fleetJudge(key, spec).Verdict()
		observed := rollout.Observed{
			Bad: bad, Evidence: evidence, Blocked: c.isBlocked(key),
			Exposure: c.fleetJudge(key, spec).Exposure(), Timed: c.fleetJudge(key, spec).TimedExposure(),
		}
		next, changed := rollout.Next(now, c.options.Self.Name, int(c.statuses.epoch), spec, key.generation, entry.status, observed)
		if !changed {
			continue
		}
		c.storeRollout(now, key, entry, next)
	}
}

func (c *Controller) storeRollout(now time.Time, key rolloutKey, entry *storedStatus[api.RolloutStatus], next api.RolloutStatus) {
	if next.Blocked && !c.isBlocked(key) {
		c.blockVersion(now, key, lastReason(next))
	}
	if next.Phase != entry.status.Phase || next.SharePercent != entry.status.SharePercent {
		c.options.Log.Info().Str("rollout", key.name).Str("phase", string(next.Phase)).Float64("sharePercent", next.SharePercent).
			Str("reason", lastReason(next)).Msg("rollout status changed")
	}
	next.Operation = newOperationID()
	writeStatus(c, objectstore.KindRolloutStatus, key.name, entry, next, func(now time.Time) {
		c.publishShare(now, key.name, entry)
	})
}

// publishShares publishes the stored shares under the epoch of this leader, and the stored blocks
// that this node has no fact of.
func (c *Controller) publishShares(now time.Time) {
	for name, entry := range c.statuses.rollouts {
		if c.set.Generations[api.KindRollout+"/"+name] != entry.status.Generation {
			continue
		}
		if entry.status.Blocked && !c.isBlocked(rolloutKey{name, entry.status.Generation}) {
			c.blockVersion(now, rolloutKey{name, entry.status.Generation}, lastReason(entry.status))
		}
		c.publishShare(now, name, entry)
	}
}

func (c *Controller) publishShare(now time.Time, name string, entry *storedStatus[api.RolloutStatus]) {
	value, err := json.Marshal(shareFact{Share: entry.status.SharePercent, Phase: string(entry.status.Phase)})
	if err != nil {
		return
	}
	c.dirty = true
	key := rolloutKey{name, entry.status.Generation}
	c.publishFact(now, membership.Fact{Key: key.factKey(prefixRollout), Epoch: c.statuses.epoch, Version: entry.version, Value: value})
}

// discardStaleEvidence deletes the evidence of generations that are no longer declared.
func (c *Controller) discardStaleEvidence() {
	isStale := func(key rolloutKey) bool {
		_, isDeclared := c.set.Rollouts[key.name]
		return !isDeclared || c.set.Generations[api.KindRollout+"/"+key.name] != key.generation
	}
	for key := range c.rollouts.recorders {
		if isStale(key.rollout) {
			delete(c.rollouts.recorders, key)
			delete(c.rollouts.unreported, key)
			delete(c.rollouts.received, key)
		}
	}
	for key := range c.rollouts.localJudges {
		if isStale(key) {
			delete(c.rollouts.localJudges, key)
		}
	}
	for key := range c.rollouts.fleetJudges {
		if isStale(key) {
			delete(c.rollouts.fleetJudges, key)
		}
	}
}
