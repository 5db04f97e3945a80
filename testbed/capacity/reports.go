package capacity

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflychute/fireflychute/pkg/message"
	"github.com/fireflychute/fireflychute/pkg/outcome"
)

const (
	// reportSeconds is the time between two reports of a node.
	reportSeconds = 2.0
	// requestsPerCount is the calls of one route and version in a report: 460,000 a
	// second over 640 routes and 60 nodes are 24 in 2 s.
	requestsPerCount = 24
	decodedReports   = 20
	// medianMicros and spread shape the latencies of a log-normal distribution.
	medianMicros = 15_000
	spread       = 0.5
)

// RolloutSizes are the active rollouts at which reports are measured.
var RolloutSizes = []int{1, 4, 16}

// Reports measures the reports of rollouts by the number of active rollouts.
func Reports(r Report, nodes int) error {
	for _, routes := range []int{2, routesPerService, 24} {
		err := reportsOf(r, nodes, routes)
		if err != nil {
			return err
		}
	}
	return nil
}

func reportsOf(r Report, nodes, routes int) error {
	xs := []float64{}
	bytes, sent := Series{Name: "report, B"}, Series{Name: "a node sends, B/s"}
	received, decode := Series{Name: "controller receives, KB/s"}, Series{Name: "decode and merge, % of a core"}
	for _, rollouts := range RolloutSizes {
		report := reportOf(rollouts, routes)
		size := float64(messageSize(message.Message{From: selfName, Address: peerAddress(0), NodeReport: &report}))
		micros, err := mergeTime(report)
		if err != nil {
			return err
		}
		xs = append(xs, float64(rollouts))
		bytes.Values = append(bytes.Values, size)
		sent.Values = append(sent.Values, size/reportSeconds)
		received.Values = append(received.Values, size/reportSeconds*float64(nodes)/1024)
		decode.Values = append(decode.Values, micros/1e6*float64(nodes)/reportSeconds*100)
	}
	r.Print(fmt.Sprintf("(g) reports of rollouts with %d routes each, %d nodes", routes, nodes), "active rollouts", xs, 0, bytes, sent, received, decode)
	return nil
}

func reportOf(rollouts, routes int) message.NodeReport {
	random := rand.New(rand.NewPCG(1, 1))
	report := message.NodeReport{Node: selfName, Incarnation: 1, Sequence: 1, Revision: 1}
	for rollout := range rollouts {
		for route := range routes {
			for _, version := range []string{"v1", "v2"} {
				report.Counts = append(report.Counts, message.RolloutCount{
					Rollout: serviceName(rollout) + "-v2", Generation: 1, Route: fmt.Sprintf("%s-route-%d", serviceName(rollout), route),
					Version: version, Requests: requestsPerCount, Histogram: latencies(random),
				})
			}
		}
	}
	return report
}

// latencies returns an encoded histogram as a node sends it.
func latencies(random *rand.Rand) []byte {
	histogram := outcome.NewHistogram()
	for range requestsPerCount {
		_ = histogram.RecordValue(int64(medianMicros * lognormal(random))) // far below the maximum
	}
	encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		panic(err) // a histogram of the project's own range always encodes
	}
	return encoded
}

// mergeTime returns the microseconds in which the controller takes in one report.
func mergeTime(report message.NodeReport) (float64, error) {
	collected := map[string]*outcome.Counts{}
	before := now()
	for range decodedReports {
		for _, count := range report.Counts {
			histogram, err := hdrhistogram.Decode(count.Histogram)
			if err != nil {
				return 0, err
			}
			key := count.Route + count.Version
			if collected[key] == nil {
				collected[key] = &outcome.Counts{}
			}
			collected[key].Merge(outcome.Counts{Requests: int(count.Requests), Histogram: histogram})
		}
	}
	return before.spent().micros(decodedReports), nil
}
