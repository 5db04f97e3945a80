package faultmatrix

import (
	"slices"

	matrix "github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// impossibleRule gives the reason why faults cannot occur at steps.
type impossibleRule struct {
	faults []matrix.Fault
	steps  []matrix.Step
	reason string
}

var (
	allSteps        = matrix.Steps()
	requestSteps    = allSteps[0:8]
	configSteps     = allSteps[8:14]
	leaseSteps      = allSteps[14:18]
	transitionSteps = allSteps[18:24]
	stopSteps       = allSteps[24:27]
	// stepsAfterChoice are the steps of a request after the choice of a target.
	stepsAfterChoice = requestSteps[1:]

	allFaults    = matrix.Faults()
	targetFaults = allFaults[0:7]
	// platformFaults are the faults of the platform except VMListStale.
	platformFaults = allFaults[12:18]
	watchFaults    = []matrix.Fault{matrix.WatchBroken, matrix.WatchForgotten}
)

// impossibleRules are checked in order; the first match gives the reason.
var impossibleRules = []impossibleRule{
	{targetFaults, slices.Concat(configSteps, leaseSteps), "targets take no part in configuration and leases"},
	{targetFaults, []matrix.Step{matrix.TransitionPlan, matrix.TransitionCommit, matrix.StopAnnounce}, "no target is called in this step"},
	{
		[]matrix.Fault{matrix.ResponseLateOrCrossed, matrix.ConnectionClosed},
		[]matrix.Step{matrix.RequestChoose},
		"no connection is in use yet",
	},
	{
		[]matrix.Fault{matrix.ResponseLateOrCrossed},
		[]matrix.Step{matrix.RequestDial, matrix.RequestWriteHeaders, matrix.RequestWriteBody},
		"no response is read in this step",
	},
	{
		append(slices.Clone(platformFaults), matrix.VMListStale, matrix.NodeCutFromPlatform, matrix.NodeCutFromPeers), stepsAfterChoice,
		"neither the platform nor a peer is called after the choice",
	},
	{watchFaults, slices.Concat(requestSteps, leaseSteps, transitionSteps, stopSteps), "only configuration and the VM list are watched; requests use what is published"},
	{
		watchFaults,
		[]matrix.Step{matrix.ConfigAccept, matrix.ConfigStore, matrix.ConfigApply, matrix.ConfigAcknowledge},
		"the watch only reports a new revision; later steps read it",
	},
	{
		[]matrix.Fault{matrix.PlatformDown, matrix.PlatformSlow, matrix.PlatformRejecting, matrix.ResponseLost},
		[]matrix.Step{matrix.ConfigApply, matrix.ConfigAcknowledge},
		"this step uses memory and gossip alone",
	},
	{[]matrix.Fault{matrix.ResponseLost}, []matrix.Step{matrix.ConfigAnnounce, matrix.ConfigFetch}, "nothing is written to the platform in this step"},
	{[]matrix.Fault{matrix.ResponseLost}, []matrix.Step{matrix.StopDrain, matrix.TransitionObserve, matrix.TransitionJudge}, "nothing is written to the platform in this step"},
	{[]matrix.Fault{matrix.VMListStale}, slices.Concat(configSteps, leaseSteps), "the list of targets and nodes is not used in this step"},
	{[]matrix.Fault{matrix.OperatorsRace}, slices.Concat(requestSteps, leaseSteps, stopSteps), "operators' writes take no part in this step"},
	{
		[]matrix.Fault{matrix.OperatorsRace},
		[]matrix.Step{matrix.ConfigAnnounce, matrix.ConfigFetch, matrix.ConfigApply, matrix.ConfigAcknowledge},
		"the conditional update of the manifest ends the race before this step",
	},
	{[]matrix.Fault{matrix.ClockOff}, slices.Concat(requestSteps, stopSteps), "a VM uses only durations on its own clock; deadlines travel as the time that remains"},
	{[]matrix.Fault{matrix.ClockOff}, configSteps, "order is by the platform's version"},
}

// impossibleReason returns the reason why a fault cannot occur at a step, and whether
// there is one.
func impossibleReason(fault matrix.Fault, step matrix.Step) (string, bool) {
	for _, r := range impossibleRules {
		if slices.Contains(r.faults, fault) && slices.Contains(r.steps, step) {
			return r.reason, true
		}
	}
	return "", false
}
