package routing

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// waiter is a request in a queue. The pool's mutex guards slot and err until ready
// is closed.
type waiter struct {
	req   Request
	entry *admission.Entry[*waiter]
	ready chan struct{}
	slot  *Slot
	err   error
}

func (w *waiter) finish(slot *Slot, err error) {
	w.slot, w.err = slot, err
	close(w.ready)
}

// Acquire waits for a slot. It returns failure.NoEndpoint if no endpoint accepts
// the request, failure.Limited if the queue is full or the request is not expected
// to start before its deadline, and failure.Timeout if the deadline passes or ctx
// ends. After any error, nothing was sent to an endpoint.
func (p *Pool) Acquire(ctx context.Context, req Request) (*Slot, error) {
	req.Priority = min(max(req.Priority, High), Low)
	if err := ctx.Err(); err != nil {
		return nil, timeoutError(req, "the request was cancelled before it was queued")
	}
	slot, w, err := p.acquireOrEnqueue(req)
	if w != nil {
		slot, err = p.waitForSlot(ctx, w)
	}
	p.metrics.countAcquire(req.Service, err)
	return slot, err
}

// acquireOrEnqueue returns a slot if one is free, an error if the request must be
// refused, or else a waiter in the queue.
func (p *Pool) acquireOrEnqueue(req Request) (*Slot, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	svc := p.services[req.Service]
	if svc == nil {
		return nil, nil, noEndpointError(req)
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return nil, nil, timeoutError(req, "the deadline passed before an endpoint was chosen")
	}
	e, usable := p.chooseEndpoint(svc, req, now)
	if e != nil {
		return p.takeSlot(svc, e, req), nil, nil
	}
	if usable == 0 {
		return nil, nil, noEndpointError(req)
	}
	if !svc.canMeetDeadline(req, usable, now) {
		return nil, nil, failure.New(failure.Limited, "repeat later or allow more time",
			"service %q cannot start the request before its deadline", req.Service).WithCause(failure.CauseQueue)
	}
	w := &waiter{req: req, ready: make(chan struct{})}
	entry, evicted, ok := svc.queue.Push(req.claim(), w)
	if !ok {
		return nil, nil, queueFullError(req)
	}
	if evicted != nil {
		evicted.Value.finish(nil, queueFullError(evicted.Value.req))
	}
	w.entry = entry
	p.metrics.queueLength.WithLabelValues(svc.name).Set(float64(svc.queue.Len()))
	return nil, w, nil
}

func (p *Pool) waitForSlot(ctx context.Context, w *waiter) (*Slot, error) {
	var expired <-chan time.Time
	if !w.req.Deadline.IsZero() {
		t := time.NewTimer(w.req.Deadline.Sub(p.opts.Now()))
		defer t.Stop()
		expired = t.C
	}
	for {
		recheck := p.newRecheckTimer(w)
		select {
		case <-w.ready:
			recheck.Stop()
			return w.slot, w.err
		case <-recheck.C:
			p.mu.Lock()
			p.dispatchFreeSlots()
			p.mu.Unlock()
			continue
		case <-expired:
		case <-ctx.Done():
		}
		recheck.Stop()
		return p.abandonWait(w)
	}
}

// maxRecheckInterval bounds the time after which a waiter checks the queue by
// itself.
const maxRecheckInterval = time.Minute

// newRecheckTimer returns a timer that fires when the next endpoint of the service
// is no longer marked down, because no other event serves the queue at that time.
func (p *Pool) newRecheckTimer(w *waiter) *time.Timer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, interval := p.opts.Now(), maxRecheckInterval
	if svc := p.services[w.req.Service]; svc != nil {
		for _, e := range svc.endpoints {
			if d := e.downUntil.Sub(now); d > 0 {
				interval = min(interval, d)
			}
		}
	}
	return time.NewTimer(interval)
}

// abandonWait removes a waiter whose deadline has passed or whose context has
// ended. If it got a slot at the same moment, the slot is returned.
func (p *Pool) abandonWait(w *waiter) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.ready:
		return w.slot, w.err
	default:
	}
	if svc := p.services[w.req.Service]; svc != nil {
		svc.queue.Remove(w.entry)
		p.metrics.queueLength.WithLabelValues(svc.name).Set(float64(svc.queue.Len()))
	}
	return nil, timeoutError(w.req, "the deadline passed or the request was cancelled in the queue")
}

func (p *Pool) takeSlot(svc *service, e *endpoint, req Request) *Slot {
	e.inFlight++
	e.runsIsolated = e.runsIsolated || req.Isolate
	p.metrics.inFlight.WithLabelValues(e.cfg.ID).Set(float64(e.inFlight))
	return &Slot{Endpoint: e.cfg, pool: p, service: svc, target: e, isolate: req.Isolate}
}

// dispatchAll serves or refuses the waiters of all services. It must be called
// when the set of usable endpoints may have changed.
func (p *Pool) dispatchAll() {
	for _, svc := range p.services {
		p.dispatchQueue(svc, true)
	}
}

// dispatchFreeSlots serves the waiters of all services after a slot became free.
func (p *Pool) dispatchFreeSlots() {
	for _, svc := range p.services {
		p.dispatchQueue(svc, false)
	}
}

// dispatchQueue serves the queue of a service in its order. A waiter that cannot use the
// free endpoints because of Exclude or Isolate does not block those behind it. Unless
// recheckAll is true, it stops when no endpoint has capacity; otherwise each release would
// search a long queue under overload.
func (p *Pool) dispatchQueue(svc *service, recheckAll bool) {
	if svc.queue.Len() == 0 {
		return
	}
	now := p.opts.Now()
	if !recheckAll && !svc.hasCapacity(now) {
		return
	}
	for _, entry := range svc.queue.Ordered() {
		w := entry.Value
		e, usable := p.chooseEndpoint(svc, w.req, now)
		switch {
		case e != nil:
			svc.queue.Serve(entry)
			w.finish(p.takeSlot(svc, e, w.req), nil)
		case usable == 0:
			svc.queue.Remove(entry)
			w.finish(nil, noEndpointError(w.req))
		}
		if !recheckAll && !svc.hasCapacity(now) {
			break
		}
	}
	p.metrics.queueLength.WithLabelValues(svc.name).Set(float64(svc.queue.Len()))
}

// hasCapacity reports whether any endpoint could take a request that sets neither
// Exclude nor Isolate.
func (s *service) hasCapacity(now time.Time) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return e.hasCapacity(s.maxInFlight, Request{}) && e.isUsable(Request{}, now)
	})
}

func noEndpointError(req Request) error {
	return failure.New(failure.NoEndpoint, "repeat later or ask the operators",
		"no endpoint of service %q accepts work", req.Service)
}

func queueFullError(req Request) error {
	return failure.New(failure.Limited, "repeat later", "the queue of service %q is full", req.Service).WithCause(failure.CauseQueue)
}

func timeoutError(req Request, message string) error {
	return failure.New(failure.Timeout, "allow more time", "service %q: %s", req.Service, message)
}
