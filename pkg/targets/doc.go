// Package targets keeps what a node knows of each target: the platform's list,
// evidence from traffic and peers, and the counters that traffic updates.
//
// A target's incarnations are numbered. The number is the epoch of its facts, and a
// target is leaving while the number of its newest incarnation known to be leaving
// has been reached by no newer one. Therefore no signal but a new incarnation takes
// a target back, in whatever order signals arrive.
package targets
