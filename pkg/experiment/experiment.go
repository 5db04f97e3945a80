// Package experiment switches mechanisms of the request path off, one by one, to measure
// what each is worth. Nodes that serve users run with all of them.
package experiment

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Mechanism is a mechanism of the request path that can be switched off.
type Mechanism string

// The mechanisms. What a promise rests on, such as the bounds of cold targets and the retry
// budget, cannot be switched off.
const (
	// Choice asks several targets for their load and takes the best; without it one random
	// target is asked.
	Choice Mechanism = "choice"
	// Subsets asks the targets of the node's subset first.
	Subsets Mechanism = "subsets"
	// Objective places requests by whether they will be in time; without it the best target
	// with room takes any request.
	Objective Mechanism = "objective"
	// Waiting lets requests wait for a slot while they can be in time.
	Waiting Mechanism = "waiting"
	// Yielding lets late requests give way under pressure.
	Yielding Mechanism = "yielding"
	// Hedging sends slow idempotent requests a second time.
	Hedging Mechanism = "second-sends"
	// FailureMemory avoids targets that failed lately.
	FailureMemory Mechanism = "failure-memory"
	// Locality prefers targets in the node's data centre.
	Locality Mechanism = "locality"
	// RetryAfter makes refused callers return later the more are refused.
	RetryAfter Mechanism = "return-times"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Choice, Subsets, Objective, Waiting, Yielding, Hedging, FailureMemory, Locality, RetryAfter}
}

// Disabled are the mechanisms that are switched off.
type Disabled map[Mechanism]bool

// Parse reads a list of mechanisms that are switched off, separated by commas.
func Parse(list string) (Disabled, error) {
	disabled := Disabled{}
	for name := range strings.SplitSeq(list, ",") {
		mechanism := Mechanism(strings.TrimSpace(name))
		switch {
		case mechanism == "":
		case slices.Contains(Mechanisms(), mechanism):
			disabled[mechanism] = true
		default:
			return nil, errors.Errorf("unknown mechanism %q; known are %v", mechanism, Mechanisms())
		}
	}
	return disabled, nil
}
