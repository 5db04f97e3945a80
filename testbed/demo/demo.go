package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// ErrPromiseBroken tells that the run broke a promise.
var ErrPromiseBroken = errors.New("promises were broken")

// Options of a demo run.
type Options struct {
	// Bin is the directory of the binaries, Examples that of the declarations.
	Bin, Examples string
	// Keep leaves the system running after the report until ctx ends.
	Keep bool
	// Seed sets the schedule of the load.
	Seed uint64
	// Only names the deployment to run; empty runs all.
	Only string
	// Logs keeps the processes' output; empty removes it at the end.
	Logs string
}

// Run starts the deployments, drives them and prints the report. It ends all
// processes before it returns. The error is ErrBroken when a promise was broken.
func Run(ctx context.Context, options Options, out io.Writer, log zerolog.Logger) error {
	dir, err := createLogDir(options.Logs)
	if err != nil {
		return err
	}
	if options.Logs == "" {
		defer os.RemoveAll(dir)
	}
	processes := NewProcesses(options.Bin, dir)
	defer processes.StopAll()
	scripts, err := startDeployments(ctx, options, processes, dir, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d processes started\n", processes.CountRunning())
	runScripts(ctx, options, scripts)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	broken, err := reportAll(ctx, scripts, out)
	if err != nil {
		return err
	}
	if options.Keep {
		waitForInterrupt(ctx, scripts, out)
	}
	if broken > 0 {
		return errors.Wrapf(ErrPromiseBroken, "%d checks", broken)
	}
	return nil
}

func createLogDir(logs string) (string, error) {
	if logs == "" {
		dir, err := os.MkdirTemp("", "fireflychute-demo-")
		return dir, errors.Wrap(err, "create directory")
	}
	return logs, errors.Wrap(os.MkdirAll(logs, 0o700), "create directory")
}

// startDeployments starts all deployments at the same time.
func startDeployments(ctx context.Context, options Options, processes *Processes, dir string, log zerolog.Logger) ([]*Script, error) {
	scripts := []*Script{}
	for _, d := range Deployments() {
		if options.Only != "" && options.Only != d.Name {
			continue
		}
		fleet, err := StartFleet(ctx, d, processes, dir)
		if err != nil {
			return nil, errors.Wrap(err, d.Name)
		}
		balancer := NewBalancer(fleet.Nodes)
		go balancer.Run(ctx)
		scripts = append(scripts, &Script{Fleet: fleet, load: NewLoad(d.Name, balancer), log: log.With().Str("deployment", d.Name).Logger()})
	}
	errs := make([]error, len(scripts))
	var group sync.WaitGroup
	for i, s := range scripts {
		group.Go(func() { errs[i] = errors.Wrap(s.Setup(ctx, options.Examples), s.Name) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return scripts, nil
}

func runScripts(ctx context.Context, options Options, scripts []*Script) {
	var group sync.WaitGroup
	for i, s := range scripts {
		group.Go(func() {
			before, _ := s.ReadPlatformCounts(ctx)
			s.Run(ctx, options.Seed+uint64(i))
			after, err := s.ReadPlatformCounts(ctx)
			if err != nil {
				s.addProblem(fmt.Sprintf("read the platform's counts: %v", err))
			}
			s.Observations.Counts = after.sub(before)
			s.ReadTransitions(ctx)
		})
	}
	group.Wait()
}

func (c PlatformCounts) sub(earlier PlatformCounts) PlatformCounts {
	return PlatformCounts{
		Reads: c.Reads - earlier.Reads, Writes: c.Writes - earlier.Writes,
		Watches: c.Watches - earlier.Watches, RateLimited: c.RateLimited - earlier.RateLimited,
	}
}

func reportAll(ctx context.Context, scripts []*Script, out io.Writer) (broken int, err error) {
	for _, s := range scripts {
		targets, err := s.CollectTargets(ctx)
		if err != nil {
			return broken, err
		}
		record := RunRecord{Deployment: s.Deployment, Observations: s.Observations, Calls: s.load.Calls(), Targets: targets}
		checks := CheckAll(record)
		record.Print(out, checks)
		broken += CountBroken(checks)
	}
	return broken, nil
}

// waitForInterrupt prints where the system can be reached and waits for an interrupt.
func waitForInterrupt(ctx context.Context, scripts []*Script, out io.Writer) {
	for _, s := range scripts {
		fmt.Fprintf(out, "\n%s: platform %s\n", s.Name, s.platformURL())
		for _, n := range s.Nodes {
			if !n.Terminated {
				fmt.Fprintf(out, "%s: callers http://%s operators http://%s\n", n.Name, n.CallerAddress, n.OperatorAddress)
			}
		}
	}
	fmt.Fprintln(out, "running until interrupted")
	<-ctx.Done()
}
