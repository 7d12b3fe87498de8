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

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ingress"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

const (
	// closeTimeout bounds the closing of listeners and connections after the drain.
	closeTimeout = 2 * time.Second
	// registerRetryDelay is the delay after a failed attempt to register with the
	// platform.
	registerRetryDelay = 5 * time.Second
	// maxHeaderBytes leaves ample room for the headers of the callers' API.
	maxHeaderBytes = 16 << 10
	// maxHandshakeBytes leaves ample room for a TLS handshake with certificates of clients.
	maxHandshakeBytes = 64 << 10
)

// serverTimeouts are the timeouts of the HTTP servers. ReadTimeout is not among them:
// it would end the background read with which net/http detects, during a stream, that
// the caller has disconnected. Package entry bounds the upload of a body itself.
type serverTimeouts struct {
	// header bounds how long a client may take to send its headers.
	header time.Duration
	// idle bounds how long an unused connection stays open. It is longer than the
	// idle timeout of common load balancers, so that they close connections first.
	idle time.Duration
	// write bounds the writing of a whole response. For model and app requests
	// package entry replaces it by the deadline of the request.
	write time.Duration
}

// defaultServerTimeouts returns the timeouts for production.
func defaultServerTimeouts() serverTimeouts {
	return serverTimeouts{header: 10 * time.Second, idle: 2 * time.Minute, write: time.Minute}
}

// newServer returns a server for h with the timeouts.
func (t serverTimeouts) newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ConnContext: abort.ConnContext, ReadHeaderTimeout: t.header, IdleTimeout: t.idle, WriteTimeout: t.write, MaxHeaderBytes: maxHeaderBytes}
}

// Run serves until ctx ends or an operator stops the instance, and then stops
// gracefully. It returns an error if a listener cannot be opened, or if requests or
// shards are left when the grace period of the settings ends.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(ctx)
	d.requestStop = stop
	defer stop()
	servers, err := d.startServers()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	for _, run := range []func(context.Context){
		d.configReplica.Run, d.members.Run, d.shardManager.Run, d.prober.Run, d.orderer.Run, d.register, d.gate.Run,
	} {
		d.goroutines.Go(func() { run(background) })
	}
	d.log.WithField("instance", d.self.Instance).WithField("domain", d.self.Domain).Info("instance started")
	<-runCtx.Done()
	err = d.drain()
	cancel()
	d.close(servers)
	d.log.WithField("instance", d.self.Instance).Info("instance stopped")
	return err
}

// drain announces the stop, waits for requests in flight and moves the shards to other
// instances, all within the grace period of the settings.
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
	wg.Go(func() { shardErr = d.shardManager.Drain(ctx) })
	wg.Wait()
	return errors.Join(entryErr, shardErr)
}

// close shuts down the servers and clients and waits for the background goroutines. It
// deregisters from the platform concurrently with the shutdown of the servers, so that an
// unresponsive store takes none of the time in which open requests are finished.
func (d *Daemon) close(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var deregistration sync.WaitGroup
	deregistration.Go(func() {
		_ = d.store.Deregister(ctx, d.self.Instance) // best effort: the platform also removes instances from its list by itself
	})
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	deregistration.Wait()
	d.entry.Close()
	d.relay.Close()
	_ = d.transport.Close(ctx) // the process ends next
	d.goroutines.Wait()
	d.store.Close()
}

// listenerConfig describes one of the four listeners. Its name is the key of the address
// in section [listen] of the settings.
type listenerConfig struct {
	name, address string
	tls           settings.TLSFiles
	handler       http.Handler
}

