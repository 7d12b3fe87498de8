package probe

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

// Pool receives the results of probes.
type Pool interface {
	Observe(endpointID string, l routing.Load)
	MarkDown(endpointID string, until time.Time)
	SetPlatformList(list []kvstore.Instance)
}

var _ Pool = (*routing.Pool)(nil)

// Options are the options of a Prober. Zero fields other than Instance and Domain get
// defaults.
type Options struct {
	// Instance is the id of this instance, which probes send in the X-Client header.
	Instance string
	// Domain is the failure domain of this instance. Endpoints of other domains are
	// probed less often.
	Domain string
	// Interval is the time between two probes of an endpoint of the same domain.
	Interval time.Duration
	// MaxProbesPerSecond limits the rate of probes. The first probe of each endpoint is
	// not limited.
	MaxProbesPerSecond float64
	// Timeout limits one probe and one read of the platform's instance list.
	Timeout time.Duration
	// MaxConcurrentProbes limits the probes in flight.
	MaxConcurrentProbes int
	// ListInterval is the time between two reads of the platform's instance list.
	ListInterval time.Duration
	// Transport sends the probes. The default is a new http.Transport.
	Transport http.RoundTripper
}

const (
	defaultInterval            = time.Second
	defaultMaxProbesPerSecond  = 8 // about 4 KB/s of the 8 KB/s that a node may use for control traffic
	defaultTimeout             = 2 * time.Second
	defaultMaxConcurrentProbes = 16
	defaultListInterval        = 10 * time.Second // 6.7 of the 20 store calls per 1,000 requests at 15 requests/s

	remoteIntervalFactor = 5   // probe interval of other domains, relative to that of the same domain
	jitter               = 0.2 // spreads the probes of instances that started at the same time
	downAfterFailures    = 2   // one connection can stop responding while the endpoint is alive
	downIntervals        = 3   // probe intervals for which a failed endpoint stays marked down
)

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.MaxProbesPerSecond <= 0 {
		o.MaxProbesPerSecond = defaultMaxProbesPerSecond
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxConcurrentProbes <= 0 {
		o.MaxConcurrentProbes = defaultMaxConcurrentProbes
	}
	if o.ListInterval <= 0 {
		o.ListInterval = defaultListInterval
	}
	return o
}

// Prober polls endpoints. Update may be called at any time, Run once.
type Prober struct {
	opts   Options
	pool   Pool
	lister kvstore.Lister
	onDied func(endpointID, incarnation string)
	client *client
	log    logrus.FieldLogger
	probes *prometheus.CounterVec

	mu      sync.Mutex
	targets map[string]*target
	updated chan struct{} // buffered; signals that targets were replaced
}

// target is the state of a probed endpoint. The prober's mutex guards it.
type target struct {
	endpoint            config.Endpoint
	kind                config.ServiceKind
	nextProbe           time.Time
	inFlight            bool
	consecutiveFailures int
	down                bool
	incarnation         string // as last reported; empty before the first report
	deathReported       bool   // a refused connection was reported; reset by the next response
}

// dueProbe is a probe to send now. endpoint and kind are copies of the target's fields,
// which Update may change during the probe.
type dueProbe struct {
	target   *target
	endpoint config.Endpoint
	kind     config.ServiceKind
}

// New returns a prober. It calls onDied, which must not block, with the incarnation
// that died, or with an empty one if the endpoint was never reached. It calls onDied
// once for an incarnation, and again only if the endpoint has responded meanwhile.
// If lister is nil, the platform's instance list is not read. If reg is nil, the
// metrics are not registered.
func New(
	opts Options, pool Pool, lister kvstore.Lister, onDied func(endpointID, incarnation string),
	log logrus.FieldLogger, reg prometheus.Registerer,
) *Prober {
	opts = opts.withDefaults()
	return &Prober{
		opts: opts, pool: pool, lister: lister, onDied: onDied, log: log,
		client: newClient(opts),
		probes: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_probes_total", Help: "Probes of endpoints and reads of the platform's instance list, by result.",
		}, []string{"result"}),
		targets: map[string]*target{}, updated: make(chan struct{}, 1),
	}
}

