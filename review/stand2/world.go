package main

import (
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
	version  int           // of the configuration

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
	w.putConfig()
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

// putConfig writes the operator's configuration: one route with streams that may be resumed and
// one with streams that may not.
func (w *world) putConfig() {
	w.version += 3
	route := func(name, prefix string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"hostname":%q,"prefix":%q,"route_kind":"streaming","timeout_ms":10000,"target_latency_ms":1000,"priority":1,"service":%q,"max_attempts":%d,"public":false,"session_affinity":true,"stream_resumption":%t,"gap_aim_ms":500}`,
			name, host, prefix, modelService, attempts, resumable)
	}
	w.store.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":%q,"health_path":"/health","max_connections":370,"protocol":"h1","tls_enabled":false,"inference_engine":{"slots":64,"kv_cache_tokens":352457,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":%d,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-a","api_keys":[%q],"priority":1,"prepaid":500000000}]}`,
		w.version, route("carta", "/carta/", 2, true), route("resumen", "/resumen/", 1, false), modelService, stride, apiKey), false)
}

// start starts the process of a machine.
func (m *machine) start() error {
	settings := map[string]any{
		"node_name": m.name, "role": "entry", "machine_class": "frontend", "served_roles": []string{"frontend"},
		"ip_address": m.ip, "zone": m.zone, "region": "centro-sur", "zones": map[string]string{},
		"listen_addresses":    map[string]string{"frontend": m.ip + ":8227", "ready": m.ip + ":8220"},
		"internal_port_range": []int{7340, 7355}, "seed_nodes": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":         map[string]any{"cpu_fraction": 0.4, "cpu_cores": 1, "memory_mb": 134, "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_directory": nil, "discovery_source": "platform", "entry_kind": "virtual_ip", "heartbeat_interval_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machine_count": 1, "zones": 1, "region_count": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "address_reuse_s": 2, "contact_window_ms": contactWindow.Milliseconds(), "acknowledgment_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 8,
			"loss_slack_ms": 200, "config_propagation_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000, "revocation_strict": false, "revocation_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"retry_budget_extra": 58, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10, "settle_ms": 1500},
		"platform": map[string]any{"address": m.proxy.addr, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
	zoneMap := settings["zones"].(map[string]string)
	for _, z := range zones {
		zoneMap[z.name] = "centro-sur"
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
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINERACK_BOOT=" + path}
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
	parts := strings.Split(req.Header.Get("X-Prompt-Prefix"), ",")
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
