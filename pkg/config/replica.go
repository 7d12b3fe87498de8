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
	// DefaultCallTimeout bounds one read or write of the store. The store
	// answers in milliseconds; slow periods last longer than any useful wait.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchTimeout bounds one watch. It exceeds the usual wait of the
	// store, so that it only ends watches of a silent store.
	DefaultWatchTimeout = 30 * time.Second
	// DefaultMinRetryDelay and DefaultRetryMax bound the pause after a failed watch.
	// An instance that missed a change converges within 5 s.
	DefaultMinRetryDelay = 100 * time.Millisecond
	DefaultMaxRetryDelay = 4 * time.Second
	// DefaultFetchTimeout bounds a call of config.fetch. Heartbeats repeat each
	// second, so the next one starts another attempt.
	DefaultFetchTimeout = time.Second
)

const (
	// republishSpread spreads republishing over time, so that the first
	// instance writes and the others find its result.
	republishSpread = time.Second
	// rewatchPause limits the rate of watches that a store ends without a change.
	rewatchPause = 100 * time.Millisecond
)

// ReplicaOptions are the settings of a Replica. Zero values mean the defaults.
type ReplicaOptions struct {
	// Peers carries config.fetch. Without it the replica follows the store only.
	Peers         peer.Caller
	CallTimeout   time.Duration
	WatchTimeout  time.Duration
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	FetchTimeout  time.Duration
	Log           logrus.FieldLogger
}

func (o ReplicaOptions) withDefaults() ReplicaOptions {
	for _, d := range []struct {
		value *time.Duration
		other time.Duration
	}{
		{&o.CallTimeout, DefaultCallTimeout}, {&o.WatchTimeout, DefaultWatchTimeout},
		{&o.MinRetryDelay, DefaultMinRetryDelay}, {&o.MaxRetryDelay, DefaultMaxRetryDelay}, {&o.FetchTimeout, DefaultFetchTimeout},
	} {
		if *d.value <= 0 {
			*d.value = d.other
		}
	}
	if o.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		o.Log = silent
	}
	return o
}

// Replica is the configuration of one instance. It follows the store and its
// peers and never goes back to a lower generation. It is safe for concurrent use.
type Replica struct {
	store   kvstore.Store
	opts    ReplicaOptions
	metrics replicaMetrics
	current atomic.Pointer[Document]
	// lastRefused is the generation refused last, plus 1; it limits the log.
	lastRefused atomic.Uint64
	// fault is why the value of the store was refused last, or nil.
	fault atomic.Pointer[failure.Error]

	mu          sync.Mutex // guards adoption, so that subscribers see rising generations
	subscribers []func(*Document)

	heardMu sync.Mutex
	heard   announcement // latest announcement of a newer generation
	wake    chan struct{}
}

type announcement struct {
	generation uint64
	address    string
}

// NewReplica returns a replica without a document. reg may be nil.
func NewReplica(store kvstore.Store, opts ReplicaOptions, reg prometheus.Registerer) *Replica {
	return &Replica{store: store, opts: opts.withDefaults(), metrics: newReplicaMetrics(reg), wake: make(chan struct{}, 1)}
}

// Current returns the document in force, or nil when there is none yet. The
// caller must not modify it.
func (r *Replica) Current() *Document { return r.current.Load() }

// Generation returns the generation in force, or 0.
func (r *Replica) Generation() uint64 {
	if d := r.current.Load(); d != nil {
		return d.Generation
	}
	return 0
}

// StoredValueError returns why the value in the store cannot be used, or nil.
func (r *Replica) StoredValueError() error {
	if f := r.fault.Load(); f != nil {
		return f
	}
	return nil
}

// Subscribe registers f for every later document and calls it at once if one is
// in force. Calls are made one at a time and in rising order of generations. f
// must return quickly and must not call Subscribe, Offer or Change.
func (r *Replica) Subscribe(f func(*Document)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	if d := r.current.Load(); d != nil {
		f(d)
	}
}

