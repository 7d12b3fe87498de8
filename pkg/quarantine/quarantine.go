package quarantine

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Fingerprint identifies equal requests of a service.
type Fingerprint = [16]byte

// Options configures a Tracker. Zero values select the defaults.
type Options struct {
	// UnambiguousTTL and AmbiguousTTL are how long a fingerprint is refused
	// after a death of which it is the only likely cause, and after one that
	// another request may have caused.
	UnambiguousTTL, AmbiguousTTL time.Duration
	// SuspectTTL is how long after its last death a fingerprint remains
	// suspect.
	SuspectTTL time.Duration
	// BrokenWindow is how long a request still counts as running on its
	// endpoint after its connection broke.
	BrokenWindow time.Duration
	// MaxSuspects bounds the suspect fingerprints, and MaxRunning the pairs of
	// fingerprint and endpoint that are recorded as running. The oldest are
	// dropped.
	MaxSuspects, MaxRunning int
}

const (
	defaultUnambiguousTTL = 10 * time.Minute // docs/design.md, section 4.10
	defaultAmbiguousTTL   = time.Minute      // docs/design.md, section 4.7
	defaultSuspectTTL     = 30 * time.Minute // longer than the longest quarantine, so that the next death starts another one at once
	defaultBrokenWindow   = 10 * time.Second // the prober notices a death within a few seconds
	defaultMaxSuspects    = 4096
	defaultMaxRunning     = 8192 // several times the concurrent streams of one instance

	// deathsToQuarantine is the number of deaths after which a fingerprint is
	// refused.
	deathsToQuarantine = 2
	// unidentifiedDeathWindow is the time within which reports without an
	// incarnation count as the same death.
	unidentifiedDeathWindow = 10 * time.Second
	// traitReviewDelay is the time after a death in which most sound requests survive at
	// other endpoints.
	traitReviewDelay    = 250 * time.Millisecond
	maxDeathsPerSuspect = 8    // only these are compared with later notices
	maxLastDeaths       = 4096 // endpoints whose latest death is kept
)

func (o Options) withDefaults() Options {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDuration(&o.UnambiguousTTL, defaultUnambiguousTTL)
	setDuration(&o.AmbiguousTTL, defaultAmbiguousTTL)
	setDuration(&o.SuspectTTL, defaultSuspectTTL)
	setDuration(&o.BrokenWindow, defaultBrokenWindow)
	if o.MaxSuspects <= 0 {
		o.MaxSuspects = defaultMaxSuspects
	}
	if o.MaxRunning <= 0 {
		o.MaxRunning = defaultMaxRunning
	}
	return o
}

// Notice informs other instances that a fingerprint ran on an endpoint that died.
type Notice struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Endpoint    string      `cbor:"2,keyasint" json:"endpoint"`
	Incarnation string      `cbor:"3,keyasint,omitempty" json:"incarnation,omitempty"`
	// Ambiguous means that another request may have caused the death.
	Ambiguous bool `cbor:"4,keyasint,omitempty" json:"ambiguous,omitempty"`
	// QuarantineTTL is how long the receiver refuses the fingerprint, at most
	// UnambiguousTTL; 0 means that it is only suspect.
	QuarantineTTL time.Duration `cbor:"5,keyasint,omitempty" json:"for,omitempty"`
	// Traits are those of the requests with the fingerprint.
	Traits []Trait `cbor:"6,keyasint,omitempty" json:"traits,omitempty"`
}

// Tracker counts the deaths of endpoints per fingerprint. It is safe for
// concurrent use.
type Tracker struct {
	opts    Options
	metrics *metrics

	mu              sync.Mutex
	suspects        map[Fingerprint]*suspect
	suspectsByDeath *list.List                      // of *suspect, oldest last death first
	runs            map[string]map[Fingerprint]*run // by endpoint
	runsByStart     *list.List                      // of *run, oldest start first
	lastDeaths      map[string]death                // by endpoint
	attribution     Attribution
	reviewAt        time.Time // when the deaths are attributed; zero if that is done
	survivals       *Survivals
	refusals        *Refusals
}

