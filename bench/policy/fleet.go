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

// deployment is one of the two deployments of section 1.6 of the design.
type deployment struct {
	name    string
	domains []string
	// oneWay is the latency between domains.
	oneWay time.Duration
}

var deployments = []deployment{
	{"A", []string{"valle-maipo", "valle-aconcagua", "valle-rapel", "valle-maule"}, 300 * time.Microsecond},
	{"B", []string{"ikeja", "yaba", "ibadan"}, 900 * time.Microsecond},
}

const (
	instancesPerDomain = 2
	shardsPerDomain    = 8
	// storeLatency is the time of one answer of the platform store.
	storeLatency = 5 * time.Millisecond
	// localLatency is one way inside a domain.
	localLatency = 100 * time.Microsecond
)

// fleet runs real managers, routers and membership over the in-memory store and
// network.
type fleet struct {
	dep    deployment
	policy grant.Policy
	recall bool
	net    *peertest.Network
	store  *kvstoretest.Fake
	ctx    context.Context

	mu    sync.Mutex
	nodes []*node // all that were ever started
	slots map[string]*node
	cut   string // the domain that is cut off, or ""
}

type node struct {
	f        *fleet
	slot     string
	id       peer.Identity
	manager  *shard.Manager
	router   *shard.Router
	members  *membership.Service
	ctx      context.Context
	cancel   context.CancelFunc
	finished chan struct{}
	closed   bool // takes no new requests; guarded by f.mu
}

func slotName(domain string, n int) string { return fmt.Sprintf("%s-%d", domain, n) }

// start runs an instance in a slot; an earlier one there must have ended.
func (f *fleet) start(domain string, n int) {
	slot := slotName(domain, n)
	f.mu.Lock()
	defer f.mu.Unlock()
	serial := len(f.nodes)
	id := peer.Identity{Instance: slot, Incarnation: fmt.Sprintf("%s-%d", slot, serial), Domain: domain, Address: fmt.Sprintf("%s-%d:7000", slot, serial)}
	ctx, cancel := context.WithCancel(f.ctx)
	d := &node{f: f, slot: slot, id: id, ctx: ctx, cancel: cancel, finished: make(chan struct{})}
	end := f.net.StartNode(id)
	log := logrus.New()
	log.SetOutput(io.Discard)
	domains := func() []string { return f.dep.domains }
	shards := func() int { return shardsPerDomain }
	var seeds []string
	for _, o := range f.slots {
		seeds = append(seeds, o.id.Address)
	}
	d.members = membership.New(id, end, membership.Options{
		Seeds: seeds,
		LocalReport: func() membership.Report {
			_, version := d.manager.MapView()
			return membership.Report{ConfigGeneration: 1, ShardMaps: map[string]uint64{domain: version}}
		},
		OnReport: func(from peer.Identity, r membership.Report) {
			if from.Domain == domain {
				d.manager.HandleMapAnnouncement(r.ShardMaps[domain], from.Address)
			}
		},
	}, nil)
	opts := shard.Options{
		Self: id, Store: f.store.Client(slot), Peers: end, Members: d.members, Shards: shards,
		Policy:    func() grant.Policy { return f.policy },
		Retention: ledger.Retention{Repeatable: 10 * time.Minute, NonRepeatable: 24 * time.Hour},
		Timing:    shard.DefaultTiming(), Log: log,
	}
	if f.recall {
		opts.Recall = func(ctx context.Context, s ledger.ShardID, b ledger.BudgetKey) (ledger.Tokens, error) {
			return d.router.Recall(ctx, s, b)
		}
	}
	d.manager = shard.NewManager(opts)
	d.router = shard.NewRouter(shard.RouterOptions{Manager: d.manager, Peers: end, Members: d.members, Domains: domains, Shards: shards})
	d.manager.Register(end)
	d.members.Register(end)
	for _, o := range f.nodes {
		f.connect(d, o)
	}
	f.nodes = append(f.nodes, d)
	f.slots[slot] = d
	go func() {
		defer close(d.finished)
		go d.members.Run(ctx)
		d.manager.Run(ctx)
	}()
}

// connect sets the latency, and the cut, between two nodes.
func (f *fleet) connect(a, b *node) {
	latency := f.dep.oneWay
	if a.id.Domain == b.id.Domain {
		latency = localLatency
	}
	f.net.Delay(a.id.Address, b.id.Address, latency)
	f.net.Delay(b.id.Address, a.id.Address, latency)
	if f.cut != "" && (a.id.Domain == f.cut) != (b.id.Domain == f.cut) {
		f.net.Silence(a.id.Address, b.id.Address)
	}
}

// cutOff separates a domain from the other domains and from the store, or heals
// the cut when domain is "".
func (f *fleet) cutOff(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = domain
	for i, a := range f.nodes {
		for _, b := range f.nodes[:i] {
			if domain != "" && (a.id.Domain == domain) != (b.id.Domain == domain) {
				f.net.Silence(a.id.Address, b.id.Address)
			} else {
				f.net.Heal(a.id.Address, b.id.Address)
			}
		}
	}
}

// pick returns an instance of the domain as a load balancer would, or nil.
func (f *fleet) pick(domain string, n int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range instancesPerDomain {
		if d := f.slots[slotName(domain, (n+i)%instancesPerDomain+1)]; d != nil && !d.closed {
			return d
		}
	}
	return nil
}

func (f *fleet) at(domain string, n int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots[slotName(domain, n)]
}

func (d *node) close() {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	d.closed = true
}

// kill ends an instance without any goodbye.
func (d *node) kill() {
	d.close()
	d.f.net.Stop(d.id.Address)
	d.cancel()
}

// stop ends an instance as the daemon does: it hands its shards over and leaves
// time for the requests in flight.
func (d *node) stop(grace time.Duration) {
	d.close()
	d.members.SetDraining(true)
	ctx, cancel := context.WithTimeout(d.ctx, grace)
	defer cancel()
	_ = d.manager.Drain(ctx) // what is left after the grace is taken over as after a crash
	<-ctx.Done()
	d.kill()
}

// end stops everything that is left, so that the bubble can end.
func (f *fleet) end() {
	for _, d := range f.nodes {
		d.cancel()
		<-d.finished
	}
	f.net.Close()
	synctest.Wait()
}
