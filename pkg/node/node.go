package node

import (
	"cmp"
	"context"
	cryptorand "crypto/rand"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/hedge"
	"github.com/clementinerack/clementinerack/pkg/ingress"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/lineage"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/roster"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// Options configures a Node. All fields but Listen and SecondAttempts are required.
type Options struct {
	// Name and Domain are the name and the failure domain of the instance.
	Name, Domain string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the listening
	// addresses (host:port) for callers, readiness checks, other instances and metrics.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath is the path of the readiness check at ReadyAddress, MetricsPath that of
	// the metrics at MetricsAddress.
	ReadyPath, MetricsPath string
	Store                  roster.Store
	Source                 catalog.Source
	Codec                  gateway.Codec
	Retry                  RetryLimit
	Cold                   ColdLimit
	// WaitForRights has requests that find too few rights wait in order for those that become
	// free. Otherwise each one searches for its own for a short time.
	WaitForRights bool
	// SecondAttempts are the shares of requests that may get a second attempt if the first one
	// is slow; nil means none.
	SecondAttempts hedge.Shares
	// WatchTimeout bounds one wait for a change at the source; 0 means the default of
	// package catalog.
	WatchTimeout time.Duration
	// TracksDomains is set if the source has the failure domains out of use. Nothing is sent
	// to endpoints before they are known.
	TracksDomains bool
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// ShutdownTimeout is the time from the stop signal until the platform kills the
	// process.
	ShutdownTimeout time.Duration
	// Descriptors is the number of file descriptors for sockets; 0 means the limit of the process.
	Descriptors int
	Log         logrus.FieldLogger
	Registry    *prometheus.Registry
	// Listen opens a listener on one of the addresses above; nil means TCP.
	Listen func(address string) (net.Listener, error)
}

// RetryLimit bounds the retries that reach a service within Window from all instances
// together: Extra retries plus Ratio times the number of requests.
type RetryLimit struct {
	Ratio, Extra float64
	Window       time.Duration
}

// ColdLimit bounds the requests that reach a cold endpoint in any second from all instances
// together, as a multiple of what the endpoint tolerates and a number; see
// placement.ColdBound. The zero value means no bound.
type ColdLimit struct{ Overrun, Tolerance float64 }

// Node is one instance.
type Node struct {
	opts       Options
	self       peer.Identity
	log        logrus.FieldLogger
	peers      *deferredCaller
	roster     *roster.Roster
	replica    *catalog.Replica
	pool       *placement.Pool
	client     *upstream.Client
	book       *rights.Book
	syncer     *rights.Syncer
	exchange   *rights.Exchange
	witnesses  *rights.Witnesses
	reserver   *reserver
	crashes    *crashGuard
	limits     *limitSpreader
	domains    *domainWatcher
	lineage    *lineage.Tracker
	gateway    *gateway.Gateway
	gate       *ingress.Gate // of callers
	departed   *departedCloser
	stopping   atomic.Bool
	goroutines sync.WaitGroup
}

// incarnationBytes is the length of the random suffix that distinguishes the
// incarnations of an instance.
const incarnationBytes = 8

// New returns a node. It opens no listener and starts no goroutine.
func New(opts Options) *Node {
	if opts.Listen == nil {
		opts.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	var nonce [incarnationBytes]byte
	_, _ = cryptorand.Read(nonce[:]) // crypto/rand.Read never fails
	n := &Node{opts: opts, log: opts.Log, peers: &deferredCaller{}, self: peer.Identity{
		Instance: opts.Name, Domain: opts.Domain, Address: opts.PeerAddress,
		Incarnation: opts.Name + "-" + hex.EncodeToString(nonce[:]),
	}}
	opts.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.roster = roster.New(n.self, opts.Store, n.log)
	shares := &limitShares{self: n.self, established: n.roster.Established}
	n.pool = placement.New(opts.Domain, uint64(nonce[0])|uint64(nonce[1])<<8|uint64(nonce[2])<<16|1, shares.of)
	n.pool.SetRegions(opts.Regions)
	n.domains = newDomainWatcher(n.pool, opts)
	n.limits = &limitSpreader{pool: n.pool, shares: shares, peers: n.peers, others: n.roster.Others, log: n.log}
	n.client = upstream.New()
	n.buildRights()
	n.buildCatalog()
	n.lineage = lineage.New(lineage.Options{Incarnation: n.self.Incarnation, Store: opts.Store, StoreEra: n.storeEra,
		ListConfirmed: n.replica.Confirmed, RecheckList: n.replica.Recheck, Rank: n.leaderRank, Peers: n.peers, Collectors: n.originCollectors, Log: n.log, Registerer: opts.Registry})
	tracker := quarantine.New(quarantine.Options{}, opts.Registry)
	n.crashes = &crashGuard{Tracker: tracker, culpritFinder: newCulpritFinder(culpritOptions{
		self: n.self, peers: n.peers, roster: n.roster, store: opts.Store, prober: n.client, storeEra: n.storeEra,
		endpoints: func() []catalog.Endpoint { return slices.Clone(n.replica.Endpoints().Endpoints) },
		refusals:  tracker.Refusals(), survivals: tracker.Survivals(), log: n.log,
	})}
	n.reserver = newReserver(n.book, n.syncer, n.exchange, n.isFirstSupplier, n.log, opts.Registry)
	var reservations gateway.Rights = newSearcher(n.reserver)
	if opts.WaitForRights {
		reservations = n.reserver
	}
	n.gateway = gateway.New(gateway.Options{
		Codec: opts.Codec, Catalog: n.replica.Current, Pool: n.pool, Client: n.client,
		Rights: reservations, CrashGuard: n.crashes,
		Lineage:        n.lineage,
		RetryBudget:    gateway.NewRetryBudget(opts.Retry.Ratio, opts.Retry.Extra, opts.Retry.Window, n.roster.PeakInstances),
		SecondAttempts: hedge.New(opts.SecondAttempts, rand.Float64()),
		Log:            n.log, Registerer: opts.Registry,
	})
	n.gate = ingress.NewGate(ingress.ForProcess(opts.Descriptors), n.callerRules, n.log, opts.Registry)
	n.departed = newDepartedCloser(n.pool, n.client, opts.Registry)
	registerColdEndpoints(n.pool, opts.Registry)
	return n
}

// buildRights creates the parts that hold and exchange rights. The syncer and the
// exchange refer to each other, so the syncer gets methods that look up the exchange.
func (n *Node) buildRights() {
	n.book = rights.NewBook()
	ledger := rights.NewLedger(n.opts.Store, n.self.Incarnation)
	n.witnesses = rights.NewWitnesses(ledger, n.peers, n.witnessAddresses, n.announcementAddresses)
	n.syncer = rights.NewSyncer(rights.SyncerOptions{
		Book: n.book, Ledger: ledger, Prepaid: n.prepaidTotals, Evidence: n.witnesses.Evidence, Announce: n.witnesses.Announce, RestoreDelay: n.restoreDelay,
		BufferHolders: n.leaderCount, Instances: n.instanceCount, SupplierRank: n.supplierRank, ResolvePending: n.resolveCalls, Refill: n.refill, Policy: rights.DefaultPolicy(), Timing: rights.DefaultTiming(), Log: n.log,
	})
	n.exchange = rights.NewExchange(n.book, n.peers, n.rightsPeers, n.syncer, n.log)
}

func (n *Node) refill(ctx context.Context, workspace string, want rights.Delta) bool {
	return n.exchange.Refill(ctx, workspace, want)
}

func (n *Node) resolveCalls(ctx context.Context) { n.exchange.ResolvePending(ctx) }

func (n *Node) buildCatalog() {
	n.replica = catalog.NewReplica(catalog.ReplicaOptions{
		Source: n.opts.Source, Peers: n.peers, Log: n.log,
		Members: func() []string {
			var addresses []string
			for _, other := range n.roster.Others() {
				addresses = append(addresses, other.Address)
			}
			return addresses
		},
		Relays:        n.relays,
		Timing:        n.catalogTiming(),
		TracksDomains: n.opts.TracksDomains,
		OnDomains:     n.domains.update,
		OnDocument: func(c *catalog.Catalog) {
			n.domains.checkRegions(c.Document)
			n.pool.SetColdBounds(coldBounds(c.Services, n.opts.Cold))
			n.pool.SetSpread(engineServices(c.Services), n.roster.PeakInstances)
			n.syncer.TriggerRound()
		},
		OnEndpoints: func(list catalog.EndpointList) {
			now := time.Now()
			n.lineage.UpdateEndpoints(list, now) // before streams can begin at a new version
			n.pool.Update(list, now)
		},
	})
}

// catalogTiming returns the default timing with the watch timeout of the options.
func (n *Node) catalogTiming() catalog.Timing {
	timing := catalog.DefaultTiming()
	if n.opts.WatchTimeout > 0 {
		timing.WatchTimeout = n.opts.WatchTimeout
	}
	return timing
}

// engineServices returns the names of the services that state how many requests their
// inference engines run at once.
func engineServices(services []catalog.Service) map[string]bool {
	names := map[string]bool{}
	for _, s := range services {
		if s.Engine != nil && s.Engine.Slots > 0 {
			names[s.Name] = true
		}
	}
	return names
}

// relays returns the addresses of the instances that read the store for this one, in order
// of preference: in a fleet of more than targetLeaders instances, the leaders of this
// failure domain that rank before it. The first leader of a domain has no relay; the
// others take its place when it ends.
func (n *Node) relays() []string {
	others := n.roster.Others()
	if len(others) < targetLeaders {
		return nil
	}
	leaders, _ := n.roster.Leaders(targetLeaders)
	var candidates []peer.Identity
	for _, id := range append(others, n.self) {
		if leaders[id.Incarnation] && id.Domain == n.self.Domain {
			candidates = append(candidates, id)
		}
	}
	slices.SortFunc(candidates, func(a, b peer.Identity) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a.Incarnation), rendezvous.Hash(b.Incarnation)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var addresses []string
	for _, relay := range candidates {
		if relay.Incarnation == n.self.Incarnation {
			break
		}
		addresses = append(addresses, relay.Address)
	}
	return addresses
}

// targetLeaders is the target number of leaders: the instances that can read the catalog
// for others and are the buffer holders of package rights, which hold rights for outages
// of the store. With more of them each holds less of a workspace's rights; with
// fewer, more rights are stranded when one dies.
const targetLeaders = 12

const (
	// restoreRankDelay is the delay between two instances that try to restore the sums of
	// rights; it exceeds the time that one needs. maxRestoreDelay bounds that of the last ones.
	restoreRankDelay, maxRestoreDelay = 500 * time.Millisecond, 3 * time.Second
)

// leaderCount returns the number of leaders and whether this instance is one. Until it
// knows the other instances, an instance is no leader: when a whole fleet starts, all
// would otherwise take buffers of rights, each in conflict with all others.
func (n *Node) leaderCount() (int, bool) {
	leaders, self := n.roster.Leaders(targetLeaders)
	return len(leaders), self && n.roster.IsSettled()
}

// instanceCount returns the number of known instances, this one included.
func (n *Node) instanceCount() int { return len(n.roster.Others()) + 1 }

// supplierRank returns the rank of this instance among the suppliers of a workspace, or
// rights.NoSupplier.
func (n *Node) supplierRank(workspace string) int {
	if !n.roster.IsSettled() {
		return rights.NoSupplier
	}
	leaders, _ := n.roster.Leaders(targetLeaders)
	return slices.Index(rights.Suppliers(workspace, leaders), n.self.Incarnation)
}

// restoreDelay is the delay of rights.SyncerOptions: the leaders follow each other, and then
// the other instances.
func (n *Node) restoreDelay() (time.Duration, bool) {
	if !n.roster.IsSettled() {
		return 0, false
	}
	return min(time.Duration(n.leaderRank())*restoreRankDelay, maxRestoreDelay), true
}

// leaderRank returns the rank of this instance among the leaders, or their number if it is
// none of them. Until it knows the other instances, it returns targetLeaders.
func (n *Node) leaderRank() int {
	if !n.roster.IsSettled() {
		return targetLeaders
	}
	leaders, isLeader := n.roster.Leaders(targetLeaders)
	if !isLeader {
		return len(leaders)
	}
	rank := 0
	for other := range leaders {
		if rendezvous.Hash(other) < rendezvous.Hash(n.self.Incarnation) {
			rank++
		}
	}
	return rank
}

// originCollectorCount is the number of instances that write the origins of streams to the
// store for all. Each write is a call of the store, whose rate the whole fleet shares.
const originCollectorCount = 3

// originCollectors is Collectors of package lineage: the first leaders, those of this failure
// domain before others. In a small fleet each instance writes its own origins, which saves the
// time of the transfer.
func (n *Node) originCollectors() (addresses []string, self bool) {
	others := n.roster.Others()
	if len(others) < targetLeaders {
		return nil, true
	}
	leaders, _ := n.roster.Leaders(targetLeaders)
	candidates := slices.DeleteFunc(append(others, n.self), func(id peer.Identity) bool { return !leaders[id.Incarnation] })
	slices.SortFunc(candidates, func(a, b peer.Identity) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a.Incarnation), rendezvous.Hash(b.Incarnation)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	candidates = candidates[:min(originCollectorCount, len(candidates))]
	slices.SortStableFunc(candidates, func(a, b peer.Identity) int {
		distance := func(id peer.Identity) int {
			if id.Domain == n.self.Domain {
				return 0
			}
			return 1
		}
		return distance(a) - distance(b)
	})
	for _, id := range candidates {
		addresses = append(addresses, id.Address)
		self = self || id.Incarnation == n.self.Incarnation
	}
	return addresses, self
}

// witnessAddresses returns the addresses of all instances that may know the sums of rights:
// also those that a restored list of instances lacks.
func (n *Node) witnessAddresses() []string {
	established, _ := n.roster.Established(time.Now())
	addresses := map[string]bool{}
	for _, other := range append(n.roster.Others(), established...) {
		addresses[other.Address] = true
	}
	return slices.Collect(maps.Keys(addresses))
}

// announcementAddresses returns the addresses of up to count instances, chosen at random but
// from as many other failure domains as possible, which may not fail with this one.
func (n *Node) announcementAddresses(count int) []string {
	others := n.roster.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	uses := map[string]int{n.self.Domain: 1}
	var addresses []string
	for round := 0; len(addresses) < min(count, len(others)); round++ {
		for _, other := range others {
			if uses[other.Domain] == round && len(addresses) < count && !slices.Contains(addresses, other.Address) {
				uses[other.Domain]++
				addresses = append(addresses, other.Address)
			}
		}
	}
	return addresses
}

// isFirstSupplier reports whether this instance updates the record of a workspace in the
// store on behalf of all instances.
func (n *Node) isFirstSupplier(workspace string) bool { return n.supplierRank(workspace) == 0 }

// rightsPeers returns the other instances in the order in which they are asked for
// rights of a workspace: first the suppliers that rank before this instance, then
// leaders before other instances, and within each group this failure domain before
// others. The order is random among equals.
func (n *Node) rightsPeers(workspace string) []rights.Member {
	leaders, _ := n.roster.Leaders(targetLeaders)
	suppliers := rights.Suppliers(workspace, leaders)
	if i := slices.Index(suppliers, n.self.Incarnation); i >= 0 {
		suppliers = suppliers[:i]
	}
	others := n.roster.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	rank := func(other peer.Identity) int {
		if i := slices.Index(suppliers, other.Incarnation); i >= 0 {
			return i
		}
		position := len(suppliers)
		if !leaders[other.Incarnation] {
			position += 2
		}
		if other.Domain != n.self.Domain {
			position++
		}
		return position
	}
	slices.SortStableFunc(others, func(a, b peer.Identity) int { return rank(a) - rank(b) })
	members := make([]rights.Member, 0, len(others))
	for _, other := range others {
		members = append(members, rights.Member{Incarnation: other.Incarnation, Address: other.Address, IsSupplier: slices.Contains(suppliers, other.Incarnation)})
	}
	return members
}

// prepaidTotals returns the prepaid tokens of the limited workspaces, or nil if there
// are no declarations yet. The map is shared and must not be modified.
func (n *Node) prepaidTotals() map[string]rights.Tokens {
	if c := n.replica.Current(); c != nil {
		return c.PrepaidTotals
	}
	return nil
}

// listen opens the listeners for callers, readiness checks and metrics and starts to
// serve them.
func (n *Node) listen() ([]*http.Server, error) {
	metrics := http.NewServeMux()
	metrics.Handle("GET "+n.opts.MetricsPath, promhttp.HandlerFor(n.opts.Registry, promhttp.HandlerOpts{}))
	var servers []*http.Server
	for _, served := range []struct {
		address string
		handler http.Handler
	}{
		{n.opts.CallerAddress, n.gateway},
		{n.opts.ReadyAddress, http.HandlerFunc(n.serveReady)},
		{n.opts.MetricsAddress, metrics},
	} {
		listener, err := n.opts.Listen(served.address)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: served.handler, ConnContext: abort.ConnContext, MaxHeaderBytes: maxHeaderBytes}
		if served.address == n.opts.CallerAddress {
			server.MaxHeaderBytes = largestHeaderBytes
			listener = n.gate.Listen(listener)
			n.gate.Attach(server)
		} else {
			server.ReadHeaderTimeout, server.IdleTimeout = headerTimeout, idleTimeout
		}
		servers = append(servers, server)
		n.goroutines.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	}
	return servers, nil
}

// startPeers waits for the shared credential and then serves calls of other instances
// until ctx ends.
func (n *Node) startPeers(ctx context.Context) {
	credential, err := sharedCredential(ctx, n.opts.Store)
	if err != nil {
		return // ctx has ended
	}
	transport := peer.New(n.self, peer.Options{Credential: credential, IdleTimeout: peerIdleTimeout, SilenceTimeout: peerSilenceTimeout,
		OnPeer: func(id peer.Identity) { n.roster.AddConnected(id, time.Now()) }}, n.opts.Registry)
	n.replica.RegisterPeer(transport)
	n.exchange.RegisterPeer(transport, n.self.Incarnation)
	n.witnesses.RegisterPeer(transport)
	n.crashes.registerPeer(transport)
	n.limits.registerPeer(transport)
	n.lineage.RegisterPeer(transport)
	listener, err := n.opts.Listen(n.opts.PeerAddress)
	if err != nil {
		n.log.WithError(err).Error("cannot open the listener for other instances")
		return
	}
	n.peers.transport.Store(transport)
	n.goroutines.Go(func() { n.keepCredential(ctx, credential) })
	server := &http.Server{Handler: transport, ReadHeaderTimeout: headerTimeout}
	n.goroutines.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	<-ctx.Done()
	_ = server.Close()
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = transport.Close(closeCtx) // the process ends next
}

// storeEra returns the era of the store as of the latest list of endpoints.
func (n *Node) storeEra() uint64 { return kvstore.EraOf(n.replica.Endpoints().Revision) }

// isReady reports whether the instance has declarations and endpoints, has synchronized
// its rights with the store once, and is not stopping.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.replica.Current() != nil && n.replica.Endpoints().Revision > 0 && n.syncer.HasSynced() &&
		(!n.opts.TracksDomains || n.replica.Domains().Revision > 0)
}

// serveReady answers readiness checks with status 200 or 503.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.opts.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