// death is one death of an endpoint. The incarnation is empty if it is unknown.
type death struct {
	endpoint, incarnation string
	diedAt                time.Time
}

// isSameAs reports whether d and o are reports of the same death.
func (d death) isSameAs(o death) bool {
	if d.endpoint != o.endpoint || d.incarnation != o.incarnation {
		return false
	}
	return d.incarnation != "" || o.diedAt.Sub(d.diedAt).Abs() < unidentifiedDeathWindow
}

// suspect is a fingerprint that ran on an endpoint that died.
type suspect struct {
	fp           Fingerprint
	deaths       []death
	refusedUntil time.Time // end of the quarantine; zero if there was none
	elem         *list.Element
}

// run records the requests with a fingerprint that run on an endpoint.
type run struct {
	fp       Fingerprint
	endpoint string
	traits   []Trait
	active   int       // number of running requests
	brokenAt time.Time // when a connection last broke; zero if none did recently
	elem     *list.Element
}

// New returns an empty tracker. A nil reg leaves the metrics unregistered.
func New(opts Options, reg prometheus.Registerer) *Tracker {
	return &Tracker{
		opts: opts.withDefaults(), metrics: newMetrics(reg),
		suspects: map[Fingerprint]*suspect{}, suspectsByDeath: list.New(),
		runs: map[string]map[Fingerprint]*run{}, runsByStart: list.New(),
		lastDeaths: map[string]death{}, survivals: NewSurvivals(), refusals: NewRefusals(reg),
	}
}

// Survivals returns the latest survivals.
func (t *Tracker) Survivals() *Survivals { return t.survivals }

// Refusals returns what the tracker refuses because of traits. Combinations that other
// packages add are refused too.
func (t *Tracker) Refusals() *Refusals { return t.refusals }

// Check returns failure.Quarantined with the outcome failure.NotRun while the
// fingerprint is refused. The outcome refers to this attempt only: a caller
// that has already sent the request must replace it.
func (t *Tracker) Check(fp Fingerprint, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookupSuspect(fp, now)
	if s == nil || !now.Before(s.refusedUntil) || t.hasSurvived(s) {
		return nil
	}
	t.metrics.refused.Inc()
	return failure.New(failure.Quarantined, "change the request or repeat it after "+s.refusedUntil.Sub(now).Round(time.Second).String(),
		"the request ran on %d endpoints that crashed", len(s.deaths)).WithOutcome(failure.NotRun)
}

// hasSurvived reports whether an endpoint survived an equal request after the last death of
// a suspect, or so shortly before it that the suspect is not the cause.
func (t *Tracker) hasSurvived(s *suspect) bool {
	at, ok := t.survivals.Latest(IdentifyingTrait(s.fp))
	return ok && s.deaths[len(s.deaths)-1].diedAt.Before(at.Add(survivalLookback))
}

// IsSuspect reports whether the fingerprint ran on an endpoint that died. Such a
// request must not share an endpoint with other suspects.
func (t *Tracker) IsSuspect(fp Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.lookupSuspect(fp, now)
	return s != nil && !t.hasSurvived(s)
}

// RecordStart records that a request is about to be sent to an endpoint.
func (t *Tracker) RecordStart(fp Fingerprint, endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.runs[endpoint]
	if runs == nil {
		runs = map[Fingerprint]*run{}
		t.runs[endpoint] = runs
	}
	r := runs[fp]
	if r == nil {
		if t.runsByStart.Len() >= t.opts.MaxRunning {
			t.removeRun(t.runsByStart.Front().Value.(*run))
			t.runs[endpoint] = runs // removeRun deletes the map of an endpoint without runs
		}
		r = &run{fp: fp, endpoint: endpoint}
		r.elem = t.runsByStart.PushBack(r)
		runs[fp] = r
	}
	r.active++
	if now.Sub(r.brokenAt) > t.opts.BrokenWindow {
		r.brokenAt = time.Time{}
	}
}

