package faultmatrix

import (
	"slices"

	matrix "github.com/fireflychute/fireflychute/internal/faultmatrix"
)

// rule says why faults cannot occur at steps.
type rule struct {
	faults []matrix.Fault
	steps  []matrix.Step
	reason string
}

var (
	allSteps = matrix.Steps()
	request  = allSteps[0:8]
	config   = allSteps[8:14]
	leases   = allSteps[14:18]
	moves    = allSteps[18:24]
	stop     = allSteps[24:27]
	// sent are the steps of a request after a target was chosen.
	sent = request[1:]

	allFaults = matrix.Faults()
	ofTarget  = allFaults[0:7]
	// ofPlatform are the platform's faults but for its list of VMs.
	ofPlatform = allFaults[12:18]
	watches    = []matrix.Fault{matrix.WatchBroken, matrix.WatchForgotten}
)

// rules are looked up in order; the first that matches gives the reason.
var rules = []rule{
	{ofTarget, slices.Concat(config, leases), "targets take no part in configuration and leases"},
	{ofTarget, []matrix.Step{matrix.MovePlan, matrix.MoveCommit, matrix.StopAnnounce}, "no target is called in this step"},
	{
		[]matrix.Fault{matrix.AnswerLateOrCrossed, matrix.ConnectionClosed},
		[]matrix.Step{matrix.RequestChoose},
		"no connection is in use yet",
	},
	{
		[]matrix.Fault{matrix.AnswerLateOrCrossed},
		[]matrix.Step{matrix.RequestDial, matrix.RequestWriteHeaders, matrix.RequestWriteBody},
		"no response is read in this step",
	},
	{
		append(slices.Clone(ofPlatform), matrix.VMListStale, matrix.NodeCutFromPlatform, matrix.NodeCutFromPeers), sent,
		"neither the platform nor a peer is called after the choice",
	},
	{watches, slices.Concat(request, leases, moves, stop), "only configuration and the VM list are watched; requests use what is published"},
	{
		watches,
		[]matrix.Step{matrix.ConfigAccept, matrix.ConfigStore, matrix.ConfigApply, matrix.ConfigAcknowledge},
		"the watch only tells of a new revision; later steps read it",
	},
	{
		[]matrix.Fault{matrix.PlatformDown, matrix.PlatformSlow, matrix.PlatformRefusing, matrix.AnswerLost},
		[]matrix.Step{matrix.ConfigApply, matrix.ConfigAcknowledge},
		"this step uses memory and gossip alone",
	},
	{[]matrix.Fault{matrix.AnswerLost}, []matrix.Step{matrix.ConfigAnnounce, matrix.ConfigFetch}, "nothing is written to the platform in this step"},
	{[]matrix.Fault{matrix.AnswerLost}, []matrix.Step{matrix.StopDrain, matrix.MoveObserve, matrix.MoveJudge}, "nothing is written to the platform in this step"},
	{[]matrix.Fault{matrix.VMListStale}, slices.Concat(config, leases), "the list of targets and nodes is not used in this step"},
	{[]matrix.Fault{matrix.OperatorsRace}, slices.Concat(request, leases, stop), "operators' writes take no part in this step"},
	{
		[]matrix.Fault{matrix.OperatorsRace},
		[]matrix.Step{matrix.ConfigAnnounce, matrix.ConfigFetch, matrix.ConfigApply, matrix.ConfigAcknowledge},
		"the conditional update of the manifest ends the race before this step",
	},
	{[]matrix.Fault{matrix.ClockOff}, slices.Concat(request, stop), "a VM uses only durations on its own clock; deadlines travel as the time that remains"},
	{[]matrix.Fault{matrix.ClockOff}, config, "order is by the platform's version"},
}

// impossible returns why a fault cannot occur at a step.
func impossible(fault matrix.Fault, step matrix.Step) (string, bool) {
	for _, r := range rules {
		if slices.Contains(r.faults, fault) && slices.Contains(r.steps, step) {
			return r.reason, true
		}
	}
	return "", false
}
