package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

const (
	// closeTimeout bounds the end of listeners and connections after the drain.
	closeTimeout = 2 * time.Second
	// registerRetry is the pause between attempts to register with the platform.
	registerRetry = 5 * time.Second
	// maxHeaderBytes is ample for the headers of the callers' API.
	maxHeaderBytes = 16 << 10
)

// serverLimits are the timeouts of the HTTP servers. There is no limit on the
// time to read a whole request: it would end the background read by which
// net/http notices during a stream that the caller has left. The entry bounds the
// upload by itself.
type serverLimits struct {
	// header bounds how long a client may take to send its headers.
	header time.Duration
	// idle bounds how long an unused connection stays open. It is longer than the
	// idle time of usual load balancers, so that these close first.
	idle time.Duration
	// write bounds a whole answer. For model and app requests the entry replaces
	// it by the request's own deadline.
	write time.Duration
}

func defaultServerLimits() serverLimits {
	return serverLimits{header: 10 * time.Second, idle: 2 * time.Minute, write: time.Minute}
}

func (l serverLimits) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: l.header, IdleTimeout: l.idle, WriteTimeout: l.write, MaxHeaderBytes: maxHeaderBytes}
}

// Run serves until ctx ends or an operator stops the instance, then stops
// gracefully within the configured grace.
func (d *Daemon) Run(ctx context.Context) error {
	stopped, stop := context.WithCancel(ctx)
	d.stop = stop
	defer stop()
	servers, err := d.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){
		d.replica.Run, d.members.Run, d.manager.Run, d.prober.Run, d.orderer.Run, d.register,
	} {
		d.loops.Go(func() { loop(background) })
	}
	d.log.WithField("instance", d.self.Instance).WithField("domain", d.self.Domain).Info("instance started")
	<-stopped.Done()
	err = d.drain()
	cancel()
	d.close(servers)
	d.log.WithField("instance", d.self.Instance).Info("instance stopped")
	return err
}

// drain finishes requests in flight and moves the shards to other instances.
func (d *Daemon) drain() error {
	d.log.Info("instance is stopping")
	d.stopping.Store(true)
	d.members.SetDraining(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Grace)
	defer cancel()
	d.announceLeaving(ctx)
	var wg sync.WaitGroup
	var entryErr, shardErr error
	wg.Go(func() { entryErr = d.entry.Drain(ctx) })
	wg.Go(func() { shardErr = d.manager.Drain(ctx) })
	wg.Wait()
	return errors.Join(entryErr, shardErr)
}

// close ends the listeners. The store may be silent, so leaving its list takes
// none of the time in which open requests get their answers.
func (d *Daemon) close(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var left sync.WaitGroup
	left.Go(func() {
		_ = d.store.Deregister(ctx, d.self.Instance) // the platform's list also drops instances by itself
	})
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	left.Wait()
	d.entry.Close()
	d.relay.Close()
	_ = d.transport.Close(ctx) // the process ends next
	d.loops.Wait()
	d.store.Close()
}

// listener is one of the four listening addresses.
type listener struct {
	name, address string
	tls           settings.TLSFiles
	handler       http.Handler
}

// listen opens all listeners before any of them serves.
func (d *Daemon) listen() ([]*http.Server, error) {
	s := d.settings
	all := []listener{
		{"callers", s.Listen.Callers, s.Callers.TLS, d.entry},
		{"operators", s.Listen.Operators, s.Operators.TLS, operator.NewHandler(d.backend, s.Operators.Token, d.log)},
		{"peers", s.Listen.Peers, s.Peers.TLS, d.transport},
		{"metrics", s.Listen.Metrics, settings.TLSFiles{}, d.healthHandler()},
	}
	var servers []*http.Server
	var open []net.Listener
	for _, l := range all {
		listener, err := l.listen(d.open)
		if err != nil {
			for _, o := range open {
				_ = o.Close()
			}
			return nil, err
		}
		open = append(open, listener)
		servers = append(servers, d.limits.server(l.handler))
	}
	for i, srv := range servers {
		d.loops.Go(func() { _ = srv.Serve(open[i]) }) // returns when the server is closed
	}
	return servers, nil
}

func (l listener) listen(open func(string) (net.Listener, error)) (net.Listener, error) {
	cfg, err := l.tls.ServerConfig()
	if err != nil {
		return nil, err
	}
	ln, err := open(l.address)
	if err != nil {
		return nil, failure.New(failure.Invalid, "choose a free address of this host", "[listen] %s = %s cannot be opened: %v", l.name, l.address, err)
	}
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	return ln, nil
}

// register keeps this instance in the platform's list.
func (d *Daemon) register(ctx context.Context) {
	entry := kvstore.Instance{ID: d.self.Instance, Service: kvstore.EntryService, Domain: d.self.Domain, Address: d.self.Address, State: kvstore.Live}
	for {
		callCtx, cancel := context.WithTimeout(ctx, d.settings.Platform.Timeout)
		err := d.store.Register(callCtx, entry)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		select {
		case <-time.After(registerRetry):
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) announceLeaving(ctx context.Context) {
	entry := kvstore.Instance{ID: d.self.Instance, Service: kvstore.EntryService, Domain: d.self.Domain, Address: d.self.Address, State: kvstore.Leaving}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Platform.Timeout)
	defer cancel()
	_ = d.store.Register(ctx, entry) // peers learn it by heartbeat as well
}

// ready returns why the instance cannot take requests, or nil.
func (d *Daemon) ready() error {
	switch m, _ := d.manager.MapView(); {
	case d.stopping.Load():
		return failure.New(failure.NotReady, "use another instance", "the instance is stopping")
	case d.replica.Current() == nil && d.replica.StoredValueError() != nil:
		return d.replica.StoredValueError()
	case m == nil && d.manager.MapError() != nil:
		return d.manager.MapError()
	case d.replica.Current() == nil:
		return failure.New(failure.NotReady, "apply declarations with clementinectl, or wait for the platform store", "there is no configuration yet")
	case m == nil:
		return failure.New(failure.NotReady, "wait for the platform store", "the shard map of the domain is not known yet")
	case !m.IsFullyAssigned():
		return failure.New(failure.NotReady, "wait until the instances of the domain have shared out the shards", "some shards have never had an owner")
	}
	return nil
}

// livenessTimeout is how long the control goroutine may take to answer before
// the instance counts as stuck.
const livenessTimeout = 5 * time.Second

// healthHandler serves metrics, readiness and liveness.
func (d *Daemon) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.ready(); err != nil {
			failure.Write(w, err)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), livenessTimeout)
		defer cancel()
		if _, err := d.manager.Status(ctx); err != nil {
			failure.Write(w, err)
			return
		}
		_, _ = w.Write([]byte("alive\n"))
	})
	return mux
}
