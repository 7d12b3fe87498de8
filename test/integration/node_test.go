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

// stopTimeout bounds a graceful stop.
const stopTimeout = 30 * time.Second

// testInstance is one incarnation of an instance, assembled as in package daemon.
type testInstance struct {
	cluster    *testCluster
	id         peer.Identity
	replica    *config.Replica
	members    *membership.Service
	manager    *shard.Manager
	router     *shard.Router
	pool       *routing.Pool
	relay      *relay.Client
	entry      *entry.Server
	backend    *operator.StoreBackend
	server     *http.Server
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// The fields below are guarded by testCluster.mu.
	dead, paused     bool
	stopStartedAt    time.Time // start of a graceful stop
	stoppedAt        time.Time
	killedAt         time.Time // end without a graceful stop
	unreachableUntil time.Time // no configuration can reach the instance before this time
	generation       uint64

	// onStop, if not nil, is called at each step of a graceful stop. It must be set
	// before the stop.
	onStop func(step string)
}

// runStopHook calls onStop.
func (n *testInstance) runStopHook(step string) {
	if n.onStop != nil {
		n.onStop(step)
	}
}

// host returns the name of the incarnation in the pipe network and the store.
func (n *testInstance) host() string { return n.id.Incarnation }

// callerAddress returns the address at which an instance listens for callers.
func callerAddress(name string) string { return name + ":80" }

// startInstance starts a new incarnation of an instance.
func (tc *testCluster) startInstance(name, domain string) *testInstance {
	tc.mu.Lock()
	tc.incarnationSeq++
	id := peer.Identity{Instance: name, Incarnation: fmt.Sprintf("%s-%d", name, tc.incarnationSeq), Domain: domain, Address: name + ":7000"}
	tc.mu.Unlock()
	n := &testInstance{cluster: tc, id: id, unreachableUntil: time.Now()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	peerNode := tc.net.StartNode(id)
	peers := &hookedCaller{n, peerNode}
	store := &hookedStore{n, tc.store.Client(id.Incarnation)}
	n.build(peers, store, log)
	n.register(peerNode)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, loop := range []func(context.Context){n.replica.Run, n.members.Run, n.manager.Run} {
		n.goroutines.Go(func() { loop(ctx) })
	}
	l := tc.pipes.listen(n.host(), callerAddress(name))
	n.server = &http.Server{Handler: n}
	n.goroutines.Go(func() { _ = n.server.Serve(l) }) // returns when the listener is closed
	tc.mu.Lock()
	tc.instances[name] = n
	tc.allInstances = append(tc.allInstances, n)
	tc.mu.Unlock()
	return n
}

// build creates the components of the instance without starting them.
func (n *testInstance) build(peers peer.Caller, store kvstore.Store, log logrus.FieldLogger) {
	tc := n.cluster
	n.replica = config.NewReplica(store, config.ReplicaOptions{Peers: peers, Log: log}, nil)
	n.members = membership.New(n.id, peers, membership.Options{Seeds: seeds, LocalReport: n.localReport, OnReport: n.handleReport, Log: log}, nil)
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
	n.relay = relay.New(relay.Options{Instance: n.id.Instance, Dial: tc.pipes.dialer(n.host())})
	for _, e := range tc.endpoints {
		n.relay.RecordIncarnation(e.id, e.id+"#1")
	}
	n.entry = entry.New(entry.Options{
		Self: n.id, Ledger: &hookedLedger{n.router, n}, Configuration: n.replica, Peers: peers, Router: n.pool,
		Quarantine: quarantine.New(quarantine.Options{}, nil), Relay: n.relay, Log: log,
	})
	n.backend = operator.NewStoreBackend(store, n.replica)
	n.replica.Subscribe(func(d *config.Document) { n.pool.Update(d) })
}

// register registers the handlers of peer messages.
func (n *testInstance) register(peerNode *peertest.Node) {
	n.members.Register(peerNode)
	n.replica.RegisterPeer(peerNode)
	n.manager.Register(peerNode)
	n.entry.RegisterPeer(peerNode)
}

// localReport returns what the instance tells its peers in heartbeats.
func (n *testInstance) localReport() membership.Report {
	_, version := n.manager.MapView()
	return membership.Report{ConfigGeneration: n.replica.Generation(), ShardMaps: map[string]uint64{n.id.Domain: version}}
}

// handleReport passes the versions that a peer reports to the components that
// follow them.
func (n *testInstance) handleReport(from peer.Identity, r membership.Report) {
	n.replica.HandleDocumentAnnouncement(r.ConfigGeneration, from.Address)
	if from.Domain == n.id.Domain {
		n.manager.HandleMapAnnouncement(r.ShardMaps[n.id.Domain], from.Address)
	}
}

// shards returns the configured number of shards. The control goroutine of the
// shard manager calls it, and so it blocks while the instance is paused.
func (n *testInstance) shards() int {
	n.cluster.pipes.waitWhilePaused(n.host())
	if doc := n.replica.Current(); doc != nil {
		return doc.Shards
	}
	return 0
}

func (n *testInstance) domains() []string {
	if doc := n.replica.Current(); doc != nil {
		return doc.Domains
	}
	return nil
}

// ServeHTTP handles callers' requests.
func (n *testInstance) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	n.cluster.recordArrival(r.Header.Get(callHeader))
	n.cluster.reachStep("admit")
	n.entry.ServeHTTP(rw, r)
}

