package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/proxy"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/targets"
)

const (
	trafficTargets = 12
	trafficUnits   = 64 // per target, so that no call waits
	warmupCalls    = 1000
	timedCalls     = 10_000
	responseText   = "a short label text\n"
	// callsPerSecond is the planned load. trafficCPUShare is the share of a node's CPU that traffic
	// may use, which leaves room for the loss of a data centre.
	callsPerSecond  = 460_000
	trafficCPUShare = 0.5
)

// CallerSizes are the numbers of calls in flight at which the cost of a call is measured.
var CallerSizes = []int{1, 8, 32, 64}

// MeasureTraffic measures the CPU time and the allocated bytes of a call through pkg/proxy: the
// difference between calls through a node and calls directly to a target, with caller, node and
// target in this process.
func MeasureTraffic(r TablePrinter, cores int) error {
	direct, viaNode, err := serveTraffic()
	if err != nil {
		return err
	}
	xs := []float64{}
	directCost, nodeCost, allocated := Series{Name: "direct, us"}, Series{Name: "node, us"}, Series{Name: "node, B allocated"}
	fleetSize := Series{Name: fmt.Sprintf("nodes of %d cores at %.0f%%", cores, 100*trafficCPUShare)}
	for _, callers := range CallerSizes {
		directUsage, err := measureCalls(direct, callers)
		if err != nil {
			return err
		}
		nodeUsage, err := measureCalls(viaNode, callers)
		if err != nil {
			return err
		}
		nodeMicros := nodeUsage.cpuMicros(timedCalls) - directUsage.cpuMicros(timedCalls)
		xs = append(xs, float64(callers))
		directCost.Values = append(directCost.Values, directUsage.cpuMicros(timedCalls))
		nodeCost.Values = append(nodeCost.Values, nodeMicros)
		allocated.Values = append(allocated.Values, (nodeUsage.allocatedKB(timedCalls)-directUsage.allocatedKB(timedCalls))*1024)
		fleetSize.Values = append(fleetSize.Values, callsPerSecond*nodeMicros/1e6/trafficCPUShare/float64(cores))
	}
	r.PrintFit("(e) one call", "calls in flight", xs, 0, directCost, nodeCost, allocated, fleetSize)
	return nil
}

func measureCalls(url string, callers int) (usage, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	err := makeCalls(client, url, callers, warmupCalls)
	if err != nil {
		return usage{}, err
	}
	before := currentUsage()
	err = makeCalls(client, url, callers, timedCalls)
	return before.untilNow(), err
}

// makeCalls makes total calls from callers goroutines, each of which makes one call at a time.
func makeCalls(client *http.Client, url string, callers, total int) error {
	var callErr atomic.Pointer[error]
	var remaining atomic.Int64
	remaining.Store(int64(total))
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				err := callOnce(client, url)
				if err != nil {
					callErr.Store(&err)
					return
				}
			}
		})
	}
	wg.Wait()
	if err := callErr.Load(); err != nil {
		return *err
	}
	return nil
}

func callOnce(client *http.Client, url string) error {
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

// serveTraffic serves targets and a node on loopback until the process ends. It returns the URLs of
// a target and of the node.
func serveTraffic() (direct, viaNode string, err error) {
	service := &snapshot.Service{Name: serviceName(0), Spec: api.ServiceSpec{Slots: slots}, Units: trafficTargets * trafficUnits}
	version := snapshot.Version{Name: "v1", Share: 1}
	for range trafficTargets {
		address, err := serve(http.HandlerFunc(serveResponse))
		if err != nil {
			return "", "", err
		}
		version.Targets = append(version.Targets, &snapshot.Target{
			Address: address, Version: "v1", Units: trafficUnits, Local: true, Counters: &targets.Counters{},
		})
		direct = "http://" + address + "/label/1"
	}
	service.Versions = []snapshot.Version{version}
	published := &atomic.Pointer[snapshot.Snapshot]{}
	published.Store(&snapshot.Snapshot{Revision: 1, Routes: []*snapshot.Route{{
		Name: "label", Spec: api.RouteSpec{PathPrefix: "/label"}, Service: service, WorkKind: workKind(5000),
	}}})
	address, err := serve(proxy.NewHandler(proxy.Options{Published: published, Node: selfName, Seed: 1}))
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

// serveResponse sends a short body and a load report, as a target does.
func serveResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(targets.HeaderLoad, "inflight=3;queued=1;served=1200;incarnation=ab12;version=v1;draining=0")
	_, _ = io.WriteString(w, responseText)
}
