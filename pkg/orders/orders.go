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

// LeaseStore is the part of the platform store that orders need.
type LeaseStore interface {
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error)
	ReleaseLease(ctx context.Context, name, holder string) error
}

// Options tune an Orderer. Zero fields get defaults.
type Options struct {
	// Instance is the lease holder and the id sent as X-Client. It must differ
	// between incarnations of an instance.
	Instance string
	// IsResponsible limits the endpoints that this instance looks after, for
	// example to a rendezvous choice among the live instances, so that not
	// every instance reads every engine. Safety does not depend on it. Nil
	// means all endpoints.
	IsResponsible func(config.Endpoint) bool
	// Interval is the time between two rounds.
	Interval time.Duration
	// LeaseTTL is the length of a lease.
	LeaseTTL time.Duration
	// Timeout bounds each call.
	Timeout time.Duration
	// MaxAttempts bounds the orders to one engine in one round.
	MaxAttempts int
	// MaxParallel bounds the engines that are ordered at the same time.
	MaxParallel int
	// Transport carries the calls; the default is an own http.Transport.
	Transport http.RoundTripper
}

const (
	defaultInterval = 15 * time.Second
	defaultTTL      = 10 * time.Second
	defaultTimeout  = 3 * time.Second
	defaultAttempts = 3
	defaultParallel = 4

	leasePrefix = "orders/"
	jitter      = 0.2 // spreads the rounds of instances that started together
)

func (o Options) withDefaults() Options {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDuration(&o.Interval, defaultInterval)
	setDuration(&o.LeaseTTL, defaultTTL)
	setDuration(&o.Timeout, defaultTimeout)
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultAttempts
	}
	if o.MaxParallel <= 0 {
		o.MaxParallel = defaultParallel
	}
	if o.IsResponsible == nil {
		o.IsResponsible = func(config.Endpoint) bool { return true }
	}
	return o
}

// Reconciler gives orders to engines. Update and View may be called at any time,
// Run once.
type Reconciler struct {
	opts   Options
	leases LeaseStore
	client *client
	log    logrus.FieldLogger
	orders *prometheus.CounterVec

	mu      sync.Mutex
	wanted  map[string]wanted // by endpoint id
	views   map[string]EngineStatus
	changed chan struct{} // has room for one signal
}

type wanted struct {
	endpoint config.Endpoint
	state    config.EngineState
}

// EngineStatus is what the latest round found at an engine.
type EngineStatus struct {
	Endpoint string
	// InSync is true when the engine runs what the configuration wants.
	InSync bool
	// Err is why it does not, nil when another instance gives the orders.
	Err error
}

// New returns an orderer. A nil reg leaves the metrics unregistered.
func New(opts Options, leases LeaseStore, log logrus.FieldLogger, reg prometheus.Registerer) *Reconciler {
	opts = opts.withDefaults()
	return &Reconciler{
		opts: opts, leases: leases, client: newClient(opts), log: log,
		orders: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_orders_total", Help: "Orders to engines, by result.",
		}, []string{"result"}),
		wanted: map[string]wanted{}, views: map[string]EngineStatus{}, changed: make(chan struct{}, 1),
	}
}

