package config

import (
	"context"
	"io"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Defaults of ReplicaOptions.
const (
	// DefaultCallTimeout limits one read or write of the store. The store normally
	// answers in milliseconds, and its slow periods last longer than any useful
	// timeout.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchTimeout limits one watch. It is longer than the store normally
	// holds a watch open, so it only ends watches of a store that does not answer.
	DefaultWatchTimeout = 30 * time.Second
	// DefaultMinRetryDelay and DefaultMaxRetryDelay limit the backoff after a
	// failed watch, so that an instance that missed a change converges within 5 s.
	DefaultMinRetryDelay = 100 * time.Millisecond
	DefaultMaxRetryDelay = 4 * time.Second
	// DefaultFetchTimeout limits a call of config.fetch. Heartbeats are sent every
	// second, so the next heartbeat starts another attempt.
	DefaultFetchTimeout = time.Second
)

const (
	// maxRepublishDelay is the upper bound of the random delay before republishing.
	// The delay lets one instance write first and the others read its result.
	maxRepublishDelay = time.Second
	// rewatchDelay is the mean delay after a watch that ended without a change. It
	// limits the rate of watches that a store ends early.
	rewatchDelay = 100 * time.Millisecond
)

// ReplicaOptions holds the settings of a Replica. Zero values mean the defaults.
type ReplicaOptions struct {
	// Peers sends config.fetch calls. If it is nil, the replica follows the store
	// only.
	Peers         peer.Caller
	CallTimeout   time.Duration
	WatchTimeout  time.Duration
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	FetchTimeout  time.Duration
	// Log receives the log entries; nil discards them.
	Log logrus.FieldLogger
}

func (o ReplicaOptions) withDefaults() ReplicaOptions {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.CallTimeout, DefaultCallTimeout}, {&o.WatchTimeout, DefaultWatchTimeout},
		{&o.MinRetryDelay, DefaultMinRetryDelay}, {&o.MaxRetryDelay, DefaultMaxRetryDelay}, {&o.FetchTimeout, DefaultFetchTimeout},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	if o.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		o.Log = discard
	}
	return o
}

// Replica holds the current configuration of one instance. It follows the store
// and the peers and never returns to a lower generation. It is safe for concurrent
// use.
type Replica struct {
	store   kvstore.Store
	opts    ReplicaOptions
	metrics replicaMetrics
	current atomic.Pointer[Document]
	// lastRefused is the generation that was last refused, plus 1. It keeps
	// repeated refusals of one generation out of the log.
	lastRefused atomic.Uint64
	// storedDocumentErr is the error of decoding the value last read by the watch, or
	// nil.
	storedDocumentErr atomic.Pointer[failure.Error]

	mu          sync.Mutex // held while a document is adopted, so that subscribers see increasing generations
	subscribers []func(*Document)

	announcedMu sync.Mutex
	announced   announcement // latest announcement of a newer generation
	fetchSignal chan struct{}
}

// announcement is the generation that the peer at address has.
type announcement struct {
	generation uint64
	address    string
}

// NewReplica returns a replica without a document. reg may be nil.
func NewReplica(store kvstore.Store, opts ReplicaOptions, reg prometheus.Registerer) *Replica {
	return &Replica{store: store, opts: opts.withDefaults(), metrics: newReplicaMetrics(reg), fetchSignal: make(chan struct{}, 1)}
}

// Current returns the current document, or nil if there is none yet. The caller
// must not modify it.
func (r *Replica) Current() *Document { return r.current.Load() }

// Generation returns the generation of the current document, or 0 if there is
// none yet.
func (r *Replica) Generation() uint64 {
	if d := r.current.Load(); d != nil {
		return d.Generation
	}
	return 0
}

// StoredDocumentError returns why the document last read from the store cannot be
// used, or nil if it can.
func (r *Replica) StoredDocumentError() error {
	if f := r.storedDocumentErr.Load(); f != nil {
		return f
	}
	return nil
}

// Subscribe registers f for every later document and immediately calls it with the
// current document, if there is one. Calls are made one at a time and in increasing
// order of generations. f must return quickly and must not call Subscribe, Offer or
// Change.
func (r *Replica) Subscribe(f func(*Document)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	if d := r.current.Load(); d != nil {
		f(d)
	}
}

// Offer adopts a document from a peer as the current one if it is valid and has a
// higher generation. It reports whether the document was adopted.
func (r *Replica) Offer(d *Document) bool { return r.adopt(d, sourcePeer) }

