package targets

import (
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/ramp"
)

const (
	// maxPastIncarnations is how many past incarnations are stored, in order to ignore delayed
	// reports from them.
	maxPastIncarnations = 8
	// lowerSequenceStep is added to the sequence when a level is lowered. It exceeds the step of
	// a raise, so that lowering takes precedence over a concurrent raise.
	lowerSequenceStep = 16
)

// state is the registry's state of one target.
type state struct {
	address      string
	service      string
	dataCentre   string
	version      string
	everListed   bool // has been in a list at least once
	inLatestList bool // is in the latest list
	absentSince  time.Time
	listState    string

	epoch        uint64 // number of the incarnation
	incarnation  string // empty until the first report
	past         []string
	leavingEpoch uint64 // number of the newest incarnation that was marked as leaving; 0 for none
	reason       Reason

	level       *ramp.Ramp
	sequence    uint64
	warmLevel   int // ramp level of a warm target; 0 until the service spec is available
	carriedOver int // successes still to be ignored: requests in flight when the level was set

	counters *Counters
	previous previousValues
	planner  healthCheckPlanner
	rank     int // cached rank of this node for the target; -1 when it has to be computed

	leavingFactPending bool // the fact has to be published
	rampFactPending    bool
}

// previousValues holds the counter values and the report at the previous collection or planning
// of health checks.
type previousValues struct {
	at                          time.Time
	succeeded, slow, failed     uint64
	report                      *Report
	served                      uint64 // count in the last evaluated report
	servedIncarnation           string // incarnation that reported served
	refused, sentAtHealthChecks uint64
}

func newState(address string) *state {
	return &state{address: address, epoch: 1, level: ramp.New(), counters: &Counters{}, rank: -1}
}

// isLeaving reports whether the current incarnation was marked as leaving.
func (s *state) isLeaving() bool {
	return s.leavingEpoch >= s.epoch
}

// isCold reports whether the level is below that of a warm target. Without a service spec the
// target counts as cold.
func (s *state) isCold() bool {
	return s.warmLevel == 0 || s.level.Level() < s.warmLevel
}

// units returns how many requests all nodes together may have in flight at the target.
func (s *state) units() int {
	if s.warmLevel == 0 {
		return s.level.Level()
	}
	return min(s.level.Level(), s.warmLevel)
}

// markLeaving marks the current incarnation as leaving and stops new work.
func (s *state) markLeaving(reason Reason) []Change {
	if s.isLeaving() {
		return nil
	}
	s.leavingEpoch = s.epoch
	s.reason = reason
	s.leavingFactPending = true
	s.counters.Leaving.Store(true)
	return []Change{{Address: s.address, Kind: BecameLeaving, Reason: reason}}
}

// applyReport applies the incarnation, version and draining state of a report. Reports of past
// incarnations are ignored.
func (s *state) applyReport(report Report, reason Reason) []Change {
	changes := []Change{}
	switch {
	case report.Incarnation == "" || slices.Contains(s.past, report.Incarnation):
		return nil
	case s.incarnation == "":
		// A signal may already have marked this incarnation as leaving, so that state is kept.
		s.setIncarnation(report.Incarnation)
	case report.Incarnation != s.incarnation:
		s.addPastIncarnation(s.incarnation)
		changes = s.beginIncarnation(s.epoch+1, report.Incarnation)
		s.rampFactPending = true
	}
	if report.Version != "" {
		s.version = report.Version
	}
	if report.Draining {
		changes = append(changes, s.markLeaving(reason)...)
	}
	return changes
}

// setIncarnation names the current incarnation without resetting the state.
func (s *state) setIncarnation(incarnation string) {
	s.incarnation = incarnation
	s.counters.incarnation.Store(&incarnation)
}

// addPastIncarnation stores an incarnation whose reports are to be ignored.
func (s *state) addPastIncarnation(incarnation string) {
	if incarnation == "" || slices.Contains(s.past, incarnation) {
		return
	}
	s.past = append(s.past, incarnation)
	if len(s.past) > maxPastIncarnations {
		s.past = s.past[1:]
	}
}

// beginIncarnation switches to a new incarnation, which is cold and available.
func (s *state) beginIncarnation(epoch uint64, incarnation string) []Change {
	wasLeaving := s.isLeaving()
	s.epoch = epoch
	s.incarnation = incarnation
	s.level = ramp.New()
	s.sequence = 1
	s.carriedOver = int(s.counters.InFlight.Load())
	s.planner.suspect = false
	s.counters.startIncarnation(incarnation)
	if wasLeaving {
		return []Change{{Address: s.address, Kind: Returned, Reason: ReasonIncarnation}}
	}
	return []Change{{Address: s.address, Kind: LevelChanged, Reason: ReasonIncarnation}}
}

// adoptEpoch sets the epoch that another node assigned to the incarnation that is already current.
func (s *state) adoptEpoch(epoch uint64) {
	if s.isLeaving() {
		s.leavingEpoch = epoch
		s.leavingFactPending = true
	}
	s.epoch = epoch
	s.sequence = 0
}

func (s *state) resetRamp() {
	s.level.Reset()
	s.sequence += lowerSequenceStep
	s.rampFactPending = true
}
