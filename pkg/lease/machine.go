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
	renewParts = 3
	// marginParts gives the holder's early end, which allows for clocks that run
	// at rates up to a tenth apart.
	marginParts = 10
	// rankParts gives the delay per rank, so that candidates do not all write at
	// once when a lease lapses.
	rankParts = 10
	// maxRankDelays bounds that delay to twice the duration.
	maxRankDelays = 20
	// retryParts gives the delay after a failure.
	retryParts = 20
	// maxUnanswered bounds the writes that are remembered while the version stays
	// the same. A forgotten one that takes effect late is waited out.
	maxUnanswered = 32
)

// Machine is one node's view of one lease.
type Machine struct {
	name, holder string
	duration     time.Duration
	instance     string // distinguishes processes of the same name in operation ids
	operations   uint64
	now          time.Time

	record    api.LeaseRecord
	version   uint64
	changedAt time.Time // when version was first observed
	observed  bool      // the object was read at least once
	readAt    time.Time // when it was last read
	doubt     bool      // a write may have taken effect; read before the next
	highest   int       // highest epoch seen
	mine      bool      // the current version was written by this process
	heldFrom  time.Time // when the write of the current version was asked for

	busyUntil  time.Time          // an answer is awaited until then; zero when none is
	notBefore  time.Time          // no step before then, after a failure or a release
	unanswered map[string]attempt // writes that may still take effect
	writing    string             // operation id of the write that is awaited
}

// attempt is a write that may have taken effect.
type attempt struct {
	record    api.LeaseRecord
	ifVersion uint64
	askedAt   time.Time
}

// New returns the state of a node that has not read the lease.
func New(name, holder string, duration time.Duration) *Machine {
	return &Machine{name: name, holder: holder, duration: duration, instance: rand.Text(), unanswered: map[string]attempt{}}
}

// Next returns the next step. The rank orders candidates: rank 0 acquires first.
func (m *Machine) Next(now time.Time, rank int) Step {
	m.now = now
	if now.Before(m.busyUntil) {
		return Step{Action: Wait, Until: m.busyUntil}
	}
	if m.writing != "" {
		// The answer did not come; the outcome is unknown.
		m.writing, m.doubt = "", true
	}
	due := m.dueAt(rank)
	switch {
	case now.Before(m.notBefore):
		return Step{Action: Wait, Until: m.notBefore}
	case !m.observed:
		return m.read(now)
	case now.Before(due):
		return Step{Action: Wait, Until: due}
	case m.doubt || m.readAt.Before(due) && !m.heldAt(now):
		return m.read(now)
	}
	return m.acquire(now)
}

// Observed reports the lease as read. An older version than the known one is a
// late answer and ignored.
func (m *Machine) Observed(now time.Time, record api.LeaseRecord, version uint64) {
	m.now = now
	if m.writing == "" {
		m.busyUntil = time.Time{}
	}
	if version < m.version && version != 0 {
		return
	}
	m.readAt, m.doubt = now, false
	if m.observed && version == m.version {
		return
	}
	m.take(now, record, version)
}

// Written reports that the write took effect with the given version.
func (m *Machine) Written(now time.Time, version uint64) {
	m.now = now
	done, ok := m.unanswered[m.writing]
	m.writing, m.busyUntil = "", time.Time{}
	if !ok || len(m.unanswered) > 1 {
		// The answer may belong to an earlier write; the operation id will tell.
		m.doubt = true
		return
	}
	if version > m.version {
		m.take(now, done.record, version)
	}
}

// Failed reports that a step failed. A write may nevertheless have taken effect,
// whatever the error, so the lease is read before the next write.
func (m *Machine) Failed(now time.Time, _ error) {
	m.now = now
	m.writing, m.busyUntil, m.doubt = "", time.Time{}, true
	m.notBefore = now.Add(m.duration / retryParts)
}

// Held reports whether this process holds the lease now, and under which epoch. It
// must be asked with the current time before each action under the lease.
func (m *Machine) Held(now time.Time) (epoch uint64, held bool) {
	return uint64(m.record.Epoch), m.heldAt(now)
}

// Release gives the lease back: it is no longer held from this call on. The step
// is a write, or Wait when there is nothing to give back. This node does not
// compete again for one duration.
func (m *Machine) Release() Step {
	m.notBefore = m.now.Add(m.duration)
	if !m.mine || m.record.Holder == "" {
		return Step{Action: Wait, Until: m.notBefore}
	}
	m.mine = false
	record := m.record
	record.Holder = ""
	return m.write(m.now, record)
}

func (m *Machine) heldAt(now time.Time) bool {
	return m.mine && m.record.Holder == m.holder && now.Before(m.heldFrom.Add(m.duration-m.duration/marginParts))
}

// dueAt returns when the next read or write is due.
func (m *Machine) dueAt(rank int) time.Time {
	rankDelay := time.Duration(min(rank, maxRankDelays)) * (m.duration / rankParts)
	switch {
	case m.mine:
		return m.heldFrom.Add(m.duration / renewParts)
	case m.record.Holder == "":
		return m.changedAt.Add(rankDelay)
	}
	return m.changedAt.Add(max(m.duration, time.Duration(m.record.DurationMs)*time.Millisecond) + rankDelay)
}

// take makes a version the current one.
func (m *Machine) take(now time.Time, record api.LeaseRecord, version uint64) {
	if version == 0 && m.observed {
		// The object was deleted; its holder may still count on it.
		record.Holder, record.DurationMs = m.record.Holder, m.record.DurationMs
	}
	own, ok := m.unanswered[record.Operation]
	m.mine = ok && version > own.ifVersion && record.Holder == m.holder
	m.heldFrom = own.askedAt
	m.record, m.version, m.changedAt, m.observed = record, version, now, true
	m.highest = max(m.highest, record.Epoch)
	for operation, a := range m.unanswered {
		// A conditional write of another version can no longer take effect.
		if a.ifVersion != version && operation != record.Operation {
			delete(m.unanswered, operation)
		}
	}
}

func (m *Machine) read(now time.Time) Step {
	m.busyUntil = now.Add(m.duration)
	return Step{Action: Read}
}

// acquire renews the own lease, or takes one that lapsed or was given back.
func (m *Machine) acquire(now time.Time) Step {
	record := api.LeaseRecord{Holder: m.holder, Epoch: m.highest + 1, DurationMs: int(m.duration.Milliseconds())}
	if m.mine {
		record.Epoch = m.record.Epoch
	}
	return m.write(now, record)
}

func (m *Machine) write(now time.Time, record api.LeaseRecord) Step {
	m.operations++
	m.forgetOldest()
	record.Operation = fmt.Sprintf("%s/%s/%s/%d", m.name, m.holder, m.instance, m.operations)
	m.unanswered[record.Operation] = attempt{record: record, ifVersion: m.version, askedAt: now}
	m.writing, m.busyUntil = record.Operation, now.Add(m.duration)
	return Step{Action: Write, Record: record, IfVersion: m.version}
}

func (m *Machine) forgetOldest() {
	if len(m.unanswered) < maxUnanswered {
		return
	}
	oldest := ""
	for operation, a := range m.unanswered {
		if oldest == "" || a.askedAt.Before(m.unanswered[oldest].askedAt) {
			oldest = operation
		}
	}
	delete(m.unanswered, oldest)
}