// kill ends the instance abruptly, as a crash does.
func (n *testInstance) kill() {
	n.cluster.mu.Lock()
	n.dead = true
	if n.stoppedAt.IsZero() {
		n.killedAt = time.Now()
	}
	n.cluster.mu.Unlock()
	n.cluster.pipes.kill(n.host())
	n.cluster.net.Stop(n.id.Address)
	n.cluster.store.CutClient(n.host())
	n.cancel()
}

// pause suspends the instance, as SIGSTOP does, until resume.
func (n *testInstance) pause() {
	n.cluster.mu.Lock()
	n.paused, n.unreachableUntil = true, farFuture
	n.cluster.mu.Unlock()
	n.cluster.pipes.pause(n.host())
	n.cluster.net.Pause(n.id.Address)
}

// resume ends pause.
func (n *testInstance) resume() {
	n.cluster.mu.Lock()
	if n.paused {
		n.paused, n.unreachableUntil = false, time.Now()
	}
	n.cluster.mu.Unlock()
	n.cluster.pipes.resume(n.host())
	n.cluster.net.Resume(n.id.Address)
}

// stop ends the instance gracefully, as package daemon does.
func (n *testInstance) stop() error {
	n.cluster.mu.Lock()
	n.stopStartedAt = time.Now()
	n.cluster.mu.Unlock()
	n.members.SetDraining(true)
	n.runStopHook("announced")
	n.cluster.reachStep("drain")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var entryErr, shardErr error
	wg.Go(func() { entryErr = n.entry.Drain(ctx); n.runStopHook("entry drained") })
	wg.Go(func() { shardErr = n.manager.Drain(ctx) })
	n.runStopHook("draining")
	wg.Wait()
	n.runStopHook("shards moved")
	n.cancel()
	n.server.RegisterOnShutdown(func() { n.runStopHook("closing") })
	_ = n.server.Shutdown(ctx) // close releases what Shutdown leaves open
	n.cluster.mu.Lock()
	n.stoppedAt = time.Now()
	n.cluster.mu.Unlock()
	n.kill()
	return errors.Join(entryErr, shardErr)
}

// close releases everything that the instance still runs. It may follow kill.
func (n *testInstance) close() {
	n.resume()
	n.cancel()
	_ = n.server.Close()
	n.entry.Close()
	n.relay.Close()
	n.goroutines.Wait()
}

// isLive reports whether the instance takes requests. testCluster.mu must be held.
func (n *testInstance) isLive() bool { return !n.dead && !n.paused && n.stopStartedAt.IsZero() }
