package lease

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Action is what a step asks for.
type Action int

// Actions of a step.
const (
	// Wait: ask again at Until, or after a result was reported.
	Wait Action = iota
	// Read: read the lease object and report Observed or Failed. An object that
	// does not exist is reported as an empty record with version 0.
	Read
	// Write: store Record if the version is still IfVersion (0: if it does not
	// exist), and report Written or Failed.
	Write
)

// Step is what the owner does next.
type Step struct {
	Action    Action
	Until     time.Time
	Record    api.LeaseRecord
	IfVersion uint64
}

// Parts of the duration.
const (
	// renewals per duration; two may fail before the lease lapses.
	renewalsPerDuration = 3
	// marginDivisor gives the holder's early end, which allows for clocks that run
	// at rates up to a tenth apart.
	marginDivisor = 10
	// rankDelayDivisor gives the delay per rank, so that candidates do not all write at
	// once when a lease lapses.
	rankDelayDivisor = 10
	// maxRankDelays bounds that delay to twice the duration.
	maxRankDelays = 20
	// retryDelayDivisor gives the delay after a failure.
	retryDelayDivisor = 20
	// maxPendingWrites bounds the writes that are remembered while the version stays
	// the same. A forgotten one that takes effect late is waited out.
	maxPendingWrites = 32
)

// StateMachine is one node's view of one lease.
type StateMachine struct {
	name, holder   string
	duration       time.Duration
	instance       string // distinguishes processes of the same name in operation ids
	operationCount uint64
	now            time.Time

	record       api.LeaseRecord
	version      uint64
	changedAt    time.Time // when version was first observed
	observed     bool      // the object was read at least once
	readAt       time.Time // when it was last read
	needsRead    bool      // a write may have taken effect; read before the next
	highestEpoch int       // highest epoch seen
	isOwnVersion bool      // the current version was written by this process
	heldSince    time.Time // when the write of the current version was asked for

	responseDeadline time.Time               // an answer is awaited until then; zero when none is
	notBefore        time.Time               // no step before then, after a failure or a release
	pendingWrites    map[string]pendingWrite // writes that may still take effect
	awaitedWrite     string                  // operation id of the write that is awaited
}

// pendingWrite is a write that may have taken effect.
type pendingWrite struct {
	record    api.LeaseRecord
	ifVersion uint64
	sentAt    time.Time
}

// New returns the state of a node that has not read the lease.
func New(name, holder string, duration time.Duration) *StateMachine {
	return &StateMachine{name: name, holder: holder, duration: duration, instance: rand.Text(), pendingWrites: map[string]pendingWrite{}}
}

// Next returns the next step. The rank orders candidates: rank 0 acquires first.
func (m *StateMachine) Next(now time.Time, rank int) Step {
	m.now = now
	if now.Before(m.responseDeadline) {
		return Step{Action: Wait, Until: m.responseDeadline}
	}
	if m.awaitedWrite != "" {
		// The answer did not come; the outcome is unknown.
		m.awaitedWrite, m.needsRead = "", true
	}
	due := m.dueAt(rank)
	switch {
	case now.Before(m.notBefore):
		return Step{Action: Wait, Until: m.notBefore}
	case !m.observed:
		return m.read(now)
	case now.Before(due):
		return Step{Action: Wait, Until: due}
	case m.needsRead || m.readAt.Before(due) && !m.heldAt(now):
		return m.read(now)
	}
	return m.acquireOrRenew(now)
}

// Observed reports the lease as read. An older version than the known one is a
// late answer and ignored.
func (m *StateMachine) Observed(now time.Time, record api.LeaseRecord, version uint64) {
	m.now = now
	if m.awaitedWrite == "" {
		m.responseDeadline = time.Time{}
	}
	if version < m.version && version != 0 {
		return
	}
	m.readAt, m.needsRead = now, false
	if m.observed && version == m.version {
		return
	}
	m.setCurrent(now, record, version)
}

// Written reports that the write took effect with the given version.
func (m *StateMachine) Written(now time.Time, version uint64) {
	m.now = now
	pending, ok := m.pendingWrites[m.awaitedWrite]
	m.awaitedWrite, m.responseDeadline = "", time.Time{}
	if !ok || len(m.pendingWrites) > 1 {
		// The answer may belong to an earlier write; the operation id will tell.
		m.needsRead = true
		return
	}
	if version > m.version {
		m.setCurrent(now, pending.record, version)
	}
}

