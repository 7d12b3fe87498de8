package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	instances = 4
	runners   = 3
	stride    = 4 // tokens of an event, as the stand-in's configuration says
	routes    = "chat book look"
	// startWait is ample for a process to become ready on a busy machine.
	startWait = 20 * time.Second
)

// world is a fleet of processes with the stand-ins around it.
type world struct {
	t      *testing.T
	dir    string
	binary string
	store  *machines.Store
	server *httptest.Server
	nodes  []*node

	mu      sync.Mutex
	rng     *rand.Rand
	prepaid int64
	version int
	inputs  map[string]int64 // prompt tokens of requests that reached a runner
	runs    map[string]int   // by id
	once    map[string]bool  // ids of runs on the route that may run once
	faulty  bool             // runners break off
}

// node is one machine with its process.
type node struct {
	w     *world
	name  string
	ip    string
	proxy *proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	ordered bool          // its end was asked for
	paused  bool
}

func newWorld(t *testing.T, binary string, seed uint64) *world {
	store, err := machines.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, dir: t.TempDir(), binary: binary, store: store, server: httptest.NewServer(store), prepaid: 400_000,
		rng: rand.New(rand.NewPCG(seed, seed)), inputs: map[string]int64{}, runs: map[string]int{}, once: map[string]bool{}}
	t.Cleanup(w.server.Close)
	for i := range runners {
		r, err := machines.StartRunner(fmt.Sprintf("r%d", i), w.answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		store.PutRunner(r, fmt.Sprintf("z%d", i%2))
	}
	w.pay(0)
	for i := range instances {
		p, err := newProxy(strings.TrimPrefix(w.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		n := &node{w: w, name: fmt.Sprintf("n%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 1+seed%250, 1+os.Getpid()%250, 1+i), proxy: p}
		w.nodes = append(w.nodes, n)
		t.Cleanup(func() { n.end(syscall.SIGKILL); p.close() })
		n.start()
	}
	for _, n := range w.nodes {
		n.awaitReady()
	}
	return w
}

// pay raises what the workspace has paid.
func (w *world) pay(more int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prepaid += more
	w.version++
	w.store.PutPrepaidConfig(w.version, w.prepaid, strings.Fields(routes)...)
}

func (w *world) float() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

func (w *world) int(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// answer is what runners do: streams go on after the event that a request names, and
// some answers break off or are refused.
func (w *world) answer(r *http.Request, _ []byte, c net.Conn) bool {
	luck := w.float()
	w.mu.Lock()
	faulty := w.faulty
	w.mu.Unlock()
	if faulty && luck < 0.1 {
		return machines.Shed(r, nil, c)
	}
	id := r.Header.Get(machines.HeaderRequestID)
	prompt, output := tokens(r.Header.Get(machines.HeaderTokens))
	w.mu.Lock()
	w.runs[id]++
	w.inputs[id] = prompt
	w.once[id] = strings.HasPrefix(r.URL.Path, "/book/")
	w.mu.Unlock()
	if faulty && luck < 0.2 {
		return false // the answer is lost
	}
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		return machines.Answer(http.StatusOK, "whole")(r, nil, c)
	}
	first := 1
	if last := r.Header.Get(machines.HeaderLastEventID); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		first = n + 1
	}
	whole := !faulty || luck < 0.8
	last := int(output) / stride
	if !whole {
		last = min(last, first+1)
	}
	return machines.Stream(first, last, whole)(r, nil, c)
}

func tokens(header string) (prompt, output int64) {
	_, _ = fmt.Sscanf(header, "%d,%d", &prompt, &output) // requests without tokens have none
	return prompt, output
}

// start starts the process of a node.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	settings := map[string]any{
		"node_name": n.name, "zone": "z" + n.name[1:], "ip_address": n.ip,
		"listen_addresses":    map[string]string{"frontend": n.ip + ":8227", "ready": n.ip + ":8220"},
		"internal_port_range": []int{7340, 7355}, "limits": map[string]any{"memory_mb": 128},
		"bounds":   map[string]any{"grace_period_s": 4, "retry_budget_ratio": 0.2, "retry_budget_extra": 50, "budget_window_s": 10},
		"platform": map[string]any{"address": n.proxy.address()},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		n.w.t.Error(err)
		return
	}
	path := filepath.Join(n.w.dir, n.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		n.w.t.Error(err)
		return
	}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.w.t.Error(err)
		return
	}
	cmd := exec.Command(n.w.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		n.w.t.Error(err)
		return
	}
	ended := make(chan struct{})
	n.process, n.ended, n.ordered, n.paused = cmd, ended, false, false
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.mu.Lock()
		if !n.ordered {
			n.w.t.Errorf("%s ended by itself: %v", n.name, err)
		}
		n.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to the process that this node started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.ordered = true
	}
	_ = n.process.Process.Signal(s) // it may have ended
}

// end stops the process and waits for its end.
func (n *node) end(s syscall.Signal) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended == nil {
		return
	}
	n.signal(s)
	n.signal(syscall.SIGCONT)
	<-ended
}

func (n *node) awaitReady() {
	for deadline := time.Now().Add(startWait); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + n.ip + ":8220/-/readiness")
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // the status matters
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			n.w.t.Fatalf("%s is not ready within %s", n.name, startWait)
		}
	}
}
