package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// maxRefusals bounds the combinations that are refused at once. The oldest are dropped.
const maxRefusals = 64

// Refusals refuses requests that match a combination, each for a while. It is safe for
// concurrent use.
type Refusals struct {
	refused prometheus.Counter

	mu      sync.Mutex
	entries []refusal // oldest first
}

type refusal struct {
	Combination
	until time.Time
}

// Matching returns the combinations that are refused at time now and that a request with
// the given traits matches.
func (r *Refusals) Matching(traits []Trait, now time.Time) []Combination {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []Combination
	for _, e := range r.entries {
		if now.Before(e.until) && e.Matches(traits) {
			matching = append(matching, e.Combination)
		}
	}
	return matching
}

// Lift ends the refusal of c at time now, if there is one.
func (r *Refusals) Lift(c Combination, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, e := range r.entries {
		if slices.Equal(e.Combination, c) && now.Before(e.until) {
			r.entries[i].until = now
		}
	}
}

// NewRefusals returns refusals without combinations.
func NewRefusals(reg prometheus.Registerer) *Refusals {
	r := &Refusals{refused: promauto.With(reg).NewCounter(prometheus.CounterOpts{
		Name: "clementinerack_quarantine_parts_refused_total", Help: "Requests refused because of parts of their prompts that crash endpoints.",
	})}
	return r
}

// Add refuses requests that match c until the given time. It reports whether they were
// not refused before. evidence is the time of the latest death under c; a refusal that
// has ended starts again only after a later death.
func (r *Refusals) Add(c Combination, evidence, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.entries, func(e refusal) bool { return slices.Equal(e.Combination, c) })
	if i >= 0 {
		if !evidence.After(r.entries[i].until) {
			return false
		}
		r.entries = slices.Delete(r.entries, i, i+1)
	}
	if len(r.entries) == maxRefusals {
		r.entries = slices.Delete(r.entries, 0, 1)
	}
	r.entries = append(r.entries, refusal{c, until})
	return true
}

// Active returns the combinations that are refused at time now.
func (r *Refusals) Active(now time.Time) []Combination {
	r.mu.Lock()
	defer r.mu.Unlock()
	var active []Combination
	for _, e := range r.entries {
		if now.Before(e.until) {
			active = append(active, e.Combination)
		}
	}
	return active
}

// Check returns failure.Quarantined with the outcome failure.NotRun if a request with
// the given traits is refused. The outcome refers to this attempt only.
func (r *Refusals) Check(traits []Trait, now time.Time) error {
	if len(traits) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if now.Before(e.until) && e.Matches(traits) {
			r.refused.Inc()
			return failure.New(failure.Quarantined, "change the prompt or repeat the request after "+e.until.Sub(now).Round(time.Second).String(),
				"endpoints crash on %s of the prompt", e.Combination).WithOutcome(failure.NotRun)
		}
	}
	return nil
}

// Key returns a text that identifies the combination.
func (c Combination) Key() string {
	var b strings.Builder
	for i, t := range c {
		if i > 0 {
			b.WriteByte('-')
		}
		b.WriteString(strconv.FormatUint(uint64(t), 16))
	}
	return b.String()
}

// String describes the combination in messages.
func (c Combination) String() string { return "parts " + strings.ReplaceAll(c.Key(), "-", " with ") }

// ErrNoTraits means that a combination is empty and would match no request.
var ErrNoTraits = errors.New("combination without traits")

// Validate checks a combination of another instance or of the store.
func (c Combination) Validate() error {
	if len(c) == 0 {
		return ErrNoTraits
	}
	return nil
}

// maxSurvivals bounds the traits whose latest survival is kept.
const maxSurvivals = 8192

// Survivals keeps the time at which an endpoint last survived a request with each trait.
// It is safe for concurrent use.
type Survivals struct {
	mu     sync.Mutex
	latest map[Trait]time.Time
	// order holds the traits in the order in which they were added to latest.
	order []Trait
}

// NewSurvivals returns an empty record.
func NewSurvivals() *Survivals { return &Survivals{latest: map[Trait]time.Time{}} }

// Record records that an endpoint survived a request with the given traits.
func (s *Survivals) Record(traits []Trait, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range traits {
		if _, known := s.latest[t]; !known {
			s.order = append(s.order, t)
		}
		s.latest[t] = now
	}
	if n := len(s.order) - maxSurvivals; n > 0 {
		for _, t := range s.order[:n] {
			delete(s.latest, t)
		}
		s.order = slices.Delete(s.order, 0, n)
	}
}

// Latest returns when an endpoint last survived a request with the trait; ok is false if
// that is not known.
func (s *Survivals) Latest(t Trait) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok = s.latest[t]
	return at, ok
}
