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

// startTimeout bounds the wait until a process is ready.
const startTimeout = 15 * time.Second

// Process is a child process. Its output goes to a log file.
type Process struct {
	Name    string
	Address string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	log     *os.File
}

// startProcess starts a binary and writes its output to a log file.
func (f *Fleet) startProcess(name, binary string, args ...string) (*Process, error) {
	// A restarted process gets a new log file, because AllExecutions still reads
	// the executions in the old one.
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

// waitListening waits until a stand-in has logged its address and sets Address.
func (p *Process) waitListening() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if address := p.loggedAddress(); address != "" {
			p.Address = address
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s exited before it was listening; see %s", p.Name, p.log.Name())
		case <-time.After(pollInterval):
		}
	}
	return fmt.Errorf("%s was not listening within %s", p.Name, startTimeout)
}

// loggedAddress returns the address in the log, or "" if there is none yet.
func (p *Process) loggedAddress() string {
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

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, so that the process shuts down gracefully, and waits
// like Wait.
func (p *Process) Terminate(ctx context.Context) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	return p.Wait(ctx)
}

// Wait waits until a process that was asked to stop has ended. If ctx ends first,
// Wait kills the process and returns an error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop in time and was killed", p.Name)
	}
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }
