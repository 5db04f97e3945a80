// Package experiment turns off single mechanisms of the request path for ablation experiments,
// which measure the effect of each one. Nodes in production run with all of them.
package experiment

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Mechanism is a mechanism of the request path that can be turned off.
type Mechanism string

// The mechanisms. Those that guarantees depend on, such as the rate limit of cold targets and the
// retry budget, cannot be turned off.
const (
	// Choice probes several targets in each round and selects the best one; without it, a round
	// probes one random target.
	Choice Mechanism = "choice"
	// Subsets probes the targets of the node's subset first.
	Subsets Mechanism = "subsets"
	// Objective places requests by whether they are expected to meet their latency objective;
	// without it, any request goes to the best target with free capacity.
	Objective Mechanism = "objective"
	// Waiting lets requests wait for a slot while they can still meet their objective.
	Waiting Mechanism = "waiting"
	// Yielding lets requests that miss their objective yield to others under overload.
	Yielding Mechanism = "yielding"
	// Hedging sends a hedged request for slow idempotent requests.
	Hedging Mechanism = "second-sends"
	// FailureMemory avoids targets that failed recently.
	FailureMemory Mechanism = "failure-memory"
	// Locality prefers targets in the node's data centre.
	Locality Mechanism = "locality"
	// RetryAfter asks rejected callers to retry later, the larger the share of rejected
	// requests is.
	RetryAfter Mechanism = "return-times"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Choice, Subsets, Objective, Waiting, Yielding, Hedging, FailureMemory, Locality, RetryAfter}
}

// Disabled is the set of mechanisms that are turned off.
type Disabled map[Mechanism]bool

// Parse parses a comma-separated list of mechanisms to turn off.
func Parse(list string) (Disabled, error) {
	disabled := Disabled{}
	for name := range strings.SplitSeq(list, ",") {
		mechanism := Mechanism(strings.TrimSpace(name))
		switch {
		case mechanism == "":
		case slices.Contains(Mechanisms(), mechanism):
			disabled[mechanism] = true
		default:
			return nil, errors.Errorf("unknown mechanism %q; supported mechanisms are %v", mechanism, Mechanisms())
		}
	}
	return disabled, nil
}
