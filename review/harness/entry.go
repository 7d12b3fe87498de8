package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/platform"
)

// entryProgram is what the deploy file runs, from the root of the repository.
const entryProgram = "target/clementinerack-entry"

// contactWindow is contact_window_ms of the users' sheet.
const contactWindow = 3 * time.Second

// entry is one instance: its addresses and its current process.
type entry struct {
	name, zone, ip       string
	frontend, ready      string
	settingsPath, logDir string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// fleet starts and ends the entries of a case.
type fleet struct {
	dir     string
	entries []*entry
}

// newFleet creates the folder for settings and logs.
func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	return &fleet{dir: dir}, err
}

// close kills all processes and removes the folder.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.kill()
	}
	_ = os.RemoveAll(f.dir) // a leftover in the temporary folder is harmless
}

// freePort returns a free port of a loopback address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// add starts an entry that reaches the store at storeAddress.
func (f *fleet) add(zone, storeAddress string) (*entry, error) {
	e := &entry{name: fmt.Sprintf("frontend-%s-%d", zone, len(f.entries)+1), zone: zone,
		ip: fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))}
	var ports [3]int
	for i := range ports {
		port, err := freePort(e.ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	e.frontend, e.ready = fmt.Sprintf("%s:%d", e.ip, ports[0]), fmt.Sprintf("%s:%d", e.ip, ports[1])
	settings := maps.Clone(deployment.Settings)
	for name, value := range map[string]any{
		"node_name": e.name, "ip_address": e.ip, "zone": zone,
		"listen_addresses":    map[string]string{"frontend": e.frontend, "ready": e.ready},
		"internal_port_range": []int{ports[2], ports[2]},
		"platform":            map[string]any{"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	} {
		settings[name] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	e.logDir, e.settingsPath = f.dir, filepath.Join(f.dir, e.name+".json")
	if err := os.WriteFile(e.settingsPath, data, 0o600); err != nil {
		return nil, err
	}
	f.entries = append(f.entries, e)
	return e, e.start()
}

// start starts a process of the entry.
func (e *entry) start() error {
	log, err := os.OpenFile(filepath.Join(e.logDir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(entryProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.logDir, platform.SettingsVariable + "=" + e.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the case ends processes itself
		_ = log.Close()
		close(exited)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process, e.exited = cmd, exited
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		_ = e.process.Process.Signal(s) // fails if the process has ended
	}
}

// kill kills the process and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isReady asks the readiness check once.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d entries are ready", ready, len(f.entries))
		}
	}
}
