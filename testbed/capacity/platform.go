package capacity

import (
	"fmt"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/testbed/fleet"
)

const (
	// steadyDuration covers two periods of the slowest regular calls, the watches of 20 s.
	steadyDuration = 40 * time.Second
	// eventPause lets the platform calls caused by an event end before the next event.
	eventPause     = 2 * time.Second
	measuredEvents = 3 // of each type: changes and starts of nodes
)

// PlatformSizes are the numbers of nodes at which platform calls are counted.
var PlatformSizes = []int{4, 19, 60}

// callRates are the platform calls of a fleet by mechanism: per second without changes, per
// configuration change and per start of a node.
type callRates struct {
	steady, change, start map[string]float64
	err                   error
}

// MeasurePlatformCalls counts platform calls and, if recovery is set, also measures recovery. The
// fleets run concurrently, since no CPU time is measured.
func MeasurePlatformCalls(r TablePrinter, nodes int, recovery bool) error {
	rates := make([]callRates, len(PlatformSizes))
	var recoveryErr error
	var fleets sync.WaitGroup
	if recovery {
		fleets.Go(func() { recoveryErr = MeasureRecovery(r) })
	}
	for i, size := range PlatformSizes {
		fleets.Go(func() { rates[i] = countCalls(size) })
	}
	fleets.Wait()
	if recoveryErr != nil {
		return recoveryErr
	}
	for _, rate := range rates {
		if rate.err != nil {
			return rate.err
		}
	}
	printRates(r, "(f) platform calls per second without changes", nodes, rates, func(c callRates) map[string]float64 { return c.steady })
	printRates(r, "(f) platform calls per configuration change", nodes, rates, func(c callRates) map[string]float64 { return c.change })
	printRates(r, "(f) platform calls per start of a node", nodes, rates, func(c callRates) map[string]float64 { return c.start })
	return nil
}

func printRates(r TablePrinter, title string, nodes int, rates []callRates, selectRates func(callRates) map[string]float64) {
	header := table.Row{"mechanism"}
	sizes := []float64{}
	for _, size := range PlatformSizes {
		header = append(header, fmt.Sprintf("%d nodes", size))
		sizes = append(sizes, float64(size))
	}
	header = append(header, "per node", "largest residual", fmt.Sprintf("fit at %d", nodes))
	rows := []table.Row{}
	for _, name := range mechanisms {
		for _, verb := range []string{"read", "write"} {
			values := []float64{}
			for _, rate := range rates {
				values = append(values, selectRates(rate)[name+", "+verb])
			}
			if sum(values) == 0 {
				continue
			}
			line := Fit(sizes, values)
			row := table.Row{name + ", " + verb}
			for _, value := range values {
				row = append(row, formatNumber(value))
			}
			rows = append(rows, append(row, formatNumber(line.Slope), formatNumber(line.Residual)+linearityNote(line), formatNumber(line.At(float64(nodes)))))
		}
	}
	r.PrintRows(title, header, rows)
}

func countCalls(nodes int) callRates {
	counter := newCallCounter()
	l, err := startFleet(nodes, counter.wrap)
	if err != nil {
		return callRates{err: err}
	}
	defer l.stop()
	time.Sleep(eventPause)
	counter.readAndReset()
	time.Sleep(steadyDuration)
	rates := callRates{}
	rates.steady = counter.perUnit(steadyDuration.Seconds(), nil, 0)
	rates.change, rates.err = l.callsPerEvent(counter, rates.steady, func(int) error {
		_, err := l.applyChange(l.Nodes[0])
		return err
	})
	if rates.err != nil {
		return rates
	}
	rates.start, rates.err = l.callsPerEvent(counter, rates.steady, func(i int) error {
		node := l.Nodes[nodes-1-i]
		l.restart(node)
		if !fleet.WaitUntil(startTimeout, func() bool { return node.Backend.Readiness().Ready }) {
			return errors.Wrap(errNotStarted, node.Name)
		}
		return nil
	})
	return rates
}

// callsPerEvent returns the calls per event, without the steady calls of the same time.
func (f *runningFleet) callsPerEvent(counter *callCounter, steady map[string]float64, event func(i int) error) (map[string]float64, error) {
	counter.readAndReset()
	start := time.Now()
	for i := range measuredEvents {
		err := event(i)
		if err != nil {
			return nil, err
		}
		time.Sleep(eventPause)
	}
	return counter.perUnit(measuredEvents, steady, time.Since(start).Seconds()), nil
}

// perUnit returns the counts since the last readAndReset divided by units, after subtracting the
// calls at the steady rates over a time in seconds.
func (c *callCounter) perUnit(units float64, steady map[string]float64, seconds float64) map[string]float64 {
	reads, writes := c.readAndReset()
	result := map[string]float64{}
	for name, count := range reads {
		result[name+", read"] = float64(count)
	}
	for name, count := range writes {
		result[name+", write"] = float64(count)
	}
	for name, count := range result {
		result[name] = max(count-steady[name]*seconds, 0) / units
	}
	return result
}
