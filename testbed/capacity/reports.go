package capacity

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

const (
	// reportIntervalSeconds is the interval of a node's reports.
	reportIntervalSeconds = 2.0
	// requestsPerCount is the number of calls of one route and version in a report: 460,000 calls
	// per second over 640 routes and 60 nodes are 24 calls in 2 s.
	requestsPerCount = 24
	timedReports     = 20
	// medianLatencyMicros and latencySigma are the parameters of the log-normal latencies.
	medianLatencyMicros = 15_000
	latencySigma        = 0.5
)

// RolloutSizes are the numbers of active rollouts at which reports are measured.
var RolloutSizes = []int{1, 4, 16}

// MeasureReports measures the size and the processing cost of node reports at several numbers of
// active rollouts.
func MeasureReports(r TablePrinter, nodes int) error {
	for _, routes := range []int{2, routesPerService, 24} {
		err := measureReportsAt(r, nodes, routes)
		if err != nil {
			return err
		}
	}
	return nil
}

func measureReportsAt(r TablePrinter, nodes, routes int) error {
	xs := []float64{}
	bytes, sent := Series{Name: "report, B"}, Series{Name: "a node sends, B/s"}
	received, decode := Series{Name: "controller receives, KB/s"}, Series{Name: "decode and merge, % of a core"}
	for _, rollouts := range RolloutSizes {
		report := newReport(rollouts, routes)
		size := float64(messageSize(message.Message{From: selfName, Address: peerAddress(0), NodeReport: &report}))
		micros, err := mergeMicros(report)
		if err != nil {
			return err
		}
		xs = append(xs, float64(rollouts))
		bytes.Values = append(bytes.Values, size)
		sent.Values = append(sent.Values, size/reportIntervalSeconds)
		received.Values = append(received.Values, size/reportIntervalSeconds*float64(nodes)/1024)
		decode.Values = append(decode.Values, micros/1e6*float64(nodes)/reportIntervalSeconds*100)
	}
	r.PrintFit(fmt.Sprintf("(g) reports of rollouts with %d routes each, %d nodes", routes, nodes), "active rollouts", xs, 0, bytes, sent, received, decode)
	return nil
}

func newReport(rollouts, routes int) message.NodeReport {
	random := rand.New(rand.NewPCG(1, 1))
	report := message.NodeReport{Node: selfName, Incarnation: 1, Sequence: 1, Revision: 1}
	for rollout := range rollouts {
		for route := range routes {
			for _, version := range []string{"v1", "v2"} {
				report.Counts = append(report.Counts, message.RolloutCount{
					Rollout: serviceName(rollout) + "-v2", Generation: 1, Route: fmt.Sprintf("%s-route-%d", serviceName(rollout), route),
					Version: version, Requests: requestsPerCount, Histogram: encodedLatencies(random),
				})
			}
		}
	}
	return report
}

// encodedLatencies returns an encoded histogram of random latencies as a node sends it.
func encodedLatencies(random *rand.Rand) []byte {
	histogram := outcome.NewHistogram()
	for range requestsPerCount {
		_ = histogram.RecordValue(int64(medianLatencyMicros * lognormal(random))) // far below the histogram's maximum
	}
	encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		panic(err) // a histogram with the project's value range always encodes
	}
	return encoded
}

// mergeMicros returns the CPU time in microseconds of decoding and merging one report.
func mergeMicros(report message.NodeReport) (float64, error) {
	merged := map[string]*outcome.Counts{}
	before := currentUsage()
	for range timedReports {
		for _, count := range report.Counts {
			histogram, err := hdrhistogram.Decode(count.Histogram)
			if err != nil {
				return 0, err
			}
			key := count.Route + count.Version
			if merged[key] == nil {
				merged[key] = &outcome.Counts{}
			}
			merged[key].Merge(outcome.Counts{Requests: int(count.Requests), Histogram: histogram})
		}
	}
	return before.untilNow().cpuMicros(timedReports), nil
}
