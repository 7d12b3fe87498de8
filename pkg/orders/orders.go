package orders

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// LeaseStore is the part of the platform store that a Reconciler uses.
type LeaseStore interface {
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error)
	ReleaseLease(ctx context.Context, name, holder string) error
}

// Options configures a Reconciler. Fields that are zero get their defaults.
type Options struct {
	// Instance is the holder of the leases and the id sent as X-Client. It must
	// differ between incarnations of an instance.
	Instance string
	// IsResponsible limits the endpoints that this instance reconciles, for
	// example by rendezvous hashing over the live instances, so that not every
	// instance reads every engine. Safety does not depend on it. Nil selects all
	// endpoints.
	IsResponsible func(config.Endpoint) bool
	// Interval is the mean time between two rounds.
	Interval time.Duration
	// LeaseTTL is the duration of a lease.
	LeaseTTL time.Duration
	// Timeout limits each call to an engine or the store.
	Timeout time.Duration
	// MaxAttempts limits the orders to one engine in one round.
	MaxAttempts int
	// MaxConcurrentReconciliations limits the engines that are reconciled at the same time.
	MaxConcurrentReconciliations int
	// Transport carries the calls to engines. The default is a new http.Transport.
	Transport http.RoundTripper
}

const (
	defaultInterval                     = 15 * time.Second
	defaultLeaseTTL                     = 10 * time.Second
	defaultTimeout                      = 3 * time.Second
	defaultMaxAttempts                  = 3
	defaultMaxConcurrentReconciliations = 4

	leasePrefix    = "orders/"
	intervalJitter = 0.2 // part of Interval; spreads the rounds of instances that started together
)

// withDefaults replaces zero fields by their defaults.
func (o Options) withDefaults() Options {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDuration(&o.Interval, defaultInterval)
	setDuration(&o.LeaseTTL, defaultLeaseTTL)
	setDuration(&o.Timeout, defaultTimeout)
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.MaxConcurrentReconciliations <= 0 {
		o.MaxConcurrentReconciliations = defaultMaxConcurrentReconciliations
	}
	if o.IsResponsible == nil {
		o.IsResponsible = func(config.Endpoint) bool { return true }
	}
	return o
}

// Reconciler brings engines to their desired state by orders. Update and Statuses
// may be called at any time, Run once.
type Reconciler struct {
	opts       Options
	leases     LeaseStore
	client     *client
	log        logrus.FieldLogger
	orderCount *prometheus.CounterVec

	mu       sync.Mutex
	desired  map[string]desiredEngine // by endpoint id, like statuses
	statuses map[string]EngineStatus
	changed  chan struct{} // capacity 1; signals a new document
}

// desiredEngine is an endpoint and the desired state of its engine.
type desiredEngine struct {
	endpoint config.Endpoint
	state    config.EngineState
}

// EngineStatus is the result of the latest round for one engine.
type EngineStatus struct {
	Endpoint string // endpoint id
	// InSync is true if the engine runs the desired state.
	InSync bool
	// Err is the error that ended the round. It is nil if the engine is in sync or
	// another instance holds the lease.
	Err error
}

// New returns a reconciler. If reg is nil, its metrics are not registered.
func New(opts Options, leases LeaseStore, log logrus.FieldLogger, reg prometheus.Registerer) *Reconciler {
	opts = opts.withDefaults()
	return &Reconciler{
		opts: opts, leases: leases, client: newClient(opts), log: log,
		orderCount: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_orders_total", Help: "Orders to engines, by result.",
		}, []string{"result"}),
		desired: map[string]desiredEngine{}, statuses: map[string]EngineStatus{}, changed: make(chan struct{}, 1),
	}
}

