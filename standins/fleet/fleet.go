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

// pollInterval is the pause between two looks at a process that is starting.
const pollInterval = 20 * time.Millisecond

// Options describe a fleet.
type Options struct {
	// Bin is the directory of the binaries.
	Bin string
	// Domains are the failure domains, PerDomain the instances in each.
	Domains            []string
	InstancesPerDomain int
	// TokenInterval is the time between two tokens of an engine.
	TokenInterval time.Duration
	// Slots is the number of requests that an engine generates at once.
	Slots int
	// Budget is the opening amount of the budget "meals/rounds" in tokens.
	Budget int64
	// MoreBudgets are names of further budgets of the same workspace.
	MoreBudgets []string
	// Concurrency is the limit of requests in flight per endpoint and instance.
	Concurrency int
}

// Names used by the declarations of a fleet.
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

// Instance is a daemon process with its addresses.
type Instance struct {
	*Process
	ID, Domain                         string
	Callers, Operators, Peers, Metrics string
	settings                           string
}

// Endpoint is an engine or app stand-in.
type Endpoint struct {
	*Process
	ID, Domain, Service string
	binary              string
}

// Fleet is a running fleet.
type Fleet struct {
	opts      Options
	dir       string
	processes []*Process

	Platform  *Process
	Instances []*Instance
	Endpoints []*Endpoint
	tokenFile string
	credFile  string
}

// Start runs the stand-ins and the daemons, applies the declarations and waits
// until each instance is ready.
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

// StartPlatform runs the platform stand-in; an empty address chooses one. What
// an earlier platform held when it was terminated is kept.
func (f *Fleet) StartPlatform(address string) (err error) {
	if address == "" {
		if address, err = freeAddress(); err != nil {
			return err
		}
	}
	if f.Platform, err = f.start("platform", "standin-platform", "--listen", address, "--state", filepath.Join(f.dir, "platform.json")); err != nil {
		return err
	}
	return f.Platform.listening()
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

// StartEndpoint runs an endpoint, for the first time or again at its address.
func (f *Fleet) StartEndpoint(e *Endpoint) error {
	args := []string{"--listen", e.Address, "--id", e.ID, "--journal"}
	if e.Service == ModelService {
		args = append(args, "--model", ModelService, "--token-interval", f.opts.TokenInterval.String(), "--slots", fmt.Sprint(max(f.opts.Slots, 8)))
	}
	p, err := f.start(e.ID, e.binary, args...)
	if err != nil {
		return err
	}
	e.Process = p
	return p.listening()
}

func (f *Fleet) writeSecrets() error {
	f.tokenFile, f.credFile = filepath.Join(f.dir, "operator.token"), filepath.Join(f.dir, "peer.credential")
	if err := os.WriteFile(f.tokenFile, []byte(OperatorToken), 0o600); err != nil {
		return err
	}
	return os.WriteFile(f.credFile, []byte("demo-peer-credential"), 0o600)
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

// StartInstance runs the daemon of an instance, for the first time or again.
func (f *Fleet) StartInstance(i *Instance) error {
	var seeds []string
	for _, o := range f.Instances {
		if o != i {
			seeds = append(seeds, o.Peers)
		}
	}
	i.settings = filepath.Join(f.dir, i.ID+".ini")
	text := fmt.Sprintf(settingsTemplate, i.ID, i.Domain, i.Callers, i.Operators, i.Peers, i.Metrics,
		f.Platform.Address, strings.Join(seeds, ","), f.credFile, f.tokenFile)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := f.start(i.ID, "clementinerackd", "--settings", i.settings)
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

// Ports of a fleet lie below the range from which systems usually choose the
// ports of outgoing connections: a process that is started again needs its old
// port, which another process's connection may otherwise hold.
const firstPort, lastPort = 10_000, 30_000

// nextPort is shared by the fleets of one process. It starts at random, so that
// fleets of several processes seldom try the same ports.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddresses returns loopback addresses that were free a moment ago and that
// no other fleet of this process uses.
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
	return nil, fmt.Errorf("no free ports between %d and %d", firstPort, lastPort)
}

func freeAddress() (string, error) {
	out, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	return out[0], nil
}

func (f *Fleet) waitListening(ctx context.Context, address string) error {
	return poll(ctx, func() bool {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, address+" is not listening")
}

// WaitReady waits until an instance reports that it is ready.
func (f *Fleet) WaitReady(ctx context.Context, i *Instance) error {
	return poll(ctx, func() bool {
		resp, err := http.Get("http://" + i.Metrics + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, i.ID+" is not ready")
}

func poll(ctx context.Context, ok func() bool, message string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s within %s", message, startTimeout)
		}
	}
	return nil
}

// Stop ends all processes that are left and removes the files.
func (f *Fleet) Stop() {
	for n := len(f.processes) - 1; n >= 0; n-- {
		p := f.processes[n]
		_ = p.Resume()
		if !p.Ended() {
			p.Kill()
		}
		_ = p.log.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// Dir returns the directory of settings and logs.
func (f *Fleet) Dir() string { return f.dir }
