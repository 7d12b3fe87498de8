package quarantine

import (
	"slices"
	"sync"
	"time"
)

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
