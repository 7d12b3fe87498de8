package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/eventlog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Source reads declarations and endpoints from where operators and endpoints
// write them.
type Source interface {
	// Document waits until there is a version above after and returns it, or nil
	// when there is none within the source's own bound.
	Document(ctx context.Context, after uint64) (*Document, error)
	// Endpoints returns the present list.
	Endpoints(ctx context.Context) (EndpointList, error)
}

// PullMethod asks another instance for what is newer there.
const PullMethod peer.Method = "catalog.pull"

// PullRequest tells what the caller has.
type PullRequest struct {
	Version  uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// WaitMillis is how long the answer may wait for other endpoints. It then leaves out
	// the document, which is large and which the caller watches itself.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// Digest is that of the caller's endpoints; equal ones are left out.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
}

// PullReply carries only what is newer than the request.
type PullReply struct {
	Document  *Document     `cbor:"1,keyasint,omitempty"`
	Endpoints *EndpointList `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time since the source has answered the replying instance.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// SourceUnavailable tells that the latest read of the source failed.
	SourceUnavailable bool `cbor:"4,keyasint,omitempty"`
	// Unchanged tells that the endpoints are those of the request's digest.
	Unchanged bool `cbor:"5,keyasint,omitempty"`
}

// Timing bounds the work of a Replica.
type Timing struct {
	// ListInterval is the pause between two reads of the endpoints. Draining ones
	// must be known within the shortest drain time, 2 s.
	ListInterval time.Duration
	// ListTimeout bounds a read of the list.
	ListTimeout time.Duration
	// PullTimeout bounds a call of a peer, which may bring a large document over a
	// slow link.
	PullTimeout time.Duration
	// RetryDelay follows a failed read.
	RetryDelay time.Duration
	// SilenceTimeout is the silence of the source after which peers are asked.
	SilenceTimeout time.Duration
	// RelayPollTimeout is how long a relay may wait for other endpoints, and RelayReplyTimeout what
	// its answer may take beyond. Both pass before its silence is noticed.
	RelayPollTimeout, RelayReplyTimeout time.Duration
	// RelayPollDelay is the least time between two calls of a relay, so that its changes
	// come in batches.
	RelayPollDelay time.Duration
	// RelayRetryDelay is how long a relay that failed is left out.
	RelayRetryDelay time.Duration
	// RecoveryWindow is how long endpoints that are missing after an outage of the
	// source stay listed; living ones register again within 2 s.
	RecoveryWindow time.Duration
}

// DefaultTiming returns the bounds in use.
func DefaultTiming() Timing {
	return Timing{
		ListInterval:      time.Second,
		ListTimeout:       500 * time.Millisecond,
		PullTimeout:       3 * time.Second,
		RetryDelay:        250 * time.Millisecond,
		SilenceTimeout:    1600 * time.Millisecond,
		RelayPollTimeout:  500 * time.Millisecond,
		RelayReplyTimeout: 300 * time.Millisecond,
		RelayPollDelay:    50 * time.Millisecond,
		RelayRetryDelay:   3 * time.Second,
		RecoveryWindow:    2 * time.Second,
	}
}

// ReplicaOptions hold what a Replica needs.
type ReplicaOptions struct {
	Source Source
	// Peers and Members are used while the source is silent.
	Peers   peer.Caller
	Members func() []string
	// Relays returns the addresses of the instances that read the endpoints for this
	// one, in the order in which they are followed. Without any it reads them itself.
	Relays func() []string
	Timing Timing
	Log    logrus.FieldLogger
	// OnDocument and OnEndpoints are called after each change, from one goroutine
	// at a time.
	OnDocument  func(*Catalog)
	OnEndpoints func(EndpointList)
}

// Replica is this instance's copy of the declarations and endpoints. It is safe
// for concurrent use.
type Replica struct {
	opts    ReplicaOptions
	current atomic.Pointer[Catalog]

	mu        sync.Mutex // orders changes
	listed    EndpointList
	digest    uint64        // of listed
	heardList time.Time     // last answer of the source about endpoints
	away      bool          // the latest read of the endpoints failed
	returned  time.Time     // end of the latest silence about endpoints
	news      chan struct{} // closed at each change and replaced
	relayed   chan struct{} // closed when the relay is lost; nil without one
}

// NewReplica returns a replica without any content.
func NewReplica(opts ReplicaOptions) *Replica {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	if opts.Relays == nil {
		opts.Relays = func() []string { return nil }
	}
	return &Replica{opts: opts, news: make(chan struct{})}
}

// Current returns the latest catalog, or nil.
func (r *Replica) Current() *Catalog { return r.current.Load() }

// Endpoints returns the latest list.
func (r *Replica) Endpoints() EndpointList {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// RegisterPeer registers the handler of PullMethod.
func (r *Replica) RegisterPeer(reg peer.Registrar) {
	reg.Handle(PullMethod, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var req PullRequest
		if err := peer.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		r.awaitNews(ctx, req)
		return r.answer(req, time.Now()), nil
	})
}

// Run keeps the replica current until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.followDocument(ctx) })
	wg.Go(func() { r.followEndpoints(ctx) })
	wg.Go(func() { r.pullWhileSilent(ctx) })
	wg.Go(func() { r.followRelays(ctx) })
	wg.Wait()
}

func (r *Replica) followDocument(ctx context.Context) {
	store := eventlog.NewDependency(r.opts.Log, "store", "declarations")
	for ctx.Err() == nil {
		var after uint64
		if c := r.Current(); c != nil {
			after = c.Version
		}
		d, err := r.opts.Source.Document(ctx, after)
		store.Record(err)
		if err != nil {
			wait.Sleep(ctx, r.opts.Timing.RetryDelay)
			continue
		}
		r.apply(d, "store")
	}
}

func (r *Replica) apply(d *Document, from string) {
	if d == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	if old != nil && d.Version <= old.Version {
		return
	}
	c := Index(d)
	r.current.Store(c)
	r.opts.Log.WithFields(logrus.Fields{"version": d.Version, "from": from, "routes": len(d.Routes),
		"workspaces": len(d.Workspaces)}).Info("declarations in force")
	if r.opts.OnDocument != nil {
		r.opts.OnDocument(c)
	}
}

func (r *Replica) followEndpoints(ctx context.Context) {
	store := eventlog.NewDependency(r.opts.Log, "store", "endpoints")
	for r.awaitRelayLoss(ctx) {
		call, cancel := context.WithTimeout(ctx, r.opts.Timing.ListTimeout)
		list, err := r.opts.Source.Endpoints(call)
		cancel()
		store.Record(err)
		r.setAway(err != nil)
		if err != nil {
			wait.Sleep(ctx, r.opts.Timing.RetryDelay)
			continue
		}
		r.applyList(list, time.Now(), true)
		wait.Sleep(ctx, r.untilNextList(time.Now()))
	}
}

// untilNextList returns the pause before the next read. The end of a grace does not
// wait for the next regular one: endpoints that left meanwhile still get work.
func (r *Replica) untilNextList(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if left := r.returned.Add(r.opts.Timing.RecoveryWindow).Sub(now); left > 0 {
		return min(left, r.opts.Timing.ListInterval)
	}
	return r.opts.Timing.ListInterval
}

// applyList takes a list unless it is older than the present one. After a
// silence of the source, endpoints that it misses stay for ReturnGrace.
func (r *Replica) applyList(list EndpointList, now time.Time, fromSource bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fromSource {
		if !r.heardList.IsZero() && now.Sub(r.heardList) > r.opts.Timing.ListInterval+r.opts.Timing.ListTimeout {
			r.returned = now
		}
		r.heardList = now
	}
	if list.Revision < r.listed.Revision {
		return
	}
	if now.Sub(r.returned) < r.opts.Timing.RecoveryWindow {
		list.Endpoints = withMissing(list.Endpoints, r.listed.Endpoints)
	}
	digest := digestOf(list.Endpoints)
	if digest == r.digest {
		r.listed.Revision = list.Revision
		return
	}
	r.logList(list)
	r.listed, r.digest = list, digest
	r.announce()
	if r.opts.OnEndpoints != nil {
		r.opts.OnEndpoints(list)
	}
}

// withMissing adds the endpoints of old whose ids now lacks.
func withMissing(now, old []Endpoint) []Endpoint {
	ids := make(map[string]bool, len(now))
	for _, e := range now {
		ids[e.ID] = true
	}
	for _, e := range old {
		if !ids[e.ID] {
			now = append(now, e)
		}
	}
	return now
}

func (r *Replica) logList(list EndpointList) {
	before := make(map[string]Endpoint, len(r.listed.Endpoints))
	for _, e := range r.listed.Endpoints {
		before[e.ID] = e
	}
	log := r.opts.Log.WithField("revision", list.Revision)
	for _, e := range list.Endpoints {
		old, known := before[e.ID]
		delete(before, e.ID)
		if !known || old != e {
			log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "address": e.Address,
				"draining": e.Draining}).Info("endpoint listed")
		}
	}
	for id := range before {
		log.WithField("endpoint", id).Info("endpoint no longer listed")
	}
}

// pullWhileSilent asks one peer after the other while the source is silent.
func (r *Replica) pullWhileSilent(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, r.opts.Timing.RetryDelay*2)
		r.mu.Lock()
		silence := time.Since(r.heardList)
		r.mu.Unlock()
		members := r.opts.Members()
		if silence < r.opts.Timing.SilenceTimeout || len(members) == 0 {
			continue
		}
		r.pull(ctx, members[rand.IntN(len(members))])
	}
}

func (r *Replica) pull(ctx context.Context, address string) {
	req := PullRequest{Revision: r.Endpoints().Revision}
	if c := r.Current(); c != nil {
		req.Version = c.Version
	}
	reply, err := r.pullFrom(ctx, address, req, r.opts.Timing.PullTimeout)
	if err != nil {
		if !failure.Is(err, failure.Unavailable) {
			r.opts.Log.WithError(err).WithField("peer", address).Debug("peer did not answer a pull")
		}
		return
	}
	r.apply(reply.Document, address)
	if reply.Endpoints != nil {
		r.applyList(*reply.Endpoints, time.Now(), false)
	}
}
