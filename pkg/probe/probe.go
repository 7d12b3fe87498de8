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

// Pool receives what the probes find.
type Pool interface {
	Observe(endpointID string, l routing.Load)
	MarkDown(endpointID string, until time.Time)
	SetPlatformList(list []kvstore.Instance)
}

var _ Pool = (*routing.Pool)(nil)

// Options tune a Prober. Zero fields get defaults.
type Options struct {
	// Instance is the id sent as X-Client.
	Instance string
	// Domain is the own failure domain. Other domains are asked less often.
	Domain string
	// Interval is the time between two probes of an endpoint of the own domain.
	Interval time.Duration
	// MaxProbesPerSecond bounds the probes per second, apart from the first one of each
	// endpoint.
	MaxProbesPerSecond float64
	// Timeout bounds one probe and one read of the platform's list.
	Timeout time.Duration
	// MaxConcurrentProbes bounds the probes under way.
	MaxConcurrentProbes int
	// ListInterval is the time between two reads of the platform's list.
	ListInterval time.Duration
	// Transport carries the probes; the default is an own http.Transport.
	Transport http.RoundTripper
}

const (
	defaultInterval     = time.Second
	defaultMaxRate      = 8 // about 4 KB/s of the 8 KB/s that a node has for control
	defaultTimeout      = 2 * time.Second
	defaultParallel     = 16
	defaultListInterval = 10 * time.Second // 6.7 of the 20 store calls per 1,000 requests at 15 requests/s

	remoteFactor = 5   // an endpoint of another domain is asked this much less often
	jitter       = 0.2 // spreads the probes of instances that started together
	silentProbes = 2   // a single silent connection does not mean a dead endpoint
	downFactor   = 3   // probe intervals for which a failed endpoint stays down
)

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.MaxProbesPerSecond <= 0 {
		o.MaxProbesPerSecond = defaultMaxRate
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxConcurrentProbes <= 0 {
		o.MaxConcurrentProbes = defaultParallel
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
	changed chan struct{} // has room for one signal
}

// target is what the prober knows of an endpoint. The prober's mutex guards it.
type target struct {
	cfg         config.Endpoint
	kind        config.ServiceKind
	due         time.Time
	busy        bool
	failed      int // probes in a row
	down        bool
	incarnation string
	reported    bool // the death of incarnation was reported
}

// job is a probe that is due, with the values of its target at that time.
type job struct {
	target *target
	cfg    config.Endpoint
	kind   config.ServiceKind
}

// New returns a prober. onDied is called with the incarnation that died, which
// is empty when the endpoint was never reached, at most once per incarnation;
// it must not block. A nil lister leaves out the platform's list, a nil reg
// leaves the metrics unregistered.
func New(
	opts Options, pool Pool, lister kvstore.Lister, onDied func(endpointID, incarnation string),
	log logrus.FieldLogger, reg prometheus.Registerer,
) *Prober {
	opts = opts.withDefaults()
	return &Prober{
		opts: opts, pool: pool, lister: lister, onDied: onDied, log: log,
		client: newClient(opts),
		probes: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_probes_total", Help: "Probes of endpoints and of the platform's list, by result.",
		}, []string{"result"}),
		targets: map[string]*target{}, changed: make(chan struct{}, 1),
	}
}

// Update applies a configuration document.
func (p *Prober) Update(doc *config.Document) {
	p.mu.Lock()
	old := p.targets
	p.targets = map[string]*target{}
	for _, s := range doc.Services {
		for _, e := range s.Endpoints {
			t := old[e.ID]
			if t == nil || t.cfg.Address != e.Address {
				t = &target{}
			}
			t.cfg, t.kind = e, s.Kind
			p.targets[e.ID] = t
		}
	}
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends. All its goroutines have ended when it returns.
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
		j, wait := p.next(time.Now())
		if j.target == nil {
			if !p.sleep(ctx, wait) {
				return
			}
			continue
		}
		probes.Go(func() error {
			p.probe(ctx, j)
			return nil
		})
	}
}

// sleep waits and returns false when ctx has ended. A new document ends it.
func (p *Prober) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.changed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// next returns a target that is due, or the time until one is.
func (p *Prober) next(now time.Time) (job, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *target
	for _, t := range p.targets {
		if !t.busy && (first == nil || t.due.Before(first.due)) {
			first = t
		}
	}
	if first == nil {
		return job{}, p.opts.Interval
	}
	if wait := first.due.Sub(now); wait > 0 {
		return job{}, min(wait, p.opts.Interval)
	}
	first.busy = true
	return job{first, first.cfg, first.kind}, 0
}

// interval returns the time between two probes of t. It grows with the number of
// endpoints so that MaxRate holds.
func (p *Prober) interval(t *target) time.Duration {
	weight := 0.0
	for _, o := range p.targets {
		weight += 1 / p.factor(o)
	}
	seconds := max(p.opts.Interval.Seconds(), weight/p.opts.MaxProbesPerSecond) * p.factor(t)
	return time.Duration(seconds * float64(time.Second))
}

func (p *Prober) factor(t *target) float64 {
	if t.cfg.Domain == p.opts.Domain {
		return 1
	}
	return remoteFactor
}

func (p *Prober) probe(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	load, err := p.client.load(ctx, j.cfg, j.kind)
	if err != nil && context.Cause(ctx) == context.Canceled {
		return // the prober stops
	}
	p.record(j.target, j.cfg, load, err)
}

// record evaluates a probe. The pool and the callback are told without the lock.
func (p *Prober) record(t *target, cfg config.Endpoint, load routing.Load, err error) {
	p.mu.Lock()
	now, interval := time.Now(), p.interval(t)
	t.busy = false
	t.due = now.Add(time.Duration(float64(interval) * (1 + jitter*(2*rand.Float64()-1))))
	if p.targets[cfg.ID] != t {
		p.mu.Unlock()
		return // the endpoint was removed or replaced meanwhile
	}
	wasDown, died, before := t.down, false, t.incarnation
	switch {
	case err == nil:
		died = before != "" && before != load.Incarnation && !t.reported
		t.failed, t.down, t.incarnation, t.reported = 0, false, load.Incarnation, false
	case refused(err):
		died = !t.reported
		t.failed, t.down, t.reported = t.failed+1, true, true
	default:
		t.failed++
		t.down = t.down || t.failed >= silentProbes
	}
	down := t.down
	p.mu.Unlock()

	p.probes.WithLabelValues(resultOf(err)).Inc()
	if died && p.onDied != nil {
		p.onDied(cfg.ID, before)
	}
	switch {
	case down:
		p.pool.MarkDown(cfg.ID, now.Add(downFactor*interval))
	case err == nil:
		if wasDown {
			p.pool.MarkDown(cfg.ID, time.Time{})
		}
		p.pool.Observe(cfg.ID, load)
	}
	if wasDown != down {
		p.log.WithFields(logrus.Fields{"endpoint": cfg.ID, "down": down}).WithError(err).Info("endpoint changed its state")
	}
}

// pollList reads the platform's list. A failed read leaves the latest one in
// force.
func (p *Prober) pollList(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
		list, err := p.lister.Instances(callCtx, "")
		cancel()
		if err == nil {
			p.pool.SetPlatformList(list)
		}
		p.probes.WithLabelValues("list-" + resultOf(err)).Inc()
		t := time.NewTimer(time.Duration(float64(p.opts.ListInterval) * (1 + jitter*(2*rand.Float64()-1))))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}
