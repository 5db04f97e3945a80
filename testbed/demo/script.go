package demo

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// inForceTimeout is the time within which a configuration has to be in force at all nodes.
const inForceTimeout = 16 * time.Second

// Times of the steps, measured from the start of the load.
const (
	rolloutsAt      = time.Second
	leavingAt       = 6 * time.Second
	killTargetAt    = 8 * time.Second
	killNodeAt      = 10 * time.Second
	stopNodeAt      = 12 * time.Second
	dataCentreOutAt = 15 * time.Second
	dataCentreInAt  = 26 * time.Second
	completeAt      = 38 * time.Second
	loadDuration    = 44 * time.Second
	// vmListLag is the delay until the VM list no longer contains a killed VM.
	vmListLag = 2 * time.Second
)

// Script runs the timed steps and the load of one deployment.
type Script struct {
	*Fleet
	load *Load
	log  zerolog.Logger
	// stopResult receives whether the stopped node exited by itself after SIGTERM.
	stopResult chan bool
	// Observations are what the script records for the checks.
	Observations Observations
}

// Observations are the times of the script's steps and the states read during the run.
type Observations struct {
	LoadStarted, LoadEnded time.Time
	// OutAt and InAt are when the changes of the data centre's state were accepted.
	OutAt, InAt time.Time
	// StoppedNode was sent SIGTERM at StoppedAt; Graceful reports that it exited by itself.
	StoppedNode string
	StoppedAt   time.Time
	Graceful    bool
	// Problems are steps that failed and configurations not seen in force in time.
	Problems    []string
	Transitions []Transition
	// InForceTimes is the time from apply to in force of each applied configuration.
	InForceTimes []time.Duration
	Counts       PlatformCounts
}

// PlatformCounts are the platform's call counts. Reads include Watches.
type PlatformCounts struct {
	Reads, Writes, Watches, RateLimited uint64
}

// step is one timed action.
type step struct {
	at   time.Duration
	name string
	do   func(context.Context) error
}

