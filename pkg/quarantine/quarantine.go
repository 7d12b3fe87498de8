package quarantine

import (
	"container/list"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Fingerprint identifies equal requests of a service.
type Fingerprint = [16]byte

// Options tune a Tracker. Zero fields get defaults.
type Options struct {
	// UnambiguousTTL and AmbiguousTTL are how long a fingerprint is refused.
	UnambiguousTTL, AmbiguousTTL time.Duration
	// SuspectTTL is how long after its last death a fingerprint stays suspect.
	SuspectTTL time.Duration
	// BrokenWindow is how long after its connection broke a request still counts
	// as running on the endpoint.
	BrokenWindow time.Duration
	// MaxSuspects bounds the fingerprints with deaths, MaxRunning the pairs of
	// fingerprint and endpoint that run. The oldest are dropped.
	MaxSuspects, MaxRunning int
}

const (
	defaultUnambiguous = 10 * time.Minute // docs/design.md, section 4.10
	defaultAmbiguous   = time.Minute      // docs/design.md, section 4.7
	defaultMemory      = 30 * time.Minute // longer than the longest quarantine, so that the next death refuses at once
	defaultBrokenGrace = 10 * time.Second // the prober notices a death within a few seconds
	defaultMaxSuspects = 4096
	defaultMaxRunning  = 8192 // several times the streams of one instance

	deathsToQuarantine = 2
	// unnamedDeath is the time in which reports without an incarnation are
	// about the same death.
	unnamedDeath = 10 * time.Second
	keptDeaths   = 8 // per fingerprint; only these are compared with later notices
	maxEndpoints = 4096
)

func (o Options) withDefaults() Options {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDuration(&o.UnambiguousTTL, defaultUnambiguous)
	setDuration(&o.AmbiguousTTL, defaultAmbiguous)
	setDuration(&o.SuspectTTL, defaultMemory)
	setDuration(&o.BrokenWindow, defaultBrokenGrace)
	if o.MaxSuspects <= 0 {
		o.MaxSuspects = defaultMaxSuspects
	}
	if o.MaxRunning <= 0 {
		o.MaxRunning = defaultMaxRunning
	}
	return o
}

// Notice tells other instances that a fingerprint ran on an endpoint that died.
type Notice struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Endpoint    string      `cbor:"2,keyasint" json:"endpoint"`
	Incarnation string      `cbor:"3,keyasint,omitempty" json:"incarnation,omitempty"`
	// Ambiguous means that another request may have caused the death.
	Ambiguous bool `cbor:"4,keyasint,omitempty" json:"ambiguous,omitempty"`
	// QuarantineTTL is how long the fingerprint is refused from now on; 0 means that it
	// is only suspect.
	QuarantineTTL time.Duration `cbor:"5,keyasint,omitempty" json:"for,omitempty"`
}

// Tracker counts the deaths of endpoints per fingerprint. It is safe for
// concurrent use.
type Tracker struct {
	opts  Options
	stats *stats

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	age      *list.List // of *suspect, the one with the oldest death first
	running  map[string]map[Fingerprint]*run
	order    *list.List // of *run, oldest start first
	died     map[string]death
}

type death struct {
	endpoint, incarnation string
	at                    time.Time
}

func (d death) same(o death) bool {
	if d.endpoint != o.endpoint || d.incarnation != o.incarnation {
		return false
	}
	return d.incarnation != "" || o.at.Sub(d.at).Abs() < unnamedDeath
}

type suspect struct {
	fp     Fingerprint
	deaths []death
	until  time.Time // refused before
	elem   *list.Element
}

type run struct {
	fp       Fingerprint
	endpoint string
	live     int
	broken   time.Time // when a connection broke last
	elem     *list.Element
}

// New returns an empty tracker. A nil reg leaves the metrics unregistered.
func New(opts Options, reg prometheus.Registerer) *Tracker {
	return &Tracker{
		opts: opts.withDefaults(), stats: newStats(reg),
		suspects: map[Fingerprint]*suspect{}, age: list.New(),
		running: map[string]map[Fingerprint]*run{}, order: list.New(),
		died: map[string]death{},
	}
}

// Check returns failure.Quarantined with the outcome "not run" while the
// fingerprint is refused. That outcome is about this attempt: a caller that
// sent the request before must replace it.
func (t *Tracker) Check(fp Fingerprint, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspect(fp, now)
	if s == nil || !now.Before(s.until) {
		return nil
	}
	t.stats.refused.Inc()
	return failure.New(failure.Quarantined, "change the request or repeat it after "+s.until.Sub(now).Round(time.Second).String(),
		"the request ran on %d endpoints that crashed", len(s.deaths)).WithOutcome(failure.NotRun)
}

// Suspect reports whether the fingerprint ran on an endpoint that died. Such a
// request must run isolated from other suspects.
func (t *Tracker) Suspect(fp Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect(fp, now) != nil
}

// Started records that a request is about to be sent to an endpoint.
func (t *Tracker) Started(fp Fingerprint, endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.running[endpoint]
	if runs == nil {
		runs = map[Fingerprint]*run{}
		t.running[endpoint] = runs
	}
	r := runs[fp]
	if r == nil {
		if t.order.Len() >= t.opts.MaxRunning {
			t.drop(t.order.Front().Value.(*run))
			t.running[endpoint] = runs // drop removes an endpoint without runs
		}
		r = &run{fp: fp, endpoint: endpoint}
		r.elem = t.order.PushBack(r)
		runs[fp] = r
	}
	r.live++
	if now.Sub(r.broken) > t.opts.BrokenWindow {
		r.broken = time.Time{}
	}
}

