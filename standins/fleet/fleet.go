package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// pollInterval is the time between two checks of a process that is starting.
const pollInterval = 20 * time.Millisecond

// Options configure a fleet.
type Options struct {
	// Bin is the directory of the binaries.
	Bin string
	// Domains are the names of the failure domains.
	Domains []string
	// InstancesPerDomain is the number of instances in each failure domain.
	InstancesPerDomain int
	// TokenInterval is the time between two tokens of an engine.
	TokenInterval time.Duration
	// Slots is the number of requests that an engine generates at once, at least
	// 8.
	Slots int
	// Budget is the opening amount of each budget in tokens.
	Budget int64
	// MoreBudgets are the names of budgets besides BudgetName in the same
	// workspace.
	MoreBudgets []string
	// Concurrency is the limit of requests in flight per endpoint and instance of
	// the model service, at least 64.
	Concurrency int
}

// Names and secrets in the declarations and settings of a fleet.
const (
	ModelService = "llm-pool"
	AppService   = "rounds-app"
	Workspace    = "meals"
	BudgetName   = "rounds"
	// WorkspaceKey is the API key of the workspace.
	WorkspaceKey = "demo-workspace-key"
	// OperatorToken is the token of the operators' API.
	OperatorToken = "demo-operator-token"
)

// Instance is the process of a daemon. Callers, Operators, Peers and Metrics are
// the addresses on which it listens.
type Instance struct {
	*Process
	ID, Domain                         string
	Callers, Operators, Peers, Metrics string
	settings                           string // path of the settings file
}

// Endpoint is the process of an engine or app stand-in.
type Endpoint struct {
	*Process
	ID, Domain, Service string
	binary              string // name of the stand-in's binary
}

// Fleet is a set of running processes with a directory for their files.
type Fleet struct {
	opts      Options
	dir       string
	processes []*Process

	Platform       *Process
	Instances      []*Instance
	Endpoints      []*Endpoint
	tokenFile      string
	credentialFile string
}