// Failed reports that a step failed. A write may nevertheless have taken effect,
// whatever the error, so the lease is read before the next write.
func (m *StateMachine) Failed(now time.Time, _ error) {
	m.now = now
	m.awaitedWrite, m.responseDeadline, m.needsRead = "", time.Time{}, true
	m.notBefore = now.Add(m.duration / retryDelayDivisor)
}

// Held reports whether this process holds the lease now, and under which epoch. It
// must be asked with the current time before each action under the lease.
func (m *StateMachine) Held(now time.Time) (epoch uint64, held bool) {
	return uint64(m.record.Epoch), m.heldAt(now)
}

// Release gives the lease back: it is no longer held from this call on. The step
// is a write, or Wait when there is nothing to give back. This node does not
// compete again for one duration.
func (m *StateMachine) Release() Step {
	m.notBefore = m.now.Add(m.duration)
	if !m.isOwnVersion || m.record.Holder == "" {
		return Step{Action: Wait, Until: m.notBefore}
	}
	m.isOwnVersion = false
	record := m.record
	record.Holder = ""
	return m.write(m.now, record)
}

func (m *StateMachine) heldAt(now time.Time) bool {
	return m.isOwnVersion && m.record.Holder == m.holder && now.Before(m.heldSince.Add(m.duration-m.duration/marginDivisor))
}

// dueAt returns when the next read or write is due.
func (m *StateMachine) dueAt(rank int) time.Time {
	rankDelay := time.Duration(min(rank, maxRankDelays)) * (m.duration / rankDelayDivisor)
	switch {
	case m.isOwnVersion:
		return m.heldSince.Add(m.duration / renewalsPerDuration)
	case m.record.Holder == "":
		return m.changedAt.Add(rankDelay)
	}
	return m.changedAt.Add(max(m.duration, time.Duration(m.record.DurationMs)*time.Millisecond) + rankDelay)
}

// setCurrent makes a version the current one.
func (m *StateMachine) setCurrent(now time.Time, record api.LeaseRecord, version uint64) {
	if version == 0 && m.observed {
		// The object was deleted; its holder may still count on it.
		record.Holder, record.DurationMs = m.record.Holder, m.record.DurationMs
	}
	pending, ok := m.pendingWrites[record.Operation]
	m.isOwnVersion = ok && version > pending.ifVersion && record.Holder == m.holder
	m.heldSince = pending.sentAt
	m.record, m.version, m.changedAt, m.observed = record, version, now, true
	m.highestEpoch = max(m.highestEpoch, record.Epoch)
	for operation, pending := range m.pendingWrites {
		// A conditional write of another version can no longer take effect.
		if pending.ifVersion != version && operation != record.Operation {
			delete(m.pendingWrites, operation)
		}
	}
}

func (m *StateMachine) read(now time.Time) Step {
	m.responseDeadline = now.Add(m.duration)
	return Step{Action: Read}
}

// acquireOrRenew renews the own lease, or takes one that lapsed or was given back.
func (m *StateMachine) acquireOrRenew(now time.Time) Step {
	record := api.LeaseRecord{Holder: m.holder, Epoch: m.highestEpoch + 1, DurationMs: int(m.duration.Milliseconds())}
	if m.isOwnVersion {
		record.Epoch = m.record.Epoch
	}
	return m.write(now, record)
}

func (m *StateMachine) write(now time.Time, record api.LeaseRecord) Step {
	m.operationCount++
	m.dropOldestWrite()
	record.Operation = fmt.Sprintf("%s/%s/%s/%d", m.name, m.holder, m.instance, m.operationCount)
	m.pendingWrites[record.Operation] = pendingWrite{record: record, ifVersion: m.version, sentAt: now}
	m.awaitedWrite, m.responseDeadline = record.Operation, now.Add(m.duration)
	return Step{Action: Write, Record: record, IfVersion: m.version}
}

func (m *StateMachine) dropOldestWrite() {
	if len(m.pendingWrites) < maxPendingWrites {
		return
	}
	oldest := ""
	for operation, pending := range m.pendingWrites {
		if oldest == "" || pending.sentAt.Before(m.pendingWrites[oldest].sentAt) {
			oldest = operation
		}
	}
	delete(m.pendingWrites, oldest)
}
