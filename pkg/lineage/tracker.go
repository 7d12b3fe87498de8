package lineage

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/eventlog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Origin is what began a stream.
type Origin struct{ Service, Version string }

// Store is the part of the store that a Tracker uses.
type Store interface {
	kvstore.Transactor
	kvstore.RangeReader
}

// Options configures a Tracker. All fields up to Rank and Log are required.
type Options struct {
	// Incarnation is the name of this incarnation of the instance. It is part of a key.
	Incarnation string
	Store       Store
	// StoreEra returns the latest known era of the store; see kvstore.EraOf.
	StoreEra func() uint64
	// ListConfirmed is catalog.Replica.Confirmed, and RecheckList is catalog.Replica.Recheck.
	ListConfirmed func() (latest, since time.Time)
	RecheckList   func(ctx context.Context) error
	// Rank returns the rank of this instance among those that keep the durable record: 0 for
	// the first one. Instances may share a rank.
	Rank func() int
	// Peers calls other instances. Collectors returns the addresses of the instances that
	// write origins to the store for this one, in order of preference, and whether this
	// instance is one of them. Without Collectors it writes its own.
	Peers      peer.Caller
	Collectors func() (addresses []string, self bool)
	Timing     Timing // the zero value means DefaultTiming
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Timing holds the timeouts and intervals of a Tracker.
type Timing struct {
	// Retention is how long the origin of a stream is remembered, and how long a version that
	// is no longer listed remains possible. It exceeds the time from the first event of a
	// stream until its last continuation begins.
	Retention time.Duration
	// MaxListAge is the age of the list of endpoints up to which it names all versions that
	// may have begun a stream. It is lower than the time for which package placement sends no
	// new streams to a version that has just been listed.
	MaxListAge time.Duration
	// FlushInterval is the minimum delay between two writes of the origins.
	FlushInterval time.Duration
	// FlushMargin is how much longer it may take until the store has an origin: the time of
	// the write, and of the transfer to the instance that writes it.
	FlushMargin time.Duration
	// CallTimeout bounds a call of the store, ReadTimeout a read of all origins.
	CallTimeout, ReadTimeout time.Duration
	// ReadDelay is the minimum delay between two reads of the origins.
	ReadDelay time.Duration
	// RankDelay is the delay between two instances that try to change the durable record. The
	// sum over all ranks is lower than MaxListAge.
	RankDelay time.Duration
	// RetryDelay is the delay after a failed call of the store.
	RetryDelay time.Duration
	// IdleInterval is the delay between two checks of the versions without an event.
	IdleInterval time.Duration
}

// DefaultTiming returns the timing that New uses if none is set.
func DefaultTiming() Timing {
	return Timing{
		Retention:     30 * time.Second,
		MaxListAge:    catalog.MaxConfirmationGap,
		FlushInterval: 100 * time.Millisecond,
		FlushMargin:   600 * time.Millisecond,
		CallTimeout:   500 * time.Millisecond,
		ReadTimeout:   time.Second,
		ReadDelay:     100 * time.Millisecond,
		RankDelay:     100 * time.Millisecond,
		RetryDelay:    500 * time.Millisecond,
		IdleInterval:  time.Second,
	}
}

// Tracker knows the origins of streams. It is safe for concurrent use.
type Tracker struct {
	opts    Options
	metrics *metrics
	health  *eventlog.Dependency
	wake    chan struct{} // makes Run check the versions at once
	reads   *sharedCall   // of readOrigins
	// rechecks are those of the list of endpoints.
	rechecks *sharedCall

	transfers sync.WaitGroup // of origins to collectors

	mu       sync.Mutex
	streams  map[streamID][]recordedOrigin // recorded here
	stored   map[streamID][]Origin         // of all instances, as of the latest read
	storedAt time.Time
	services map[string]map[string]*versionState
	record   recordState
	unsaved  bool // origins were recorded since the latest write or transfer began
	// collectUntil is until when this instance writes origins because another one has handed
	// some over.
	collectUntil time.Time
	write        *storeCall // the next write; nil if nobody waits for one
	failures     int        // reads that have failed in a row
	failedAt     time.Time  // the latest one of them
}

// streamID is a 64-bit hash of the ID of a stream.
type streamID uint64

func idOf(stream string) streamID {
	sum := sha256.Sum256([]byte(stream))
	return streamID(binary.BigEndian.Uint64(sum[:]))
}

// recordedOrigin is an origin that was recorded here.
type recordedOrigin struct {
	Origin
	at time.Time // when it was recorded last
	// handed is the publisher.generation in which a collector got the origin, or 0.
	handed uint64
}

// New returns a tracker. It uses the store only while Run runs.
func New(opts Options) *Tracker {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	t := &Tracker{
		opts: opts, metrics: newMetrics(opts.Registerer), health: eventlog.NewDependency(opts.Log, "store", "origins of streams"),
		wake:    make(chan struct{}, 1),
		streams: map[streamID][]recordedOrigin{}, services: map[string]map[string]*versionState{},
	}
	t.reads, t.rechecks = newSharedCall(opts.Timing.ReadDelay, t.readOrigins), newSharedCall(opts.Timing.ReadDelay, t.recheckList)
	return t
}

// Record records that an endpoint of the given service and software version sends events of
// a stream. stream is the ID of the caller's attempt that brought its first event; without
// one, the stream cannot be taken up again and nothing is recorded. It must be called before
// the caller gets an event.
func (t *Tracker) Record(stream string, origin Origin, now time.Time) {
	if stream == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remember(idOf(stream), origin, now)
}

// remember records an origin. t.mu must be held.
func (t *Tracker) remember(id streamID, origin Origin, now time.Time) {
	t.version(origin).usedAt = now
	origins := t.streams[id]
	if i := slices.IndexFunc(origins, func(o recordedOrigin) bool { return o.Origin == origin }); i >= 0 {
		origins[i].at = now
		return
	}
	t.streams[id] = append(origins, recordedOrigin{Origin: origin, at: now})
	t.unsaved = true
}

// Resolve returns the endpoints at which a stream may go on: the latest recorded origin of
// the stream whose service is one of services. The zero Origin means that endpoints of all
// versions may continue it: the stream went to other services only, or each of several
// services has no more than one version. If the origin is not known for certain, Resolve
// returns an error of kind failure.NoEndpoint with the outcome failure.NotRun. It may read
// the store twice and wait for origins that are being written, for little more than a second
// while the store answers.
func (t *Tracker) Resolve(ctx context.Context, stream string, services []string) (Origin, *failure.Error) {
	arrival := time.Now()
	origin, result := t.resolveFromMemory(stream, services, arrival)
	if result == unconfirmed {
		// A stream begins after its version was listed, so that a list as of the arrival has it.
		_ = t.rechecks.do(ctx) // without a list the store decides
		origin, result = t.resolveFromMemory(stream, services, arrival)
	}
	if result == unconfirmed || result == unknown && stream != "" {
		origin, result = t.resolveFromStore(ctx, stream, services, arrival)
	}
	if result == unconfirmed {
		result = unknown
	}
	t.metrics.resolutions.WithLabelValues(string(result)).Inc()
	switch result {
	case unknown:
		return Origin{}, refusal("no instance knows which software version began the stream")
	case unreachable:
		return Origin{}, refusal("the store cannot be read, and this instance does not know which software version began the stream")
	}
	return origin, nil
}

func refusal(reason string) *failure.Error {
	return failure.New(failure.NoEndpoint, "take the stream up later or at another instance, or begin it anew", "%s", reason).WithOutcome(failure.NotRun)
}

// resolution says how the origin of a stream became known, or why it did not.
type resolution string

const (
	knownHere     resolution = "known_here"
	knownStore    resolution = "known_store"
	singleVersion resolution = "single_version"
	unknown       resolution = "unknown"
	unreachable   resolution = "unreachable"
	// unconfirmed means that there was one version when the list was last read, which was
	// before the stream was taken up.
	unconfirmed resolution = "unconfirmed"
)

// resolveFromStore reads the store, and reads it once more after an instance that has just
// begun the stream must have written its origin.
func (t *Tracker) resolveFromStore(ctx context.Context, stream string, services []string, arrival time.Time) (Origin, resolution) {
	timing := t.opts.Timing
	flushed := arrival.Add(timing.FlushInterval + timing.FlushMargin)
	ctx, cancel := context.WithDeadline(ctx, flushed.Add(timing.ReadDelay+2*timing.ReadTimeout))
	defer cancel()
	if t.isUnreachable(arrival) {
		return Origin{}, unreachable
	}
	err := t.reads.do(ctx)
	switch origin, result := t.resolveFromMemory(stream, services, arrival); {
	case result == unknown || result == unconfirmed:
	case result == singleVersion && t.listIsOlderThan(arrival):
		// Without another endpoint that accepts work, streams begin at a version before the record
		// has it. Their origins are written by the time of the next read.
	default:
		return origin, result
	}
	if err != nil && t.isUnreachable(time.Now()) {
		return Origin{}, unreachable
	}
	wait.Sleep(ctx, time.Until(flushed))
	err = t.reads.do(ctx)
	origin, result := t.resolveFromMemory(stream, services, arrival)
	if (result == unknown || result == unconfirmed) && err != nil {
		result = unreachable
	}
	return origin, result
}

// listIsOlderThan reports whether the list of endpoints was last confirmed before a time.
func (t *Tracker) listIsOlderThan(at time.Time) bool {
	latest, _ := t.opts.ListConfirmed()
	return latest.Before(at)
}

// isUnreachable reports whether the store is known to be out of reach: reads have just failed,
// and the list of endpoints is old or several reads failed.
func (t *Tracker) isUnreachable(now time.Time) bool {
	latest, _ := t.opts.ListConfirmed()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures > 0 && now.Sub(t.failedAt) < t.opts.Timing.RetryDelay && (t.failures > 1 || now.Sub(latest) > t.opts.Timing.MaxListAge)
}

// resolveFromMemory resolves a stream without calls of the store. arrival is the time from
// which a read of the durable record says for certain which versions are possible.
func (t *Tracker) resolveFromMemory(stream string, services []string, arrival time.Time) (Origin, resolution) {
	latest, since := t.opts.ListConfirmed()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if stream != "" {
		if origin, result := t.recordedOrigin(idOf(stream), services); result != unknown {
			return origin, result
		}
	}
	k := t.knowledge(latest, since, now)
	isCurrent := k.certain && !latest.Before(arrival)
	isRecorded := t.record.isCertainAt(arrival)
	if !k.certain && !isRecorded {
		return Origin{}, unknown
	}
	if !isCurrent && isRecorded {
		k = knowledge{} // the record counts, and not the list
	}
	var only []Origin
	for _, service := range services {
		versions := t.possible(service, k, now)
		if len(versions) > 1 {
			return Origin{}, unknown
		}
		for _, version := range versions {
			only = append(only, Origin{service, version})
		}
	}
	switch {
	case len(only) == 0:
		return Origin{}, unknown
	case !isCurrent && !isRecorded:
		return Origin{}, unconfirmed
	case len(only) == 1:
		return only[0], singleVersion
	}
	return Origin{}, singleVersion
}

// recordedOrigin returns the latest origin of a stream in one of services, or the zero Origin
// if it has origins only in others. t.mu must be held.
func (t *Tracker) recordedOrigin(id streamID, services []string) (Origin, resolution) {
	var latest recordedOrigin
	result := unknown
	for _, o := range t.streams[id] {
		if result == unknown || o.at.After(latest.at) {
			if slices.Contains(services, o.Service) {
				latest, result = o, knownHere
			}
		}
	}
	if result != unknown {
		return latest.Origin, result
	}
	for _, o := range t.stored[id] {
		if slices.Contains(services, o.Service) {
			return o, knownStore
		}
	}
	switch {
	case len(t.streams[id]) > 0:
		return Origin{}, knownHere
	case len(t.stored[id]) > 0:
		return Origin{}, knownStore
	}
	return Origin{}, unknown
}
