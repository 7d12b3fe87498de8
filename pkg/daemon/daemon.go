package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/burn"
	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/entry"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/membership"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/orders"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/probe"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/relay"
	"github.com/clementinerack/clementinerack/pkg/routing"
	"github.com/clementinerack/clementinerack/pkg/settings"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

// Daemon is one instance.
type Daemon struct {
	settings *settings.Settings
	log      logrus.FieldLogger
	self     peer.Identity
	registry *prometheus.Registry

	store     *kvstore.HTTPClient
	transport *peer.Transport
	members   *membership.Service
	replica   *config.Replica
	manager   *shard.Manager
	router    *shard.Router
	pool      *routing.Pool
	relay     *relay.Client
	tracker   *quarantine.Tracker
	prober    *probe.Prober
	orderer   *orders.Reconciler
	entry     *entry.Server
	burn      *burn.Recorder
	backend   operator.Backend

	limits serverLimits
	// open opens a listening address; tests replace it.
	open func(address string) (net.Listener, error)

	stopping atomic.Bool
	stop     func() // asks Run to stop gracefully
	loops    sync.WaitGroup
}

// incarnationBytes makes two incarnations of an instance distinct.
const incarnationBytes = 8

// New builds an instance. It opens no listener and starts no goroutine.
func New(s *settings.Settings, log logrus.FieldLogger) (*Daemon, error) {
	var nonce [incarnationBytes]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never fails
	d := &Daemon{
		limits:   defaultServerLimits(),
		open:     func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		settings: s, log: log, registry: prometheus.NewRegistry(), burn: burn.NewRecorder(),
		self: peer.Identity{
			Instance: s.Instance.ID, Domain: s.Instance.Domain, Address: s.Listen.Peers,
			Incarnation: s.Instance.ID + "-" + hex.EncodeToString(nonce[:]),
		},
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.buildClients(); err != nil {
		return nil, err
	}
	d.buildControl()
	d.buildTraffic()
	d.registerPeers()
	return d, nil
}

// buildClients builds the connections to the platform and to other instances.
func (d *Daemon) buildClients() error {
	s := d.settings
	base, err := url.Parse(s.Platform.Address)
	if err != nil {
		return failure.New(failure.Invalid, "give a URL such as http://10.0.0.1:7000", "[platform] address cannot be parsed: %v", err)
	}
	opts := kvstore.HTTPOptions{Address: base.Host, ClientID: d.self.Instance, CallTimeout: s.Platform.Timeout, WatchWait: s.Platform.WatchWait}
	if base.Scheme == "https" {
		if opts.TLS, err = s.Platform.TLS.ClientConfig(); err != nil {
			return err
		}
	}
	if d.store, err = kvstore.NewHTTPClient(opts, d.registry); err != nil {
		return err
	}
	peerTLS, err := s.Peers.TLS.ClientConfig()
	if err != nil {
		return err
	}
	d.transport = peer.New(d.self, peer.Options{Credential: s.Peers.Credential.Reveal(), TLS: peerTLS}, d.registry)
	return nil
}

// buildControl builds what owns control state: configuration, membership, shards.
func (d *Daemon) buildControl() {
	s := d.settings
	d.replica = config.NewReplica(d.store, config.ReplicaOptions{Peers: d.transport, Log: d.log}, d.registry)
	d.members = membership.New(d.self, d.transport, membership.Options{
		Seeds: s.Peers.Seeds, Lister: d.store, LocalReport: d.report, OnReport: d.heard, Log: d.log,
	}, d.registry)
	d.manager = shard.NewManager(shard.Options{
		Self: d.self, Store: d.store, Peers: d.transport, Members: d.members,
		Shards: d.shards, Policy: d.policy, StandingBudgets: d.standing, Recall: d.recall,
		Retention: ledger.Retention{Repeatable: s.Ledger.RetentionRepeatable, NonRepeatable: s.Ledger.RetentionNonRepeatable},
		Timing:    shard.DefaultTiming(), Log: d.log, Registerer: d.registry,
	})
	d.router = shard.NewRouter(shard.RouterOptions{
		Manager: d.manager, Peers: d.transport, Members: d.members, Domains: d.domains, Shards: d.shards,
	})
	d.backend = &backend{operator.NewStoreBackend(d.store, d.replica), d}
}

// buildTraffic builds what carries requests.
func (d *Daemon) buildTraffic() {
	s := d.settings
	d.pool = routing.New(d.self.Domain, routing.Options{QueueLimit: s.Callers.QueueLimit}, d.registry)
	d.tracker = quarantine.New(quarantine.Options{}, d.registry)
	d.relay = relay.New(relay.Options{Instance: d.self.Instance, OnDraining: d.endpointDraining})
	d.prober = probe.New(probe.Options{Instance: d.self.Instance, Domain: d.self.Domain},
		observedPool{d.pool, d.relay}, d.store, d.endpointDied, d.log, d.registry)
	d.orderer = orders.New(orders.Options{Instance: d.self.Incarnation, IsResponsible: d.responsible}, d.store, d.log, d.registry)
	d.entry = entry.New(entry.Options{
		Self: d.self, Ledger: d.router, Configuration: d.replica, Peers: d.transport, Router: d.pool,
		Quarantine: d.tracker, Relay: d.relay, MaxBodyBytes: s.Callers.MaxBodyBytes, Notify: d.announceDeaths, Samples: samples{d.burn}, Registerer: d.registry, Log: d.log,
	})
	d.replica.Subscribe(func(doc *config.Document) {
		d.pool.Update(doc)
		d.prober.Update(doc)
		d.orderer.Update(doc)
		d.burn.SetObjectives(doc.Objectives)
	})
}

func (d *Daemon) registerPeers() {
	d.members.Register(d.transport)
	d.replica.RegisterPeer(d.transport)
	d.manager.Register(d.transport)
	d.entry.RegisterPeer(d.transport)
	d.registerFleet(d.transport)
	d.registerNotices(d.transport)
}

// report is what this instance tells others in each heartbeat.
func (d *Daemon) report() membership.Report {
	_, version := d.manager.MapView()
	return membership.Report{
		Draining:         d.stopping.Load(),
		ConfigGeneration: d.replica.Generation(),
		ShardMaps:        map[string]uint64{d.self.Domain: version},
	}
}

// heard compares the report of another instance with what is known here.
func (d *Daemon) heard(from peer.Identity, r membership.Report) {
	d.replica.HandleAnnouncement(r.ConfigGeneration, from.Address)
	if from.Domain == d.self.Domain {
		d.manager.ObserveVersion(r.ShardMaps[d.self.Domain], from.Address)
	}
}

func (d *Daemon) shards() int {
	if doc := d.replica.Current(); doc != nil {
		return doc.Shards
	}
	return 0
}

func (d *Daemon) domains() []string {
	if doc := d.replica.Current(); doc != nil {
		return doc.Domains
	}
	return nil
}

func (d *Daemon) policy() grant.Policy {
	p := grant.Default(len(d.domains()))
	if h := d.settings.Ledger.GrantHorizon; h > 0 {
		p.Horizon = h
	}
	return p
}

// standing returns the default budget of each workspace.
func (d *Daemon) standing() []ledger.BudgetKey {
	doc := d.replica.Current()
	if doc == nil {
		return nil
	}
	out := make([]ledger.BudgetKey, 0, len(doc.Workspaces))
	for _, w := range doc.Workspaces {
		out = append(out, ledger.BudgetKey{Workspace: w.Name, Budget: w.DefaultBudget})
	}
	return out
}

func (d *Daemon) recall(ctx context.Context, id ledger.ShardID, b ledger.BudgetKey) (ledger.Tokens, error) {
	return d.router.Recall(ctx, id, b)
}

// responsible picks one live instance of an engine's domain to look after it.
func (d *Daemon) responsible(e config.Endpoint) bool {
	if e.Domain != d.self.Domain {
		return false
	}
	chosen, ok := d.members.Rendezvous(e.ID, d.members.Live())
	return ok && chosen.Incarnation == d.self.Incarnation
}

// samples passes what the callers' API observes to the burn recorder.
type samples struct{ recorder *burn.Recorder }

// Observe implements entry.Samples.
func (s samples) Observe(o entry.Sample) {
	s.recorder.Observe(burn.Sample{
		Service: o.Service, Workspace: o.Workspace, FirstTokenDelay: o.FirstToken, LongestTokenInterval: o.WorstGap,
		Refused: o.Refused, CallerFault: o.CallerFault, Truncated: o.Truncated,
	})
}