// Update sets the desired states from a configuration document and starts a round.
func (r *Reconciler) Update(doc *config.Document) {
	endpoints := map[string]config.Endpoint{}
	for _, s := range doc.Services {
		for _, e := range s.Endpoints {
			endpoints[e.ID] = e
		}
	}
	r.mu.Lock()
	clear(r.desired)
	for _, s := range doc.Engines {
		if e, ok := endpoints[s.Endpoint]; ok {
			r.desired[e.ID] = desiredEngine{e, s}
		}
	}
	for id := range r.statuses {
		if _, ok := r.desired[id]; !ok {
			delete(r.statuses, id)
		}
	}
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Statuses returns the results of the latest round, sorted by endpoint.
func (r *Reconciler) Statuses() []EngineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make([]EngineStatus, 0, len(r.statuses))
	for _, s := range r.statuses {
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(a, b EngineStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return statuses
}

// Run runs rounds until ctx ends. All its goroutines have ended when it returns.
func (r *Reconciler) Run(ctx context.Context) {
	defer r.client.close()
	for ctx.Err() == nil {
		r.reconcileAll(ctx)
		t := time.NewTimer(time.Duration(float64(r.opts.Interval) * (1 + intervalJitter*(2*rand.Float64()-1))))
		select {
		case <-t.C:
		case <-r.changed:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// reconcileAll runs one round: it reconciles each engine that this instance is
// responsible for.
func (r *Reconciler) reconcileAll(ctx context.Context) {
	r.mu.Lock()
	ids := make([]string, 0, len(r.desired))
	for id, d := range r.desired {
		if r.opts.IsResponsible(d.endpoint) {
			ids = append(ids, id)
		} else {
			delete(r.statuses, id) // the responsible instance has the current status
		}
	}
	r.mu.Unlock()
	slices.Sort(ids)
	var g errgroup.Group // only for its limit; errors are in the statuses
	g.SetLimit(r.opts.MaxConcurrentReconciliations)
	for _, id := range ids {
		g.Go(func() error {
			inSync, err := r.reconcile(ctx, id)
			if ctx.Err() == nil {
				r.recordStatus(EngineStatus{id, inSync, err})
			}
			return nil
		})
	}
	_ = g.Wait()
}

// currentDesired returns the latest desired state of an engine. It is read again
// before each step, so that a round that was paused does not order the state of an
// older document.
func (r *Reconciler) currentDesired(id string) (desiredEngine, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.desired[id]
	return d, ok
}

// recordStatus stores the status of an engine that still has a desired state, and
// logs a change.
func (r *Reconciler) recordStatus(status EngineStatus) {
	r.mu.Lock()
	before, exists := r.statuses[status.Endpoint]
	if _, ok := r.desired[status.Endpoint]; ok {
		r.statuses[status.Endpoint] = status
	}
	r.mu.Unlock()
	if !exists || before.InSync != status.InSync || failure.KindOf(before.Err) != failure.KindOf(status.Err) {
		r.log.WithFields(logrus.Fields{"endpoint": status.Endpoint, "agrees": status.InSync}).WithError(status.Err).Info("engine status changed")
	}
}

// reconcile reads the state of the engine. If it differs from the desired state,
// reconcile acquires the lease, and then sends orders and reads the state back
// until it matches.
func (r *Reconciler) reconcile(ctx context.Context, id string) (inSync bool, err error) {
	inSync, err = r.isInSync(ctx, id)
	if inSync || err != nil {
		return inSync, err
	}
	lease, err := r.acquireLease(ctx, id)
	if failure.Is(err, failure.Conflict) {
		return false, nil // another instance sends the orders
	}
	if err != nil {
		return false, err
	}
	defer r.releaseLease(ctx, lease)
	for range r.opts.MaxAttempts {
		if err := r.sendOrder(ctx, id, lease); err != nil {
			return false, err
		}
		inSync, err = r.isInSync(ctx, id)
		if inSync || err != nil {
			return inSync, err
		}
	}
	return false, failure.New(failure.EndpointFailed, "check the engine",
		"engine %q does not show the ordered state after %d orders", id, r.opts.MaxAttempts)
}

// isInSync reports whether the engine runs its desired state. An engine without a
// desired state is in sync.
func (r *Reconciler) isInSync(ctx context.Context, id string) (bool, error) {
	d, ok := r.currentDesired(id)
	if !ok {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	state, err := r.client.readState(ctx, d.endpoint)
	return err == nil && state.matches(d.state), err
}

// acquireLease acquires or renews the lease of an engine.
func (r *Reconciler) acquireLease(ctx context.Context, id string) (kvstore.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	return r.leases.AcquireLease(ctx, leasePrefix+id, r.opts.Instance, r.opts.LeaseTTL)
}

// releaseLease ends the lease, so that the next instance need not wait for its
// expiry. If it fails, the next instance has to wait.
func (r *Reconciler) releaseLease(ctx context.Context, lease kvstore.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.opts.Timeout)
	defer cancel()
	_ = r.leases.ReleaseLease(ctx, lease.Name, lease.Holder)
}

// sendOrder sends one order, unless the lease has expired by the local clock or
// the engine has no desired state any more. The call ends with the lease at the
// latest. A lost answer is no error, because the state is read back.
func (r *Reconciler) sendOrder(ctx context.Context, id string, lease kvstore.Lease) error {
	d, ok := r.currentDesired(id)
	if !ok {
		return nil
	}
	if !time.Now().Before(lease.Expires) {
		r.orderCount.WithLabelValues("lease-over").Inc()
		return failure.New(failure.Fenced, "none needed: the next round acquires the lease again",
			"the lease of engine %q ended before the order", id)
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	ctx, cancelLease := context.WithDeadline(ctx, lease.Expires)
	defer cancelLease()
	err := r.client.sendOrder(ctx, d.endpoint, orderMessage{lease.Token, r.opts.Instance, newStateMessage(d.state)})
	switch {
	case err == nil:
		r.orderCount.WithLabelValues("ok").Inc()
	case failure.Is(err, failure.Fenced):
		r.orderCount.WithLabelValues("fenced").Inc()
		return err
	default:
		r.orderCount.WithLabelValues("failed").Inc()
	}
	return nil
}
