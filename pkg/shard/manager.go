package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Members reports which instances are live.
type Members interface {
	// Live returns the live instances of this instance's domain, itself included.
	Live() []peer.Identity
	// IsLive reports whether the incarnation is live.
	IsLive(incarnation string) bool
	// IsDraining reports whether the incarnation is draining.
	IsDraining(incarnation string) bool
	// LiveIn returns the live instances of a domain, as far as they are known.
	LiveIn(domain string) []peer.Identity
}

// Timing holds the intervals and timeouts of a Manager.
type Timing struct {
	// TickInterval is the interval between two rounds of ownership decisions and
	// periodic tasks.
	TickInterval time.Duration
	// FenceTimeout is how long a takeover waits for an unreachable owner and
	// backup before it declares their epoch lost.
	FenceTimeout time.Duration
	// PeerTimeout bounds one call to another instance, StoreTimeout one call to
	// the store.
	PeerTimeout  time.Duration
	StoreTimeout time.Duration
	// GrantTimeout bounds how long a reservation waits for more rights.
	GrantTimeout time.Duration
	// SealInterval is the interval at which bill lines are written to the store.
	SealInterval time.Duration
	// ReviewInterval is the interval at which rights are refilled or returned.
	ReviewInterval time.Duration
	// AbandonTimeout is the age at which a running request that was never settled
	// gets the outcome unknown. It is longer than any request may take.
	AbandonTimeout time.Duration
}

// DefaultTransferPartBytes is the default of Options.TransferPartBytes. It is well
// below the message size limit of 8 MiB, which the state of a shard with more than
// 21,500 records exceeds.
const DefaultTransferPartBytes = 1 << 20

// DefaultTiming returns the timing for production.
func DefaultTiming() Timing {
	return Timing{
		TickInterval: time.Second, FenceTimeout: 10 * time.Second,
		PeerTimeout: time.Second, StoreTimeout: 2 * time.Second, GrantTimeout: 2 * time.Second,
		SealInterval: time.Minute, ReviewInterval: 10 * time.Second, AbandonTimeout: 30 * time.Minute,
	}
}

// Options configure a Manager.
type Options struct {
	Self    peer.Identity
	Store   kvstore.Store
	Peers   peer.Caller
	Members Members
	// Shards returns the number of shards per domain; 0 while there is no
	// configuration.
	Shards func() int
	// Policy returns the current grant policy.
	Policy func() grant.Policy
	// StandingBudgets returns the budgets of which each domain holds a standing
	// share before its first request; nil means none.
	StandingBudgets func() []ledger.BudgetKey
	// Recall asks the owner of a shard of another domain to return idle rights
	// on a budget; nil turns recalls off.
	Recall    func(ctx context.Context, shard ledger.ShardID, budget ledger.BudgetKey) (ledger.Tokens, error)
	Retention ledger.Retention
	Timing    Timing
	// TransferPartBytes is the number of bytes of the state that one message of a
	// state transfer carries; 0 means DefaultTransferPartBytes.
	TransferPartBytes int
	Log               logrus.FieldLogger
	// Registerer takes the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Manager runs the shard replicas of one instance.
type Manager struct {
	opts      Options
	metrics   *metrics
	events    chan func()
	done      chan struct{}
	startedAt time.Time
	tasks     sync.WaitGroup
	ctx       context.Context
	view      atomic.Pointer[mapView]
	// storedMapErr is why the shard map last read from the store was refused, or nil.
	storedMapErr atomic.Pointer[failure.Error]

	// The fields below are confined to the control goroutine.
	currentMap   *Map
	mapVersion   uint64
	swapInFlight bool
	// swapUncertain is true after a swap with an unknown result. That swap can take
	// effect as long as the map is at uncertainVersion.
	swapUncertain    bool
	uncertainVersion uint64
	draining         bool
	// pendingReleases counts the releases that are not acknowledged by the owners yet.
	pendingReleases int
	lastSession     uint64
	missLimits      missLimiters
	replicas        map[int]*replica
}

// mapView is a shard map with its store version, for readers on the request path.
type mapView struct {
	version  uint64
	shardMap *Map
}

// eventQueueSize is the capacity of the event queue; post blocks while it is full.
const eventQueueSize = 1024

// NewManager returns a Manager. It serves once Run has been called.
func NewManager(opts Options) *Manager {
	if opts.TransferPartBytes <= 0 {
		opts.TransferPartBytes = DefaultTransferPartBytes
	}
	return &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer), startedAt: time.Now(),
		events: make(chan func(), eventQueueSize), done: make(chan struct{}),
		missLimits: newMissLimiters(), replicas: map[int]*replica{}, ctx: context.Background(),
	}
}

// now returns the wall-clock time at startedAt plus the monotonic time since then. It
// never steps, because retention and refusal times are compared as durations.
func (m *Manager) now() time.Time { return m.startedAt.Add(time.Since(m.startedAt)) }

// Run runs the control goroutine until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	m.post(func() { m.ctx = ctx })
	m.tasks.Go(func() { m.watchMap(ctx) })
	tick := time.NewTicker(m.opts.Timing.TickInterval)
	defer tick.Stop()
	for {
		select {
		case fn := <-m.events:
			fn()
		case <-tick.C:
			m.runTick()
		case <-ctx.Done():
			cancel()
			close(m.done)
			m.tasks.Wait()
			return
		}
	}
}

// post queues fn for the control goroutine. It reports false if Run has ended.
func (m *Manager) post(fn func()) bool {
	select {
	case m.events <- fn:
		return true
	case <-m.done:
		return false
	}
}

// do runs fn on the control goroutine and waits for it. If ctx ends first, fn may still
// run and the error is failure.Uncertain.
func (m *Manager) do(ctx context.Context, fn func()) error {
	ran := make(chan struct{})
	if !m.post(func() { fn(); close(ran) }) {
		return stoppingError()
	}
	select {
	case <-ran:
		return nil
	case <-m.done:
		return stoppingError()
	case <-ctx.Done():
		return failure.New(failure.Uncertain, "repeat the call with the same request id", "the control goroutine did not answer in time")
	}
}

// background runs fn in a goroutine of its own, with a context that ends after timeout
// or with Run. It must be called on the control goroutine.
func (m *Manager) background(timeout time.Duration, fn func(ctx context.Context)) {
	parent := m.ctx
	m.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		fn(ctx)
	})
}

func stoppingError() error {
	return failure.New(failure.Unavailable, "use another instance", "this instance is stopping")
}

func (m *Manager) runTick() {
	m.assignShards()
	for _, r := range m.replicas {
		r.runPeriodicTasks(m.now())
	}
	m.metrics.updateGauges(m.replicas)
}

// MapView returns the newest known shard map of this instance's domain and its version,
// or nil and 0 while none is known.
func (m *Manager) MapView() (*Map, uint64) {
	if v := m.view.Load(); v != nil {
		return v.shardMap, v.version
	}
	return nil, 0
}
