package faultmatrix

// Fault is a kind of fault, a row of the matrix.
type Fault string

// Faults of targets, of nodes, of the platform, and of operators, networks and clocks.
const (
	TargetSlow            Fault = "target slow"
	TargetFailing         Fault = "target failing"
	TargetDraining        Fault = "target draining"
	TargetCold            Fault = "target cold again"
	TargetCutOff          Fault = "target cut off"
	ResponseLateOrCrossed Fault = "late or crossed answer"
	ConnectionClosed      Fault = "connection closed at this step"

	NodeKilled          Fault = "node killed"
	NodePaused          Fault = "node paused past its lease"
	NodeRestarted       Fault = "node restarted"
	NodeCutFromPlatform Fault = "node cut from the platform"
	NodeCutFromPeers    Fault = "node cut from peers"

	PlatformDown      Fault = "platform down"
	PlatformSlow      Fault = "platform slow"
	PlatformRejecting Fault = "platform refusing by rate"
	ResponseLost      Fault = "platform's answer lost after the write"
	WatchBroken       Fault = "watch broken"
	WatchForgotten    Fault = "watch resumed at a forgotten version"
	VMListStale       Fault = "VM list stale"

	OperatorsRace  Fault = "operators racing"
	DataCentreLost Fault = "data centre lost"
	RegionsParted  Fault = "regions parted"
	ClockOff       Fault = "clock of a node off"
)

// Step is a step of a mechanism at which a fault can occur, a column of the matrix.
type Step string

// Steps of the mechanisms.
const (
	RequestChoose       Step = "request: choose"
	RequestDial         Step = "request: dial"
	RequestWriteHeaders Step = "request: write headers"
	RequestWriteBody    Step = "request: write body"
	RequestWait         Step = "request: wait"
	RequestReadHeaders  Step = "request: read headers"
	RequestReadBody     Step = "request: read body"
	RequestReuse        Step = "request: reuse"

	ConfigAccept      Step = "configuration: accept"
	ConfigStore       Step = "configuration: store"
	ConfigAnnounce    Step = "configuration: announce"
	ConfigFetch       Step = "configuration: fetch"
	ConfigApply       Step = "configuration: apply"
	ConfigAcknowledge Step = "configuration: acknowledge"

	LeaseAcquire Step = "lease: acquire"
	LeaseRenew   Step = "lease: renew"
	LeaseAct     Step = "lease: act"
	LeaseLose    Step = "lease: lose"

	TransitionPlan     Step = "move: plan"
	TransitionStep     Step = "move: step"
	TransitionObserve  Step = "move: observe"
	TransitionJudge    Step = "move: judge"
	TransitionCommit   Step = "move: commit"
	TransitionRollBack Step = "move: roll back"

	StopAnnounce Step = "stop: announce"
	StopDrain    Step = "stop: drain"
	StopClose    Step = "stop: close"
)

// Faults returns all faults in the order of the rows of docs/FAULTS.md.
func Faults() []Fault {
	return []Fault{
		TargetSlow, TargetFailing, TargetDraining, TargetCold, TargetCutOff, ResponseLateOrCrossed, ConnectionClosed,
		NodeKilled, NodePaused, NodeRestarted, NodeCutFromPlatform, NodeCutFromPeers,
		PlatformDown, PlatformSlow, PlatformRejecting, ResponseLost, WatchBroken, WatchForgotten, VMListStale,
		OperatorsRace, DataCentreLost, RegionsParted, ClockOff,
	}
}

// Steps returns all steps in the order of the columns of docs/FAULTS.md.
func Steps() []Step {
	return []Step{
		RequestChoose, RequestDial, RequestWriteHeaders, RequestWriteBody, RequestWait, RequestReadHeaders, RequestReadBody, RequestReuse,
		ConfigAccept, ConfigStore, ConfigAnnounce, ConfigFetch, ConfigApply, ConfigAcknowledge,
		LeaseAcquire, LeaseRenew, LeaseAct, LeaseLose,
		TransitionPlan, TransitionStep, TransitionObserve, TransitionJudge, TransitionCommit, TransitionRollBack,
		StopAnnounce, StopDrain, StopClose,
	}
}