// Start starts the stand-ins and the daemons, applies the declarations and waits
// until each instance is ready. When that fails, it stops what it has started.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "clementinerack-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{opts: opts, dir: dir}
	if err := f.startAll(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.writeSecrets(); err != nil {
		return err
	}
	if err := f.StartPlatform(""); err != nil {
		return err
	}
	for _, domain := range f.opts.Domains {
		if err := f.startEndpoints(domain); err != nil {
			return err
		}
	}
	if err := f.startInstances(); err != nil {
		return err
	}
	if err := f.applyDeclarations(ctx); err != nil {
		return err
	}
	for _, i := range f.Instances {
		if err := f.WaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform starts the platform stand-in at address, or at a free address if
// it is empty. The contents that an earlier platform process saved when it was
// terminated are loaded.
func (f *Fleet) StartPlatform(address string) (err error) {
	if address == "" {
		if address, err = freeAddress(); err != nil {
			return err
		}
	}
	if f.Platform, err = f.startProcess("platform", "standin-platform", "--listen", address, "--state", filepath.Join(f.dir, "platform.json")); err != nil {
		return err
	}
	return f.Platform.waitListening()
}

func (f *Fleet) startEndpoints(domain string) error {
	for _, kind := range []struct{ service, binary, name string }{
		{ModelService, "standin-engine", "engine"}, {AppService, "standin-app", "app"},
	} {
		for n := 1; n <= 2; n++ {
			id := fmt.Sprintf("%s-%s-%d", kind.name, domain, n)
			address, err := freeAddress()
			if err != nil {
				return err
			}
			e := &Endpoint{Process: &Process{Address: address}, ID: id, Domain: domain, Service: kind.service, binary: kind.binary}
			f.Endpoints = append(f.Endpoints, e)
			if err := f.StartEndpoint(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartEndpoint starts or restarts an endpoint at its address.
func (f *Fleet) StartEndpoint(e *Endpoint) error {
	args := []string{"--listen", e.Address, "--id", e.ID, "--journal"}
	if e.Service == ModelService {
		args = append(args, "--model", ModelService, "--token-interval", f.opts.TokenInterval.String(), "--slots", fmt.Sprint(max(f.opts.Slots, 8)))
	}
	p, err := f.startProcess(e.ID, e.binary, args...)
	if err != nil {
		return err
	}
	e.Process = p
	return p.waitListening()
}

func (f *Fleet) writeSecrets() error {
	f.tokenFile, f.credentialFile = filepath.Join(f.dir, "operator.token"), filepath.Join(f.dir, "peer.credential")
	if err := os.WriteFile(f.tokenFile, []byte(OperatorToken), 0o600); err != nil {
		return err
	}
	return os.WriteFile(f.credentialFile, []byte("demo-peer-credential"), 0o600)
}

func (f *Fleet) startInstances() error {
	for _, domain := range f.opts.Domains {
		for n := 1; n <= f.opts.InstancesPerDomain; n++ {
			addresses, err := freeAddresses(4)
			if err != nil {
				return err
			}
			f.Instances = append(f.Instances, &Instance{
				ID: fmt.Sprintf("%s-%d", domain, n), Domain: domain,
				Callers: addresses[0], Operators: addresses[1], Peers: addresses[2], Metrics: addresses[3],
			})
		}
	}
	for _, i := range f.Instances {
		if err := f.StartInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// StartInstance starts or restarts the daemon of an instance. It does not wait
// until the instance is ready; see WaitReady.
func (f *Fleet) StartInstance(i *Instance) error {
	var seeds []string
	for _, o := range f.Instances {
		if o != i {
			seeds = append(seeds, o.Peers)
		}
	}
	i.settings = filepath.Join(f.dir, i.ID+".ini")
	text := fmt.Sprintf(settingsTemplate, i.ID, i.Domain, i.Callers, i.Operators, i.Peers, i.Metrics,
		f.Platform.Address, strings.Join(seeds, ","), f.credentialFile, f.tokenFile)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := f.startProcess(i.ID, "clementinerackd", "--settings", i.settings)
	i.Process = p
	return err
}

const settingsTemplate = `[instance]
id = %s
domain = %s
region = local
[listen]
callers = %s
operators = %s
peers = %s
metrics = %s
[platform]
address = http://%s
watch-wait = 5s
[peers]
seeds = %s
credential-file = %s
[operators]
token-file = %s
[stop]
grace = 15s
`

// firstPort and lastPort bound the ports of a fleet. They lie below the usual
// range of ephemeral ports: a restarted process needs its old port, which an
// outgoing connection of another process could otherwise hold.
const firstPort, lastPort = 10_000, 30_000

// nextPort is shared by all fleets of the process. It starts at a random port, so
// that the fleets of several processes rarely try the same ports.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddresses returns n loopback addresses on which it could listen. Another
// process can take one before it is used. Fleets of this process get different
// addresses until the range is used up.
func freeAddresses(n int) ([]string, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	var out []string
	for range lastPort - firstPort {
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.port)
		if nextPort.port++; nextPort.port == lastPort {
			nextPort.port = firstPort
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			out = append(out, address)
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports between %d and %d", n, firstPort, lastPort)
}

func freeAddress() (string, error) {
	out, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	return out[0], nil
}

func (f *Fleet) waitListening(ctx context.Context, address string) error {
	return pollUntil(ctx, func() bool {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, address+" is not listening")
}

// WaitReady waits until an instance reports that it is ready, for at most
// startTimeout.
func (f *Fleet) WaitReady(ctx context.Context, i *Instance) error {
	return pollUntil(ctx, func() bool {
		resp, err := http.Get("http://" + i.Metrics + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, i.ID+" is not ready")
}

// pollUntil waits until isDone returns true. After startTimeout, or when ctx ends,
// it returns an error that begins with failure.
func pollUntil(ctx context.Context, isDone func() bool, failure string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !isDone() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s within %s", failure, startTimeout)
		}
	}
	return nil
}

// Stop kills all processes that still run and removes the fleet's directory.
func (f *Fleet) Stop() {
	for n := len(f.processes) - 1; n >= 0; n-- {
		p := f.processes[n]
		_ = p.Resume()
		if !p.HasEnded() {
			p.Kill()
		}
		_ = p.log.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// Dir returns the directory of the settings and logs. Stop removes it.
func (f *Fleet) Dir() string { return f.dir }