// Offer puts a document from a peer in force if it is valid and its generation
// is higher than the current one. It reports whether it did.
func (r *Replica) Offer(d *Document) bool { return r.adopt(d, sourcePeer) }

func (r *Replica) adopt(d *Document, source string) bool {
	if d == nil || d.Generation <= r.Generation() {
		return false
	}
	if err := r.acceptable(d); err != nil {
		r.refused(source, d.Generation, err)
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

// refused counts a refusal and logs the first one of a generation; generation 0
// stands for a value that cannot be decoded.
func (r *Replica) refused(source string, generation uint64, err error) {
	r.metrics.refused.WithLabelValues(source).Inc()
	if r.lastRefused.Swap(generation+1) != generation+1 {
		r.opts.Log.WithError(err).WithFields(logrus.Fields{"generation": generation, "source": source}).Warn("configuration refused")
	}
}

func (r *Replica) acceptable(d *Document) error {
	if err := checkFormat(d.Format); err != nil {
		return err
	}
	if err := Validate(d); err != nil {
		return err
	}
	if now := r.Current(); now != nil && now.Shards != d.Shards {
		return shardsFixed(now.Shards, d.Shards)
	}
	return nil
}

// Run follows the store and the announcements of peers until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { r.fetchLoop(ctx) })
	r.watchLoop(ctx)
	done.Wait()
}

func (r *Replica) watchLoop(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = r.opts.MinRetryDelay, r.opts.MaxRetryDelay
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
			wait.Sleep(ctx, pause.NextBackOff())
			continue
		}
		if failing {
			r.opts.Log.Info("configuration watch works again")
		}
		failing = false
		pause.Reset()
		unchanged := rec.Version == after
		after = rec.Version
		r.observe(ctx, rec)
		if unchanged {
			wait.Sleep(ctx, jittered(rewatchPause))
		}
	}
}

func (r *Replica) watch(ctx context.Context, after uint64) (kvstore.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.WatchTimeout)
	defer cancel()
	return r.store.Watch(ctx, StoreKey, after)
}

// observe adopts a newer document of the store, and republishes the one in
// force if the store shows an older one.
func (r *Replica) observe(ctx context.Context, rec kvstore.Record) {
	stored, err := decodeRecord(rec)
	r.fault.Store(failure.From(err))
	if err != nil {
		r.refused(sourceStore, 0, err)
		return
	}
	now := r.Current()
	switch {
	case now == nil && stored == nil:
	case now == nil || (stored != nil && stored.Generation > now.Generation):
		r.adopt(stored, sourceStore)
	case stored == nil || stored.Generation < now.Generation:
		r.republish(ctx)
	case !reflect.DeepEqual(stored, now.Clone()):
		r.metrics.diverged.Inc()
	}
}

// decodeRecord returns nil for an absent record.
func decodeRecord(rec kvstore.Record) (*Document, error) {
	if rec.Version == 0 {
		return nil, nil
	}
	return Decode(rec.Value)
}

// republish writes the document in force over an older one. The swap is guarded
// by the version read, so one instance wins and the others read its result.
func (r *Replica) republish(ctx context.Context) {
	wait.Sleep(ctx, rand.N(republishSpread))
	rec, err := r.get(ctx)
	if err != nil {
		return // the watch loop notices the older value again
	}
	stored, err := decodeRecord(rec)
	now := r.Current()
	if err != nil || (stored != nil && stored.Generation >= now.Generation) {
		return
	}
	data, err := Encode(now)
	if err != nil {
		return
	}
	if _, err := r.swap(ctx, rec.Version, data); err != nil {
		return
	}
	r.metrics.republished.Inc()
	r.opts.Log.WithField("generation", now.Generation).Warn("the store showed an older configuration; republished")
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

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func shardsFixed(now, wanted int) error {
	return failure.New(failure.Invalid, "keep the number of shards; a new number needs a new deployment",
		"shards is %d and cannot change to %d", now, wanted)
}
