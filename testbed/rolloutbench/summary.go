package rolloutbench

import (
	"io"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Summary adds up the results of one type.
type Summary struct {
	Rollouts, Completed, InTime, RolledBack, SaidLate, Shown int
	MedianDetected, P95Detected                              time.Duration
	MedianReceived, P95Received                              int
	MaxShare                                                 float64
}

// Summarise adds up results. Times and calls are over the rollouts taken back
// after their fault had shown.
func Summarise(results []Result) Summary {
	s := Summary{Rollouts: len(results)}
	detected, received := []time.Duration{}, []int{}
	for _, r := range results {
		s.Completed += one(r.Completed)
		s.InTime += one(r.InTime)
		s.RolledBack += one(r.RolledBack)
		s.SaidLate += one(r.SaidLate)
		s.Shown += one(r.Shown)
		if r.RolledBack && r.Shown {
			detected = append(detected, r.Detected)
			received = append(received, r.Received)
			s.MaxShare = max(s.MaxShare, r.Share)
		}
	}
	s.MedianDetected, s.P95Detected = at(detected, 50), at(detected, 95)
	s.MedianReceived, s.P95Received = at(received, 50), at(received, 95)
	return s
}

func one(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// at returns the value at a percentile, or zero without values.
func at[T int | time.Duration](values []T, percent int) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)*percent/100]
}

// NewTable returns an empty table that Add fills.
func NewTable(out io.Writer) table.Writer {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.AppendHeader(table.Row{"service", "version", "rollouts", "in time", "taken back", "detect p50", "detect p95", "calls p50", "calls p95", "max share", "said late", "false alarms"})
	return w
}

// Add appends a row for one type.
func Add(w table.Writer, d Deployment, kind Type, s Summary) {
	if kind.Fault == None {
		w.AppendRow(table.Row{d.Name, kind.Name, s.Rollouts, s.InTime, "", "", "", "", "", "", s.SaidLate, s.RolledBack})
		return
	}
	w.AppendRow(table.Row{d.Name, kind.Name, s.Rollouts, "", s.RolledBack, s.MedianDetected, s.P95Detected, s.MedianReceived, s.P95Received, s.MaxShare, s.SaidLate, ""})
}
