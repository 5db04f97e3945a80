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

// stopTimeout is how long a process may take to end before it is killed.
const stopTimeout = 5 * time.Second

// Processes starts and ends the demo's processes. They are killed by the kernel
// when the demo itself is killed.
type Processes struct {
	bin, dir      string
	mu            sync.Mutex
	started       []*Process
	startRequests chan func()
}

// Process is one process of the demo.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewProcesses runs binaries of bin and keeps their output in dir.
func NewProcesses(bin, dir string) *Processes {
	p := &Processes{bin: bin, dir: dir, startRequests: make(chan func())}
	go p.startOnOneThread()
	return p
}

// startOnOneThread starts all processes from a thread that never ends, because the
// kernel kills a child when the thread that started it ends.
func (p *Processes) startOnOneThread() {
	runtime.LockOSThread()
	for start := range p.startRequests {
		start()
	}
}

// Start runs a binary with its output in a file of the given name.
func (p *Processes) Start(name, binary string, args ...string) (*Process, error) {
	out, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(p.bin, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// An own process group keeps an interrupt at the terminal from ending the
	// processes before the demo does.
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

// Kill ends the process without notice.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop asks the process to end, and kills it when it takes too long.
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

// HasExited tells whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// StopAll ends all processes at the same time.
func (p *Processes) StopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var group sync.WaitGroup
	for _, process := range p.started {
		group.Go(func() { process.Stop(stopTimeout) })
	}
	group.Wait()
}

// CountRunning is the number of processes that run.
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

// sleep sleeps unless ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
