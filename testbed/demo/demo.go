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

// ErrPromiseBroken is wrapped by the error of Run when at least one check found a violation.
var ErrPromiseBroken = errors.New("promises violated")

// Options configures a demo run.
type Options struct {
	// Bin is the directory of the binaries, Examples that of the declarations.
	Bin, Examples string
	// Keep keeps the processes running after the report until ctx ends.
	Keep bool
	// Seed seeds the arrival schedule of the load.
	Seed uint64
	// Only names the deployment to run; empty runs all.
	Only string
	// Logs is the directory that keeps the processes' output. If it is empty, the output goes to
	// a temporary directory that is removed at the end.
	Logs string
}

// Run starts the deployments, runs their scripts and prints the report. It stops all processes
// before it returns. The error wraps ErrPromiseBroken if a check found a violation.
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
		return errors.Wrapf(ErrPromiseBroken, "%d checks failed", broken)
	}
	return nil
}

func createLogDir(logs string) (string, error) {
	if logs == "" {
		dir, err := os.MkdirTemp("", "fireflychute-demo-")
		return dir, errors.Wrap(err, "create directory for process output")
	}
	return logs, errors.Wrap(os.MkdirAll(logs, 0o700), "create directory for process output")
}

// startDeployments starts the selected deployments and sets them up concurrently.
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
				s.addProblem(fmt.Sprintf("read the platform's call counts: %v", err))
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

// waitForInterrupt prints the addresses of the running system and waits until ctx ends.
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
