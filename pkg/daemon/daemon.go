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
	"github.com/clementinerack/clementinerack/pkg/ingress"
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

// Daemon is one running instance with all of its components.
type Daemon struct {
	settings *settings.Settings
	log      logrus.FieldLogger
	self     peer.Identity
	registry *prometheus.Registry

	store         *kvstore.HTTPClient
	transport     *peer.Transport
	members       *membership.Service
	configReplica *config.Replica
	shardManager  *shard.Manager
	shardRouter   *shard.Router
	pool          *routing.Pool
	relay         *relay.Client
	tracker       *quarantine.Tracker
	prober        *probe.Prober
	orderer       *orders.Reconciler
	entry         *entry.Server
	gate          *ingress.Gate // of callers
	burn          *burn.Recorder
	backend       operator.Backend

	timeouts serverTimeouts
	// openListener opens a listener on address. Tests replace it.
	openListener func(address string) (net.Listener, error)

	stopping    atomic.Bool
	requestStop func() // starts a graceful stop; set by Run
	goroutines  sync.WaitGroup
}

// incarnationBytes is the length of the random suffix that distinguishes the
// incarnations of an instance.
const incarnationBytes = 8

// New returns an instance with the given settings. It opens no listener and starts no
// goroutine. It returns an error if the platform address is invalid or a TLS file cannot
// be used.
func New(s *settings.Settings, log logrus.FieldLogger) (*Daemon, error) {
	var nonce [incarnationBytes]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never fails
	d := &Daemon{
		timeouts:     defaultServerTimeouts(),
		openListener: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		settings:     s, log: log, registry: prometheus.NewRegistry(), burn: burn.NewRecorder(),
		self: peer.Identity{
			Instance: s.Instance.ID, Domain: s.Instance.Domain, Address: s.Listen.Peers,
			Incarnation: s.Instance.ID + "-" + hex.EncodeToString(nonce[:]),
		},
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.buildClients(); err != nil {
		return nil, err
	}
	d.buildControlPlane()
	d.buildDataPlane()
	d.registerHandlers()
	return d, nil
}

// buildClients creates the clients of the platform and of other instances.
func (d *Daemon) buildClients() error {
	s := d.settings
	platformURL, err := url.Parse(s.Platform.Address)
	if err != nil {
		return failure.New(failure.Invalid, "give a URL such as http://10.0.0.1:7000", "[platform] address cannot be parsed: %v", err)
	}
	storeOpts := kvstore.HTTPOptions{Address: platformURL.Host, ClientID: d.self.Instance, CallTimeout: s.Platform.Timeout, WatchWait: s.Platform.WatchWait}
	if platformURL.Scheme == "https" {
		if storeOpts.TLS, err = s.Platform.TLS.ClientConfig(); err != nil {
			return err
		}
	}
	if d.store, err = kvstore.NewHTTPClient(storeOpts, d.registry); err != nil {
		return err
	}
	peerTLS, err := s.Peers.TLS.ClientConfig()
	if err != nil {
		return err
	}
	d.transport = peer.New(d.self, peer.Options{Credential: s.Peers.Credential.Reveal(), TLS: peerTLS}, d.registry)
	return nil
}

// buildControlPlane creates the components that hold control state: configuration,
// membership and shards, and the operators' backend, which reads them.
func (d *Daemon) buildControlPlane() {
	s := d.settings
	d.configReplica = config.NewReplica(d.store, config.ReplicaOptions{Peers: d.transport, Log: d.log}, d.registry)
	d.members = membership.New(d.self, d.transport, membership.Options{
		Seeds: s.Peers.Seeds, Lister: d.store, LocalReport: d.localReport, OnReport: d.handleReport, Log: d.log,
	}, d.registry)
	d.shardManager = shard.NewManager(shard.Options{
		Self: d.self, Store: d.store, Peers: d.transport, Members: d.members,
		Shards: d.shardCount, Policy: d.grantPolicy, StandingBudgets: d.standingBudgets, Recall: d.recall,
		Retention: ledger.Retention{Repeatable: s.Ledger.RetentionRepeatable, NonRepeatable: s.Ledger.RetentionNonRepeatable},
		Timing:    shard.DefaultTiming(), Log: d.log, Registerer: d.registry,
	})
	d.shardRouter = shard.NewRouter(shard.RouterOptions{
		Manager: d.shardManager, Peers: d.transport, Members: d.members, Domains: d.domains, Shards: d.shardCount,
	})
	d.backend = &backend{operator.NewStoreBackend(d.store, d.configReplica), d}
}

// buildDataPlane creates the components that serve requests and look after endpoints,
// and subscribes them to the configuration.
func (d *Daemon) buildDataPlane() {
	s := d.settings
	d.pool = routing.New(d.self.Domain, routing.Options{QueueLimit: s.Callers.QueueLimit}, d.registry)
	d.tracker = quarantine.New(quarantine.Options{}, d.registry)
	d.relay = relay.New(relay.Options{Instance: d.self.Instance, OnDraining: d.handleEndpointDraining})
	d.prober = probe.New(probe.Options{Instance: d.self.Instance, Domain: d.self.Domain},
		probePool{d.pool, d.relay}, d.store, d.handleEndpointDeath, d.log, d.registry)
	d.orderer = orders.New(orders.Options{Instance: d.self.Incarnation, IsResponsible: d.isResponsible}, d.store, d.log, d.registry)
	d.entry = entry.New(entry.Options{
		Self: d.self, Ledger: d.shardRouter, Configuration: d.configReplica, Peers: d.transport, Router: d.pool,
		Quarantine: d.tracker, Relay: d.relay, MaxBodyBytes: s.Callers.MaxBodyBytes, Notify: d.broadcastDeaths, Samples: sampleRecorder{d.burn}, Registerer: d.registry, Log: d.log,
	})
	d.gate = ingress.NewGate(ingress.ForProcess(0), d.callerRules, d.log, d.registry)
	d.configReplica.Subscribe(func(doc *config.Document) {
		d.pool.Update(doc)
		d.prober.Update(doc)
		d.orderer.Update(doc)
		d.burn.SetObjectives(doc.Objectives)
	})
}

// registerHandlers registers the handlers of calls from other instances.
func (d *Daemon) registerHandlers() {
	d.members.Register(d.transport)
	d.configReplica.RegisterPeer(d.transport)
	d.shardManager.Register(d.transport)
	d.entry.RegisterPeer(d.transport)
	d.registerFleetHandlers(d.transport)
	d.registerNoticeHandlers(d.transport)
}

// localReport returns the report that this instance sends with its heartbeats.
func (d *Daemon) localReport() membership.Report {
	_, version := d.shardManager.MapView()
	return membership.Report{
		Draining:         d.stopping.Load(),
		ConfigGeneration: d.configReplica.Generation(),
		ShardMaps:        map[string]uint64{d.self.Domain: version},
	}
}

// handleReport compares the versions that another instance reports with the local ones,
// so that newer ones are fetched.
func (d *Daemon) handleReport(from peer.Identity, r membership.Report) {
	d.configReplica.HandleDocumentAnnouncement(r.ConfigGeneration, from.Address)
	if from.Domain == d.self.Domain {
		d.shardManager.HandleMapAnnouncement(r.ShardMaps[d.self.Domain], from.Address)
	}
}

// shardCount returns the number of shards per domain, or 0 without a configuration.
func (d *Daemon) shardCount() int {
	if doc := d.configReplica.Current(); doc != nil {
		return doc.Shards
	}
	return 0
}

// domains returns the failure domains, or nil without a configuration.
func (d *Daemon) domains() []string {
	if doc := d.configReplica.Current(); doc != nil {
		return doc.Domains
	}
	return nil
}

// grantPolicy returns the default grant policy for the number of domains, with the
// horizon of the settings if one is set.
func (d *Daemon) grantPolicy() grant.Policy {
	policy := grant.Default(len(d.domains()))
	if horizon := d.settings.Ledger.GrantHorizon; horizon > 0 {
		policy.Horizon = horizon
	}
	return policy
}

// standingBudgets returns the default budget of each workspace, or nil without a
// configuration.
func (d *Daemon) standingBudgets() []ledger.BudgetKey {
	doc := d.configReplica.Current()
	if doc == nil {
		return nil
	}
	budgets := make([]ledger.BudgetKey, 0, len(doc.Workspaces))
	for _, w := range doc.Workspaces {
		budgets = append(budgets, ledger.BudgetKey{Workspace: w.Name, Budget: w.DefaultBudget})
	}
	return budgets
}

// recall implements shard.Options.Recall. The manager is created before the router, so
// it cannot get the router's own method.
func (d *Daemon) recall(ctx context.Context, id ledger.ShardID, budget ledger.BudgetKey) (ledger.Tokens, error) {
	return d.shardRouter.Recall(ctx, id, budget)
}

// isResponsible reports whether this instance manages an engine: of the live instances
// of the engine's domain, rendezvous hashing selects one.
func (d *Daemon) isResponsible(e config.Endpoint) bool {
	if e.Domain != d.self.Domain {
		return false
	}
	chosen, ok := d.members.Rendezvous(e.ID, d.members.Live())
	return ok && chosen.Incarnation == d.self.Incarnation
}

// sampleRecorder passes the samples of the callers' API to the burn recorder.
type sampleRecorder struct{ recorder *burn.Recorder }

// Observe implements entry.Samples.
func (r sampleRecorder) Observe(sample entry.Sample) {
	r.recorder.Observe(burn.Sample{
		Service: sample.Service, Workspace: sample.Workspace, FirstTokenDelay: sample.FirstTokenDelay, LongestTokenInterval: sample.LongestTokenInterval,
		Refused: sample.Refused, CallerFault: sample.CallerFault, Truncated: sample.Truncated,
	})
}
