package lease

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Action is the operation of a step.
type Action int

// Actions of a step.
const (
	// Wait: call Next again at Until or after reporting a result.
	Wait Action = iota
	// Read: read the lease object and call Observed or Failed. An object that does not exist is
	// reported as an empty record with version 0.
	Read
	// Write: store Record if the object's version is still IfVersion (0: if the object does not
	// exist), and call Written or Failed.
	Write
)

// Step is the next operation for the caller to execute.
type Step struct {
	Action    Action
	Until     time.Time       // set for Wait
	Record    api.LeaseRecord // set for Write
	IfVersion uint64          // set for Write
}

// Intervals, as divisors of the lease duration, and limits.
const (
	// renewalsPerDuration is how many renewals are due per duration, so that two can fail before
	// the lease lapses.
	renewalsPerDuration = 3
	// marginDivisor sets how early the holder gives up the lease, to tolerate clock rates that
	// differ by up to a tenth.
	marginDivisor = 10
	// rankDelayDivisor sets the delay per rank, so that candidates do not all write at once when a
	// lease lapses.
	rankDelayDivisor = 10
	// maxRankDelays limits the delay by rank to twice the duration.
	maxRankDelays = 20
	// retryDelayDivisor sets the delay after a failure.
	retryDelayDivisor = 20
	// maxPendingWrites limits the writes that are tracked while the version stays the same. If a
	// write that was dropped takes effect late, its lease is treated as another process's and has
	// to lapse.
	maxPendingWrites = 32
)

// StateMachine is the state of one lease as seen by one node.
type StateMachine struct {
	name, holder   string
	duration       time.Duration
	instance       string // distinguishes processes of the same name in operation ids
	operationCount uint64
	now            time.Time

	record       api.LeaseRecord
	version      uint64
	changedAt    time.Time // when the current version was first observed
	observed     bool      // whether the object has been read
	readAt       time.Time // when the object was last read
	needsRead    bool      // a write may have taken effect; read before the next write
	highestEpoch int       // highest epoch observed
	isOwnVersion bool      // the current version was written by this process
	heldSince    time.Time // just before the write of the current version was sent, if isOwnVersion

	responseDeadline time.Time               // end of the wait for a response; zero if none is awaited
	notBefore        time.Time               // no step before this time, after a failure or release
	pendingWrites    map[string]pendingWrite // by operation id
	awaitedWrite     string                  // operation id of the write whose response is awaited
}

// pendingWrite is a write that may have taken effect or may still do so.
type pendingWrite struct {
	record    api.LeaseRecord
	ifVersion uint64
	sentAt    time.Time
}

// New returns the state machine of a node that has not read the lease yet.
func New(name, holder string, duration time.Duration) *StateMachine {
	return &StateMachine{name: name, holder: holder, duration: duration, instance: rand.Text(), pendingWrites: map[string]pendingWrite{}}
}

// Next returns the next step. The rank orders the candidates: rank 0 acquires the lease first.
func (m *StateMachine) Next(now time.Time, rank int) Step {
	m.now = now
	if now.Before(m.responseDeadline) {
		return Step{Action: Wait, Until: m.responseDeadline}
	}
	if m.awaitedWrite != "" {
		// No response arrived in time, so the outcome of the write is unknown.
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

// Observed reports the result of a read. A version older than the current one is a delayed
// response and is ignored.
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

// Written reports that the awaited write took effect and resulted in the given version.
func (m *StateMachine) Written(now time.Time, version uint64) {
	m.now = now
	pending, ok := m.pendingWrites[m.awaitedWrite]
	m.awaitedWrite, m.responseDeadline = "", time.Time{}
	if !ok || len(m.pendingWrites) > 1 {
		// The response may belong to an earlier write. Read the operation id of the stored record.
		m.needsRead = true
		return
	}
	if version > m.version {
		m.setCurrent(now, pending.record, version)
	}
}

// Failed reports that a step failed. Whatever the error, a write may have taken effect, so the
// lease is read before the next write.
func (m *StateMachine) Failed(now time.Time, _ error) {
	m.now = now
	m.awaitedWrite, m.responseDeadline, m.needsRead = "", time.Time{}, true
	m.notBefore = now.Add(m.duration / retryDelayDivisor)
}

// Held reports whether this process holds the lease at the given time, and under which epoch. The
// caller must check it with the current time before each action under the lease.
func (m *StateMachine) Held(now time.Time) (epoch uint64, held bool) {
	return uint64(m.record.Epoch), m.heldAt(now)
}

// Release gives up the lease, which is not held from this call on. The step is a write, or Wait if
// there is nothing to release. This node is no candidate for one duration.
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

// heldAt reports whether the lease is held at the given time, with the safety margin.
func (m *StateMachine) heldAt(now time.Time) bool {
	return m.isOwnVersion && m.record.Holder == m.holder && now.Before(m.heldSince.Add(m.duration-m.duration/marginDivisor))
}

// dueAt returns the time at which this node may next renew or acquire the lease.
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

// setCurrent sets the current version and determines whether this process wrote it.
func (m *StateMachine) setCurrent(now time.Time, record api.LeaseRecord, version uint64) {
	if version == 0 && m.observed {
		// The object was deleted, but its holder may still consider the lease held.
		record.Holder, record.DurationMs = m.record.Holder, m.record.DurationMs
	}
	pending, ok := m.pendingWrites[record.Operation]
	m.isOwnVersion = ok && version > pending.ifVersion && record.Holder == m.holder
	m.heldSince = pending.sentAt
	m.record, m.version, m.changedAt, m.observed = record, version, now, true
	m.highestEpoch = max(m.highestEpoch, record.Epoch)
	for operation, pending := range m.pendingWrites {
		// A write that is conditional on another version can no longer take effect.
		if pending.ifVersion != version && operation != record.Operation {
			delete(m.pendingWrites, operation)
		}
	}
}

func (m *StateMachine) read(now time.Time) Step {
	m.responseDeadline = now.Add(m.duration)
	return Step{Action: Read}
}

// acquireOrRenew renews this process's lease, or acquires one that lapsed or was released.
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

// dropOldestWrite makes room for one more pending write.
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
