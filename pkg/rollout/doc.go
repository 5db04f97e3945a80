// Package rollout plans and steps the move of a service's traffic from one
// version to another.
//
// Next is level-triggered: it compares the declaration, the stored status and
// what was observed, and returns the status that is to be stored. Called again
// with the same input it changes nothing.
//
// The share goes through 1, 5, 25, 50 and 100 percent. The time of each raise is
// worked out backwards from completeBy. A raise also needs enough exposure of
// the new version (requests that the judge took in), and StepHold at the present
// share. The new version has a verdict when it had VerdictExposure without being
// found bad; until then the share stays within maxUnjudgedSharePercent.
//
// When completeBy has passed without the exposure needed, the share stays where
// it is: the rollout is neither completed, because nothing shows that the version
// is good, nor taken back, because nothing shows that it is bad. It is reported
// as Late and goes on when the exposure arrives.
//
// Blocked is durable: within one generation of the declaration nothing lifts it.
// A new generation starts over at the first step, because the stored status does
// not tell which versions it was about.
package rollout