// Update applies a configuration document and starts a round.
func (o *Reconciler) Update(doc *config.Document) {
	endpoints := map[string]config.Endpoint{}
	for _, s := range doc.Services {
		for _, e := range s.Endpoints {
			endpoints[e.ID] = e
		}
	}
	o.mu.Lock()
	clear(o.wanted)
	for _, s := range doc.Engines {
		if e, ok := endpoints[s.Endpoint]; ok {
			o.wanted[e.ID] = wanted{e, s}
		}
	}
	for id := range o.views {
		if _, ok := o.wanted[id]; !ok {
			delete(o.views, id)
		}
	}
	o.mu.Unlock()
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// Statuses returns the result of the latest round, sorted by endpoint.
func (o *Reconciler) Statuses() []EngineStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	views := make([]EngineStatus, 0, len(o.views))
	for _, v := range o.views {
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b EngineStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return views
}

// Run makes rounds until ctx ends. All its goroutines have ended when it returns.
func (o *Reconciler) Run(ctx context.Context) {
	defer o.client.close()
	for ctx.Err() == nil {
		o.round(ctx)
		t := time.NewTimer(time.Duration(float64(o.opts.Interval) * (1 + jitter*(2*rand.Float64()-1))))
		select {
		case <-t.C:
		case <-o.changed:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// round brings each engine that this instance is responsible for to its state.
func (o *Reconciler) round(ctx context.Context) {
	o.mu.Lock()
	ids := make([]string, 0, len(o.wanted))
	for id, w := range o.wanted {
		if o.opts.IsResponsible(w.endpoint) {
			ids = append(ids, id)
		} else {
			delete(o.views, id) // another instance knows better now
		}
	}
	o.mu.Unlock()
	slices.Sort(ids)
	var g errgroup.Group // used for its limit; engines return no error
	g.SetLimit(o.opts.MaxParallel)
	for _, id := range ids {
		g.Go(func() error {
			agrees, err := o.converge(ctx, id)
			if ctx.Err() == nil {
				o.record(EngineStatus{id, agrees, err})
			}
			return nil
		})
	}
	_ = g.Wait()
}

// want returns the latest wish. It is read anew before each step, so that a
// round that was paused does not order what an older document said.
func (o *Reconciler) want(id string) (wanted, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.wanted[id]
	return w, ok
}

func (o *Reconciler) record(v EngineStatus) {
	o.mu.Lock()
	before, known := o.views[v.Endpoint]
	if _, ok := o.wanted[v.Endpoint]; ok {
		o.views[v.Endpoint] = v
	}
	o.mu.Unlock()
	if !known || before.InSync != v.InSync || failure.KindOf(before.Err) != failure.KindOf(v.Err) {
		o.log.WithFields(logrus.Fields{"endpoint": v.Endpoint, "agrees": v.InSync}).WithError(v.Err).Info("engine changed its state")
	}
}

// converge reads the engine, and under the lease orders and reads back until it
// agrees.
func (o *Reconciler) converge(ctx context.Context, id string) (agrees bool, err error) {
	agrees, err = o.check(ctx, id)
	if agrees || err != nil {
		return agrees, err
	}
	lease, err := o.acquire(ctx, id)
	if failure.Is(err, failure.Conflict) {
		return false, nil // another instance gives the orders
	}
	if err != nil {
		return false, err
	}
	defer o.release(ctx, lease)
	for range o.opts.MaxAttempts {
		if err := o.order(ctx, id, lease); err != nil {
			return false, err
		}
		agrees, err = o.check(ctx, id)
		if agrees || err != nil {
			return agrees, err
		}
	}
	return false, failure.New(failure.EndpointFailed, "look at the engine",
		"engine %q does not show the ordered state after %d orders", id, o.opts.MaxAttempts)
}

// check reports whether the engine runs what is wanted. An engine that no longer
// has a wish agrees.
func (o *Reconciler) check(ctx context.Context, id string) (bool, error) {
	w, ok := o.want(id)
	if !ok {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	s, err := o.client.state(ctx, w.endpoint)
	return err == nil && s.agrees(w.state), err
}

func (o *Reconciler) acquire(ctx context.Context, id string) (kvstore.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	return o.leases.AcquireLease(ctx, leasePrefix+id, o.opts.Instance, o.opts.LeaseTTL)
}

// release gives the lease up so that the next instance need not wait for its
// end. A failure only costs that wait.
func (o *Reconciler) release(ctx context.Context, l kvstore.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.opts.Timeout)
	defer cancel()
	_ = o.leases.ReleaseLease(ctx, l.Name, l.Holder)
}

// order sends one order unless the lease is over by the own clock. The call ends
// with the lease, too. A lost answer is no error, since the state is read back.
func (o *Reconciler) order(ctx context.Context, id string, l kvstore.Lease) error {
	w, ok := o.want(id)
	if !ok {
		return nil
	}
	if !time.Now().Before(l.Expires) {
		o.orders.WithLabelValues("lease-over").Inc()
		return failure.New(failure.Fenced, "none needed: the next round asks for the lease again",
			"the lease of engine %q ended before the order", id)
	}
	ctx, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	ctx, cancelLease := context.WithDeadline(ctx, l.Expires)
	defer cancelLease()
	err := o.client.order(ctx, w.endpoint, wireOrder{l.Token, o.opts.Instance, wire(w.state)})
	switch {
	case err == nil:
		o.orders.WithLabelValues("ok").Inc()
	case failure.Is(err, failure.Fenced):
		o.orders.WithLabelValues("fenced").Inc()
		return err
	default:
		o.orders.WithLabelValues("failed").Inc()
	}
	return nil
}
