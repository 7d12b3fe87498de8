package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// configuration is what the operator has written. commonSettings are the settings that all
// machines share, as those of the small deployment.
var (
	//go:embed configuration.json
	configuration string
	//go:embed settings.json
	commonSettings []byte
)

const (
	modelService = "motor-notas"
	host         = "fleet.example"
	apiKey       = "key-of-tenant-a"
	// sharedPart is the first part of all prompts, badPart the part that crashes runners.
	sharedPart, badPart = "5c1e07a2", "bad0bad0"
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// contactWindow is the bound contact_window_ms.
	contactWindow = 3 * time.Second
	startTimeout  = 20 * time.Second
)

// zones are those of the small deployment, with the number of entry machines of each.
var zones = []struct {
	name     string
	machines int
	runners  int
}{{"valle-maipo", 3, 5}, {"valle-aconcagua", 3, 5}, {"valle-rapel", 1, 4}, {"valle-maule", 2, 4}}

// recorder writes what happens to the record of a case.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // the verdict does not depend on it
}

// run is one arrival of a request at a runner.
type run struct {
	at              time.Time
	attempt, runner string
	version         string
}

// death is one crash of a runner by a request.
type death struct {
	at              time.Time
	attempt, runner string
}

// world is the fleet with its stand-ins.
type world struct {
	rec      *recorder
	trouble  bool
	dir      string
	binary   string
	octets   [2]int
	store    *store
	runners  []*runner
	machines []*machine
	pause    time.Duration // between two events of a stream

	mu       sync.Mutex
	poisoned bool // badPart crashes runners
	runs     []run
	deaths   []death
	attempts int
}

// machine is one entry machine with its process.
type machine struct {
	w       *world
	name    string
	zone    string
	ip      string
	process *exec.Cmd
	exited  chan struct{}
	dead    bool
	proxy   *proxy // to the store
}

// newWorld starts the store, the runners and the entry processes and waits until all are ready.
func newWorld(rec *recorder, binary string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, trouble: trouble, dir: dir, binary: binary, octets: [2]int{11 + rand.IntN(200), 1 + rand.IntN(250)}, pause: 50 * time.Millisecond}
	if w.store, err = newStore(w.ip(201)); err != nil {
		return w, err
	}
	w.store.inner.Put(machines.ConfigKey, configuration)
	for _, z := range zones {
		for range z.runners {
			if _, err := w.newRunner(fmt.Sprintf("i-%08x", rand.Uint32()), z.name, "v1"); err != nil {
				return w, err
			}
		}
	}
	host := 1
	for _, z := range zones {
		for i := range z.machines {
			m := &machine{w: w, name: fmt.Sprintf("frontend-%s-%d", z.name, i+1), zone: z.name, ip: w.ip(host)}
			host++
			if m.proxy, err = newProxy(w.ip(202), w.store.addr); err != nil {
				return w, err
			}
			w.machines = append(w.machines, m)
			if err := m.start(); err != nil {
				return w, err
			}
		}
	}
	for _, m := range w.machines {
		if err := m.awaitReady(); err != nil {
			return w, err
		}
	}
	rec.log("%d entry processes are ready", len(w.machines))
	return w, nil
}

// ip returns a loopback address of this world.
func (w *world) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.octets[0], w.octets[1], host)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, w.dir)
	}
}

// start starts the process of a machine.
func (m *machine) start() error {
	settings := map[string]any{}
	if err := json.Unmarshal(commonSettings, &settings); err != nil {
		return err
	}
	for name, value := range map[string]any{
		"node_name": m.name, "zone": m.zone, "ip_address": m.ip,
		"listen_addresses": map[string]string{"frontend": m.ip + ":8227", "ready": m.ip + ":8220"},
		"platform":         map[string]any{"address": m.proxy.addr, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	} {
		settings[name] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(m.w.dir, m.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.w.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status does not matter
		_ = log.Close()
		close(m.exited)
	}()
	return nil
}

// awaitReady waits until the machine says that it is ready.
func (m *machine) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + m.ip + ":8220/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", m.name, startTimeout)
}

// kill ends the process of a machine for good.
func (m *machine) kill() {
	if m.process == nil || m.isDead() {
		return
	}
	m.w.mu.Lock()
	m.dead = true
	m.w.mu.Unlock()
	_ = m.process.Process.Kill() // fails if the process has ended
	<-m.exited
}

// isDead reports whether the process of a machine was killed.
func (m *machine) isDead() bool {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.dead
}

// alive returns the machines whose processes run.
func (w *world) alive() []*machine {
	var alive []*machine
	for _, m := range w.machines {
		if !m.isDead() {
			alive = append(alive, m)
		}
	}
	return alive
}

// crashes reports whether a request crashes the runner that begins to write an answer to it.
func (w *world) crashes(req *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(req.Header.Get(machines.HeaderPrompt), ",")
	for _, part := range parts[:len(parts)-1] {
		if strings.HasPrefix(strings.TrimSpace(part), badPart+":") {
			return w.poisoned
		}
	}
	return false
}

// reached records that a request has reached a runner.
func (w *world) reached(attempt, runner, version, after string) {
	w.mu.Lock()
	w.runs = append(w.runs, run{time.Now(), attempt, runner, version})
	w.mu.Unlock()
	if after != "" {
		after = ", after event " + after
	}
	w.rec.log("%s reaches runner %s of version %s%s", attempt, runner, version, after)
}

// crashedBy records that a request has crashed a runner.
func (w *world) crashedBy(attempt, runner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaths = append(w.deaths, death{time.Now(), attempt, runner})
}
