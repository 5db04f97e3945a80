package rolloutbench

import (
	"io"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Summary summarises the results of one rollout type.
type Summary struct {
	Rollouts, Completed, InTime, RolledBack, ReportedLate, FaultHit int
	MedianDetectionTime, P95DetectionTime                           time.Duration
	MedianReceivedCalls, P95ReceivedCalls                           int
	MaxShare                                                        float64
}

// Summarise returns the summary of results. Detection times, calls and shares cover the rollouts
// that were rolled back after their fault had affected a request.
func Summarise(results []Result) Summary {
	s := Summary{Rollouts: len(results)}
	detectionTimes, receivedCalls := []time.Duration{}, []int{}
	for _, r := range results {
		s.Completed += boolToInt(r.Completed)
		s.InTime += boolToInt(r.InTime)
		s.RolledBack += boolToInt(r.RolledBack)
		s.ReportedLate += boolToInt(r.ReportedLate)
		s.FaultHit += boolToInt(r.FaultHit)
		if r.RolledBack && r.FaultHit {
			detectionTimes = append(detectionTimes, r.DetectionTime)
			receivedCalls = append(receivedCalls, r.ReceivedCalls)
			s.MaxShare = max(s.MaxShare, r.RollbackShare)
		}
	}
	s.MedianDetectionTime, s.P95DetectionTime = percentile(detectionTimes, 50), percentile(detectionTimes, 95)
	s.MedianReceivedCalls, s.P95ReceivedCalls = percentile(receivedCalls, 50), percentile(receivedCalls, 95)
	return s
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// percentile sorts values and returns the one at a percentile, or zero without values.
func percentile[T int | time.Duration](values []T, percent int) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)*percent/100]
}

// NewTable returns an empty table, to which AddRow appends rows.
func NewTable(out io.Writer) table.Writer {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.AppendHeader(table.Row{"service", "version", "rollouts", "in time", "taken back", "detect p50", "detect p95", "calls p50", "calls p95", "max share", "said late", "false alarms"})
	return w
}

// AddRow appends a row for one rollout type.
func AddRow(w table.Writer, d Deployment, kind RolloutType, s Summary) {
	if kind.Fault == None {
		w.AppendRow(table.Row{d.Name, kind.Name, s.Rollouts, s.InTime, "", "", "", "", "", "", s.ReportedLate, s.RolledBack})
		return
	}
	w.AppendRow(table.Row{d.Name, kind.Name, s.Rollouts, "", s.RolledBack, s.MedianDetectionTime, s.P95DetectionTime, s.MedianReceivedCalls, s.P95ReceivedCalls, s.MaxShare, s.ReportedLate, ""})
}
