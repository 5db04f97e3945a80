// Package bench compares the routing decisions with simple baselines in an
// event-driven run: same seeds, same arrivals, open loop. It runs the decision code
// only; there is no network, and targets are small fakes.
package bench
