package routing

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// waiter is a request in a queue. The pool's mutex guards done, slot and err
// until ready is closed.
type waiter struct {
	req   Request
	ready chan struct{}
	slot  *Slot
	err   error
}

func (w *waiter) finish(slot *Slot, err error) {
	w.slot, w.err = slot, err
	close(w.ready)
}

// Acquire waits for a slot. Its errors are failure.NoEndpoint when no endpoint
// accepts the request, failure.Limited when the queue is full or the deadline
// cannot be met by waiting, and failure.Timeout when the deadline passes or ctx
// ends. No error means that anything was sent to an endpoint.
func (p *Pool) Acquire(ctx context.Context, req Request) (*Slot, error) {
	req.Priority = min(max(req.Priority, High), Low)
	if err := ctx.Err(); err != nil {
		return nil, timeout(req, "the request was cancelled before it was queued")
	}
	slot, w, err := p.enter(req)
	if w != nil {
		slot, err = p.wait(ctx, w)
	}
	p.stats.count(req.Service, err)
	return slot, err
}

// enter gives a slot at once, refuses, or queues.
func (p *Pool) enter(req Request) (*Slot, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	s := p.services[req.Service]
	if s == nil {
		return nil, nil, noEndpoint(req)
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return nil, nil, timeout(req, "the deadline passed before an endpoint was chosen")
	}
	e, usable := p.choose(s, req, now)
	if e != nil {
		return p.take(s, e, req), nil, nil
	}
	if usable == 0 {
		return nil, nil, noEndpoint(req)
	}
	if !s.canMeet(req, usable, now) {
		return nil, nil, failure.New(failure.Limited, "repeat later or allow more time",
			"service %q cannot start the request before its deadline", req.Service)
	}
	if s.queued() >= p.opts.QueueLimit && !s.displace(req) {
		return nil, nil, queueFull(req)
	}
	w := &waiter{req: req, ready: make(chan struct{})}
	s.queue[req.Priority] = append(s.queue[req.Priority], w)
	p.stats.queued.WithLabelValues(s.name).Set(float64(s.queued()))
	return nil, w, nil
}

func (p *Pool) wait(ctx context.Context, w *waiter) (*Slot, error) {
	var expired <-chan time.Time
	if !w.req.Deadline.IsZero() {
		t := time.NewTimer(w.req.Deadline.Sub(p.opts.Now()))
		defer t.Stop()
		expired = t.C
	}
	for {
		recheck := p.recheckTimer(w)
		select {
		case <-w.ready:
			recheck.Stop()
			return w.slot, w.err
		case <-recheck.C:
			p.mu.Lock()
			p.offerRoom()
			p.mu.Unlock()
			continue
		case <-expired:
		case <-ctx.Done():
		}
		recheck.Stop()
		return p.leave(w)
	}
}

// maxRecheck bounds the time after which a waiter looks again by itself.
const maxRecheck = time.Minute

// recheckTimer fires when the next endpoint of the service is no longer marked
// down, since no other event wakes the queue then.
func (p *Pool) recheckTimer(w *waiter) *time.Timer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, wait := p.opts.Now(), maxRecheck
	if s := p.services[w.req.Service]; s != nil {
		for _, e := range s.endpoints {
			if d := e.downUntil.Sub(now); d > 0 {
				wait = min(wait, d)
			}
		}
	}
	return time.NewTimer(wait)
}

// leave removes a waiter whose time is over. A slot that it got at the same
// moment is used.
func (p *Pool) leave(w *waiter) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.ready:
		return w.slot, w.err
	default:
	}
	if s := p.services[w.req.Service]; s != nil {
		q := &s.queue[w.req.Priority]
		*q = slices.DeleteFunc(*q, func(o *waiter) bool { return o == w })
		p.stats.queued.WithLabelValues(s.name).Set(float64(s.queued()))
	}
	return nil, timeout(w.req, "the time of the request ended in the queue")
}

func (p *Pool) take(s *service, e *endpoint, req Request) *Slot {
	e.inFlight++
	e.isolated = e.isolated || req.Isolate
	p.stats.inFlight.WithLabelValues(e.cfg.ID).Set(float64(e.inFlight))
	return &Slot{Endpoint: e.cfg, pool: p, service: s, target: e, isolate: req.Isolate}
}

// reconsider serves and refuses waiters of all services after the set of usable
// endpoints may have changed.
func (p *Pool) reconsider() {
	for _, s := range p.services {
		p.dispatch(s, true)
	}
}

// offerRoom serves waiters after a slot became free.
func (p *Pool) offerRoom() {
	for _, s := range p.services {
		p.dispatch(s, false)
	}
}

// dispatch serves the queue by priority, then by arrival. A waiter that only
// excluded or isolated endpoints hold up does not block those behind it. Unless
// all waiters are to be looked at, it stops when no endpoint has room, since a
// long queue under overload would otherwise be searched at each release.
func (p *Pool) dispatch(s *service, all bool) {
	if s.queued() == 0 {
		return
	}
	now := p.opts.Now()
	room := s.hasRoom(now)
	for i := range s.queue {
		s.queue[i] = slices.DeleteFunc(s.queue[i], func(w *waiter) bool {
			if !room && !all {
				return false
			}
			e, usable := p.choose(s, w.req, now)
			switch {
			case e != nil:
				w.finish(p.take(s, e, w.req), nil)
				room = s.hasRoom(now)
			case usable == 0:
				w.finish(nil, noEndpoint(w.req))
			default:
				return false
			}
			return true
		})
	}
	p.stats.queued.WithLabelValues(s.name).Set(float64(s.queued()))
}

// hasRoom reports whether any endpoint could take a request without conditions.
func (s *service) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return e.hasRoom(s.limit, Request{}) && e.usable(Request{}, now)
	})
}

// displace refuses the latest waiter of the lowest class below req to make room.
func (s *service) displace(req Request) bool {
	for c := Low; c > req.Priority; c-- {
		if n := len(s.queue[c]); n > 0 {
			w := s.queue[c][n-1]
			s.queue[c] = s.queue[c][:n-1]
			w.finish(nil, queueFull(w.req))
			return true
		}
	}
	return false
}

func noEndpoint(req Request) error {
	return failure.New(failure.NoEndpoint, "repeat later or ask the operators",
		"no endpoint of service %q accepts work", req.Service)
}

func queueFull(req Request) error {
	return failure.New(failure.Limited, "repeat later", "the queue of service %q is full", req.Service)
}

func timeout(req Request, message string) error {
	return failure.New(failure.Timeout, "allow more time", "service %q: %s", req.Service, message)
}
