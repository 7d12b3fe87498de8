package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/eventlog"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/suspension"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Source reads the declarations that operators publish and the registrations of
// endpoints. It is safe for concurrent use.
type Source interface {
	// Document returns the declarations if their version is later than after, and nil
	// otherwise. If wait is 0, it reads them at once; otherwise it waits until they have
	// changed since the previous call, for at most wait.
	Document(ctx context.Context, after uint64, wait time.Duration) (*Document, error)
	// Endpoints returns the current list. If wait is 0, it reads the list at once;
	// otherwise it waits until the list has changed since the previous call, for at most
	// wait.
	Endpoints(ctx context.Context, wait time.Duration) (EndpointList, error)
	// Recheck returns the list with the changes that were made before the call. It does not
	// wait, so that it finds changes that a silent call of Endpoints misses.
	Recheck(ctx context.Context) (EndpointList, error)
	// Probe makes a cheap call that fails if the source cannot be reached.
	Probe(ctx context.Context) error
	// Domains returns the failure domains out of use as of the latest call of Document, which
	// also returns when they change. The set is zero if the source does not track them.
	Domains() DomainSet
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
	// endpoints or the document change. If it is not 0, the reply has a delta in place of
	// the document, which is large.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// Digest is the digest of the caller's endpoints, or 0. The reply omits the endpoints
	// if theirs is the same.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Announced is the latest version that the caller knows to exist. The reply waits for
	// a later one.
	Announced uint64 `cbor:"5,keyasint,omitempty"`
	// Domains is the digest of the failure domains out of use that the caller knows, or 0. The
	// reply waits for others.
	Domains uint64 `cbor:"6,keyasint,omitempty"`
}

