package quarantine

import (
	"slices"
	"sync"
	"time"

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

// NewRefusals returns refusals without combinations.
func NewRefusals(reg prometheus.Registerer) *Refusals {
	return &Refusals{refused: promauto.With(reg).NewCounter(prometheus.CounterOpts{
		Name: "clementinerack_quarantine_parts_refused_total", Help: "Requests refused because of parts of their prompts that crash endpoints.",
	})}
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