// startServers opens all listeners and then starts the servers. If a listener cannot be
// opened, it closes the others and returns the error.
func (d *Daemon) startServers() ([]*http.Server, error) {
	s := d.settings
	configs := []listenerConfig{
		{"callers", s.Listen.Callers, s.Callers.TLS, d.entry},
		{"operators", s.Listen.Operators, s.Operators.TLS, operator.NewHandler(d.backend, s.Operators.Token, d.log)},
		{"peers", s.Listen.Peers, s.Peers.TLS, d.transport},
		{"metrics", s.Listen.Metrics, settings.TLSFiles{}, d.healthHandler()},
	}
	var servers []*http.Server
	var opened []net.Listener
	for i, cfg := range configs {
		openListener := d.openListener
		if i == 0 {
			openListener = d.openForCallers
		}
		listener, err := cfg.open(openListener)
		if err != nil {
			for _, listener := range opened {
				_ = listener.Close()
			}
			return nil, err
		}
		opened = append(opened, listener)
		servers = append(servers, d.timeouts.newServer(cfg.handler))
	}
	d.gate.Attach(servers[0])
	for i, srv := range servers {
		d.goroutines.Go(func() { _ = srv.Serve(opened[i]) }) // returns when the server is closed
	}
	return servers, nil
}

// openForCallers opens the listener for callers, whose connections the gate counts.
func (d *Daemon) openForCallers(address string) (net.Listener, error) {
	listener, err := d.openListener(address)
	if err != nil {
		return nil, err
	}
	return d.gate.Listen(listener), nil
}

// callerRules returns what callers have to keep to. net/http bounds their heads itself.
func (d *Daemon) callerRules() ingress.Rules {
	return ingress.Rules{HeadBytes: maxHeaderBytes + maxHandshakeBytes, HeadTimeout: d.timeouts.header, IdleTimeout: d.timeouts.idle}
}

// open opens the listener, with TLS if the settings give a certificate.
func (c listenerConfig) open(openListener func(string) (net.Listener, error)) (net.Listener, error) {
	tlsConfig, err := c.tls.ServerConfig()
	if err != nil {
		return nil, err
	}
	listener, err := openListener(c.address)
	if err != nil {
		return nil, failure.New(failure.Invalid, "choose a free address of this host", "[listen] %s = %s cannot be opened: %v", c.name, c.address, err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return listener, nil
}

// register adds this instance to the platform's list. It retries until it succeeds or
// ctx ends.
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
		case <-time.After(registerRetryDelay):
		case <-ctx.Done():
			return
		}
	}
}

// announceLeaving marks this instance as leaving in the platform's list.
func (d *Daemon) announceLeaving(ctx context.Context) {
	entry := kvstore.Instance{ID: d.self.Instance, Service: kvstore.EntryService, Domain: d.self.Domain, Address: d.self.Address, State: kvstore.Leaving}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Platform.Timeout)
	defer cancel()
	_ = d.store.Register(ctx, entry) // best effort: heartbeats report the draining as well
}

// checkReady returns nil if the instance can take requests, and otherwise an error that
// says why not.
func (d *Daemon) checkReady() error {
	switch shardMap, _ := d.shardManager.MapView(); {
	case d.stopping.Load():
		return failure.New(failure.NotReady, "use another instance", "the instance is stopping")
	case d.configReplica.Current() == nil && d.configReplica.StoredDocumentError() != nil:
		return d.configReplica.StoredDocumentError()
	case shardMap == nil && d.shardManager.StoredMapError() != nil:
		return d.shardManager.StoredMapError()
	case d.configReplica.Current() == nil:
		return failure.New(failure.NotReady, "apply declarations with clementinectl, or wait for the platform store", "there is no configuration yet")
	case shardMap == nil:
		return failure.New(failure.NotReady, "wait for the platform store", "the shard map of the domain is not known yet")
	case !shardMap.IsFullyAssigned():
		return failure.New(failure.NotReady, "wait until every shard of the domain has an owner", "some shards have never had an owner")
	}
	return nil
}

// livenessTimeout bounds the wait for the control goroutine of the shard manager in a
// liveness check. An instance whose control goroutine does not answer counts as stuck.
const livenessTimeout = 5 * time.Second

// healthHandler serves the metrics and the readiness and liveness checks.
func (d *Daemon) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.checkReady(); err != nil {
			failure.Write(w, err)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), livenessTimeout)
		defer cancel()
		if _, err := d.shardManager.Status(ctx); err != nil {
			failure.Write(w, err)
			return
		}
		_, _ = w.Write([]byte("alive\n"))
	})
	return mux
}
