// Package lease implements the state machine that ensures that at most one node at a time holds a
// lease stored on the platform. It does no I/O: the caller gets the next step, executes it on the
// platform and reports the result.
//
// Clocks of different nodes are never compared. The holder measures the lease from just before it
// sent its last successful write and gives it up a tenth of the duration early. A candidate
// measures the full duration from the time at which it observed the last change. The times passed
// in must have a monotonic clock reading. If that clock stops while a VM is suspended, the epoch
// still prevents conflicts: a holder's writes are conditional updates of objects read under its
// epoch.
//
// A StateMachine is not safe for concurrent use.
package lease
