//go:build bench

package policy

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/membership"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/peer/peertest"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

// deployment is the topology of one of the two deployments in section 1.6 of the
// design.
type deployment struct {
	name    string
	domains []string
	// interDomainLatency is the one-way latency between domains.
	interDomainLatency time.Duration
}

var deployments = []deployment{
	{"A", []string{"valle-maipo", "valle-aconcagua", "valle-rapel", "valle-maule"}, 300 * time.Microsecond},
	{"B", []string{"ikeja", "yaba", "ibadan"}, 900 * time.Microsecond},
}

const (
	instancesPerDomain = 2
	shardsPerDomain    = 8
	// storeLatency is the response time of the platform store.
	storeLatency = 5 * time.Millisecond
	// intraDomainLatency is the one-way latency within a domain.
	intraDomainLatency = 100 * time.Microsecond
)

// fleet runs instances with the real shard manager, router and membership over the
// in-memory store and network.
type fleet struct {
	deployment    deployment
	policy        grant.Policy
	recallEnabled bool
	network       *peertest.Network
	store         *kvstoretest.Fake
	ctx           context.Context

	mu                sync.Mutex
	started           []*instance          // all instances, including those that have ended
	current           map[string]*instance // latest instance by name
	partitionedDomain string               // empty if there is no partition
}

// instance is one process of the fleet.
type instance struct {
	fleet            *fleet
	name             string
	identity         peer.Identity
	manager          *shard.Manager
	router           *shard.Router
	membership       *membership.Service
	ctx              context.Context
	cancel           context.CancelFunc
	done             chan struct{}
	stoppedAccepting bool // takes no new requests; guarded by fleet.mu
}

func instanceName(domain string, number int) string { return fmt.Sprintf("%s-%d", domain, number) }

// start starts an instance. An earlier instance of the same name must have ended.
func (f *fleet) start(domain string, number int) {
	name := instanceName(domain, number)
	f.mu.Lock()
	defer f.mu.Unlock()
	serial := len(f.started)
	identity := peer.Identity{Instance: name, Incarnation: fmt.Sprintf("%s-%d", name, serial), Domain: domain, Address: fmt.Sprintf("%s-%d:7000", name, serial)}
	ctx, cancel := context.WithCancel(f.ctx)
	in := &instance{fleet: f, name: name, identity: identity, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	node := f.network.StartNode(identity)
	log := logrus.New()
	log.SetOutput(io.Discard)
	domains := func() []string { return f.deployment.domains }
	shards := func() int { return shardsPerDomain }
	var seeds []string
	for _, other := range f.current {
		seeds = append(seeds, other.identity.Address)
	}
	in.membership = membership.New(identity, node, membership.Options{
		Seeds: seeds,
		LocalReport: func() membership.Report {
			_, version := in.manager.MapView()
			return membership.Report{ConfigGeneration: 1, ShardMaps: map[string]uint64{domain: version}}
		},
		OnReport: func(from peer.Identity, r membership.Report) {
			if from.Domain == domain {
				in.manager.HandleMapAnnouncement(r.ShardMaps[domain], from.Address)
			}
		},
	}, nil)
	options := shard.Options{
		Self: identity, Store: f.store.Client(name), Peers: node, Members: in.membership, Shards: shards,
		Policy:    func() grant.Policy { return f.policy },
		Retention: ledger.Retention{Repeatable: 10 * time.Minute, NonRepeatable: 24 * time.Hour},
		Timing:    shard.DefaultTiming(), Log: log,
	}
	if f.recallEnabled {
		options.Recall = func(ctx context.Context, s ledger.ShardID, b ledger.BudgetKey) (ledger.Tokens, error) {
			return in.router.Recall(ctx, s, b)
		}
	}
	in.manager = shard.NewManager(options)
	in.router = shard.NewRouter(shard.RouterOptions{Manager: in.manager, Peers: node, Members: in.membership, Domains: domains, Shards: shards})
	in.manager.Register(node)
	in.membership.Register(node)
	for _, other := range f.started {
		f.configureLinks(in, other)
	}
	f.started = append(f.started, in)
	f.current[name] = in
	go func() {
		defer close(in.done)
		go in.membership.Run(ctx)
		in.manager.Run(ctx)
	}()
}

// configureLinks sets the latency between two instances and applies the current
// partition.
func (f *fleet) configureLinks(a, b *instance) {
	latency := f.deployment.interDomainLatency
	if a.identity.Domain == b.identity.Domain {
		latency = intraDomainLatency
	}
	f.network.Delay(a.identity.Address, b.identity.Address, latency)
	f.network.Delay(b.identity.Address, a.identity.Address, latency)
	if f.partitionedDomain != "" && (a.identity.Domain == f.partitionedDomain) != (b.identity.Domain == f.partitionedDomain) {
		f.network.Silence(a.identity.Address, b.identity.Address)
	}
}

// setPartition cuts a domain off from the other domains. An empty domain heals the
// partition.
func (f *fleet) setPartition(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitionedDomain = domain
	for i, a := range f.started {
		for _, b := range f.started[:i] {
			if domain != "" && (a.identity.Domain == domain) != (b.identity.Domain == domain) {
				f.network.Silence(a.identity.Address, b.identity.Address)
			} else {
				f.network.Heal(a.identity.Address, b.identity.Address)
			}
		}
	}
}

// pickInstance returns the first instance of the domain that accepts requests,
// starting at the index first. It returns nil if there is none.
func (f *fleet) pickInstance(domain string, first int) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	for offset := range instancesPerDomain {
		if in := f.current[instanceName(domain, (first+offset)%instancesPerDomain+1)]; in != nil && !in.stoppedAccepting {
			return in
		}
	}
	return nil
}

// instanceAt returns the latest instance with the given number in a domain.
func (f *fleet) instanceAt(domain string, number int) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current[instanceName(domain, number)]
}

// stopAccepting takes the instance out of load balancing.
func (in *instance) stopAccepting() {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	in.stoppedAccepting = true
}

// kill ends the instance abruptly, as in a crash.
func (in *instance) kill() {
	in.stopAccepting()
	in.fleet.network.Stop(in.identity.Address)
	in.cancel()
}

// stop shuts the instance down as the daemon does: it hands over the shards and
// gives the requests in flight the whole grace period to finish.
func (in *instance) stop(gracePeriod time.Duration) {
	in.stopAccepting()
	in.membership.SetDraining(true)
	ctx, cancel := context.WithTimeout(in.ctx, gracePeriod)
	defer cancel()
	_ = in.manager.Drain(ctx) // shards that remain are taken over as after a crash
	<-ctx.Done()
	in.kill()
}

// shutdown stops all instances and the network, so that the synctest bubble can
// end.
func (f *fleet) shutdown() {
	for _, in := range f.started {
		in.cancel()
		<-in.done
	}
	f.network.Close()
	synctest.Wait()
}
