package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	callerPort, readyPort = 8227, 8220
	// startTimeout bounds the time until an instance is ready.
	startTimeout = 20 * time.Second
)

// record writes the log of a case to a file.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// note writes one line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a set of instances with the stand-ins of the store and the runners.
type fleet struct {
	*record
	folder               string // of the case
	entry, dir, settings string // program, folder of temporary files, text of the settings file
	store                *machines.Store
	server               *http.Server
	storeAddress         string
	instances            []*instance
	runners              []*machines.Runner
	down                 gate
	config               string // of the operator
	version              int    // number of changes of the configuration
}

// gate holds calls of the store back while the store is away.
type gate struct {
	mu   sync.Mutex
	away bool
}

func (g *gate) set(away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = away
}

func (g *gate) isAway() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away
}

// instance is an address with its current process.
type instance struct {
	fleet          *fleet
	name, zone, ip string
	storeAddress   string // of the store or of a proxy
	process        *exec.Cmd
	exited         chan struct{}
}

// newFleet starts the store. config is the operator's configuration.
func newFleet(rec *record, entry, dir, settings, config string) (*fleet, error) {
	store, err := machines.NewStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, entry: entry, dir: dir, settings: settings, store: store, config: config}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = listener.Addr().String()
	f.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.down.isAway() {
			panic(http.ErrAbortHandler) // the connection is reset without an answer
		}
		store.ServeHTTP(w, r)
	})}
	go func() { _ = f.server.Serve(listener) }()
	store.Put(machines.ConfigKey, config)
	return f, nil
}

// addInstances adds instances at loopback addresses of their own, one in each zone.
func (f *fleet) addInstances(zones ...string) {
	a, b := 10+rand.IntN(200), 10+rand.IntN(200)
	for i, zone := range zones {
		f.instances = append(f.instances, &instance{fleet: f, name: fmt.Sprintf("frontend-%s-1", zone), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", a, b, 11+i)})
	}
}

// addRunner starts a runner and registers it.
func (f *fleet) addRunner(id, service, zone, version string, script machines.Script) (*machines.Runner, error) {
	r, err := machines.StartRunner(id, script)
	if err != nil {
		return nil, err
	}
	f.runners = append(f.runners, r)
	f.store.Put(machines.ServersPrefix+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		service, r.Address(), zone, version, time.Now().UnixMilli()))
	return r, nil
}

// start starts a process for the instance.
func (n *instance) start() error {
	f := n.fleet
	text := strings.NewReplacer("@NAME@", n.name, "@ZONE@", n.zone, "@IP@", n.ip, "@STORE@", cmp.Or(n.storeAddress, f.storeAddress)).Replace(f.settings)
	path := filepath.Join(f.dir, n.name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.entry)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the exit code is read from ProcessState
		_ = log.Close()
		close(exited)
	}()
	f.note("%s starts, pid %d", n.name, cmd.Process.Pid)
	return nil
}

// end sends a signal to the process and waits until it has exited.
func (n *instance) end(s syscall.Signal) {
	if n.process == nil {
		return
	}
	n.fleet.note("%s gets signal %v", n.name, s)
	_ = n.process.Process.Signal(s) // fails if the process has exited
	<-n.exited
	n.fleet.note("%s has exited: %v", n.name, n.process.ProcessState)
	n.process = nil
}

// awaitReady waits until the instance is ready.
func (n *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", n.ip, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.fleet.note("%s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", n.name, startTimeout)
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() error {
	for _, n := range f.instances {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.instances {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, n := range f.instances {
		n.end(syscall.SIGKILL)
	}
	for _, r := range f.runners {
		r.Close()
	}
	_ = f.server.Close()
}

// answer is what a caller got.
type answer struct {
	status     int // 0 without an answer
	header     http.Header
	body       []byte
	complete   bool
	retryAfter time.Duration
	err        error
}

// send sends a request to an instance and reads the answer until its end, or until enough of its
// body has arrived.
func (n *instance) send(ctx context.Context, client *http.Client, method, host, path, body string, header http.Header, enough func([]byte) bool) answer {
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, callerPort, path), strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host, req.Header = host, header
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if s, err := strconv.ParseFloat(resp.Header.Get(machines.HeaderRetryAfter), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	var all bytes.Buffer
	part := make([]byte, 4<<10)
	for {
		k, err := resp.Body.Read(part)
		all.Write(part[:k])
		a.body = all.Bytes()
		if err == io.EOF {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		if enough != nil && enough(a.body) {
			return a
		}
	}
}

// newCaller returns a client that opens a connection for each request.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}