// Update replaces the probed endpoints by those of a configuration document. The state
// of endpoints whose id and address did not change is kept.
func (p *Prober) Update(doc *config.Document) {
	p.mu.Lock()
	old := p.targets
	p.targets = map[string]*target{}
	for _, s := range doc.Services {
		for _, e := range s.Endpoints {
			t := old[e.ID]
			if t == nil || t.endpoint.Address != e.Address {
				t = &target{}
			}
			t.endpoint, t.kind = e, s.Kind
			p.targets[e.ID] = t
		}
	}
	p.mu.Unlock()
	select {
	case p.updated <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends, and returns after all its goroutines have ended.
func (p *Prober) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer p.client.close()
	defer wg.Wait()
	if p.lister != nil {
		wg.Go(func() { p.pollList(ctx) })
	}
	var probes errgroup.Group // used for its limit; probes return no error
	probes.SetLimit(p.opts.MaxConcurrentProbes)
	defer func() { _ = probes.Wait() }()
	for {
		due, wait := p.nextDue(time.Now())
		if due.target == nil {
			if !p.waitForUpdate(ctx, wait) {
				return
			}
			continue
		}
		probes.Go(func() error {
			p.probe(ctx, due)
			return nil
		})
	}
}

// waitForUpdate waits for d or until Update is called. It returns false if ctx has
// ended.
func (p *Prober) waitForUpdate(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.updated:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// nextDue returns a probe that is due and marks its target as in flight. If none is
// due, it returns a dueProbe without target and how long to wait before the next call.
func (p *Prober) nextDue(now time.Time) (dueProbe, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var earliest *target
	for _, t := range p.targets {
		if !t.inFlight && (earliest == nil || t.nextProbe.Before(earliest.nextProbe)) {
			earliest = t
		}
	}
	if earliest == nil {
		return dueProbe{}, p.opts.Interval
	}
	if wait := earliest.nextProbe.Sub(now); wait > 0 {
		return dueProbe{}, min(wait, p.opts.Interval)
	}
	earliest.inFlight = true
	return dueProbe{earliest, earliest.endpoint, earliest.kind}, 0
}

// probeInterval returns the time between two probes of t. It grows with the number of
// endpoints so that the rate of all probes stays within MaxProbesPerSecond.
func (p *Prober) probeInterval(t *target) time.Duration {
	relativeRate := 0.0
	for _, other := range p.targets {
		relativeRate += 1 / p.intervalFactor(other)
	}
	seconds := max(p.opts.Interval.Seconds(), relativeRate/p.opts.MaxProbesPerSecond) * p.intervalFactor(t)
	return time.Duration(seconds * float64(time.Second))
}

// intervalFactor returns the probe interval of t relative to that of endpoints of the
// same domain.
func (p *Prober) intervalFactor(t *target) float64 {
	if t.endpoint.Domain == p.opts.Domain {
		return 1
	}
	return remoteIntervalFactor
}

// probe sends a probe and records its result, unless the prober stops meanwhile.
func (p *Prober) probe(ctx context.Context, due dueProbe) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	load, err := p.client.fetchLoad(ctx, due.endpoint, due.kind)
	if err != nil && context.Cause(ctx) == context.Canceled {
		return // Run's context has ended
	}
	p.recordResult(due.target, due.endpoint, load, err)
}

// recordResult updates t with the result of a probe. It calls the pool and onDied
// without holding the lock.
func (p *Prober) recordResult(t *target, endpoint config.Endpoint, load routing.Load, err error) {
	p.mu.Lock()
	now, interval := time.Now(), p.probeInterval(t)
	t.inFlight = false
	t.nextProbe = now.Add(time.Duration(float64(interval) * (1 + jitter*(2*rand.Float64()-1))))
	if p.targets[endpoint.ID] != t {
		p.mu.Unlock()
		return // Update removed or replaced the endpoint during the probe
	}
	wasDown, died, previousIncarnation := t.down, false, t.incarnation
	switch {
	case err == nil:
		died = previousIncarnation != "" && previousIncarnation != load.Incarnation && !t.deathReported
		t.consecutiveFailures, t.down, t.incarnation, t.deathReported = 0, false, load.Incarnation, false
	case isRefused(err):
		died = !t.deathReported
		t.consecutiveFailures, t.down, t.deathReported = t.consecutiveFailures+1, true, true
	default:
		t.consecutiveFailures++
		t.down = t.down || t.consecutiveFailures >= downAfterFailures
	}
	down := t.down
	p.mu.Unlock()

	p.probes.WithLabelValues(resultLabel(err)).Inc()
	if died && p.onDied != nil {
		p.onDied(endpoint.ID, previousIncarnation)
	}
	switch {
	case down:
		p.pool.MarkDown(endpoint.ID, now.Add(downIntervals*interval))
	case err == nil:
		if wasDown {
			p.pool.MarkDown(endpoint.ID, time.Time{})
		}
		p.pool.Observe(endpoint.ID, load)
	}
	if wasDown != down {
		p.log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "down": down}).WithError(err).Info("endpoint state changed")
	}
}

// pollList reads the platform's instance list at intervals until ctx ends. After a
// failed read, the pool keeps the previous list.
func (p *Prober) pollList(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
		list, err := p.lister.Instances(callCtx, "")
		cancel()
		if err == nil {
			p.pool.SetPlatformList(list)
		}
		p.probes.WithLabelValues("list-" + resultLabel(err)).Inc()
		t := time.NewTimer(time.Duration(float64(p.opts.ListInterval) * (1 + jitter*(2*rand.Float64()-1))))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}