// RecordTraits records the traits of a request after RecordStart.
func (t *Tracker) RecordTraits(fp Fingerprint, endpoint string, traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[endpoint][fp]; r != nil {
		r.traits = traits
	}
}

// RecordSurvival records that an endpoint survived a request with the given traits, among
// them its IdentifyingTrait.
func (t *Tracker) RecordSurvival(traits []Trait, now time.Time) { t.survivals.Record(traits, now) }

// CheckTraits is like Check for requests that share traits with those that crashed
// endpoints.
func (t *Tracker) CheckTraits(traits []Trait, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reviewAt.IsZero() && !now.Before(t.reviewAt) {
		t.attributeDeaths(now)
	}
	return t.refusals.Check(traits, now)
}

// attributeDeaths refuses the traits that crash endpoints.
func (t *Tracker) attributeDeaths(now time.Time) {
	t.reviewAt = time.Time{}
	for _, suspect := range t.attribution.Suspects() {
		if at, ok := t.survivals.Latest(suspect); ok {
			t.attribution.RecordSurvival(suspect, at)
		}
	}
	for _, c := range t.attribution.Culprits() {
		t.refusals.Add(c.Traits, c.LastDeath, now.Add(t.opts.UnambiguousTTL))
	}
}

// recordTraitDeath adds a death to those that are attributed once sound requests with the
// same traits had time to survive elsewhere.
func (t *Tracker) recordTraitDeath(endpoint string, traits []Trait, now time.Time) {
	if len(traits) == 0 {
		return
	}
	t.attribution.RecordDeath(endpoint, traits, now)
	if t.reviewAt.IsZero() {
		t.reviewAt = now.Add(traitReviewDelay)
	}
}

// RecordEnd records that the endpoint survived the request: it answered completely,
// refused it, or confirmed its cancellation. RecordBrokenConnection must be called
// instead if the connection broke, because a death of the endpoint is detected only
// later.
func (t *Tracker) RecordEnd(fp Fingerprint, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[endpoint][fp]
	if r == nil {
		return
	}
	// RecordEnd can follow RecordBrokenConnection for the same request, so the
	// count must not go below 0.
	if r.active = max(0, r.active-1); r.active == 0 && r.brokenAt.IsZero() {
		t.removeRun(r)
	}
}

// RecordBrokenConnection records that the connection of a request broke. If the endpoint is
// found dead within BrokenWindow, the request counts as running on it.
func (t *Tracker) RecordBrokenConnection(fp Fingerprint, endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[endpoint][fp]; r != nil {
		r.active = max(0, r.active-1)
		r.brokenAt = now
	}
}

// RecordEndpointDeath counts a death for each fingerprint that ran on the endpoint and
// returns the notices for the other instances. incarnation is the one that
// died, or empty if it is unknown; repeated reports of a death are ignored.
func (t *Tracker) RecordEndpointDeath(endpoint, incarnation string, now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := death{endpoint, incarnation, now}
	if last, ok := t.lastDeaths[endpoint]; ok && last.isSameAs(d) {
		return nil
	}
	t.setLastDeath(d)
	var ran []*run
	suspects := 0
	for _, r := range t.runs[endpoint] {
		if r.active > 0 || now.Sub(r.brokenAt) <= t.opts.BrokenWindow {
			ran = append(ran, r)
			if t.lookupSuspect(r.fp, now) != nil {
				suspects++
			}
		}
	}
	notices := make([]Notice, 0, len(ran))
	for _, r := range ran {
		// A suspect is the likely cause unless several suspects ran. For any
		// other request, each request that ran may be the cause.
		ambiguous := len(ran) > 1
		if t.lookupSuspect(r.fp, now) != nil {
			ambiguous = suspects > 1
		}
		n := Notice{Fingerprint: r.fp, Endpoint: endpoint, Incarnation: incarnation, Ambiguous: ambiguous}
		n.QuarantineTTL = t.addDeath(r.fp, d, ambiguous)
		if len(r.traits) > 0 {
			n.Traits = append(slices.Clone(r.traits), IdentifyingTrait(r.fp))
		}
		t.recordTraitDeath(endpoint, n.Traits, now)
		notices = append(notices, n)
	}
	for _, r := range t.runs[endpoint] {
		t.removeRun(r)
	}
	return notices
}

