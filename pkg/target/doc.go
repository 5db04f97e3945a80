// Package target keeps what a node knows of each target: the platform's list,
// evidence from traffic and peers, and the counters that traffic updates.
package target
