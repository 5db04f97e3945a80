package targets

import (
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/ramp"
)

const (
	// maxPastIncarnations is how many past incarnations are remembered to ignore their late reports.
	maxPastIncarnations = 8
	// lowerSequenceStep is added to the sequence when a level is lowered. It is above the
	// step of a raise, so that a lowering that races with a raise wins.
	lowerSequenceStep = 16
)

// state is what the registry knows of one target.
type state struct {
	address      string
	service      string
	dataCentre   string
	version      string
	everListed   bool // was in a list at least once
	inLatestList bool // is in the newest list
	absentSince  time.Time
	listState    string

	epoch        uint64 // number of the incarnation
	incarnation  string // empty until the first report
	past         []string
	leavingEpoch uint64 // newest incarnation known to be leaving
	reason       Reason

	level       *ramp.Ramp
	sequence    uint64
	warmLevel   int // level of a warm target; 0 until the service is known
	carriedOver int // requests in flight when the level began

	counters *Counters
	previous previousValues
	planner  probePlanner
	rank     int // this node's rank; -1 when it is to be computed

	leavingFactPending bool // a fact is to be published
	rampFactPending    bool
}

// previousValues holds the counter values at the previous window.
type previousValues struct {
	at                      time.Time
	succeeded, slow, failed uint64
	report                  *Report
	served                  uint64 // as reported
	servedIncarnation       string // incarnation that reported it
	refused, sentAtProbes   uint64
}

func newState(address string) *state {
	return &state{address: address, epoch: 1, level: ramp.New(), counters: &Counters{}, rank: -1}
}

func (s *state) isLeaving() bool {
	return s.leavingEpoch >= s.epoch
}

func (s *state) isCold() bool {
	return s.warmLevel == 0 || s.level.Level() < s.warmLevel
}

func (s *state) units() int {
	if s.warmLevel == 0 {
		return s.level.Level()
	}
	return min(s.level.Level(), s.warmLevel)
}

// markLeaving marks the current incarnation as leaving.
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

// applyReport takes in evidence that a report carries.
func (s *state) applyReport(report Report, reason Reason) []Change {
	changes := []Change{}
	switch {
	case report.Incarnation == "" || slices.Contains(s.past, report.Incarnation):
		return nil
	case s.incarnation == "":
		// The first report may be of the incarnation that a signal already took out.
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

func (s *state) setIncarnation(incarnation string) {
	s.incarnation = incarnation
	s.counters.incarnation.Store(&incarnation)
}

func (s *state) addPastIncarnation(incarnation string) {
	if incarnation == "" || slices.Contains(s.past, incarnation) {
		return
	}
	s.past = append(s.past, incarnation)
	if len(s.past) > maxPastIncarnations {
		s.past = s.past[1:]
	}
}

// beginIncarnation begins a new incarnation, which is cold and available.
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

// adoptEpoch adopts another node's number for the incarnation that is already current.
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
