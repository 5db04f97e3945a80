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
	trafficUnits   = 64 // of each target, so that no call waits
	warmCalls      = 1000
	timedCalls     = 10_000
	answerText     = "a short label text\n"
	// callsPerSecond and trafficShare are the load to build towards and the part of a node's
	// processor that traffic may use, which leaves room for the loss of a data centre.
	callsPerSecond = 460_000
	trafficShare   = 0.5
)

// CallerSizes are the calls in flight at which the cost of a call is measured.
var CallerSizes = []int{1, 8, 32, 64}

// Traffic measures processor time and allocated bytes of a call through pkg/proxy:
// the difference between calls through a node and calls at the target itself, with
// caller, node and target in this process.
func Traffic(r Report, cores int) error {
	direct, through, err := serveTraffic()
	if err != nil {
		return err
	}
	xs := []float64{}
	own, node, bytes := Series{Name: "direct, us"}, Series{Name: "node, us"}, Series{Name: "node, B allocated"}
	fleet := Series{Name: fmt.Sprintf("nodes of %d cores at %.0f%%", cores, 100*trafficShare)}
	for _, callers := range CallerSizes {
		plain, err := costOfCalls(direct, callers)
		if err != nil {
			return err
		}
		whole, err := costOfCalls(through, callers)
		if err != nil {
			return err
		}
		micros := whole.micros(timedCalls) - plain.micros(timedCalls)
		xs = append(xs, float64(callers))
		own.Values = append(own.Values, plain.micros(timedCalls))
		node.Values = append(node.Values, micros)
		bytes.Values = append(bytes.Values, (whole.kilobytes(timedCalls)-plain.kilobytes(timedCalls))*1024)
		fleet.Values = append(fleet.Values, callsPerSecond*micros/1e6/trafficShare/float64(cores))
	}
	r.Print("(e) one call", "calls in flight", xs, 0, own, node, bytes, fleet)
	return nil
}

func costOfCalls(url string, callers int) (usage, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	err := callMany(client, url, callers, warmCalls)
	if err != nil {
		return usage{}, err
	}
	before := now()
	err = callMany(client, url, callers, timedCalls)
	return before.spent(), err
}

// callMany makes calls one after the other in each of some goroutines.
func callMany(client *http.Client, url string, callers, total int) error {
	var failure atomic.Pointer[error]
	var left atomic.Int64
	left.Store(int64(total))
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				err := callOnce(client, url)
				if err != nil {
					failure.Store(&err)
					return
				}
			}
		})
	}
	running.Wait()
	if err := failure.Load(); err != nil {
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
		return errors.Errorf("status %d", response.StatusCode)
	}
	return err
}

// serveTraffic serves targets and a node on loopback until the process ends.
func serveTraffic() (direct, through string, err error) {
	service := &snapshot.Service{Name: serviceName(0), Spec: api.ServiceSpec{Slots: slots}, Units: trafficTargets * trafficUnits}
	version := snapshot.Version{Name: "v1", Share: 1}
	for range trafficTargets {
		address, err := serve(http.HandlerFunc(answer))
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

// answer reports its load as a target does.
func answer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(targets.HeaderLoad, "inflight=3;queued=1;served=1200;incarnation=ab12;version=v1;draining=0")
	_, _ = io.WriteString(w, answerText)
}
