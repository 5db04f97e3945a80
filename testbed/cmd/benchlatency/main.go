// Command benchlatency measures the latency that a node adds to a call. One run calls a
// plain target directly and through a node, in pairs.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/proxy"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

const (
	maxNanos          = int64(10 * time.Second)
	significantDigits = 3
	targetCount       = 12 // targets of the service
	units             = 64 // capacity units of each target
	warmUpCalls       = 2000
	// maxClientConns limits the connections per host, so that calls that pile up on a stalled
	// machine do not exhaust the file descriptors.
	maxClientConns = 256
	costCalls      = 10_000 // calls over which printCosts takes the mean
	responseText   = "a short label text\n"
)

type options struct {
	Rates []int         `long:"rate" default:"500" default:"2000" default:"5000" description:"pairs of calls per second"`
	Time  time.Duration `long:"time" default:"10s" description:"duration of the calls at each rate"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	err = measure(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(opts options) error {
	direct, viaNode, err := start()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxClientConns, MaxConnsPerHost: maxClientConns}}
	for range warmUpCalls {
		_ = call(client, direct)
		_ = call(client, viaNode)
	}
	rows := table.NewWriter()
	rows.SetOutputMirror(os.Stdout)
	rows.AppendHeader(table.Row{"pairs/s", "direct p50", "node p50", "added p50", "direct p99", "node p99", "added p99", "pair difference p50", "p99", "failed"})
	for _, rate := range opts.Rates {
		r := runPairs(client, direct, viaNode, rate, opts.Time)
		rows.AppendRow(r.row(rate))
	}
	rows.Render()
	printCosts(client, direct, viaNode)
	return nil
}

// start serves the targets and the node on loopback and returns the URLs of a target and
// of the node.
func start() (direct, viaNode string, err error) {
	service := &snapshot.Service{Name: "label-text", Spec: api.ServiceSpec{Slots: 6}, Units: targetCount * units}
	version := snapshot.Version{Name: "v1", Share: 1}
	for range targetCount {
		address, err := serve(http.HandlerFunc(respond))
		if err != nil {
			return "", "", err
		}
		version.Targets = append(version.Targets, &snapshot.Target{
			Address: address, Version: "v1", Units: units, Connections: 4 * units, Local: true, Counters: &targets.Counters{},
		})
		direct = "http://" + address + "/label/1"
	}
	service.Versions = []snapshot.Version{version}
	var published atomic.Pointer[snapshot.Snapshot]
	published.Store(&snapshot.Snapshot{Revision: 1, Routes: []*snapshot.Route{{
		Name: "label", Spec: api.RouteSpec{PathPrefix: "/label"}, Service: service,
		WorkKind: api.WorkKindSpec{Idempotent: true, TimeoutMs: 5000},
	}}})
	address, err := serve(proxy.NewHandler(proxy.Options{Published: &published, Node: "n1", Seed: 1}))
	return direct, "http://" + address + "/label/1", err
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return listener.Addr().String(), nil
}

func respond(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, responseText) }

func call(client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("call %s: got status %d, expected 200", url, response.StatusCode)
	}
	return err
}

// result holds latencies in nanoseconds, measured from the intended start times.
type result struct {
	mu                          sync.Mutex
	direct, viaNode, difference *hdrhistogram.Histogram
	failed                      int
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxNanos, significantDigits) }

// runPairs starts pairs at a fixed rate, whether or not earlier pairs have ended. The two
// calls of a pair start half an interval apart; their order alternates.
func runPairs(client *http.Client, direct, viaNode string, rate int, duration time.Duration) *result {
	r := &result{direct: newHistogram(), viaNode: newHistogram(), difference: newHistogram()}
	interval := time.Second / time.Duration(rate)
	first := time.Now().Add(interval)
	var calls sync.WaitGroup
	for i := range int(duration / interval) {
		at := first.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(at))
		calls.Go(func() { r.runPair(client, direct, viaNode, at, interval/2, i%2 == 1) })
	}
	calls.Wait()
	return r
}

func (r *result) runPair(client *http.Client, direct, viaNode string, at time.Time, offset time.Duration, swap bool) {
	var latencies [2]time.Duration
	var errs [2]error
	urls := [2]string{direct, viaNode}
	var calls sync.WaitGroup
	for position := range urls {
		endpoint := position
		if swap {
			endpoint = 1 - position
		}
		calls.Go(func() {
			intended := at.Add(time.Duration(position) * offset)
			time.Sleep(time.Until(intended))
			errs[endpoint] = call(client, urls[endpoint])
			latencies[endpoint] = time.Since(intended)
		})
	}
	calls.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if errs[0] != nil || errs[1] != nil {
		r.failed++
		return
	}
	_ = r.direct.RecordValue(latencies[0].Nanoseconds())
	_ = r.viaNode.RecordValue(latencies[1].Nanoseconds())
	_ = r.difference.RecordValue(max((latencies[1] - latencies[0]).Nanoseconds(), 1))
}

func (r *result) row(rate int) table.Row {
	p := func(h *hdrhistogram.Histogram, q float64) int64 { return h.ValueAtQuantile(q) / 1000 }
	return table.Row{
		rate, p(r.direct, 50), p(r.viaNode, 50), p(r.viaNode, 50) - p(r.direct, 50),
		p(r.direct, 99), p(r.viaNode, 99), p(r.viaNode, 99) - p(r.direct, 99),
		p(r.difference, 50), p(r.difference, 99), r.failed,
	}
}

// printCosts prints processor time, allocated bytes and allocations per call of the whole
// process: caller, target and, in the second line, node.
func printCosts(client *http.Client, direct, viaNode string) {
	fmt.Println("times above in microseconds; cost per call, one caller after the other:")
	for _, url := range []struct{ name, url string }{{"direct", direct}, {"node", viaNode}} {
		cpu, bytes, count := resourceUsage()
		for range costCalls {
			_ = call(client, url.url)
		}
		cpuAfter, bytesAfter, countAfter := resourceUsage()
		fmt.Printf("%-6s %6.1f us  %6d bytes  %4d allocations\n", url.name,
			float64((cpuAfter-cpu).Nanoseconds())/1000/costCalls, (bytesAfter-bytes)/costCalls, (countAfter-count)/costCalls)
	}
}

func resourceUsage() (cpu time.Duration, bytes, count uint64) {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()), memory.TotalAlloc, memory.Mallocs
}
