// Package lease is the state machine by which at most one node at a time holds a
// lease that is stored at the platform. It does no input or output: the owner asks
// for the next step, carries it out at the platform and reports the result.
//
// No clock is compared between nodes. The holder counts the lease from the moment
// before it asked for its last successful write, and gives it up a tenth of the
// duration early; a candidate counts the full duration from the moment at which it
// observed the last change. The times passed in must carry the monotonic clock. If
// that clock stands still while a VM is suspended, the epoch still protects: a
// holder's writes are conditional updates of objects read under its epoch.
//
// A Machine is not safe for concurrent use.
package lease
