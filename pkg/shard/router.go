package shard

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

// Router routes ledger calls to the owner of a shard, in this or another failure domain.
// It is safe for concurrent use.
type Router struct {
	manager *Manager
	peers   peer.Caller
	members Members
	domains func() []string
	shards  func() int

	mu         sync.Mutex
	remoteMaps map[string]cachedMap
}

// cachedMap is the shard map of another domain with the time when it was fetched.
type cachedMap struct {
	shardMap  *Map
	fetchedAt time.Time
}

// remoteMapTTL is how long the map of another domain is used before it is fetched again.
// A stale map costs a refused call, but does not affect safety.
const remoteMapTTL = 5 * time.Second

// RouterOptions configure a Router.
type RouterOptions struct {
	Manager *Manager
	Peers   peer.Caller
	Members Members
	// Domains returns the configured domains, Shards the number of shards per domain.
	// They return nil and 0 while there is no configuration.
	Domains func() []string
	Shards  func() int
}

// NewRouter returns a Router.
func NewRouter(o RouterOptions) *Router {
	return &Router{manager: o.Manager, peers: o.Peers, members: o.Members, domains: o.Domains, shards: o.Shards, remoteMaps: map[string]cachedMap{}}
}

func (r *Router) self() peer.Identity { return r.manager.opts.Self }

// NewID issues a request id for a budget. The id names a shard of this domain, so a
// first attempt never needs another domain. It fails with failure.NotReady while the
// shard map is not known.
func (r *Router) NewID(budget ledger.BudgetKey) (ledger.RequestID, error) {
	m, _ := r.manager.MapView()
	if m == nil || len(m.Shards) == 0 {
		return ledger.RequestID{}, failure.New(failure.NotReady, "retry at another instance", "the shard map of domain %s is not known yet", r.self().Domain)
	}
	shard := ledger.ShardID{Domain: r.self().Domain, Shard: ledger.ShardOf(budget, len(m.Shards))}
	return ledger.NewIssuedID(shard, m.Shards[shard.Shard].Epoch, time.Now()), nil
}

// CallerKeyID returns the request id for an idempotency key of a caller. Its home domain
// is chosen by rendezvous hashing among the configured domains. It fails with
// failure.NotReady while there is no configuration.
func (r *Router) CallerKeyID(budget ledger.BudgetKey, key string) (ledger.RequestID, error) {
	domains, shards := r.domains(), r.shards()
	if len(domains) == 0 || shards <= 0 {
		return ledger.RequestID{}, failure.New(failure.NotReady, "retry at another instance", "there is no configuration yet")
	}
	hash := ledger.KeyHash(budget.Workspace, key)
	shard := ledger.ShardID{Domain: homeDomain(domains, hash), Shard: ledger.ShardOf(budget, shards)}
	return ledger.NewCallerKeyID(shard, budget.Workspace, key), nil
}

// homeDomain returns the domain with the highest rendezvous weight for key.
func homeDomain(domains []string, key string) string {
	best, bestWeight := "", uint64(0)
	for _, d := range domains {
		h := fnv.New64a()
		_, _ = h.Write([]byte(d + "\x00" + key))
		if w := rendezvous.Mix(h.Sum64()); best == "" || w > bestWeight || (w == bestWeight && d < best) {
			best, bestWeight = d, w
		}
	}
	return best
}

// Reserve reserves rights for a request at the owner of its shard. See Manager.Reserve.
func (r *Router) Reserve(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error) {
	var reply ledger.ReserveReply
	err := r.route(ctx, req.ID, MethodReserve, req, &reply, func() (err error) {
		reply, err = r.manager.Reserve(ctx, req)
		return err
	})
	return reply, err
}

// Settle ends an attempt at the owner of its shard.
func (r *Router) Settle(ctx context.Context, req ledger.SettleRequest) (ledger.SettleReply, error) {
	var reply ledger.SettleReply
	err := r.route(ctx, req.ID, MethodSettle, req, &reply, func() (err error) {
		reply, err = r.manager.Settle(ctx, req)
		return err
	})
	return reply, err
}

