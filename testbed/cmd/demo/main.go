// Command demo starts a platform, targets and nodes on loopback, applies a
// declaration and sends calls through the nodes.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	readyTime = 10 * time.Second
	pollTime  = 50 * time.Millisecond
)

type options struct {
	Bin      string `long:"bin" default:"bin" description:"directory of the binaries"`
	Examples string `long:"examples" default:"examples" description:"directory of the declarations"`
}

// fleet is the processes that the demo started.
type fleet struct {
	opts      options
	dir       string
	processes []*exec.Cmd
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "fireflychute-demo-")
	if err != nil {
		fail(err)
	}
	f := &fleet{opts: opts, dir: dir}
	err = f.run()
	f.stop()
	_ = os.RemoveAll(dir)
	if err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "demo:", err)
	os.Exit(1)
}

func (f *fleet) run() error {
	const platformURL = "http://127.0.0.1:17000"
	err := f.start("platform", "--listen", "127.0.0.1:17000")
	if err != nil {
		return err
	}
	vms, err := f.startTargets()
	if err != nil {
		return err
	}
	err = waitReady(platformURL + "/admin/counts")
	if err != nil {
		return err
	}
	err = put(platformURL+"/admin/vms", vms)
	if err != nil {
		return err
	}
	for i := 1; i <= 2; i++ {
		err := f.startNode(i, platformURL)
		if err != nil {
			return err
		}
	}
	err = waitReady("http://127.0.0.1:18101/livez")
	if err != nil {
		return err
	}
	err = f.apply()
	if err != nil {
		return err
	}
	return f.call()
}

func (f *fleet) startTargets() ([]api.VM, error) {
	vms := []api.VM{}
	for i, service := range []string{"label-text", "label-text", "qa-approval", "warehouse"} {
		address := fmt.Sprintf("127.0.0.1:%d", 19000+i)
		vms = append(vms, api.VM{Address: address, Role: "target", Service: service, DataCentre: "north", Version: "v1", State: api.VMStateLive})
		err := f.start("target", "--listen", address)
		if err != nil {
			return nil, err
		}
	}
	for i := 1; i <= 2; i++ {
		vms = append(vms, api.VM{Address: fmt.Sprintf("127.0.0.1:%d", 18200+i), Role: "node", DataCentre: "north", State: api.VMStateLive})
	}
	return vms, nil
}

func (f *fleet) startNode(i int, platformURL string) error {
	text := fmt.Sprintf("[node]\nname = \"node-%d\"\ndataCentre = \"north\"\n[callers]\nlisten = \"127.0.0.1:%d\"\n"+
		"[operators]\nlisten = \"127.0.0.1:%d\"\n[peers]\nlisten = \"127.0.0.1:%d\"\nseeds = [\"127.0.0.1:18201\", \"127.0.0.1:18202\"]\n[platform]\nurl = %q\n",
		i, 18000+i, 18100+i, 18200+i, platformURL)
	path := filepath.Join(f.dir, fmt.Sprintf("node-%d.toml", i))
	err := os.WriteFile(path, []byte(text), 0o600)
	if err != nil {
		return errors.Wrap(err, "write settings")
	}
	return f.start("fireflychute", "--settings", path)
}

func (f *fleet) apply() error {
	command := f.command("chutectl", "--node", "http://127.0.0.1:18101", "apply", filepath.Join(f.opts.Examples, "vestfjord", "gateway.toml"))
	return errors.Wrap(command.Run(), "apply")
}

func (f *fleet) call() error {
	for i := 1; i <= 2; i++ {
		err := waitReady(fmt.Sprintf("http://127.0.0.1:%d/readyz", 18100+i))
		if err != nil {
			return err
		}
		answer, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/labels/batch/7", 18000+i))
		if err != nil {
			return errors.Wrap(err, "call")
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil || answer.StatusCode != http.StatusOK {
			return errors.Errorf("call: %s %s", answer.Status, body)
		}
		fmt.Printf("node-%d answered: %s", i, body)
	}
	return nil
}

func (f *fleet) command(name string, args ...string) *exec.Cmd {
	command := exec.Command(filepath.Join(f.opts.Bin, name), args...)
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	return command
}

func (f *fleet) start(name string, args ...string) error {
	command := f.command(name, args...)
	err := command.Start()
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	f.processes = append(f.processes, command)
	return nil
}

// stop ends the processes in reverse order of their start.
func (f *fleet) stop() {
	for i := len(f.processes) - 1; i >= 0; i-- {
		_ = f.processes[i].Process.Signal(syscall.SIGTERM)
		_ = f.processes[i].Wait()
	}
}

func waitReady(url string) error {
	deadline := time.Now().Add(readyTime)
	for time.Now().Before(deadline) {
		answer, err := http.Get(url)
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollTime)
	}
	return errors.Errorf("%s not ready", url)
}

func put(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "put")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	return answer.Body.Close()
}
