package node

import (
	"cmp"
	"context"
	cryptorand "crypto/rand"
	"encoding/hex"
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

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
	"github.com/clementinerack/clementinerack/pkg/rights"
	"github.com/clementinerack/clementinerack/pkg/roster"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// Options hold what a Node consumes. All fields but Listen are required.
type Options struct {
	Name, Domain string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are listening addresses, host:port.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath is the path of the readiness check at Ready, MetricsPath that of
	// the metrics at Metrics.
	ReadyPath, MetricsPath string
	Store                  roster.Store
	Source                 catalog.Source
	Codec                  gateway.Codec
	Retry                  RetryLimit
	// ShutdownTimeout is the time from the order to stop to the forced end.
	ShutdownTimeout time.Duration
	Log             logrus.FieldLogger
	Registry        *prometheus.Registry
	// Listen opens a listener at one of the addresses above; nil means TCP.
	Listen func(address string) (net.Listener, error)
}

// RetryLimit bounds the repeated arrivals at a service over all instances.
type RetryLimit struct {
	Ratio, Extra float64
	Window       time.Duration
}

// Node is one instance.
type Node struct {
	opts     Options
	self     peer.Identity
	log      logrus.FieldLogger
	peers    *latePeers
	roster   *roster.Roster
	replica  *catalog.Replica
	pool     *placement.Pool
	client   *upstream.Client
	book     *rights.Book
	syncer   *rights.Syncer
	exchange *rights.Exchange
	crashes  *crashGuard
	gateway  *gateway.Gateway
	stopping atomic.Bool
	loops    sync.WaitGroup
}

// incarnationBytes makes two incarnations of an instance distinct.
const incarnationBytes = 8

// New builds a node. It opens no listener and starts no goroutine.
func New(opts Options) *Node {
	if opts.Listen == nil {
		opts.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	var nonce [incarnationBytes]byte
	_, _ = cryptorand.Read(nonce[:]) // crypto/rand.Read never fails
	n := &Node{opts: opts, log: opts.Log, peers: &latePeers{}, self: peer.Identity{
		Instance: opts.Name, Domain: opts.Domain, Address: opts.PeerAddress,
		Incarnation: opts.Name + "-" + hex.EncodeToString(nonce[:]),
	}}
	opts.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.roster = roster.New(n.self, opts.Store, n.log)
	n.pool = placement.New(opts.Domain, uint64(nonce[0])|uint64(nonce[1])<<8|uint64(nonce[2])<<16|1)
	n.client = upstream.New()
	n.buildRights()
	n.buildCatalog()
	n.crashes = &crashGuard{Tracker: quarantine.New(quarantine.Options{}, opts.Registry), peers: n.peers, others: n.roster.Others}
	n.gateway = gateway.New(gateway.Options{
		Codec: opts.Codec, Catalog: n.replica.Current, Pool: n.pool, Client: n.client,
		Rights: newPurse(n.book, n.syncer, n.exchange, n.supplies), CrashGuard: n.crashes,
		RetryBudget: gateway.NewRetryBudget(opts.Retry.Ratio, opts.Retry.Extra, opts.Retry.Window, n.roster.PeakInstances),
		Log:         n.log, Registerer: opts.Registry,
	})
	return n
}

func (n *Node) buildRights() {
	n.book = rights.NewBook()
	n.syncer = rights.NewSyncer(rights.SyncerOptions{
		Book: n.book, Ledger: rights.NewLedger(n.opts.Store, n.self.Incarnation), Prepaid: n.prepaid,
		BufferHolders: n.takers, IsSupplier: n.supplies, ResolvePending: n.resolve, Refill: n.refill, Policy: rights.DefaultPolicy(), Timing: rights.DefaultTiming(), Log: n.log,
	})
	n.exchange = rights.NewExchange(n.book, n.peers, n.members, n.syncer, n.log)
}

func (n *Node) refill(ctx context.Context, workspace string, want rights.Tokens) bool {
	return n.exchange.Refill(ctx, workspace, want)
}

func (n *Node) resolve(ctx context.Context) { n.exchange.ResolvePending(ctx) }

func (n *Node) buildCatalog() {
	n.replica = catalog.NewReplica(catalog.ReplicaOptions{
		Source: n.opts.Source, Peers: n.peers, Log: n.log,
		Members: func() []string {
			var out []string
			for _, o := range n.roster.Others() {
				out = append(out, o.Address)
			}
			return out
		},
		Relays:      n.relays,
		OnDocument:  func(*catalog.Catalog) { n.syncer.TriggerRound() },
		OnEndpoints: n.pool.Update,
	})
}

// relays returns the instances of the own failure domain that read the store for this
// one: none if it is among them. Each instance prefers another one.
func (n *Node) relays() []string {
	leaders, self := n.roster.Leaders(leastTakers)
	if self {
		return nil
	}
	var near []peer.Identity
	for _, o := range n.roster.Others() {
		if leaders[o.Incarnation] && o.Domain == n.self.Domain {
			near = append(near, o)
		}
	}
	own := rendezvous.Hash(n.self.Incarnation)
	slices.SortFunc(near, func(a, b peer.Identity) int {
		return cmp.Compare(rendezvous.Mix(rendezvous.Hash(a.Incarnation)^own), rendezvous.Mix(rendezvous.Hash(b.Incarnation)^own))
	})
	var out []string
	for _, o := range near {
		out = append(out, o.Address)
	}
	return out
}

// leastTakers is the number of instances that hold rights for a time without the
// store. More of them spread each workspace thinner, fewer strand more when one dies.
const leastTakers = 12

func (n *Node) takers() (int, bool) {
	leaders, self := n.roster.Leaders(leastTakers)
	return len(leaders), self
}

// supplies reports whether this instance changes the record of a workspace for all.
func (n *Node) supplies(workspace string) bool {
	leaders, _ := n.roster.Leaders(leastTakers)
	suppliers := rights.Suppliers(workspace, leaders)
	return suppliers[0] == n.self.Incarnation
}

// members returns the other instances in the order in which they are asked for
// rights of a workspace: the suppliers before this instance, then takers before
// others, the own failure domain before others, and at random within that.
func (n *Node) members(workspace string) []rights.Member {
	leaders, _ := n.roster.Leaders(leastTakers)
	suppliers := rights.Suppliers(workspace, leaders)
	if i := slices.Index(suppliers, n.self.Incarnation); i >= 0 {
		suppliers = suppliers[:i]
	}
	others := n.roster.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	rank := func(o peer.Identity) int {
		if i := slices.Index(suppliers, o.Incarnation); i >= 0 {
			return i
		}
		r := len(suppliers)
		if !leaders[o.Incarnation] {
			r += 2
		}
		if o.Domain != n.self.Domain {
			r++
		}
		return r
	}
	slices.SortStableFunc(others, func(a, b peer.Identity) int { return rank(a) - rank(b) })
	out := make([]rights.Member, 0, len(others))
	for _, o := range others {
		out = append(out, rights.Member{Incarnation: o.Incarnation, Address: o.Address, IsSupplier: slices.Contains(suppliers, o.Incarnation)})
	}
	return out
}

// prepaid returns what the limited workspaces have paid. The map is shared.
func (n *Node) prepaid() map[string]rights.Tokens {
	if c := n.replica.Current(); c != nil {
		return c.PrepaidTotals
	}
	return nil
}

const (
	// headerTimeout bounds the time that a caller takes to send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller stays open.
	idleTimeout = time.Minute
	// maxHeaderBytes is ample for the headers of callers.
	maxHeaderBytes = 64 << 10
)

// listen opens the listeners and serves them.
func (n *Node) listen() ([]*http.Server, error) {
	metrics := http.NewServeMux()
	metrics.Handle("GET "+n.opts.MetricsPath, promhttp.HandlerFor(n.opts.Registry, promhttp.HandlerOpts{}))
	var servers []*http.Server
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{n.opts.CallerAddress, n.gateway},
		{n.opts.ReadyAddress, http.HandlerFunc(n.serveReady)},
		{n.opts.MetricsAddress, metrics},
	} {
		ln, err := n.opts.Listen(l.address)
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
		servers = append(servers, s)
		n.loops.Go(func() { _ = s.Serve(ln) }) // returns when the server is closed
	}
	return servers, nil
}

// startPeers waits for the credential and then takes calls of other instances.
func (n *Node) startPeers(ctx context.Context) {
	secret, err := credential(ctx, n.opts.Store)
	if err != nil {
		return // ctx has ended
	}
	t := peer.New(n.self, peer.Options{Credential: secret, Idle: peerIdle, Silence: peerSilence,
		OnPeer: func(id peer.Identity) { n.roster.AddConnected(id, time.Now()) }}, n.opts.Registry)
	n.replica.RegisterPeer(t)
	n.exchange.RegisterPeer(t, n.self.Incarnation)
	n.crashes.register(t)
	ln, err := n.opts.Listen(n.opts.PeerAddress)
	if err != nil {
		n.log.WithError(err).Error("the peers' listener cannot be opened")
		return
	}
	n.peers.transport.Store(t)
	server := &http.Server{Handler: t, ReadHeaderTimeout: headerTimeout}
	n.loops.Go(func() { _ = server.Serve(ln) }) // returns when the server is closed
	<-ctx.Done()
	_ = server.Close()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = t.Close(closing) // the process ends next
}

func (n *Node) ready() bool {
	return !n.stopping.Load() && n.replica.Current() != nil && n.replica.Endpoints().Revision > 0 && n.syncer.HasSynced()
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.opts.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
