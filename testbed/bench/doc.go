// Package bench compares the routing decisions with simple baselines in a discrete-event simulation
// with the same seeds and the same open-loop arrivals. It runs the decision code only; network
// delays and targets are simulated.
package bench