// Lookup returns the status of a request from the owner of its shard.
func (r *Router) Lookup(ctx context.Context, id string) (ledger.RequestStatus, error) {
	var reply ledger.RequestStatus
	err := r.route(ctx, id, MethodLookup, lookupRequest{id}, &reply, func() (err error) {
		reply, err = r.manager.Lookup(ctx, id)
		return err
	})
	return reply, err
}

// Recall asks the owner of a shard of another domain to return idle rights on a budget.
// It returns how many tokens were returned.
func (r *Router) Recall(ctx context.Context, shard ledger.ShardID, budget ledger.BudgetKey) (ledger.Tokens, error) {
	var reply recallReply
	req := recallRequest{Shard: shard, Budget: budget}
	err := r.routeShard(ctx, shard, MethodRecall, req, &reply, func() (err error) {
		reply, err = r.manager.recall(ctx, req)
		return err
	})
	return reply.Returned, err
}

func (r *Router) route(ctx context.Context, id string, method peer.Method, req, resp any, local func() error) error {
	parsed, err := ledger.ParseRequestID(id)
	if err != nil {
		return err
	}
	return r.routeShard(ctx, parsed.Shard, method, req, resp, local)
}

// routeShard calls the owner of a shard and, if that does not serve it, the backup, which
// may have become owner within the epoch.
func (r *Router) routeShard(ctx context.Context, shard ledger.ShardID, method peer.Method, req, resp any, local func() error) error {
	entry, err := r.shardEntry(ctx, shard)
	if err != nil {
		return err
	}
	for _, to := range []peer.Identity{entry.Owner, entry.Backup} {
		if !isAssigned(to) {
			continue
		}
		if isSameIncarnation(to, r.self()) {
			err = local()
		} else {
			err = r.peers.Call(ctx, to.Address, method, req, resp)
		}
		if !failure.Is(err, failure.NotOwner) && !failure.Is(err, failure.Unavailable) {
			return err
		}
	}
	r.invalidateMap(shard.Domain)
	if err == nil {
		err = failure.New(failure.NotOwner, "retry in a few seconds", "shard %s has no owner", shard)
	}
	return err
}

// invalidateMap removes the map of another domain from the cache.
func (r *Router) invalidateMap(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.remoteMaps, domain)
}

// shardEntry returns the map entry of a shard.
func (r *Router) shardEntry(ctx context.Context, shard ledger.ShardID) (Entry, error) {
	m, err := r.domainMap(ctx, shard.Domain)
	if err != nil {
		return Entry{}, err
	}
	if shard.Shard < 0 || shard.Shard >= len(m.Shards) {
		return Entry{}, failure.New(failure.Invalid, "send the id exactly as it was issued", "shard %s does not exist", shard)
	}
	return m.Shards[shard.Shard], nil
}

// domainMap returns the shard map of a domain, from the cache if it is recent.
func (r *Router) domainMap(ctx context.Context, domain string) (*Map, error) {
	if domain == r.self().Domain {
		if m, _ := r.manager.MapView(); m != nil {
			return m, nil
		}
		return nil, failure.New(failure.NotReady, "retry at another instance", "the shard map of domain %s is not known yet", domain)
	}
	r.mu.Lock()
	cached, ok := r.remoteMaps[domain]
	r.mu.Unlock()
	if ok && time.Since(cached.fetchedAt) < remoteMapTTL {
		return cached.shardMap, nil
	}
	m, err := r.fetchDomainMap(ctx, domain)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.remoteMaps[domain] = cachedMap{m, time.Now()}
	r.mu.Unlock()
	return m, nil
}

// fetchDomainMap fetches the shard map of another domain from one of its live instances.
func (r *Router) fetchDomainMap(ctx context.Context, domain string) (*Map, error) {
	err := error(failure.New(failure.Unavailable, "retry when the failure domain can be reached", "no live instance of domain %s is known", domain))
	for _, id := range r.members.LiveIn(domain) {
		var reply mapFetchReply
		callCtx, cancel := context.WithTimeout(ctx, r.manager.opts.Timing.PeerTimeout)
		callErr := r.peers.Call(callCtx, id.Address, MethodMapFetch, mapFetchRequest{Domain: domain}, &reply)
		cancel()
		if callErr != nil || reply.Version == 0 {
			continue
		}
		return DecodeMap(reply.Map)
	}
	return nil, err
}
