package demo

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// forceTime is the time within which a configuration has to be in force everywhere.
const forceTime = 16 * time.Second

// Times of the steps after the load has started.
const (
	rolloutsAt   = time.Second
	leavingAt    = 6 * time.Second
	killTargetAt = 8 * time.Second
	killNodeAt   = 10 * time.Second
	stopNodeAt   = 12 * time.Second
	outAt        = 15 * time.Second
	inAt         = 26 * time.Second
	completeAt   = 38 * time.Second
	loadTime     = 44 * time.Second
	// listLag is how much later than the event the VM list shows that a machine is gone.
	listLag = 2 * time.Second
)

// Script is the run of one deployment.
type Script struct {
	*Fleet
	load *Load
	log  zerolog.Logger
	// stopped receives whether the node that was asked to end did so by itself.
	stopped chan bool
	// Facts are the times and states that the checks need.
	Facts Facts
}

// Facts are what the script did and saw.
type Facts struct {
	LoadStarted, LoadEnded time.Time
	// OutAt and InAt are when the data centre's changes were accepted.
	OutAt, InAt time.Time
	// StoppedNode was asked to end, Graceful tells that it did by itself.
	StoppedNode string
	StoppedAt   time.Time
	Graceful    bool
	// Problems are steps that could not be done or seen.
	Problems []string
	Moves    []Move
	// InForce is how long each applied configuration took to be in force.
	InForce []time.Duration
	Counts  PlatformCounts
}

// PlatformCounts is the platform's count of calls.
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
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return s.load.balancer.WaitReady(ctx)
}

// Run drives the load and the steps.
func (s *Script) Run(ctx context.Context, seed uint64) {
	loadCtx, stop := context.WithTimeout(ctx, loadTime)
	defer stop()
	s.Facts.LoadStarted = time.Now()
	done := make(chan struct{})
	go func() {
		s.load.Run(loadCtx, s.Routes, seed)
		close(done)
	}()
	for _, step := range s.steps() {
		if wait(loadCtx, time.Until(s.Facts.LoadStarted.Add(step.at))) != nil {
			break
		}
		err := step.do(ctx)
		s.report(step.name, err)
	}
	<-done
	s.Facts.LoadEnded = time.Now()
	if s.stopped != nil {
		s.Facts.Graceful = <-s.stopped
	}
}

func (s *Script) steps() []step {
	return []step{
		{rolloutsAt, "start rollouts", s.startRollouts},
		{leavingAt, "report a target as leaving", s.markLeaving},
		{killTargetAt, "kill a target", s.killTarget},
		{killNodeAt, "kill a node", s.killNode},
		{killNodeAt + listLag, "publish the VM list without the killed ones", s.PublishVMs},
		{stopNodeAt, "stop a node", s.stopNode},
		{outAt, "take a data centre out", s.takeOut},
		{inAt, "take the data centre back in", s.takeIn},
		{completeAt, "wait for the moves", func(context.Context) error { return nil }},
	}
}

// report notes a step; one that failed is a problem of the run.
func (s *Script) report(name string, err error) {
	if err != nil {
		s.problem(fmt.Sprintf("%s: %v", name, err))
		return
	}
	s.log.Info().Str("step", name).Dur("after", time.Since(s.Facts.LoadStarted)).Msg("step done")
}

func (s *Script) problem(text string) {
	s.Facts.Problems = append(s.Facts.Problems, text)
	s.log.Warn().Msg(text)
}

func (s *Script) awaitInForce(ctx context.Context, revision int, what string) {
	took, err := s.InForce(ctx, revision, forceTime)
	if err != nil {
		s.problem(fmt.Sprintf("%s not seen in force within %s: %v", what, forceTime, err))
		return
	}
	s.Facts.InForce = append(s.Facts.InForce, took)
}

func (s *Script) startRollouts(ctx context.Context) error {
	completeBy := s.Facts.LoadStarted.Add(completeAt)
	for _, r := range []Rollout{s.Good, s.Bad} {
		err := s.StartVersion(ctx, r)
		if err != nil {
			return err
		}
		_, err = s.ApplyText(ctx, r.Name, rolloutText(r, completeBy))
		if err != nil {
			return err
		}
	}
	return nil
}

// victim returns a target of the old version in a data centre that stays in
// service, counted from the end so that each service is hit at most once.
func (s *Script) victim(service string, not *Target) *Target {
	for _, t := range s.Targets {
		if t != not && t.VM.Service == service && t.VM.Version == oldVersion && t.VM.DataCentre != s.Out {
			return t
		}
	}
	return nil
}

func (s *Script) markLeaving(ctx context.Context) error {
	leaving := s.victim(s.Services[0].Name, nil)
	leaving.VM.State = api.VMStateLeaving
	leaving.LeftAt = time.Now()
	return s.PublishVMs(ctx)
}

func (s *Script) killTarget(context.Context) error {
	killed := s.victim(s.Services[0].Name, s.victim(s.Services[0].Name, nil))
	killed.Killed = true
	killed.process.Kill()
	return nil
}

func (s *Script) killNode(context.Context) error {
	n := s.Nodes[len(s.Nodes)-1]
	n.Ended = true
	n.process.Kill()
	return nil
}

func (s *Script) stopNode(context.Context) error {
	n := s.Nodes[len(s.Nodes)-2]
	n.Ended = true
	s.Facts.StoppedNode, s.Facts.StoppedAt = n.Name, time.Now()
	s.stopped = make(chan bool, 1)
	go func() { s.stopped <- n.process.Stop(patience) }()
	return nil
}

func (s *Script) takeOut(ctx context.Context) error {
	revision, err := s.ApplyText(ctx, "out", dataCentreText(s.Out, api.DataCentreStateOut))
	if err != nil {
		return err
	}
	s.Facts.OutAt = time.Now()
	s.awaitInForce(ctx, revision, "data centre out")
	// Read before the return, since a new generation replaces the status.
	err = wait(ctx, time.Until(s.Facts.LoadStarted.Add(inAt-time.Second)))
	s.Facts.Moves = append(s.Facts.Moves, s.dataCentreMove(ctx, "out"))
	return err
}

func (s *Script) takeIn(ctx context.Context) error {
	_, err := s.ApplyText(ctx, "in", dataCentreText(s.Out, api.DataCentreStateIn))
	s.Facts.InAt = time.Now()
	return err
}
