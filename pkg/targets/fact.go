package targets

import (
	"encoding/json"
	"strings"
)

// Prefixes of the keys of facts; the target's address follows.
const (
	KeyLeaving = "leaving/"
	KeyRamp    = "ramp/"
)

// maxFactBytes bounds the value of a fact from a peer.
const maxFactBytes = 4096

// Fact is a statement on a target that is shared by gossip. Of two facts with the
// same key the one with the higher (Epoch, Version) holds. The epoch is the number
// of the target's incarnation; the version of a ramp fact is its sequence within
// the incarnation.
type Fact struct {
	Key     string
	Epoch   uint64
	Version uint64
	Value   []byte
}

// factValue is the JSON value of both kinds of fact.
type factValue struct {
	Incarnation string   `json:"incarnation"`
	Past        []string `json:"past,omitempty"`
	Level       int      `json:"level,omitempty"`
	Reason      Reason   `json:"reason,omitempty"`
}

// IsTargetFact tells whether key is of a fact that the registry takes.
func IsTargetFact(key string) bool {
	return strings.HasPrefix(key, KeyLeaving) || strings.HasPrefix(key, KeyRamp)
}

func (s *state) flushFacts() []Fact {
	facts := []Fact{}
	if s.leavingFactPending {
		value := factValue{Incarnation: s.incarnation, Past: s.past, Reason: s.reason}
		facts = append(facts, Fact{Key: KeyLeaving + s.address, Epoch: s.leavingEpoch, Version: 1, Value: encode(value)})
	}
	if s.rampFactPending {
		value := factValue{Incarnation: s.incarnation, Past: s.past, Level: s.level.Level()}
		facts = append(facts, Fact{Key: KeyRamp + s.address, Epoch: s.epoch, Version: s.sequence, Value: encode(value)})
	}
	s.leavingFactPending, s.rampFactPending = false, false
	return facts
}

func encode(value factValue) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return encoded
}

func decode(fact Fact) (value factValue, ok bool) {
	if len(fact.Value) > maxFactBytes || fact.Epoch == 0 {
		return value, false
	}
	err := json.Unmarshal(fact.Value, &value)
	return value, err == nil && len(value.Past) <= maxPastIncarnations
}

// alignIncarnation brings the state to the incarnation of a fact. ok is false when the fact is
// of another incarnation than the current one.
func (s *state) alignIncarnation(epoch uint64, value factValue) (changes []Change, ok bool) {
	if epoch < s.epoch {
		return nil, false
	}
	unknown := s.incarnation == "" && value.Incarnation != ""
	same := s.incarnation == value.Incarnation || unknown || value.Incarnation == ""
	for _, past := range value.Past {
		if past != s.incarnation || !same {
			s.addPastIncarnation(past)
		}
	}
	if epoch == s.epoch {
		if unknown {
			s.setIncarnation(value.Incarnation)
		}
		return nil, same
	}
	if !same {
		return s.beginIncarnation(epoch, value.Incarnation), true
	}
	s.adoptEpoch(epoch)
	if unknown {
		// A signal that came before the first report may be about this incarnation.
		// The target stays out here, but the peers know better and are not told.
		s.setIncarnation(value.Incarnation)
		s.leavingFactPending = false
	}
	return nil, true
}

func (s *state) applyLeaving(fact Fact, value factValue) []Change {
	changes, ok := s.alignIncarnation(fact.Epoch, value)
	if !ok || s.isLeaving() {
		return changes
	}
	changes = append(changes, s.markLeaving(value.Reason)...)
	s.leavingFactPending = false // it is known already
	return changes
}

func (s *state) applyRamp(fact Fact, value factValue) []Change {
	changes, ok := s.alignIncarnation(fact.Epoch, value)
	if !ok || fact.Version < s.sequence || value.Level < 1 {
		return changes
	}
	level := value.Level
	if fact.Version == s.sequence {
		level = min(level, s.level.Level())
	}
	s.sequence = fact.Version
	s.rampFactPending = false
	if level == s.level.Level() {
		return changes
	}
	s.setLevel(level)
	return append(changes, Change{Address: s.address, Kind: LevelChanged, Reason: ReasonFact})
}

func (s *state) setLevel(level int) {
	s.level.Set(level)
	s.carriedOver = int(s.counters.InFlight.Load())
}
