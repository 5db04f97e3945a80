// Package rolloutbench runs seeded rollouts of good and bad versions over the
// decision code (judge and rollout) against a small model of two versions'
// targets, and reports how well good ones finish and bad ones are taken back.
//
// The model draws each request: its version by the share, its route, its target,
// its latency and whether it fails. Targets have noisy neighbours, start cold,
// and one crashes in each rollout; once per rollout an overload hits both
// versions. Counts reach the controller every 2 s, as node reports do, and a
// decision takes effect one period later.
package rolloutbench
