package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/entry"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/membership"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/peer/peertest"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/relay"
	"github.com/clementinerack/clementinerack/pkg/routing"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

// stopGrace bounds a graceful stop.
const stopGrace = 30 * time.Second

// node is one instance, assembled as by package daemon.
type node struct {
	w       *world
	id      peer.Identity
	replica *config.Replica
	members *membership.Service
	manager *shard.Manager
	router  *shard.Router
	pool    *routing.Pool
	relay   *relay.Client
	entry   *entry.Server
	backend *operator.StoreBackend
	server  *http.Server
	cancel  context.CancelFunc
	loops   sync.WaitGroup

	// The fields below are guarded by world.mu.
	dead, paused bool
	stopping     time.Time // start of a graceful stop
	stopped      time.Time
	killed       time.Time // end without a graceful stop
	deafUntil    time.Time // until then no document can reach the instance
	generation   uint64

	// onStop is called at each step of a graceful stop; it is set before the stop.
	onStop func(step string)
}

func (n *node) atStop(step string) {
	if n.onStop != nil {
		n.onStop(step)
	}
}

func (n *node) host() string { return n.id.Incarnation }

func callersAddress(name string) string { return name + ":80" }

func (w *world) startNode(name, domain string) *node {
	w.mu.Lock()
	w.seq++
	id := peer.Identity{Instance: name, Incarnation: fmt.Sprintf("%s-%d", name, w.seq), Domain: domain, Address: name + ":7000"}
	w.mu.Unlock()
	n := &node{w: w, id: id, deafUntil: time.Now()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	end := w.net.StartNode(id)
	peers := &hookedCaller{n, end}
	store := &hookedStore{n, w.store.Client(id.Incarnation)}
	n.build(peers, store, log)
	n.register(end)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, loop := range []func(context.Context){n.replica.Run, n.members.Run, n.manager.Run} {
		n.loops.Go(func() { loop(ctx) })
	}
	l := w.wire.listen(n.host(), callersAddress(name))
	n.server = &http.Server{Handler: n}
	n.loops.Go(func() { _ = n.server.Serve(l) }) // returns when the listener is closed
	w.mu.Lock()
	w.nodes[name] = n
	w.all = append(w.all, n)
	w.mu.Unlock()
	return n
}

func (n *node) build(peers peer.Caller, store kvstore.Store, log logrus.FieldLogger) {
	w := n.w
	n.replica = config.NewReplica(store, config.ReplicaOptions{Peers: peers, Log: log}, nil)
	n.members = membership.New(n.id, peers, membership.Options{Seeds: seeds, LocalReport: n.report, OnReport: n.heard, Log: log}, nil)
	timing := shard.DefaultTiming()
	timing.SealInterval, timing.AbandonTimeout = 5*time.Second, time.Minute
	n.manager = shard.NewManager(shard.Options{
		Self: n.id, Store: store, Peers: peers, Members: n.members, Shards: n.shards,
		Policy:    func() grant.Policy { return grant.Default(len(n.domains())) },
		Retention: ledger.Retention{Repeatable: 3 * time.Minute, NonRepeatable: 4 * time.Minute},
		Recall: func(ctx context.Context, s ledger.ShardID, b ledger.BudgetKey) (ledger.Tokens, error) {
			return n.router.Recall(ctx, s, b)
		},
		StandingBudgets: func() []ledger.BudgetKey { return []ledger.BudgetKey{{Workspace: workspace, Budget: ampleBudget}} },
		Timing:          timing, Log: log,
	})
	n.router = shard.NewRouter(shard.RouterOptions{Manager: n.manager, Peers: peers, Members: n.members, Domains: n.domains, Shards: n.shards})
	n.pool = routing.New(n.id.Domain, routing.Options{Seed: 1}, nil)
	n.relay = relay.New(relay.Options{Instance: n.id.Instance, Dial: w.wire.dialer(n.host())})
	for _, e := range w.endpoints {
		n.relay.RecordIncarnation(e.id, e.id+"#1")
	}
	n.entry = entry.New(entry.Options{
		Self: n.id, Ledger: &hookedLedger{n.router, n}, Configuration: n.replica, Peers: peers, Router: n.pool,
		Quarantine: quarantine.New(quarantine.Options{}, nil), Relay: n.relay, Log: log,
	})
	n.backend = operator.NewStoreBackend(store, n.replica)
	n.replica.Subscribe(func(d *config.Document) { n.pool.Update(d) })
}

func (n *node) register(end *peertest.Node) {
	n.members.Register(end)
	n.replica.RegisterPeer(end)
	n.manager.Register(end)
	n.entry.RegisterPeer(end)
}

func (n *node) report() membership.Report {
	_, version := n.manager.MapView()
	return membership.Report{ConfigGeneration: n.replica.Generation(), ShardMaps: map[string]uint64{n.id.Domain: version}}
}

func (n *node) heard(from peer.Identity, r membership.Report) {
	n.replica.HandleAnnouncement(r.ConfigGeneration, from.Address)
	if from.Domain == n.id.Domain {
		n.manager.ObserveVersion(r.ShardMaps[n.id.Domain], from.Address)
	}
}

// shards also holds the control goroutine of a paused instance, which calls it.
func (n *node) shards() int {
	n.w.wire.gate(n.host())
	if doc := n.replica.Current(); doc != nil {
		return doc.Shards
	}
	return 0
}

func (n *node) domains() []string {
	if doc := n.replica.Current(); doc != nil {
		return doc.Domains
	}
	return nil
}

// ServeHTTP is the callers' listener.
func (n *node) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	n.w.arrived(r.Header.Get(callHeader))
	n.w.at("admit")
	n.entry.ServeHTTP(rw, r)
}

