package catalog

import (
	"slices"
	"time"
)

// process identifies one process of an endpoint.
type process struct {
	id, address string
	started     int64
}

func processOf(e Endpoint) process { return process{e.ID, e.Address, e.Started} }

// departedTTL is how long departed endpoints are remembered. It exceeds the age of the copies
// that the source returns to.
const departedTTL = time.Minute

// departedEndpoints remembers the endpoints that are no longer in use. A source that returns
// from an older copy lists them again until their registrations expire, as nobody renews them.
type departedEndpoints struct {
	at        map[process]time.Time // when each went out of use
	hidden    map[process]bool      // listed by the copy
	hideUntil time.Time
}

// record updates the memory after the endpoints in use have changed.
func (d *departedEndpoints) record(previous, inUse []Endpoint, now time.Time) {
	if d.at == nil {
		d.at = map[process]time.Time{}
	}
	for p, at := range d.at {
		if now.Sub(at) > departedTTL {
			delete(d.at, p)
		}
	}
	for _, e := range previous {
		d.at[processOf(e)] = now
	}
	for _, e := range inUse {
		delete(d.at, processOf(e))
	}
}

// removeHidden returns the endpoints without the hidden ones.
func (d *departedEndpoints) removeHidden(endpoints []Endpoint) []Endpoint {
	if len(d.hidden) == 0 {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e Endpoint) bool { return d.hidden[processOf(e)] })
}

// hideDeparted keeps the departed endpoints of list, the first one after the source returned
// from an older copy, out of use for RegistrationTTL. An endpoint that is listed after that
// runs. r.mu must be held.
func (r *Replica) hideDeparted(list EndpointList, now time.Time) {
	hidden := map[process]bool{}
	for _, e := range list.Endpoints {
		if _, ok := r.departed.at[processOf(e)]; ok {
			hidden[processOf(e)] = true
		}
	}
	r.departed.hidden, r.departed.hideUntil = hidden, now.Add(r.opts.Timing.RegistrationTTL)
	if len(hidden) == 0 {
		return
	}
	time.AfterFunc(r.opts.Timing.RegistrationTTL, r.revealDeparted)
	r.opts.Log.WithField("endpoints", len(hidden)).WithField("revision", list.Revision).Info("endpoints that had left before the store returned from a copy stay out of use for a while")
}

// revealDeparted ends hideDeparted if its time is over.
func (r *Replica) revealDeparted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.departed.hideUntil) {
		return // the source has returned from another copy meanwhile
	}
	r.departed.hidden = nil
	r.updateInUse()
}
