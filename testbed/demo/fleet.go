package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// readyTimeout bounds the wait for a process to become ready.
const readyTimeout = 20 * time.Second

// coldRequests is the number of requests that a target serves before it is warm. It is smaller
// than the target stand-in's default, so that new versions warm up within the run.
const coldRequests = 24

// Fleet is the set of processes of one deployment.
type Fleet struct {
	Deployment
	processes *Processes
	dir       string
	platform  *Process
	Targets   []*Target
	Nodes     []*Node
}

// Target is one target process.
type Target struct {
	VM           api.VM
	process      *Process
	executionLog string
	started      time.Time
	// Killed reports that the script killed the process.
	Killed bool
	// LeavingSince is when the target was first published as leaving; zero if it never was.
	LeavingSince time.Time
}

// Node is one node process.
type Node struct {
	Name, DataCentre, CallerAddress, OperatorAddress, PeerAddress string
	process                                                       *Process
	// Terminated reports that the script killed or stopped the process.
	Terminated bool
}

// StartFleet starts a deployment's platform, targets and nodes, and publishes the VM list to the
// platform.
func StartFleet(ctx context.Context, d Deployment, processes *Processes, dir string) (*Fleet, error) {
	f := &Fleet{Deployment: d, processes: processes, dir: dir}
	var err error
	f.platform, err = processes.Start(d.Name+"-platform", "platform", "--listen", d.address(0, 0))
	if err != nil {
		return nil, err
	}
	for _, s := range d.Services {
		for range s.Targets {
			err := f.startTarget(s, oldVersion, 0)
			if err != nil {
				return nil, err
			}
		}
	}
	err = f.startNodes()
	if err != nil {
		return nil, err
	}
	err = waitForOK(ctx, d.platformURL()+"/admin/counts", readyTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "platform did not become ready")
	}
	return f, f.PublishVMs(ctx)
}

func (f *Fleet) startNodes() error {
	seeds := []string{}
	for i := range min(3, f.Deployment.Nodes) {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(peerPorts, i)))
	}
	for i := range f.Deployment.Nodes {
		err := f.startNode(i, strings.Join(seeds, ", "))
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startNode(i int, seeds string) error {
	n := &Node{
		Name: fmt.Sprintf("%s-node-%02d", f.Name, i), DataCentre: f.dataCentre(i),
		CallerAddress: f.address(callerPorts, i), OperatorAddress: f.address(operatorPorts, i), PeerAddress: f.address(peerPorts, i),
	}
	settings := fmt.Sprintf("[node]\nname = %q\ndataCentre = %q\n[callers]\nlisten = %q\n[operators]\nlisten = %q\n[peers]\nlisten = %q\nrelay = %q\nseeds = [%s]\n[platform]\nurl = %q\n",
		n.Name, n.DataCentre, n.CallerAddress, n.OperatorAddress, n.PeerAddress, f.address(relayPorts, i), seeds, f.platformURL())
	path := filepath.Join(f.dir, n.Name+".toml")
	err := os.WriteFile(path, []byte(settings), 0o600)
	if err != nil {
		return errors.Wrap(err, "write node settings")
	}
	n.process, err = f.processes.Start(n.Name, "fireflychute", "--settings", path)
	f.Nodes = append(f.Nodes, n)
	return err
}

func (f *Fleet) startTarget(s Service, version string, failRatio float64) error {
	i := len(f.Targets)
	address := f.address(targetPorts, i)
	name := fmt.Sprintf("%s-target-%02d", f.Name, i)
	t := &Target{executionLog: filepath.Join(f.dir, name+".executions"), started: time.Now()}
	t.VM = api.VM{Address: address, Role: "target", Service: s.Name, DataCentre: f.dataCentre(i), Version: version, State: api.VMStateLive}
	var err error
	t.process, err = f.processes.Start(name, "target", "--listen", address, "--version", version,
		"--max-conns", fmt.Sprint(s.MaxConnections), "--service-time", s.ServiceTime.String(), "--cold-requests", fmt.Sprint(coldRequests),
		"--seed", fmt.Sprint(i+1), "--execution-log", t.executionLog, "--fail-ratio", fmt.Sprint(failRatio))
	f.Targets = append(f.Targets, t)
	return err
}

// StartVersion starts the targets of a rollout's new version and publishes them.
func (f *Fleet) StartVersion(ctx context.Context, r Rollout) error {
	for range r.Targets {
		err := f.startTarget(f.service(r.Service), newVersion, r.FailRatio)
		if err != nil {
			return err
		}
	}
	return f.PublishVMs(ctx)
}

// PublishVMs sends the platform the list of VMs that have not been killed or stopped.
func (f *Fleet) PublishVMs(ctx context.Context) error {
	vms := []api.VM{}
	for _, t := range f.Targets {
		if !t.Killed {
			vms = append(vms, t.VM)
		}
	}
	for _, n := range f.Nodes {
		if !n.Terminated {
			vms = append(vms, api.VM{Address: n.PeerAddress, Role: "node", DataCentre: n.DataCentre, State: api.VMStateLive})
		}
	}
	return errors.Wrap(putJSON(ctx, f.platformURL()+"/admin/vms", vms), "publish VM list")
}

// operatorURL returns the operator URL of the first running node, or "" if there is none.
func (f *Fleet) operatorURL() string {
	for _, n := range f.Nodes {
		if !n.Terminated {
			return "http://" + n.OperatorAddress
		}
	}
	return ""
}

// WaitLive waits until each node's operator listener responds.
func (f *Fleet) WaitLive(ctx context.Context) error {
	for _, n := range f.Nodes {
		err := waitForOK(ctx, "http://"+n.OperatorAddress+"/livez", readyTimeout)
		if err != nil {
			return errors.Wrapf(err, "%s did not become live", n.Name)
		}
	}
	return nil
}

// WaitReady waits until each node is ready for calls.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		err := waitForOK(ctx, "http://"+n.OperatorAddress+"/readyz", readyTimeout)
		if err != nil {
			return errors.Wrapf(err, "%s did not become ready", n.Name)
		}
	}
	return nil
}