// Setup applies the deployment's declarations and waits until all nodes are ready.
func (s *Script) Setup(ctx context.Context, examples string) error {
	err := s.WaitLive(ctx)
	if err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(examples, s.Name, "*.toml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		revision, err := s.Apply(ctx, file)
		if err != nil {
			return err
		}
		s.awaitInForce(ctx, revision, filepath.Base(file))
	}
	err = s.WaitReady(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return s.load.balancer.WaitReady(ctx)
}

// Run runs the load and the steps, and returns when the load has ended.
func (s *Script) Run(ctx context.Context, seed uint64) {
	loadCtx, stop := context.WithTimeout(ctx, loadDuration)
	defer stop()
	s.Observations.LoadStarted = time.Now()
	done := make(chan struct{})
	go func() {
		s.load.Run(loadCtx, s.Routes, seed)
		close(done)
	}()
	for _, step := range s.steps() {
		if sleep(loadCtx, time.Until(s.Observations.LoadStarted.Add(step.at))) != nil {
			break
		}
		err := step.do(ctx)
		s.recordStep(step.name, err)
	}
	<-done
	s.Observations.LoadEnded = time.Now()
	if s.stopResult != nil {
		s.Observations.Graceful = <-s.stopResult
	}
}

func (s *Script) steps() []step {
	return []step{
		{rolloutsAt, "start rollouts", s.startRollouts},
		{leavingAt, "report a target as leaving", s.markTargetLeaving},
		{killTargetAt, "kill a target", s.killTarget},
		{killNodeAt, "kill a node", s.killNode},
		{killNodeAt + vmListLag, "publish the VM list without the killed target and node", s.PublishVMs},
		{stopNodeAt, "stop a node", s.stopNode},
		{dataCentreOutAt, "take a data centre out", s.takeDataCentreOut},
		{dataCentreInAt, "take the data centre back in", s.takeDataCentreIn},
		{completeAt, "wait for rollouts and data centre changes", func(context.Context) error { return nil }},
	}
}

// recordStep logs a completed step, and records a failed one as a problem of the run.
func (s *Script) recordStep(name string, err error) {
	if err != nil {
		s.addProblem(fmt.Sprintf("%s: %v", name, err))
		return
	}
	s.log.Info().Str("step", name).Dur("after", time.Since(s.Observations.LoadStarted)).Msg("demo step completed")
}

func (s *Script) addProblem(text string) {
	s.Observations.Problems = append(s.Observations.Problems, text)
	s.log.Warn().Msg(text)
}

func (s *Script) awaitInForce(ctx context.Context, revision int, change string) {
	elapsed, err := s.WaitInForce(ctx, revision, inForceTimeout)
	if err != nil {
		s.addProblem(fmt.Sprintf("%s not seen in force within %s: %v", change, inForceTimeout, err))
		return
	}
	s.Observations.InForceTimes = append(s.Observations.InForceTimes, elapsed)
}

func (s *Script) startRollouts(ctx context.Context) error {
	completeBy := s.Observations.LoadStarted.Add(completeAt)
	for _, r := range []Rollout{s.GoodRollout, s.BadRollout} {
		err := s.StartVersion(ctx, r)
		if err != nil {
			return err
		}
		_, err = s.ApplyText(ctx, r.Name, rolloutTOML(r, completeBy))
		if err != nil {
			return err
		}
	}
	return nil
}

// selectTarget returns the first target of the service, other than exclude, that runs the old
// version in a data centre that stays in service. exclude may be nil; killTarget excludes the
// target reported as leaving, so that no target is affected by both steps.
func (s *Script) selectTarget(service string, exclude *Target) *Target {
	for _, t := range s.Targets {
		if t != exclude && t.VM.Service == service && t.VM.Version == oldVersion && t.VM.DataCentre != s.OutDataCentre {
			return t
		}
	}
	return nil
}

func (s *Script) markTargetLeaving(ctx context.Context) error {
	leaving := s.selectTarget(s.Services[0].Name, nil)
	leaving.VM.State = api.VMStateLeaving
	leaving.LeavingSince = time.Now()
	return s.PublishVMs(ctx)
}

func (s *Script) killTarget(context.Context) error {
	killed := s.selectTarget(s.Services[0].Name, s.selectTarget(s.Services[0].Name, nil))
	killed.Killed = true
	killed.process.Kill()
	return nil
}

func (s *Script) killNode(context.Context) error {
	n := s.Nodes[len(s.Nodes)-1]
	n.Terminated = true
	n.process.Kill()
	return nil
}

func (s *Script) stopNode(context.Context) error {
	n := s.Nodes[len(s.Nodes)-2]
	n.Terminated = true
	s.Observations.StoppedNode, s.Observations.StoppedAt = n.Name, time.Now()
	s.stopResult = make(chan bool, 1)
	go func() { s.stopResult <- n.process.Stop(callTimeout) }()
	return nil
}

func (s *Script) takeDataCentreOut(ctx context.Context) error {
	revision, err := s.ApplyText(ctx, "out", dataCentreTOML(s.OutDataCentre, api.DataCentreStateOut))
	if err != nil {
		return err
	}
	s.Observations.OutAt = time.Now()
	s.awaitInForce(ctx, revision, "data centre out")
	// The status is read before the data centre is put back, since the status of the new generation
	// replaces it.
	err = sleep(ctx, time.Until(s.Observations.LoadStarted.Add(dataCentreInAt-time.Second)))
	s.Observations.Transitions = append(s.Observations.Transitions, s.dataCentreTransition(ctx, "out"))
	return err
}

func (s *Script) takeDataCentreIn(ctx context.Context) error {
	_, err := s.ApplyText(ctx, "in", dataCentreTOML(s.OutDataCentre, api.DataCentreStateIn))
	s.Observations.InAt = time.Now()
	return err
}
