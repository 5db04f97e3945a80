package targets

import (
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/ramp"
)

const (
	// maxPast is how many past incarnations are remembered to ignore their late reports.
	maxPast = 8
	// lowerStep is added to the sequence when a level is lowered. It is above the
	// step of a raise, so that a lowering that races with a raise wins.
	lowerStep = 16
)

// state is what the registry knows of one target.
type state struct {
	address    string
	service    string
	dataCentre string
	version    string
	listed     bool // was in a list at least once
	present    bool // is in the newest list
	absentAt   time.Time
	listState  string

	epoch       uint64 // number of the incarnation
	incarnation string // empty until the first report
	past        []string
	leftEpoch   uint64 // newest incarnation known to be leaving
	reason      Reason

	level    *ramp.Ramp
	sequence uint64
	limit    int // level of a warm target; 0 until the service is known
	carried  int // requests in flight when the level began

	counters *Counters
	seen     seen
	planner  planner
	rank     int // this node's rank; -1 when it is to be computed

	leavingChanged bool // a fact is to be published
	rampChanged    bool
}

// seen holds the counter values at the previous window.
type seen struct {
	at                    time.Time
	well, slow, failed    uint64
	report                *Report
	served                uint64 // as reported
	servedBy              string // incarnation that reported it
	refused, sentAtProbes uint64
}

func newState(address string) *state {
	return &state{address: address, epoch: 1, level: ramp.New(), counters: &Counters{}, rank: -1}
}

func (s *state) leaving() bool {
	return s.leftEpoch >= s.epoch
}

func (s *state) cold() bool {
	return s.limit == 0 || s.level.Level() < s.limit
}

func (s *state) units() int {
	if s.limit == 0 {
		return s.level.Level()
	}
	return min(s.level.Level(), s.limit)
}

// leave marks the current incarnation as leaving.
func (s *state) leave(reason Reason) []Change {
	if s.leaving() {
		return nil
	}
	s.leftEpoch = s.epoch
	s.reason = reason
	s.leavingChanged = true
	s.counters.Leaving.Store(true)
	return []Change{{Address: s.address, Kind: Left, Reason: reason}}
}

// report takes in evidence that a report carries.
func (s *state) report(report Report, reason Reason) []Change {
	changes := []Change{}
	switch {
	case report.Incarnation == "" || slices.Contains(s.past, report.Incarnation):
		return nil
	case s.incarnation == "":
		// The first report may be of the incarnation that a signal already took out.
		s.name(report.Incarnation)
	case report.Incarnation != s.incarnation:
		s.remember(s.incarnation)
		changes = s.advance(s.epoch+1, report.Incarnation)
		s.rampChanged = true
	}
	if report.Version != "" {
		s.version = report.Version
	}
	if report.Draining {
		changes = append(changes, s.leave(reason)...)
	}
	return changes
}

func (s *state) name(incarnation string) {
	s.incarnation = incarnation
	s.counters.incarnation.Store(&incarnation)
}

func (s *state) remember(incarnation string) {
	if incarnation == "" || slices.Contains(s.past, incarnation) {
		return
	}
	s.past = append(s.past, incarnation)
	if len(s.past) > maxPast {
		s.past = s.past[1:]
	}
}

// advance begins a new incarnation, which is cold and available.
func (s *state) advance(epoch uint64, incarnation string) []Change {
	back := s.leaving()
	s.epoch = epoch
	s.incarnation = incarnation
	s.level = ramp.New()
	s.sequence = 1
	s.carried = int(s.counters.InFlight.Load())
	s.planner.suspect = false
	s.counters.restart(incarnation)
	if back {
		return []Change{{Address: s.address, Kind: Returned, Reason: ReasonIncarnation}}
	}
	return []Change{{Address: s.address, Kind: LevelChanged, Reason: ReasonIncarnation}}
}

// renumber adopts another node's number for the incarnation that is already current.
func (s *state) renumber(epoch uint64) {
	if s.leaving() {
		s.leftEpoch = epoch
		s.leavingChanged = true
	}
	s.epoch = epoch
	s.sequence = 0
}

func (s *state) resetRamp() {
	s.level.Reset()
	s.sequence += lowerStep
	s.rampChanged = true
}
