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

// Members tells which instances are alive.
type Members interface {
	// Live returns the live instances of the own domain, this one included.
	Live() []peer.Identity
	// IsLive reports whether the incarnation is alive.
	IsLive(incarnation string) bool
	// IsDraining reports whether the incarnation is stopping.
	IsDraining(incarnation string) bool
	// LiveIn returns the known live instances of a domain.
	LiveIn(domain string) []peer.Identity
}

// Timing holds the intervals of a Manager.
type Timing struct {
	// TickInterval is the interval of ownership decisions and housekeeping.
	TickInterval time.Duration
	// FenceTimeout is how long a takeover waits for a silent owner and backup
	// before it declares their epoch lost.
	FenceTimeout time.Duration
	// PeerTimeout and StoreTimeout bound single calls.
	PeerTimeout  time.Duration
	StoreTimeout time.Duration
	// GrantTimeout bounds how long a reservation waits for more rights.
	GrantTimeout time.Duration
	// SealInterval is the interval at which bill lines go to the store.
	SealInterval time.Duration
	// ReviewInterval is the interval at which rights are refilled or returned.
	ReviewInterval time.Duration
	// AbandonTimeout is the age at which a running request without a report
	// becomes unknown. It is longer than any request may take.
	AbandonTimeout time.Duration
}

// DefaultTransferPartBytes keeps a part well below the size limit of a message (8 MiB),
// which the state of a shard with more than 21,500 records exceeds.
const DefaultTransferPartBytes = 1 << 20

// DefaultTiming returns the intervals for production.
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
	// Policy returns the grant policy.
	Policy func() grant.Policy
	// StandingBudgets returns the budgets of which each domain holds a standing share
	// before its first request; nil means none.
	StandingBudgets func() []ledger.BudgetKey
	// Recall asks the owner of a shard of another domain to return idle rights
	// on a budget; nil turns recalls off.
	Recall    func(ctx context.Context, shard ledger.ShardID, budget ledger.BudgetKey) (ledger.Tokens, error)
	Retention ledger.Retention
	Timing    Timing
	// TransferPartBytes is the size in bytes of one message of a state transfer; 0
	// means DefaultTransferPart.
	TransferPartBytes int
	Log               logrus.FieldLogger
	// Registerer takes the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Manager runs the shard replicas of one instance.
type Manager struct {
	opts    Options
	metrics *metrics
	events  chan func()
	done    chan struct{}
	base    time.Time
	tasks   sync.WaitGroup
	ctx     context.Context
	view    atomic.Pointer[mapView]
	// mapFault is why the shard map of the store was refused last, or nil.
	mapFault atomic.Pointer[failure.Error]

	// The fields below belong to the control goroutine.
	current  *Map
	version  uint64
	swapping bool
	// unsure is true after a swap without a known result; it can take effect as
	// long as the map is at version unsureAt.
	unsure   bool
	unsureAt uint64
	draining bool
	// releasing counts releases that their owners have not answered yet.
	releasing int
	sessions  uint64
	asks      askLimits
	replicas  map[int]*replica
}

// mapView is a shard map with its store version, for readers on the request path.
type mapView struct {
	version uint64
	m       *Map
}

// eventQueue bounds posted events; senders wait when the control goroutine lags.
const eventQueue = 1024

// NewManager returns a Manager. Run must be called for it to serve.
func NewManager(opts Options) *Manager {
	if opts.TransferPartBytes <= 0 {
		opts.TransferPartBytes = DefaultTransferPartBytes
	}
	return &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer), base: time.Now(),
		events: make(chan func(), eventQueue), done: make(chan struct{}),
		asks: newAskLimits(), replicas: map[int]*replica{}, ctx: context.Background(),
	}
}

// now returns a wall clock that never steps, because retention and refusal
// times are compared as durations.
func (m *Manager) now() time.Time { return m.base.Add(time.Since(m.base)) }

// Run owns the control state until ctx ends.
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
			m.tick()
		case <-ctx.Done():
			cancel()
			close(m.done)
			m.tasks.Wait()
			return
		}
	}
}

// post queues fn for the control goroutine. It reports false after Run ended.
func (m *Manager) post(fn func()) bool {
	select {
	case m.events <- fn:
		return true
	case <-m.done:
		return false
	}
}

// do runs fn on the control goroutine and waits for it.
func (m *Manager) do(ctx context.Context, fn func()) error {
	ran := make(chan struct{})
	if !m.post(func() { fn(); close(ran) }) {
		return errStopped()
	}
	select {
	case <-ran:
		return nil
	case <-m.done:
		return errStopped()
	case <-ctx.Done():
		return failure.New(failure.Uncertain, "repeat the call with the same request id", "the control goroutine did not answer in time")
	}
}

// background runs fn in a goroutine that ends with Run. It is called from the
// control goroutine only.
func (m *Manager) background(timeout time.Duration, fn func(ctx context.Context)) {
	parent := m.ctx
	m.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		fn(ctx)
	})
}

func errStopped() error {
	return failure.New(failure.Unavailable, "use another instance", "this instance is stopping")
}

func (m *Manager) tick() {
	m.assign()
	for _, r := range m.replicas {
		r.housekeeping(m.now())
	}
	m.metrics.observe(m.replicas)
}

// MapView returns the newest known shard map of the own domain and its version.
func (m *Manager) MapView() (*Map, uint64) {
	if v := m.view.Load(); v != nil {
		return v.m, v.version
	}
	return nil, 0
}
