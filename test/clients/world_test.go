package clients

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	memoryMB        = 96  // of the instance, the bound of its resident memory
	fileDescriptors = 500 // of the instance, of which the platform reserves 200 for files
	bigAnswerBytes  = 3 << 20
	// patience ends a test that hangs; no check depends on it otherwise.
	patience = 45 * time.Second
	// sendPatience is how long a client of the crowd waits for the process to read on.
	sendPatience = 10 * time.Second
)

var (
	binary    string
	bigAnswer = strings.Repeat("x", bigAnswerBytes)
	instances atomic.Int64
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "clementinerack-entry")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/clementinerack-entry").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// instance is a process under test.
type instance struct {
	t       *testing.T
	ip      string
	process *os.Process
	exited  chan struct{}
	sent    atomic.Int64 // ordinary requests

	mu              sync.Mutex
	peakDescriptors int
}

// startInstance starts a process with the stand-ins of the store and of one runner, and waits
// until it is ready.
func startInstance(t *testing.T) *instance {
	store, err := machines.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	runner, err := machines.StartRunner("r1", func(r *http.Request, body []byte, c net.Conn) bool {
		answer := "whole"
		if strings.HasSuffix(r.URL.Path, "/big") {
			answer = bigAnswer
		}
		return machines.Answer(http.StatusOK, answer)(r, body, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runner.Close)
	store.PutRunner(runner, "z0")
	store.PutConfig(1, "look")
	n := &instance{t: t, ip: fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, 1+instances.Add(1)), exited: make(chan struct{})}
	n.start(strings.TrimPrefix(server.URL, "http://"))
	n.await("the instance to be ready", func() bool {
		resp, err := http.Get("http://" + n.ip + ":8220/-/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return n
}

func (n *instance) start(store string) {
	settings, err := json.Marshal(map[string]any{
		"node_name": "n0", "zone": "z0", "ip_address": n.ip,
		"listen_addresses":    map[string]string{"frontend": n.ip + ":8227", "ready": n.ip + ":8220"},
		"internal_port_range": []int{7340, 7355},
		"limits":              map[string]any{"memory_mb": memoryMB, "file_descriptors": fileDescriptors},
		"bounds":              map[string]any{"grace_period_s": 4, "retry_budget_ratio": 0.2, "retry_budget_extra": 50, "budget_window_s": 10},
		"platform":            map[string]any{"address": store},
	})
	if err != nil {
		n.t.Fatal(err)
	}
	dir := n.t.TempDir()
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		n.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		n.t.Fatal(err)
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	n.process = cmd.Process
	go func() { _ = cmd.Wait(); close(n.exited) }()
	stopWatch := make(chan struct{})
	go n.watchDescriptors(stopWatch)
	n.t.Cleanup(func() {
		close(stopWatch)
		_ = n.process.Signal(syscall.SIGKILL) // fails if it has exited
		<-n.exited
		_ = log.Close()
	})
}

// watchDescriptors records the largest number of open descriptors of the process.
func (n *instance) watchDescriptors(stop chan struct{}) {
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Pid)) // none once it has exited
		n.mu.Lock()
		n.peakDescriptors = max(n.peakDescriptors, len(entries))
		n.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemory returns the largest resident memory of the process in kB, 0 if it has exited.
func (n *instance) peakMemory() (kB int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Pid))
	if _, line, ok := bytes.Cut(status, []byte("VmHWM:")); ok {
		_, _ = fmt.Sscan(string(line), &kB)
	}
	return kB
}

func (n *instance) await(what string, reached func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(patience); !reached(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("waited in vain for %s", what)
		}
	}
}

// head returns the head of a request without the empty line at its end.
func (n *instance) head(path, fields string) string {
	return fmt.Sprintf("POST /look/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\n%s: id%d\r\n%s",
		path, machines.Host, machines.KeyScheme, machines.APIKey, machines.HeaderRequestID, n.sent.Add(1), fields)
}

// serveOrdinary sends one ordinary request on a connection of its own and returns nil if it is served.
func (n *instance) serveOrdinary() error {
	conn, err := net.DialTimeout("tcp", n.ip+":8227", sendPatience)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(sendPatience)) // fails only on a closed connection
	if _, err := io.WriteString(conn, n.head("1", "Content-Length: 4\r\n\r\nbody")); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		return fmt.Errorf("status %d, body %q, %v", resp.StatusCode, body, err)
	}
	return nil
}

// crowd connects clients that all do the same and stay connected until the test ends. It waits
// until each has done it, was cut off, or sendPatience has passed.
func (n *instance) crowd(size int, act func(c net.Conn) error) {
	var wg sync.WaitGroup
	var cut, stuck atomic.Int64
	for range size {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", n.ip+":8227", sendPatience)
			if err != nil {
				cut.Add(1)
				return
			}
			n.t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(sendPatience)) // fails only on a closed connection
			var timeout net.Error
			if err := act(c); errors.As(err, &timeout) && timeout.Timeout() {
				stuck.Add(1)
			} else if err != nil {
				cut.Add(1)
			}
		})
	}
	wg.Wait()
	n.t.Logf("%d clients, of which %d were cut off and %d waited in vain", size, cut.Load(), stuck.Load())
}

// check verifies what must hold while the crowd is connected.
func (n *instance) check() {
	n.t.Helper()
	var err error
	for deadline := time.Now().Add(patience); ; time.Sleep(100 * time.Millisecond) {
		if err = n.serveOrdinary(); err == nil || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		n.t.Errorf("an ordinary request is not served: %v", err)
	}
	select {
	case <-n.exited:
		n.t.Error("the process has ended")
	default:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	peak := n.peakMemory()
	n.t.Logf("the process took at most %d kB and %d descriptors", peak, n.peakDescriptors)
	if peak == 0 || peak > memoryMB<<10 {
		n.t.Errorf("the process took %d kB, its instance has %d", peak, memoryMB<<10)
	}
	if n.peakDescriptors > fileDescriptors {
		n.t.Errorf("the process had %d descriptors open, its instance has %d", n.peakDescriptors, fileDescriptors)
	}
}
