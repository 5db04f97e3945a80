// Package rollout plans the shift of a service's traffic from one version to another and
// computes its next step.
//
// Next is level-triggered: it compares the declaration, the stored status and the
// observations, and returns the status to store. Calling it again with the same input
// changes nothing.
//
// The share goes through 1, 5, 25, 50 and 100 percent. The time of each raise is computed
// backwards from completeBy. A raise also needs enough exposure of the new version
// (requests that the judge observed), and StepHold at the current share. The new version
// has a verdict once it has had VerdictExposure without being found bad; until then the
// share stays within maxUnjudgedSharePercent.
//
// When completeBy has passed without the required exposure, the share is not changed: the
// rollout is neither completed, because there is no evidence that the version is good, nor
// rolled back, because there is no evidence that it is bad. It is reported as Late and
// continues when the exposure arrives.
//
// Blocked is durable: it is not cleared within one generation of the declaration. A new
// generation starts over at the first step, because the stored status does not record
// which versions it refers to.
package rollout