// PullReply carries only the content that is newer than the caller's.
type PullReply struct {
	Document  *Document     `cbor:"1,keyasint,omitempty"`
	Endpoints *EndpointList `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time since the replying instance last knew its list to be that of
	// the source, in milliseconds.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// SourceUnavailable is set if the replying instance cannot act as a relay: its latest
	// read of the source failed, or it follows a relay itself.
	SourceUnavailable bool `cbor:"4,keyasint,omitempty"`
	// Standby is set beside SourceUnavailable if no read of the replying instance has failed:
	// it follows a relay itself, and reads the source as soon as it loses that relay.
	Standby bool `cbor:"8,keyasint,omitempty"`
	// PassesVersions is set by releases whose relays announce new versions of the document.
	// A relay without it cannot be followed.
	PassesVersions bool `cbor:"10,keyasint,omitempty"`
	// Changes replaces Endpoints if the replying instance knows the list of the request's
	// digest.
	Changes *EndpointChanges `cbor:"9,keyasint,omitempty"`
	// Unchanged is set if the endpoints match the digest of the request.
	Unchanged bool `cbor:"5,keyasint,omitempty"`
	// Recovering is set if an outage of the source ended less than Timing.RecoveryWindow ago,
	// so that endpoints may be missing which run.
	Recovering bool `cbor:"11,keyasint,omitempty"`
	// Version is the version of the replying instance's document. Delta leads to it from
	// the caller's version; it is nil if that version is not known any more or the delta
	// is large.
	Version uint64         `cbor:"6,keyasint,omitempty"`
	Delta   *DocumentDelta `cbor:"7,keyasint,omitempty"`
	// PassesSoftwareVersions is set by releases that pass Endpoint.SoftwareVersion on. Lists
	// without it are not used.
	PassesSoftwareVersions bool `cbor:"12,keyasint,omitempty"`
	// Confirmed is the time from the arrival of the request to that of Replica.Confirmed. It
	// is negative if the list was confirmed before.
	Confirmed time.Duration `cbor:"13,keyasint,omitempty"`
	// Domains are the failure domains out of use; nil if the replying instance does not know
	// them.
	Domains *DomainSet `cbor:"14,keyasint,omitempty"`
	// PassesRegions is set by releases that pass Route.Regions and Workspace.Regions on.
	// Documents without them are not used.
	PassesRegions bool `cbor:"15,keyasint,omitempty"`
}

// Timing holds the timeouts and intervals of a Replica.
type Timing struct {
	// WatchTimeout bounds one wait for a change at the source. It is how long the loss of
	// an answer to a watch can stay undetected.
	WatchTimeout time.Duration
	// WatchDelay is the delay before the next watch after a change, so that changes
	// arrive in batches.
	WatchDelay time.Duration
	// ProbeInterval is the delay between two probes of the source, which detect its loss and
	// changes of the endpoint list that a silent watch misses. A lost source must be detected
	// well within the time in which a change must be in force. It is shorter than
	// MaxConfirmationGap.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one probe, and one read of the endpoint list that does not wait.
	ProbeTimeout time.Duration
	// PullTimeout bounds a pull from a peer, which may transfer a large document over a
	// slow link.
	PullTimeout time.Duration
	// RetryDelay is the delay after a failed read or probe.
	RetryDelay time.Duration
	// RelayPollTimeout is how long a relay may hold a poll open until something changes.
	// RelayReplyTimeout is the additional time for its reply. A relay that does not answer
	// is detected after the sum of both.
	RelayPollTimeout, RelayReplyTimeout time.Duration
	// RelayPollDelay is the minimum delay between two polls of a relay, so that changes
	// arrive in batches.
	RelayPollDelay time.Duration
	// RelayRetryDelay is how long a relay that failed is skipped.
	RelayRetryDelay time.Duration
	// RelaySearchDelay is the delay between two of the RelaySearches in which a replica
	// that has lost its relay waits for a standby to take over, before it reads the source
	// itself. Together they last as long as a standby needs to detect the loss.
	RelaySearchDelay time.Duration
	RelaySearches    int
	// RecoveryWindow is how long endpoints stay in use that are missing from the first list
	// after an outage of the source. Running endpoints register again within 2 s.
	RecoveryWindow time.Duration
	// RegistrationTTL is how long the registration of an endpoint outlives it. A registration
	// that the source has only because it returned from an older copy is gone after that.
	RegistrationTTL time.Duration
}

// DefaultTiming returns the timing that NewReplica uses if none is set.
func DefaultTiming() Timing {
	return Timing{
		WatchTimeout:      3 * time.Second,
		WatchDelay:        300 * time.Millisecond,
		ProbeInterval:     time.Second,
		ProbeTimeout:      500 * time.Millisecond,
		PullTimeout:       3 * time.Second,
		RetryDelay:        250 * time.Millisecond,
		RelayPollTimeout:  500 * time.Millisecond,
		RelayReplyTimeout: 300 * time.Millisecond,
		RelayPollDelay:    50 * time.Millisecond,
		RelayRetryDelay:   3 * time.Second,
		RelaySearchDelay:  100 * time.Millisecond,
		RelaySearches:     8,
		RecoveryWindow:    2 * time.Second,
		RegistrationTTL:   5 * time.Second,
	}
}

// ReplicaOptions configures a Replica. Relays, Timing, OnDocument, OnEndpoints and Suspended
// are optional.
type ReplicaOptions struct {
	Source Source
	// Peers calls other instances. Members returns the addresses of all other instances;
	// the replica reads from random ones of them while the source does not answer.
	Peers   peer.Caller
	Members func() []string
	// Relays returns the addresses of the instances that can read the source for this
	// one, in order of preference. If there are none, the replica reads the source itself.
	Relays func() []string
	Timing Timing
	// TracksDomains is set if the source has the failure domains out of use. An instance that
	// does not know them is not followed then.
	TracksDomains bool
	Log           logrus.FieldLogger
	// OnDocument and OnEndpoints are called after each change, one at a time and with
	// the replica's lock held: they must not call Endpoints. OnEndpoints gets the
	// endpoints in use.
	OnDocument  func(*Catalog)
	OnEndpoints func(EndpointList)
	// Suspended returns for how long the machine has been suspended since it started. It is
	// suspension.Total if it is nil.
	Suspended func() time.Duration
	// OnDomains is called like them when the failure domains out of use become known and
	// after each change. It is optional.
	OnDomains func(DomainSet)
}

// Replica holds this instance's copy of the declarations and endpoints. It is safe
// for concurrent use.
type Replica struct {
	opts    ReplicaOptions
	current atomic.Pointer[Catalog]
	source  *eventlog.Dependency
	wake    chan struct{} // makes probeSource probe at once
	fetch   chan string   // address of the relay that announced a version without a delta

	mu           sync.Mutex        // serializes changes
	listed       EndpointList      // latest list of the source
	digest       uint64            // of listed
	lapsed       lapsedEndpoints   // in use although listed lacks them
	departed     departedEndpoints // no longer in use; some may be listed again
	inUse        EndpointList      // listed and lapsed, without those that had departed
	domains      domainState
	lastListAt   time.Time // when listed was last known to be that of the source
	confirmed    confirmations
	sourceFailed bool                      // the latest probe or read of the source failed
	interrupted  bool                      // a probe or read has failed since lastListAt
	recoveredAt  time.Time                 // when the latest outage of the source ended
	changed      chan struct{}             // closed and replaced at each change of the content, of sourceFailed or of the relay
	session      *readingSession           // the current session; nil while a relay is followed or the source fails
	relay        string                    // address of the relay that is followed, or ""
	announced    uint64                    // latest version that a relay has
	polledAt     time.Time                 // when a follower last polled this instance
	lists        []formerList              // former endpoint lists, oldest first, from which changes start
	history      []*Document               // former documents, oldest first, from which deltas start
	deltas       map[uint64]*DocumentDelta // to the current document, by base version; nil values are too large
}

// readingSession is a time in which the replica reads the source itself and the source
// answers. ctx ends with it.
type readingSession struct {
	ctx    context.Context
	cancel context.CancelFunc
	listed bool // the endpoint list has been read in this session
}

// NewReplica returns an empty replica. It reads nothing until Run.
func NewReplica(opts ReplicaOptions) *Replica {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	if opts.Relays == nil {
		opts.Relays = func() []string { return nil }
	}
	if opts.Suspended == nil {
		opts.Suspended = suspension.Total
	}
	return &Replica{opts: opts, changed: make(chan struct{}), wake: make(chan struct{}, 1), fetch: make(chan string, 1),
		source: eventlog.NewDependency(opts.Log, "store", "catalog")}
}

// Current returns the latest catalog, or nil if there is none yet.
func (r *Replica) Current() *Catalog { return r.current.Load() }

// Endpoints returns the endpoints in use. The revision is that of the latest list of the
// source, or 0 if there is none yet.
func (r *Replica) Endpoints() EndpointList {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse
}

// RegisterPeer registers the handler of PullMethod.
func (r *Replica) RegisterPeer(reg peer.Registrar) {
	reg.Handle(PullMethod, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var req PullRequest
		if err := peer.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		arrival := time.Now()
		r.waitForChange(ctx, req)
		return r.buildReply(req, arrival, time.Now()), nil
	})
}

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.probeSource, r.watchDocument, r.watchEndpoints, r.readThroughPeers, r.pollRelays, r.fetchAnnounced} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// watchDocument applies each new version of the declarations that the source returns.
func (r *Replica) watchDocument(ctx context.Context) {
	for s := r.awaitSession(ctx); s != nil; s = r.awaitSession(ctx) {
		for timeout := time.Duration(0); s.ctx.Err() == nil; timeout = r.opts.Timing.WatchTimeout {
			d, err := r.opts.Source.Document(s.ctx, r.version(), timeout)
			if err != nil {
				r.failSession(ctx, s, err)
				break
			}
			r.applyDomains(r.opts.Source.Domains(), "store", 0, true)
			r.applyDocument(d, "store")
			if r.Current() == nil {
				wait.Sleep(s.ctx, r.opts.Timing.RetryDelay)
			}
		}
	}
}

// version returns the version of the current document, or 0 if there is none.
func (r *Replica) version() uint64 {
	if c := r.Current(); c != nil {
		return c.Version
	}
	return 0
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
	r.rememberForDeltas(old, time.Now())
	r.current.Store(c)
	r.notifyWaiters()
	r.opts.Log.WithFields(logrus.Fields{"version": d.Version, "from": from, "routes": len(d.Routes),
		"workspaces": len(d.Workspaces)}).Info("declarations in force")
	if r.opts.OnDocument != nil {
		r.opts.OnDocument(c)
	}
}

// watchEndpoints applies each new endpoint list that the source returns.
func (r *Replica) watchEndpoints(ctx context.Context) {
	for s := r.awaitSession(ctx); s != nil; s = r.awaitSession(ctx) {
		for s.ctx.Err() == nil {
			start := r.now()
			list, err := r.readEndpoints(s)
			if err != nil {
				r.failSession(ctx, s, err)
				break
			}
			changed := r.applyList(list, time.Now(), fromSource)
			r.confirm(start)
			if changed {
				wait.Sleep(s.ctx, r.opts.Timing.WatchDelay)
			}
		}
	}
}

// readEndpoints reads the list at once if it is the first one of the session, and waits
// for a change otherwise.
func (r *Replica) readEndpoints(s *readingSession) (EndpointList, error) {
	if r.isListed(s) {
		return r.opts.Source.Endpoints(s.ctx, r.opts.Timing.WatchTimeout)
	}
	ctx, cancel := context.WithTimeout(s.ctx, r.opts.Timing.ProbeTimeout)
	defer cancel()
	list, err := r.opts.Source.Endpoints(ctx, 0)
	if err == nil {
		r.setListed(s)
	}
	return list, err
}

// maxListGap is the longest time between two lists, or probes in their place, without an
// outage of the source.
func (t Timing) maxListGap() time.Duration { return t.ProbeInterval + t.ProbeTimeout }

// origin says how a list was obtained.
type origin int

const (
	// secondHand lists come from instances that do not read the source.
	secondHand origin = iota
	// fromReader lists come from an instance that reads the source, and without a recent
	// outage: an endpoint that is missing has left.
	fromReader
	// fromSource lists come from the source, or from an instance that reads it since a
	// recent outage.
	fromSource
)

// applyList replaces the endpoint list unless list is older than the current one, and
// reports whether it differs.
func (r *Replica) applyList(list EndpointList, now time.Time, from origin) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	afterOutage := from != secondHand && r.recordCurrentList(now) && from == fromSource
	if afterOutage {
		r.recoveredAt = now
	}
	if list.Revision < r.listed.Revision {
		return false
	}
	if r.listed.Revision > 0 && kvstore.EraOf(list.Revision) > kvstore.EraOf(r.listed.Revision) {
		// Registrations since the copy are missing until they are written again, and those
		// that were removed since are listed.
		if afterOutage = from != secondHand; afterOutage {
			r.recoveredAt = now
		}
		r.hideDeparted(list, now)
	}
	if afterOutage {
		r.keepLapsed(list, now)
	}
	digest := digestOf(list.Endpoints)
	if digest != r.digest {
		changed = true
		r.rememberList(now)
		r.digest = digest
		r.notifyWaiters()
	}
	r.listed = list
	r.updateInUse()
	return changed
}

// recordCurrentList records that the list was that of the source at time now. It reports
// whether that ends a time in which this instance did not know it. r.mu must be held.
func (r *Replica) recordCurrentList(now time.Time) (afterOutage bool) {
	afterOutage = r.interrupted && !r.lastListAt.IsZero() && now.Sub(r.lastListAt) > r.opts.Timing.maxListGap()
	r.lastListAt, r.interrupted = now, false
	return afterOutage
}

// updateInUse brings the endpoints in use up to date and reports a change. r.mu must be
// held.
func (r *Replica) updateInUse() {
	previous := r.inUse
	r.inUse = EndpointList{Revision: r.listed.Revision, Endpoints: r.departed.removeHidden(r.lapsed.addTo(r.listed.Endpoints))}
	if !r.logListChanges(previous, r.inUse) {
		return
	}
	r.departed.record(previous.Endpoints, r.inUse.Endpoints, time.Now())
	if r.opts.OnEndpoints != nil {
		r.opts.OnEndpoints(r.inUse)
	}
}

// logListChanges logs the endpoints that list adds to, changes in, or removes from
// previous, and reports whether there are any.
func (r *Replica) logListChanges(previous, list EndpointList) (changed bool) {
	removed := make(map[string]Endpoint, len(previous.Endpoints))
	for _, e := range previous.Endpoints {
		removed[e.ID] = e
	}
	log := r.opts.Log.WithField("revision", list.Revision)
	for _, e := range list.Endpoints {
		old, known := removed[e.ID]
		delete(removed, e.ID)
		if !known || old != e {
			changed = true
			log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "address": e.Address,
				"draining": e.Draining, "cold_ms": e.Cold.Length.Milliseconds()}).Info("endpoint listed")
		}
	}
	for id := range removed {
		log.WithField("endpoint", id).Info("endpoint no longer listed")
	}
	return changed || len(removed) > 0
}