// ApplyNotice applies a notice of another instance. A death that is already
// known is not counted again.
func (t *Tracker) ApplyNotice(n Notice, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookupSuspect(n.Fingerprint, now) // removes an expired suspect
	t.addDeath(n.Fingerprint, death{n.Endpoint, n.Incarnation, now}, n.Ambiguous)
	t.recordTraitDeath(n.Endpoint, n.Traits, now)
	if s := t.suspects[n.Fingerprint]; n.QuarantineTTL > 0 {
		t.extendQuarantine(s, now.Add(min(n.QuarantineTTL, t.opts.UnambiguousTTL)))
	}
}

// lookupSuspect returns the suspect with the fingerprint, or nil. It removes
// the suspect if SuspectTTL has passed.
func (t *Tracker) lookupSuspect(fp Fingerprint, now time.Time) *suspect {
	s := t.suspects[fp]
	if s != nil && now.Sub(s.deaths[len(s.deaths)-1].diedAt) > t.opts.SuspectTTL {
		t.removeSuspect(s)
		return nil
	}
	return s
}

// addDeath counts a death and returns how long the fingerprint is refused for
// it.
func (t *Tracker) addDeath(fp Fingerprint, d death, ambiguous bool) time.Duration {
	s := t.suspects[fp]
	if s == nil {
		if t.suspectsByDeath.Len() >= t.opts.MaxSuspects {
			t.removeSuspect(t.suspectsByDeath.Front().Value.(*suspect))
		}
		s = &suspect{fp: fp}
		s.elem = t.suspectsByDeath.PushBack(s)
		t.suspects[fp] = s
		t.metrics.suspects.Set(float64(len(t.suspects)))
	}
	for _, known := range s.deaths {
		if known.isSameAs(d) {
			return 0
		}
	}
	s.deaths = append(s.deaths, d)
	if len(s.deaths) > maxDeathsPerSuspect {
		s.deaths = s.deaths[1:]
	}
	t.suspectsByDeath.MoveToBack(s.elem)
	if len(s.deaths) < deathsToQuarantine {
		return 0
	}
	ttl := t.opts.UnambiguousTTL
	if ambiguous {
		ttl = t.opts.AmbiguousTTL
	}
	t.extendQuarantine(s, d.diedAt.Add(ttl))
	return ttl
}

func (t *Tracker) extendQuarantine(s *suspect, until time.Time) {
	if until.After(s.refusedUntil) {
		s.refusedUntil = until
		t.metrics.quarantines.Inc()
	}
}

func (t *Tracker) removeSuspect(s *suspect) {
	t.suspectsByDeath.Remove(s.elem)
	delete(t.suspects, s.fp)
	t.metrics.suspects.Set(float64(len(t.suspects)))
}

func (t *Tracker) removeRun(r *run) {
	t.runsByStart.Remove(r.elem)
	delete(t.runs[r.endpoint], r.fp)
	if len(t.runs[r.endpoint]) == 0 {
		delete(t.runs, r.endpoint)
	}
}

// setLastDeath stores the latest death of an endpoint. It drops the oldest
// one if there are too many.
func (t *Tracker) setLastDeath(d death) {
	if _, known := t.lastDeaths[d.endpoint]; !known && len(t.lastDeaths) >= maxLastDeaths {
		oldest := d
		for _, o := range t.lastDeaths {
			if o.diedAt.Before(oldest.diedAt) {
				oldest = o
			}
		}
		delete(t.lastDeaths, oldest.endpoint)
	}
	t.lastDeaths[d.endpoint] = d
}

type metrics struct {
	refused, quarantines prometheus.Counter
	suspects             prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
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
