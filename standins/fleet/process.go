package fleet

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// startTimeout bounds the wait for a process to get ready.
const startTimeout = 15 * time.Second

// Process is a child process.
type Process struct {
	Name    string
	Address string
	cmd     *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// start runs a binary with its output in a log file.
func (f *Fleet) start(name, binary string, args ...string) (*Process, error) {
	// A process that is started again gets a log of its own: the old one tells
	// what its predecessor executed.
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", name, len(f.processes))))
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: exec.Command(filepath.Join(f.opts.Bin, binary), args...), done: make(chan struct{}), log: log}
	p.cmd.Stderr = log
	p.cmd.Stdout = log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	f.processes = append(f.processes, p)
	return p, nil
}

// listening waits for the line with which a stand-in tells its address.
func (p *Process) listening() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if address := p.announced(); address != "" {
			p.Address = address
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended at its start; see %s", p.Name, p.log.Name())
		case <-time.After(pollInterval):
		}
	}
	return fmt.Errorf("%s did not get ready within %s", p.Name, startTimeout)
}

func (p *Process) announced() string {
	file, err := os.Open(p.log.Name())
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "listening "); ok {
			return address
		}
	}
	return ""
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process without ending it; Resume lets it go on.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully and waits for its end.
func (p *Process) Terminate(ctx context.Context) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	return p.Wait(ctx)
}

// Wait waits for the end of a process that was asked to stop, and kills it when
// ctx ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop in time and was killed", p.Name)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }
