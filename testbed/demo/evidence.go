package demo

import (
	"context"
	"os"
	"path"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/testbed/target"
)

// TargetEvidence is what one target did.
type TargetEvidence struct {
	Address, Service, DataCentre, Version string
	Executions                            []target.Execution
	// Probes is how many measuring calls it received, over Lifetime. Both are
	// zero for a target that was killed, which takes its counts with it.
	Probes    int
	Lifetime  time.Duration
	Overloads int
	LeftAt    time.Time
	Budget    float64
}

// callID is the last part of the path, see Load.exchange.
func callID(e target.Execution) string {
	return path.Base(e.Path)
}

// Collect reads the execution logs and the counts of all targets.
func (f *Fleet) Collect(ctx context.Context) ([]TargetEvidence, error) {
	found := []TargetEvidence{}
	for _, t := range f.Targets {
		e := TargetEvidence{
			Address: t.VM.Address, Service: t.VM.Service, DataCentre: t.VM.DataCentre, Version: t.VM.Version,
			LeftAt: t.LeftAt, Budget: f.service(t.VM.Service).Budget,
		}
		executions, err := readLog(t.log)
		if err != nil {
			return nil, err
		}
		e.Executions = executions
		if !t.Killed {
			err := e.addStats(ctx, t)
			if err != nil {
				return nil, err
			}
		}
		found = append(found, e)
	}
	return found, nil
}

func (e *TargetEvidence) addStats(ctx context.Context, t *Target) error {
	var stats target.Stats
	err := getJSON(ctx, "http://"+t.VM.Address+"/admin/stats", &stats)
	if err != nil {
		return errors.Wrap(err, "read a target's counts")
	}
	e.Probes, e.Overloads = stats.Probes, stats.Overloads
	e.Lifetime = time.Since(t.started)
	return nil
}

func readLog(name string) ([]target.Execution, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open execution log")
	}
	defer file.Close()
	return target.ReadExecutions(file)
}

// ReadCounts reads the platform's count of calls.
func (f *Fleet) ReadCounts(ctx context.Context) (PlatformCounts, error) {
	var counts PlatformCounts
	err := getJSON(ctx, f.platformURL()+"/admin/counts", &counts)
	return counts, err
}
