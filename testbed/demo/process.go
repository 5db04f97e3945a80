package demo

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout is the time from SIGTERM to SIGKILL for a process that does not exit.
const stopTimeout = 5 * time.Second

// Processes starts and stops the demo's processes. The kernel kills them when the demo itself is
// killed.
type Processes struct {
	bin, dir      string
	mu            sync.Mutex
	started       []*Process
	startRequests chan func()
}

// Process is one child process of the demo.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewProcesses returns a Processes that runs binaries of bin and writes their output to dir.
func NewProcesses(bin, dir string) *Processes {
	p := &Processes{bin: bin, dir: dir, startRequests: make(chan func())}
	go p.startOnOneThread()
	return p
}

// startOnOneThread starts all processes from one locked OS thread that never ends, because
// Pdeathsig kills a child when the thread that started it ends.
func (p *Processes) startOnOneThread() {
	runtime.LockOSThread()
	for start := range p.startRequests {
		start()
	}
}

// Start runs a binary and writes its output to name.log.
func (p *Processes) Start(name, binary string, args ...string) (*Process, error) {
	out, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(p.bin, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A separate process group keeps an interrupt at the terminal from ending the processes before
	// the demo stops them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	startErr := make(chan error)
	p.startRequests <- func() { startErr <- cmd.Start() }
	err = <-startErr
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(process.exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = append(p.started, process)
	return process, nil
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop sends SIGTERM, and kills the process if it has not exited within timeout.
func (p *Process) Stop(timeout time.Duration) (graceful bool) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// StopAll stops all processes concurrently.
func (p *Processes) StopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var group sync.WaitGroup
	for _, process := range p.started {
		group.Go(func() { process.Stop(stopTimeout) })
	}
	group.Wait()
}

// CountRunning returns the number of processes that have not exited.
func (p *Processes) CountRunning() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := 0
	for _, process := range p.started {
		if !process.HasExited() {
			running++
		}
	}
	return running
}

// sleep waits for d, or returns the error of ctx if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
