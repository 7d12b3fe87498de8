package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxSilence is the time without a byte from a failure domain after which idle connections to
// its endpoints may be dead. The system then sends the first keep-alive probe on them.
const maxSilence = keepAliveIdleInterval

// activities holds the activity of each failure domain. It is safe for concurrent use.
type activities struct {
	mu     sync.Mutex
	latest map[string]*activity
}

// activity records when something last arrived from a failure domain. A new one is silent. Its
// methods may be called on nil, which is never silent.
type activity struct {
	created   time.Time
	arrivedAt atomic.Int64 // nanoseconds from created, or before for a new one
}

// of returns the activity of a failure domain, nil if domain is empty.
func (d *activities) of(domain string) *activity {
	if domain == "" {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.latest[domain]
	if a == nil {
		if d.latest == nil {
			d.latest = map[string]*activity{}
		}
		a = &activity{created: time.Now()}
		a.arrivedAt.Store(int64(-2 * maxSilence))
		d.latest[domain] = a
	}
	return a
}

// record records that something has arrived.
func (a *activity) record() {
	if a != nil {
		a.arrivedAt.Store(int64(time.Since(a.created)))
	}
}

// isSilent reports whether nothing has arrived for maxSilence.
func (a *activity) isSilent() bool {
	return a != nil && time.Since(a.created)-time.Duration(a.arrivedAt.Load()) > maxSilence
}
