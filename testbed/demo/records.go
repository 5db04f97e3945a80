package demo

import (
	"context"
	"os"
	"path"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/testbed/target"
)

// TargetRecord is the execution log and the counts of one target.
type TargetRecord struct {
	Address, Service, DataCentre, Version string
	Executions                            []target.Execution
	// Probes is the number of load probes received over Lifetime. Both are zero for a target that
	// was killed, since its counts are lost with the process.
	Probes          int
	Lifetime        time.Duration
	Overloads       int
	LeavingSince    time.Time
	MeasuringBudget float64
}

// callID returns the call's ID, which is the last element of the path (see Load.doRequest).
func callID(e target.Execution) string {
	return path.Base(e.Path)
}

// CollectTargets reads the execution logs of all targets and the counts of those still running.
func (f *Fleet) CollectTargets(ctx context.Context) ([]TargetRecord, error) {
	records := []TargetRecord{}
	for _, t := range f.Targets {
		record := TargetRecord{
			Address: t.VM.Address, Service: t.VM.Service, DataCentre: t.VM.DataCentre, Version: t.VM.Version,
			LeavingSince: t.LeavingSince, MeasuringBudget: f.service(t.VM.Service).MeasuringBudget,
		}
		executions, err := readExecutionLog(t.executionLog)
		if err != nil {
			return nil, err
		}
		record.Executions = executions
		if !t.Killed {
			err := record.addStats(ctx, t)
			if err != nil {
				return nil, err
			}
		}
		records = append(records, record)
	}
	return records, nil
}

func (r *TargetRecord) addStats(ctx context.Context, t *Target) error {
	var stats target.Stats
	err := getJSON(ctx, "http://"+t.VM.Address+"/admin/stats", &stats)
	if err != nil {
		return errors.Wrap(err, "read target stats")
	}
	r.Probes, r.Overloads = stats.Probes, stats.Overloads
	r.Lifetime = time.Since(t.started)
	return nil
}

func readExecutionLog(name string) ([]target.Execution, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open execution log")
	}
	defer file.Close()
	return target.ReadExecutions(file)
}

// ReadPlatformCounts reads the platform's call counts.
func (f *Fleet) ReadPlatformCounts(ctx context.Context) (PlatformCounts, error) {
	var counts PlatformCounts
	err := getJSON(ctx, f.platformURL()+"/admin/counts", &counts)
	return counts, err
}
