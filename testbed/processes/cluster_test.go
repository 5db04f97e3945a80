package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/operator"
	"github.com/fireflychute/fireflychute/testbed/target"
)

const (
	// binVariable is the environment variable with the directory of the binaries.
	binVariable = "FAULTS_BIN"
	// firstPort is the port of the platform. The listeners of targets, callers, operators and peers
	// and the cutting proxies follow, each group with its own range of 100 ports.
	firstPort = 23000
	service   = "orders"
	// waitTimeout bounds each wait; it is generous, so that slow machines pass.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	nodes        = 3
	targets      = 3
)

// process is a child process of a test.
type process struct {
	*exec.Cmd
	isEnded bool
}

func (p *process) signal(signal syscall.Signal) { _ = p.Process.Signal(signal) }

// wait waits until the process has exited and returns its state.
func (p *process) wait() *os.ProcessState {
	if !p.isEnded {
		_ = p.Cmd.Wait()
		p.isEnded = true
	}
	return p.ProcessState
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// cluster is a platform, its targets and its nodes, each a separate process.
type cluster struct {
	*WithT
	t        *testing.T
	dir      string
	platform *process
	targets  []*process
	nodes    []*process
	client   *http.Client
}

func address(group, i int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+100*group+i) }

func platformAddress() string      { return address(0, 0) }
func targetAddress(i int) string   { return address(1, i) }
func callerAddress(i int) string   { return address(2, i) }
func operatorAddress(i int) string { return address(3, i) }
func peerAddress(i int) string     { return address(4, i) }

// newCluster starts all processes and waits until every node is ready with the configuration. The
// platform's VM list shows the targets at targetAddresses.
func newCluster(t *testing.T, targetAddresses []string, targetArgs ...string) *cluster {
	if os.Getenv(binVariable) == "" {
		t.Skipf("%s is not set; run make faults", binVariable)
	}
	w := &cluster{WithT: NewWithT(t), t: t, dir: t.TempDir(), client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout,
	}}
	w.platform = w.start("platform", "--listen", platformAddress())
	for i := range targets {
		w.targets = append(w.targets, w.startTarget(i, targetArgs...))
	}
	w.await("the platform", func() bool { return w.getStatus("http://"+platformAddress()+"/admin/counts") == 200 })
	w.listVMs(targetAddresses, "")
	for i := range nodes {
		w.nodes = append(w.nodes, w.startNode(i))
	}
	for i := range nodes {
		w.await("the operator listener", func() bool { return w.getStatus("http://"+operatorAddress(i)+"/livez") == 200 })
	}
	w.apply(0, declaration(3000))
	w.awaitReady(0, 1, 2)
	return w
}

func (c *cluster) start(name string, args ...string) *process {
	p := &process{Cmd: exec.Command(filepath.Join(os.Getenv(binVariable), name), args...)}
	logFile, err := os.Create(filepath.Join(c.dir, name+"-"+strconv.Itoa(len(c.nodes)+len(c.targets))+".log"))
	c.Expect(err).NotTo(HaveOccurred())
	p.Stderr = logFile
	c.Expect(p.Start()).To(Succeed())
	c.t.Cleanup(func() {
		if !p.isEnded {
			p.kill()
		}
		_ = logFile.Close()
		if c.t.Failed() {
			text, _ := os.ReadFile(logFile.Name())
			c.t.Logf("%s %v:\n%s", name, args, text)
		}
	})
	return p
}

func (c *cluster) startTarget(i int, args ...string) *process {
	return c.start("target", append([]string{"--listen", targetAddress(i), "--cold-requests", "0"}, args...)...)
}

func (c *cluster) startNode(i int) *process {
	seeds := []string{}
	for j := range nodes {
		seeds = append(seeds, strconv.Quote(peerAddress(j)))
	}
	text := fmt.Sprintf("[node]\nname = \"node-%d\"\ndataCentre = \"north\"\n[callers]\nlisten = %q\n[operators]\nlisten = %q\n[peers]\nlisten = %q\nseeds = [%s]\n[platform]\nurl = %q\n",
		i, callerAddress(i), operatorAddress(i), peerAddress(i), strings.Join(seeds, ", "), "http://"+platformAddress())
	path := filepath.Join(c.dir, fmt.Sprintf("node-%d.toml", i))
	c.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return c.start("fireflychute", "--settings", path)
}

