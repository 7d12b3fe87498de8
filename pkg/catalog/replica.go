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

// Source reads the declarations that operators publish and the registrations of
// endpoints.
type Source interface {
	// Document waits for a version later than after and returns it. It returns nil
	// if none appears within a timeout that the source chooses.
	Document(ctx context.Context, after uint64) (*Document, error)
	// Endpoints returns the current list.
	Endpoints(ctx context.Context) (EndpointList, error)
}

// PullMethod requests the declarations and endpoints of another instance that are newer
// than the caller's.
const PullMethod peer.Method = "catalog.pull"

// PullRequest describes the caller's state. Version is that of its document and Revision
// that of its endpoint list.
type PullRequest struct {
	Version  uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// WaitMillis is how long the reply may be delayed, in milliseconds, until the
	// endpoints change. If it is not 0, the reply omits the document, which is large and
	// which the caller watches itself.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// Digest is the digest of the caller's endpoints, or 0. The reply omits the endpoints
	// if theirs is the same.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
}

// PullReply carries only the content that is newer than the caller's.
type PullReply struct {
	Document  *Document     `cbor:"1,keyasint,omitempty"`
	Endpoints *EndpointList `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time since the replying instance last received a list from the
	// source, in milliseconds.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// SourceUnavailable is set if the replying instance cannot act as a relay: its latest
	// read of the source failed, or it follows a relay itself.
	SourceUnavailable bool `cbor:"4,keyasint,omitempty"`
	// Unchanged is set if the endpoints match the digest of the request.
	Unchanged bool `cbor:"5,keyasint,omitempty"`
}

// Timing holds the timeouts and intervals of a Replica.
type Timing struct {
	// ListInterval is the delay between two reads of the endpoint list. A draining
	// endpoint must be known within the shortest drain time, 2 s.
	ListInterval time.Duration
	// ListTimeout bounds one read of the endpoint list.
	ListTimeout time.Duration
	// PullTimeout bounds a pull from a peer, which may transfer a large document over a
	// slow link.
	PullTimeout time.Duration
	// RetryDelay is the delay after a failed read.
	RetryDelay time.Duration
	// PeerPullDelay is how long after the last list from the source the replica starts
	// to pull from peers.
	PeerPullDelay time.Duration
	// RelayPollTimeout is how long a relay may hold a poll open until the endpoints
	// change. RelayReplyTimeout is the additional time for its reply. A relay that does
	// not answer is detected after the sum of both.
	RelayPollTimeout, RelayReplyTimeout time.Duration
	// RelayPollDelay is the minimum delay between two polls of a relay, so that changes
	// arrive in batches.
	RelayPollDelay time.Duration
	// RelayRetryDelay is how long a relay that failed is skipped.
	RelayRetryDelay time.Duration
	// RecoveryWindow is how long after an outage of the source endpoints that are missing
	// from its list stay listed. Running endpoints register again within 2 s.
	RecoveryWindow time.Duration
}

// DefaultTiming returns the timing that NewReplica uses if none is set.
func DefaultTiming() Timing {
	return Timing{
		ListInterval:      time.Second,
		ListTimeout:       500 * time.Millisecond,
		PullTimeout:       3 * time.Second,
		RetryDelay:        250 * time.Millisecond,
		PeerPullDelay:     1600 * time.Millisecond,
		RelayPollTimeout:  500 * time.Millisecond,
		RelayReplyTimeout: 300 * time.Millisecond,
		RelayPollDelay:    50 * time.Millisecond,
		RelayRetryDelay:   3 * time.Second,
		RecoveryWindow:    2 * time.Second,
	}
}

// ReplicaOptions configures a Replica. Relays, Timing, OnDocument and OnEndpoints are
// optional.
type ReplicaOptions struct {
	Source Source
	// Peers calls other instances. Members returns the addresses of all other instances;
	// the replica pulls from a random one of them while the source does not answer.
	Peers   peer.Caller
	Members func() []string
	// Relays returns the addresses of the instances that can read the endpoints for this
	// one, in order of preference. If there are none, the replica reads the source itself.
	Relays func() []string
	Timing Timing
	Log    logrus.FieldLogger
	// OnDocument and OnEndpoints are called after each change, one at a time and with
	// the replica's lock held: they must not call Endpoints.
	OnDocument  func(*Catalog)
	OnEndpoints func(EndpointList)
}

// Replica holds this instance's copy of the declarations and endpoints. It is safe
// for concurrent use.
type Replica struct {
	opts    ReplicaOptions
	current atomic.Pointer[Catalog]

	mu           sync.Mutex // serializes changes
	endpoints    EndpointList
	digest       uint64        // of endpoints
	lastListAt   time.Time     // when the source, or a relay that reads it, last returned a list
	sourceFailed bool          // the latest read of the endpoints failed
	recoveredAt  time.Time     // when the latest gap between lists ended
	changed      chan struct{} // closed and replaced at each change of endpoints or sourceFailed
	relayLost    chan struct{} // closed when the relay is lost; nil if there is no relay
}

// NewReplica returns an empty replica. It reads nothing until Run.
func NewReplica(opts ReplicaOptions) *Replica {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	if opts.Relays == nil {
		opts.Relays = func() []string { return nil }
	}
	return &Replica{opts: opts, changed: make(chan struct{})}
}

// Current returns the latest catalog, or nil if there is none yet.
func (r *Replica) Current() *Catalog { return r.current.Load() }

// Endpoints returns the latest endpoint list. Its revision is 0 if there is none yet.
func (r *Replica) Endpoints() EndpointList {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints
}

// RegisterPeer registers the handler of PullMethod.
func (r *Replica) RegisterPeer(reg peer.Registrar) {
	reg.Handle(PullMethod, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var req PullRequest
		if err := peer.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		r.waitForChange(ctx, req)
		return r.buildReply(req, time.Now()), nil
	})
}

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.watchDocument(ctx) })
	wg.Go(func() { r.pollEndpoints(ctx) })
	wg.Go(func() { r.pullDuringOutage(ctx) })
	wg.Go(func() { r.pollRelays(ctx) })
	wg.Wait()
}

// watchDocument applies each new version of the declarations that the source returns.
func (r *Replica) watchDocument(ctx context.Context) {
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
		r.applyDocument(d, "store")
	}
}

// applyDocument replaces the catalog if d is not nil and newer. from names the store or
// the address of a peer in the log.
func (r *Replica) applyDocument(d *Document, from string) {
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

// pollEndpoints reads the endpoint list from the source while there is no relay.
func (r *Replica) pollEndpoints(ctx context.Context) {
	store := eventlog.NewDependency(r.opts.Log, "store", "endpoints")
	for r.waitWhileRelayed(ctx) {
		callCtx, cancel := context.WithTimeout(ctx, r.opts.Timing.ListTimeout)
		list, err := r.opts.Source.Endpoints(callCtx)
		cancel()
		store.Record(err)
		r.setSourceFailed(err != nil)
		if err != nil {
			wait.Sleep(ctx, r.opts.Timing.RetryDelay)
			continue
		}
		r.applyList(list, time.Now(), true)
		wait.Sleep(ctx, r.nextListDelay(time.Now()))
	}
}

// nextListDelay returns the delay before the next read. It is shortened to the end of
// RecoveryWindow, because endpoints that have left still receive requests until then.
func (r *Replica) nextListDelay(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if remaining := r.recoveredAt.Add(r.opts.Timing.RecoveryWindow).Sub(now); remaining > 0 {
		return min(remaining, r.opts.Timing.ListInterval)
	}
	return r.opts.Timing.ListInterval
}

// applyList replaces the endpoint list unless list is older than the current one. After
// an outage of the source, endpoints that list lacks are kept for RecoveryWindow.
// fromSource reports that the source, or a relay that reads it, has just returned list.
func (r *Replica) applyList(list EndpointList, now time.Time, fromSource bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fromSource {
		if !r.lastListAt.IsZero() && now.Sub(r.lastListAt) > r.opts.Timing.ListInterval+r.opts.Timing.ListTimeout {
			r.recoveredAt = now
		}
		r.lastListAt = now
	}
	if list.Revision < r.endpoints.Revision {
		return
	}
	if now.Sub(r.recoveredAt) < r.opts.Timing.RecoveryWindow {
		list.Endpoints = mergeMissing(list.Endpoints, r.endpoints.Endpoints)
	}
	digest := digestOf(list.Endpoints)
	if digest == r.digest {
		r.endpoints.Revision = list.Revision
		return
	}
	r.logListChanges(list)
	r.endpoints, r.digest = list, digest
	r.notifyWaiters()
	if r.opts.OnEndpoints != nil {
		r.opts.OnEndpoints(list)
	}
}

// mergeMissing returns listed with the endpoints of previous whose IDs it lacks.
func mergeMissing(listed, previous []Endpoint) []Endpoint {
	ids := make(map[string]bool, len(listed))
	for _, e := range listed {
		ids[e.ID] = true
	}
	for _, e := range previous {
		if !ids[e.ID] {
			listed = append(listed, e)
		}
	}
	return listed
}

// logListChanges logs the endpoints that list adds, changes or removes. r.mu must be held.
func (r *Replica) logListChanges(list EndpointList) {
	removed := make(map[string]Endpoint, len(r.endpoints.Endpoints))
	for _, e := range r.endpoints.Endpoints {
		removed[e.ID] = e
	}
	log := r.opts.Log.WithField("revision", list.Revision)
	for _, e := range list.Endpoints {
		old, known := removed[e.ID]
		delete(removed, e.ID)
		if !known || old != e {
			log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "address": e.Address,
				"draining": e.Draining}).Info("endpoint listed")
		}
	}
	for id := range removed {
		log.WithField("endpoint", id).Info("endpoint no longer listed")
	}
}

// pullDuringOutage pulls from random peers, one at a time, while the source returns no
// lists.
func (r *Replica) pullDuringOutage(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, r.opts.Timing.RetryDelay*2)
		r.mu.Lock()
		sinceLastList := time.Since(r.lastListAt)
		r.mu.Unlock()
		members := r.opts.Members()
		if sinceLastList < r.opts.Timing.PeerPullDelay || len(members) == 0 {
			continue
		}
		r.pullFromPeer(ctx, members[rand.IntN(len(members))])
	}
}

// pullFromPeer pulls from one peer and applies what is newer.
func (r *Replica) pullFromPeer(ctx context.Context, address string) {
	req := PullRequest{Revision: r.Endpoints().Revision}
	if c := r.Current(); c != nil {
		req.Version = c.Version
	}
	reply, err := r.callPull(ctx, address, req, r.opts.Timing.PullTimeout)
	if err != nil {
		if !failure.Is(err, failure.Unavailable) {
			r.opts.Log.WithError(err).WithField("peer", address).Debug("pull from peer failed")
		}
		return
	}
	r.applyDocument(reply.Document, address)
	if reply.Endpoints != nil {
		r.applyList(*reply.Endpoints, time.Now(), false)
	}
}
