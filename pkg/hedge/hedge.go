// Package hedge decides when a request gets a second attempt because the first one is slow. It
// does no I/O; callers pass the time.
package hedge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// AllServices is the key of the share of services without their own in Shares.
const AllServices = "*"

// Shares are the shares of the requests that may get a second attempt, by service. A service
// without a share gets none.
type Shares map[string]float64

// Validate fails with failure.Invalid if a share is not between 0 and 1.
func (s Shares) Validate() error {
	for service, share := range s {
		if !(share >= 0 && share <= 1) { // also for NaN
			return failure.New(failure.Invalid, "give a share between 0 and 1", "the share of second attempts of service %q is %v", service, share)
		}
	}
	return nil
}

// Denial says why a request gets no second attempt.
type Denial string

// Values of Denial. None means that it may get one.
const (
	None        Denial = ""
	Limit       Denial = "limit"        // the share of the service is used
	SlowService Denial = "slow-service" // the median is over the objective
	NoRoom      Denial = "no-room"      // an endpoint lacked room recently
	RetryBudget Denial = "retry-budget"
	NoEndpoint  Denial = "no-endpoint"
	Crashes     Denial = "crashes" // requests such as this one have crashed endpoints
	Deadline    Denial = "deadline"
)

const (
	// slowQuantile is the part of the answers that arrive before a second attempt is made.
	slowQuantile = 0.95
	// minSamples is the number of answers from which a quantile is taken.
	minSamples = 20
	// maxSamples and maxSampleAge bound the answers that count.
	maxSamples   = 128
	maxSampleAge = 30 * time.Second
	// noRoomPause follows a refusal for lack of room.
	noRoomPause = 2 * time.Second
	// maxTargets bounds the targets whose answers are kept.
	maxTargets = 256
	// maxSaved bounds the second attempts that a quiet time saves up.
	maxSaved = 5
)

// Target is what the times to an answer are learnt for.
type Target struct{ Route, Service string }

// Decider decides on second attempts. It is safe for concurrent use.
type Decider struct {
	shares  Shares
	initial float64

	mu       sync.Mutex
	services map[string]*serviceState
	latency  map[Target]*samples
}

// serviceState is what is known about a service.
type serviceState struct {
	saved     float64 // second attempts that the share allows now
	fullUntil time.Time
}

// New returns a Decider. initial is the part of a second attempt that each service has saved at
// the start. Drawn at random from [0, 1), it makes the shares hold on average also over many
// instances with few requests each.
func New(shares Shares, initial float64) *Decider {
	return &Decider{shares: shares, initial: initial, services: map[string]*serviceState{}, latency: map[Target]*samples{}}
}

// Enabled reports whether requests to a service may get second attempts.
func (d *Decider) Enabled(service string) bool { return d.share(service) > 0 }

func (d *Decider) share(service string) float64 {
	if s, ok := d.shares[service]; ok {
		return s
	}
	return d.shares[AllServices]
}

// service returns the state of a service. d.mu must be held.
func (d *Decider) service(name string) *serviceState {
	s := d.services[name]
	if s == nil {
		s = &serviceState{saved: d.initial}
		d.services[name] = s
	}
	return s
}

// RecordRequest counts a request that may get a second attempt.
func (d *Decider) RecordRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	s.saved = min(maxSaved, s.saved+d.share(service))
}

// RecordFull records that an endpoint of a service refused a request for lack of room.
func (d *Decider) RecordFull(service string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(service).fullUntil = now.Add(noRoomPause)
}

// RecordAnswer records the time from the start of an attempt to its answer, or to its
// cancellation.
func (d *Decider) RecordAnswer(target Target, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.latency[target]
	if l == nil {
		if len(d.latency) >= maxTargets {
			d.forgetOld(now)
		}
		if len(d.latency) >= maxTargets {
			return
		}
		l = &samples{}
		d.latency[target] = l
	}
	l.add(took, now)
}

// forgetOld removes the targets without recent answers. d.mu must be held.
func (d *Decider) forgetOld(now time.Time) {
	maps.DeleteFunc(d.latency, func(_ Target, l *samples) bool { return now.Sub(l.newest) > maxSampleAge })
}

// Delay returns how long a first attempt is waited for before the second one. It fails with
// SlowService if second attempts cannot help.
func (d *Decider) Delay(target Target, objective time.Duration, now time.Time) (time.Duration, Denial) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var recent []time.Duration
	if l := d.latency[target]; l != nil {
		recent = l.sorted(now)
	}
	if len(recent) < minSamples {
		return objective / 2, None
	}
	slow, median := quantile(recent, slowQuantile), quantile(recent, 0.5)
	if median >= objective {
		return 0, SlowService
	}
	return min(slow, objective-median), None
}

// Check reports whether a service may get a second attempt now.
func (d *Decider) Check(service string, now time.Time) Denial {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	switch {
	case now.Before(s.fullUntil):
		return NoRoom
	case s.saved < 1:
		return Limit
	}
	return None
}

// Take counts a second attempt against the share of a service.
func (d *Decider) Take(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(service).saved--
}

// samples are the latest times to an answer.
type samples struct {
	ring   [maxSamples]sample
	next   int
	newest time.Time
}

type sample struct {
	took time.Duration
	at   time.Time
}

func (s *samples) add(took time.Duration, now time.Time) {
	s.ring[s.next] = sample{took, now}
	s.next = (s.next + 1) % maxSamples
	s.newest = now
}

// sorted returns the times that are not older than maxSampleAge, shortest first.
func (s *samples) sorted(now time.Time) []time.Duration {
	var recent []time.Duration
	for _, x := range s.ring {
		if !x.at.IsZero() && now.Sub(x.at) <= maxSampleAge {
			recent = append(recent, x.took)
		}
	}
	slices.Sort(recent)
	return recent
}

// quantile returns the value below which the part q of sorted lies.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
