// Package rolloutbench simulates seeded rollouts of good and bad versions with the canary analysis
// of pkg/judge and the rollout decisions of pkg/rollout. It reports how many good versions complete
// in time and how fast bad ones are rolled back.
//
// The model samples each request: its version according to the share, its route, its target, its
// latency and whether it fails. Targets have noisy neighbours and start cold, and one of them
// crashes in each rollout; once per rollout an overload affects both versions. Counts reach the
// controller every 2 s, as node reports do, and a decision takes effect one period later.
package rolloutbench