func (r *Replica) adopt(d *Document, source string) bool {
	if d == nil || d.Generation <= r.Generation() {
		return false
	}
	if err := r.checkSuccessor(d); err != nil {
		r.recordRefusal(source, d.Generation, err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Generation <= r.Generation() {
		return false
	}
	r.current.Store(d)
	r.metrics.generation.Set(float64(d.Generation))
	r.metrics.adopted.WithLabelValues(source).Inc()
	r.opts.Log.WithFields(logrus.Fields{"generation": d.Generation, "source": source}).Info("configuration in force")
	for _, f := range r.subscribers {
		f(d)
	}
	return true
}

// recordRefusal counts a refusal and logs the first one of a generation.
// Generation 0 stands for a value that cannot be decoded.
func (r *Replica) recordRefusal(source string, generation uint64, err error) {
	r.metrics.refused.WithLabelValues(source).Inc()
	if r.lastRefused.Swap(generation+1) != generation+1 {
		r.opts.Log.WithError(err).WithFields(logrus.Fields{"generation": generation, "source": source}).Warn("configuration refused")
	}
}

// checkSuccessor returns why d must not replace the current document, or nil. It
// does not compare the generations.
func (r *Replica) checkSuccessor(d *Document) error {
	if err := checkFormat(d.Format); err != nil {
		return err
	}
	if err := Validate(d); err != nil {
		return err
	}
	if current := r.Current(); current != nil && current.Shards != d.Shards {
		return shardCountError(current.Shards, d.Shards)
	}
	return nil
}

// Run follows the store and the announcements of peers until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.fetchLoop(ctx) })
	r.watchLoop(ctx)
	loops.Wait()
}

func (r *Replica) watchLoop(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = r.opts.MinRetryDelay, r.opts.MaxRetryDelay
	var after uint64
	failing := false
	for ctx.Err() == nil {
		rec, err := r.watch(ctx, after)
		if err != nil {
			r.metrics.watchFailures.Inc()
			if !failing && ctx.Err() == nil {
				r.opts.Log.WithError(err).Warn("configuration watch failed; peers are followed meanwhile")
			}
			failing = true
			wait.Sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		if failing {
			r.opts.Log.Info("configuration watch recovered")
		}
		failing = false
		retryDelay.Reset()
		unchanged := rec.Version == after
		after = rec.Version
		r.observe(ctx, rec)
		if unchanged {
			wait.Sleep(ctx, withJitter(rewatchDelay))
		}
	}
}

func (r *Replica) watch(ctx context.Context, after uint64) (kvstore.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.WatchTimeout)
	defer cancel()
	return r.store.Watch(ctx, StoreKey, after)
}

// observe adopts the stored document if it is newer than the current one, and
// republishes the current one if the stored document is older.
func (r *Replica) observe(ctx context.Context, rec kvstore.Record) {
	stored, err := decodeRecord(rec)
	r.storedDocumentErr.Store(failure.From(err))
	if err != nil {
		r.recordRefusal(sourceStore, 0, err)
		return
	}
	current := r.Current()
	switch {
	case current == nil && stored == nil:
	case current == nil || (stored != nil && stored.Generation > current.Generation):
		r.adopt(stored, sourceStore)
	case stored == nil || stored.Generation < current.Generation:
		r.republish(ctx)
	case !reflect.DeepEqual(stored, current.Clone()):
		r.metrics.diverged.Inc()
	}
}

// decodeRecord returns the document of a record, or nil if the record is absent.
func decodeRecord(rec kvstore.Record) (*Document, error) {
	if rec.Version == 0 {
		return nil, nil
	}
	return Decode(rec.Value)
}

// republish replaces an older stored document by the current one. The swap expects
// the version that was read, so one instance succeeds and the others read its
// result.
func (r *Replica) republish(ctx context.Context) {
	wait.Sleep(ctx, rand.N(maxRepublishDelay))
	rec, err := r.get(ctx)
	if err != nil {
		return // the watch loop detects the older document again
	}
	stored, err := decodeRecord(rec)
	current := r.Current()
	if err != nil || (stored != nil && stored.Generation >= current.Generation) {
		return
	}
	data, err := Encode(current)
	if err != nil {
		return
	}
	if _, err := r.swap(ctx, rec.Version, data); err != nil {
		return
	}
	r.metrics.republished.Inc()
	r.opts.Log.WithField("generation", current.Generation).Warn("replaced an older configuration in the store")
}

func (r *Replica) get(ctx context.Context) (kvstore.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	return r.store.Get(ctx, StoreKey)
}

func (r *Replica) swap(ctx context.Context, expect uint64, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	return r.store.CompareAndSwap(ctx, StoreKey, expect, data)
}

// withJitter returns a random duration from d/2 to 3d/2.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func shardCountError(current, wanted int) error {
	return failure.New(failure.Invalid, "keep the number of shards; a new number needs a new deployment",
		"shards is %d and cannot change to %d", current, wanted)
}