func (c *cluster) await(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for %s: condition not met within %v", description, waitTimeout)
}

func (c *cluster) awaitReady(nodes ...int) {
	c.t.Helper()
	for _, i := range nodes {
		c.await("readiness", func() bool { return c.getStatus("http://"+operatorAddress(i)+"/readyz") == 200 })
	}
}

// getStatus returns the status of a GET request, or 0 without a response.
func (c *cluster) getStatus(url string) int {
	response, err := c.client.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (c *cluster) sendJSON(method, url string, value any) (int, []byte) {
	body, err := json.Marshal(value)
	c.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	c.Expect(err).NotTo(HaveOccurred())
	response, err := c.client.Do(request)
	c.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, text
}

// listVMs replaces the platform's VM list by all nodes and the targets at the addresses. The target
// at the address leaving is listed as leaving.
func (c *cluster) listVMs(targetAddresses []string, leaving string) {
	vms := []api.VM{}
	for _, address := range targetAddresses {
		vm := api.VM{Address: address, Role: "target", Service: service, DataCentre: "north", Version: "v1", State: api.VMStateLive}
		if address == leaving {
			vm.State = api.VMStateLeaving
		}
		vms = append(vms, vm)
	}
	for i := range nodes {
		vms = append(vms, api.VM{Address: peerAddress(i), Role: "node", DataCentre: "north", State: api.VMStateLive})
	}
	code, _ := c.sendJSON(http.MethodPut, "http://"+platformAddress()+"/admin/vms", vms)
	c.Expect(code).To(Equal(200))
}

func object(kind, name string, spec any) api.Object {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return api.Object{Kind: kind, Name: name, Spec: raw, Status: json.RawMessage("null")}
}

func declaration(timeoutMs int) operator.ApplyRequest {
	return operator.ApplyRequest{Objects: []api.Object{
		object(api.KindDataCentre, "north", api.DataCentreSpec{State: api.DataCentreStateIn, CapacityPolicy: api.CapacityPolicyRefuse}),
		object(api.KindService, service, api.ServiceSpec{Slots: 6, Queue: 6, MaxConnections: 260, MeasuringBudget: 2, ReferenceLatencyMs: 20}),
		object(api.KindWorkKind, "release", api.WorkKindSpec{TimeoutMs: timeoutMs, Weight: 8}),
		object(api.KindRoute, "orders", api.RouteSpec{PathPrefix: "/orders", Service: service, WorkKind: "release"}),
	}}
}

// apply applies a configuration change through a node, with retries, and returns its revision.
func (c *cluster) apply(node int, request operator.ApplyRequest) int {
	c.t.Helper()
	revision := 0
	c.await("apply to succeed", func() bool {
		code, text := c.sendJSON(http.MethodPost, "http://"+operatorAddress(node)+"/v1/apply", request)
		var result operator.ApplyResult
		_ = json.Unmarshal(text, &result)
		revision = int(result.Revision)
		return code == 200
	})
	return revision
}

// appliedRevision returns the revision that a node reports as applied, or 0 without a response.
func (c *cluster) appliedRevision(node int) int {
	response, err := c.client.Get("http://" + operatorAddress(node) + "/v1/nodes")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var list operator.NodeList
	_ = json.NewDecoder(response.Body).Decode(&list)
	for _, status := range list.Nodes {
		if status.Name == fmt.Sprintf("node-%d", node) {
			return status.Revision
		}
	}
	return 0
}

func (c *cluster) targetStats(i int) target.Stats {
	response, err := c.client.Get("http://" + targetAddress(i) + "/admin/stats")
	c.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var stats target.Stats
	c.Expect(json.NewDecoder(response.Body).Decode(&stats)).To(Succeed())
	return stats
}