// Ended records that the endpoint outlived the request: it answered in full,
// refused it, or confirmed its cancellation. After a broken connection call
// Broken instead, because the endpoint's death shows only later.
func (t *Tracker) Ended(fp Fingerprint, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.running[endpoint][fp]
	if r == nil {
		return
	}
	// An Ended that follows a Broken of the same request must not go below 0.
	if r.live = max(0, r.live-1); r.live == 0 && r.broken.IsZero() {
		t.drop(r)
	}
}

// Broken records that the connection of a request broke. If the endpoint is
// found dead shortly after, the request counts as running on it.
func (t *Tracker) Broken(fp Fingerprint, endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.running[endpoint][fp]; r != nil {
		r.live = max(0, r.live-1)
		r.broken = now
	}
}

// EndpointDied counts a death for each fingerprint that ran on the endpoint and
// returns the notices for the other instances. incarnation is the one that died;
// further reports of the same death are ignored.
func (t *Tracker) EndpointDied(endpoint, incarnation string, now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := death{endpoint, incarnation, now}
	if last, ok := t.died[endpoint]; ok && last.same(d) {
		return nil
	}
	t.recordDeath(d)
	var ran []*run
	suspects := 0
	for _, r := range t.running[endpoint] {
		if r.live > 0 || now.Sub(r.broken) <= t.opts.BrokenWindow {
			ran = append(ran, r)
			if t.suspect(r.fp, now) != nil {
				suspects++
			}
		}
	}
	notices := make([]Notice, 0, len(ran))
	for _, r := range ran {
		// A known suspect is the likely cause unless there were several; for
		// any other request each one that ran may be the cause.
		ambiguous := len(ran) > 1
		if t.suspect(r.fp, now) != nil {
			ambiguous = suspects > 1
		}
		n := Notice{Fingerprint: r.fp, Endpoint: endpoint, Incarnation: incarnation, Ambiguous: ambiguous}
		n.QuarantineTTL = t.count(r.fp, d, ambiguous)
		notices = append(notices, n)
	}
	for _, r := range t.running[endpoint] {
		t.drop(r)
	}
	return notices
}

// ApplyNotice applies a notice of another instance. A death that is known already is
// not counted again.
func (t *Tracker) ApplyNotice(n Notice, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspect(n.Fingerprint, now) // forgets what is too old
	t.count(n.Fingerprint, death{n.Endpoint, n.Incarnation, now}, n.Ambiguous)
	if s := t.suspects[n.Fingerprint]; n.QuarantineTTL > 0 {
		t.refuse(s, now.Add(min(n.QuarantineTTL, t.opts.UnambiguousTTL)))
	}
}

// suspect returns the entry of a fingerprint unless its memory has passed.
func (t *Tracker) suspect(fp Fingerprint, now time.Time) *suspect {
	s := t.suspects[fp]
	if s != nil && now.Sub(s.deaths[len(s.deaths)-1].at) > t.opts.SuspectTTL {
		t.forget(s)
		return nil
	}
	return s
}

// count adds a death and returns how long the fingerprint is refused for it.
func (t *Tracker) count(fp Fingerprint, d death, ambiguous bool) time.Duration {
	s := t.suspects[fp]
	if s == nil {
		if t.age.Len() >= t.opts.MaxSuspects {
			t.forget(t.age.Front().Value.(*suspect))
		}
		s = &suspect{fp: fp}
		s.elem = t.age.PushBack(s)
		t.suspects[fp] = s
		t.stats.suspects.Set(float64(len(t.suspects)))
	}
	for _, known := range s.deaths {
		if known.same(d) {
			return 0
		}
	}
	s.deaths = append(s.deaths, d)
	if len(s.deaths) > keptDeaths {
		s.deaths = s.deaths[1:]
	}
	t.age.MoveToBack(s.elem)
	if len(s.deaths) < deathsToQuarantine {
		return 0
	}
	length := t.opts.UnambiguousTTL
	if ambiguous {
		length = t.opts.AmbiguousTTL
	}
	t.refuse(s, d.at.Add(length))
	return length
}

func (t *Tracker) refuse(s *suspect, until time.Time) {
	if until.After(s.until) {
		s.until = until
		t.stats.quarantines.Inc()
	}
}

func (t *Tracker) forget(s *suspect) {
	t.age.Remove(s.elem)
	delete(t.suspects, s.fp)
	t.stats.suspects.Set(float64(len(t.suspects)))
}

func (t *Tracker) drop(r *run) {
	t.order.Remove(r.elem)
	delete(t.running[r.endpoint], r.fp)
	if len(t.running[r.endpoint]) == 0 {
		delete(t.running, r.endpoint)
	}
}

func (t *Tracker) recordDeath(d death) {
	if _, known := t.died[d.endpoint]; !known && len(t.died) >= maxEndpoints {
		oldest := d
		for _, o := range t.died {
			if o.at.Before(oldest.at) {
				oldest = o
			}
		}
		delete(t.died, oldest.endpoint)
	}
	t.died[d.endpoint] = d
}

type stats struct {
	refused, quarantines prometheus.Counter
	suspects             prometheus.Gauge
}

func newStats(reg prometheus.Registerer) *stats {
	f := promauto.With(reg)
	return &stats{
		refused: f.NewCounter(prometheus.CounterOpts{
			Name: "clementinerack_quarantine_refused_total", Help: "Requests refused because of a quarantine.",
		}),
		quarantines: f.NewCounter(prometheus.CounterOpts{
			Name: "clementinerack_quarantine_total", Help: "Quarantines that began or were extended.",
		}),
		suspects: f.NewGauge(prometheus.GaugeOpts{
			Name: "clementinerack_quarantine_suspects", Help: "Fingerprints that ran on an endpoint that died.",
		}),
	}
}
