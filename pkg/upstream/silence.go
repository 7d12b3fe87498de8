package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxSilence is the time without a byte from a failure domain after which idle connections to
// its endpoints may be dead. The system then sends the first keep-alive probe on them.
const maxSilence = keepAliveIdleInterval

// domainSounds records when something last arrived from each failure domain. It is safe for
// concurrent use.
type domainSounds struct {
	mu     sync.Mutex
	latest map[string]*domainSound
}

// domainSound is when something last arrived from a failure domain, in nanoseconds since start.
type domainSound struct {
	start time.Time
	at    atomic.Int64
}

// of returns the sound of a failure domain, nil if it has no name.
func (d *domainSounds) of(domain string) *domainSound {
	if domain == "" {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.latest[domain]
	if s == nil {
		if d.latest == nil {
			d.latest = map[string]*domainSound{}
		}
		s = &domainSound{start: time.Now().Add(-2 * maxSilence)}
		d.latest[domain] = s
	}
	return s
}

// hear records that something has arrived. The sound may be nil.
func (s *domainSound) hear() {
	if s != nil {
		s.at.Store(int64(time.Since(s.start)))
	}
}

// isSilent reports whether nothing has arrived for maxSilence. A nil sound is never silent.
func (s *domainSound) isSilent() bool {
	return s != nil && time.Since(s.start)-time.Duration(s.at.Load()) > maxSilence
}
