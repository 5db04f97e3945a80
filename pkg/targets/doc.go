// Package targets maintains a node's view of each target from the platform's list, traffic,
// health checks and peers, together with the counters that traffic updates.
//
// A target's incarnations are numbered, and the number is the epoch of the target's facts. A
// target is leaving while the newest incarnation that was reported as leaving is not older than
// the current one. Therefore only a new incarnation returns a target to service, regardless of
// the order in which signals arrive.
package targets
