package targets

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/share"
)

const (
	roleTarget = "target"
	// removalDelay is how long a leaving target stays in the registry after it disappeared from
	// the list, so that delayed lists and facts do not return it to service.
	removalDelay = 10 * time.Minute
	// maxUnlistedTargets limits the targets that facts alone can add: once the registry holds as
	// many targets, facts about new ones are ignored.
	maxUnlistedTargets = 4096
)

// Reason is the signal that changed a target's state.
type Reason string

// Signals that change a target's state.
const (
	ReasonList        Reason = "list"
	ReasonHealth      Reason = "health answer"
	ReasonHeader      Reason = "response header"
	ReasonRefused     Reason = "refused connection and failed probe"
	ReasonIncarnation Reason = "new incarnation"
	ReasonFact        Reason = "fact"
	ReasonEvidence    Reason = "served requests"
)

// ChangeKind is the kind of a state change.
type ChangeKind int

// Kinds of state changes.
const (
	Added ChangeKind = iota
	BecameLeaving
	Returned
	LevelChanged
	Removed
)

// Change is a change of a target's state.
type Change struct {
	Address string
	Kind    ChangeKind
	Reason  Reason
}

// Entry is the state of one target, as used to build snapshots.
type Entry struct {
	Address     string
	Service     string
	DataCentre  string
	Version     string
	Incarnation string
	// Units is how many requests all nodes together may have in flight at the target.
	Units int
	// Cold is set while Units is below the level of a warm target.
	Cold bool
	// Leaving is set while the target receives no new work.
	Leaving bool
	// Reason is the signal that last marked the target as leaving.
	Reason   Reason
	Counters *Counters
}

// State returns the name of the state: Warm, Cold or Leaving.
func (e Entry) State() string {
	switch {
	case e.Leaving:
		return "Leaving"
	case e.Cold:
		return "Cold"
	default:
		return "Warm"
	}
}

// Registry maintains the states of all targets. It is not safe for concurrent use: only the
// control goroutine accesses it.
type Registry struct {
	self              string
	targets           map[string]*state
	addresses         []string // sorted, so that results are reproducible
	listVersion       int
	nodes             []string
	expectedFleetSize int // last received from a peer
}

// NewRegistry returns an empty registry for the node named self.
func NewRegistry(self string) *Registry {
	return &Registry{self: self, targets: map[string]*state{}}
}

// ApplyList applies the platform's VM list. Lists older than the last one are ignored. A target
// that is missing from the list keeps its state, because the list is incomplete after platform
// outages.
func (r *Registry) ApplyList(now time.Time, list api.VMList) []Change {
	if list.Version < r.listVersion {
		return nil
	}
	r.listVersion = list.Version
	changes := []Change{}
	listed := map[string]bool{}
	for _, vm := range list.VMs {
		if vm.Role != roleTarget {
			continue
		}
		listed[vm.Address] = true
		changes = append(changes, r.applyVM(vm)...)
	}
	for _, address := range r.addresses {
		r.targets[address].updatePresence(now, listed[address])
	}
	return append(changes, r.removeAbsent(now)...)
}

func (r *Registry) applyVM(vm api.VM) []Change {
	s := r.getOrCreate(vm.Address)
	changes := []Change{}
	if !s.everListed {
		changes = append(changes, Change{Address: vm.Address, Kind: Added, Reason: ReasonList})
	}
	s.everListed, s.service, s.dataCentre = true, vm.Service, vm.DataCentre
	if s.incarnation == "" || s.version == "" {
		s.version = vm.Version // reports are more up to date than the lagging list
	}
	// Only the transition to leaving is a signal: the list may still contain that state when the
	// next incarnation is already running.
	if vm.State == api.VMStateLeaving && s.listState != string(vm.State) {
		changes = append(changes, s.markLeaving(ReasonList)...)
	}
	s.listState = string(vm.State)
	return changes
}

// updatePresence records whether the target is in the latest list, and when it disappeared.
func (s *state) updatePresence(now time.Time, inList bool) {
	if s.inLatestList && !inList {
		s.absentSince = now
	}
	s.inLatestList = inList
}

// removeAbsent removes leaving targets that have been absent from the list for removalDelay.
func (r *Registry) removeAbsent(now time.Time) []Change {
	changes := []Change{}
	for _, address := range r.addresses {
		s := r.targets[address]
		if s.everListed && !s.inLatestList && s.isLeaving() && now.Sub(s.absentSince) >= removalDelay {
			delete(r.targets, address)
			changes = append(changes, Change{Address: address, Kind: Removed, Reason: ReasonList})
		}
	}
	r.addresses = slices.DeleteFunc(r.addresses, func(address string) bool { return r.targets[address] == nil })
	return changes
}

// ApplyFact applies a fact received from a peer. Facts of other kinds and invalid facts are
// ignored.
func (r *Registry) ApplyFact(now time.Time, fact Fact) []Change {
	value, ok := decode(fact)
	if !ok || !IsTargetFact(fact.Key) {
		return nil
	}
	_, address, _ := strings.Cut(fact.Key, "/")
	if r.targets[address] == nil && len(r.targets) >= maxUnlistedTargets {
		return nil
	}
	s := r.getOrCreate(address)
	if strings.HasPrefix(fact.Key, KeyLeaving) {
		return s.applyLeaving(fact, value)
	}
	return s.applyRamp(fact, value)
}

// Facts returns all facts currently valid on this node, to synchronise a peer.
func (r *Registry) Facts() []Fact {
	facts := []Fact{}
	for _, address := range r.addresses {
		s := r.targets[address]
		s.leavingFactPending = s.leavingEpoch > 0
		s.rampFactPending = s.sequence > 0
		facts = append(facts, s.flushFacts()...)
	}
	return facts
}

// ResetDataCentre resets the targets of a data centre to the cold level, because they may be cold
// when the data centre returns to service.
func (r *Registry) ResetDataCentre(now time.Time, dataCentre string) {
	for _, address := range r.addresses {
		if r.targets[address].dataCentre == dataCentre {
			r.targets[address].resetRamp()
		}
	}
}

// Entries returns the targets that have appeared in a list, ordered by address.
func (r *Registry) Entries() []Entry {
	entries := make([]Entry, 0, len(r.addresses))
	for _, address := range r.addresses {
		s := r.targets[address]
		if !s.everListed {
			continue
		}
		entries = append(entries, Entry{
			Address: s.address, Service: s.service, DataCentre: s.dataCentre, Version: s.version, Incarnation: s.incarnation,
			Units: s.units(), Cold: s.isCold(), Leaving: s.isLeaving(), Reason: s.reason, Counters: s.counters,
		})
	}
	return entries
}

// getOrCreate returns the state of a target and adds it to the registry if it is new.
func (r *Registry) getOrCreate(address string) *state {
	s := r.targets[address]
	if s == nil {
		s = newState(address)
		r.targets[address] = s
		at := sort.SearchStrings(r.addresses, address)
		r.addresses = slices.Insert(r.addresses, at, address)
	}
	return s
}

// setNodes invalidates the cached ranks when the counted nodes change. Ranks are cached because
// hashing every node for every target 10 times a second costs several percent of a core at full
// size.
func (r *Registry) setNodes(nodes []string) {
	if slices.Equal(r.nodes, nodes) {
		return
	}
	r.nodes = slices.Clone(nodes)
	for _, s := range r.targets {
		s.rank = -1
	}
}

// rankOf returns this node's rank for a target among the nodes last set by setNodes.
func (r *Registry) rankOf(s *state) int {
	if s.rank < 0 {
		s.rank = share.Rank(s.address, r.self, r.nodes)
	}
	return s.rank
}
