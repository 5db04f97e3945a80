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

// stopTime is how long a process may take to end before it is killed.
const stopTime = 5 * time.Second

// Processes starts and ends the demo's processes. They are killed by the kernel
// when the demo itself is killed.
type Processes struct {
	bin, dir string
	mu       sync.Mutex
	started  []*Process
	starts   chan func()
}

// Process is one process of the demo.
type Process struct {
	Name    string
	command *exec.Cmd
	ended   chan struct{}
}

// NewProcesses runs binaries of bin and keeps their output in dir.
func NewProcesses(bin, dir string) *Processes {
	p := &Processes{bin: bin, dir: dir, starts: make(chan func())}
	go p.startOnOneThread()
	return p
}

// startOnOneThread starts all processes from a thread that never ends, because the
// kernel kills a child when the thread that started it ends.
func (p *Processes) startOnOneThread() {
	runtime.LockOSThread()
	for start := range p.starts {
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
	command := exec.Command(filepath.Join(p.bin, binary), args...)
	command.Stdout, command.Stderr = out, out
	// An own process group keeps an interrupt at the terminal from ending the
	// processes before the demo does.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	p.starts <- func() { failed <- command.Start() }
	err = <-failed
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(process.ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = append(p.started, process)
	return process, nil
}

// Kill ends the process without notice.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Stop asks the process to end, and kills it when it takes too long.
func (p *Process) Stop(within time.Duration) (graceful bool) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		p.Kill()
		return false
	}
}

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
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
		group.Go(func() { process.Stop(stopTime) })
	}
	group.Wait()
}

// Count is the number of processes that run.
func (p *Processes) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := 0
	for _, process := range p.started {
		if !process.Ended() {
			running++
		}
	}
	return running
}

// wait sleeps unless ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