// kill ends the instance without any goodbye.
func (n *node) kill() {
	n.w.mu.Lock()
	n.dead = true
	if n.stopped.IsZero() {
		n.killed = time.Now()
	}
	n.w.mu.Unlock()
	n.w.wire.kill(n.host())
	n.w.net.Stop(n.id.Address)
	n.w.store.CutClient(n.host())
	n.cancel()
}

func (n *node) pause() {
	n.w.mu.Lock()
	n.paused, n.deafUntil = true, never
	n.w.mu.Unlock()
	n.w.wire.pause(n.host())
	n.w.net.Pause(n.id.Address)
}

func (n *node) resume() {
	n.w.mu.Lock()
	if n.paused {
		n.paused, n.deafUntil = false, time.Now()
	}
	n.w.mu.Unlock()
	n.w.wire.resume(n.host())
	n.w.net.Resume(n.id.Address)
}

// stop ends the instance gracefully, as package daemon does.
func (n *node) stop() error {
	n.w.mu.Lock()
	n.stopping = time.Now()
	n.w.mu.Unlock()
	n.members.SetDraining(true)
	n.atStop("announced")
	n.w.at("drain")
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	var wg sync.WaitGroup
	var entryErr, shardErr error
	wg.Go(func() { entryErr = n.entry.Drain(ctx); n.atStop("entry drained") })
	wg.Go(func() { shardErr = n.manager.Drain(ctx) })
	n.atStop("draining")
	wg.Wait()
	n.atStop("shards moved")
	n.cancel()
	n.server.RegisterOnShutdown(func() { n.atStop("closing") })
	_ = n.server.Shutdown(ctx) // the world closes what is left
	n.w.mu.Lock()
	n.stopped = time.Now()
	n.w.mu.Unlock()
	n.kill()
	return errors.Join(entryErr, shardErr)
}

// close ends everything that the instance still runs.
func (n *node) close() {
	n.resume()
	n.cancel()
	_ = n.server.Close()
	n.entry.Close()
	n.relay.Close()
	n.loops.Wait()
}

// live reports whether the instance takes requests; it must be called with
// world.mu held.
func (n *node) live() bool { return !n.dead && !n.paused && n.stopping.IsZero() }
