package catalog

import (
	"slices"
	"time"
)

// lapsedEndpoints are the endpoints whose registrations may have expired during an outage
// of the source: they were in use before it and are missing from the first list after it.
// They stay in use until they are listed again or until the time until.
type lapsedEndpoints struct {
	endpoints []Endpoint
	until     time.Time
}

// addTo returns listed with the lapsed endpoints. Those that are listed again are no longer
// lapsed.
func (l *lapsedEndpoints) addTo(listed []Endpoint) []Endpoint {
	if len(l.endpoints) == 0 {
		return listed
	}
	l.endpoints = missingFrom(listed, l.endpoints)
	return slices.Concat(listed, l.endpoints)
}

// missingFrom returns the candidates whose IDs listed lacks.
func missingFrom(listed, candidates []Endpoint) []Endpoint {
	ids := make(map[string]bool, len(listed))
	for _, e := range listed {
		ids[e.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(e Endpoint) bool { return ids[e.ID] })
}

// keepLapsed keeps the endpoints in use that are missing from list, the first one after an
// outage, for RecoveryWindow. r.mu must be held.
func (r *Replica) keepLapsed(list EndpointList, now time.Time) {
	missing := missingFrom(list.Endpoints, r.inUse.Endpoints)
	if len(missing) == 0 {
		return
	}
	r.lapsed = lapsedEndpoints{missing, now.Add(r.opts.Timing.RecoveryWindow)}
	// The next list may come much later than the end of the window.
	time.AfterFunc(r.opts.Timing.RecoveryWindow, r.dropLapsed)
	r.opts.Log.WithField("endpoints", len(missing)).WithField("revision", list.Revision).Info("endpoints that are missing after an outage stay in use for a while")
}

// dropLapsed drops the lapsed endpoints if their time is over.
func (r *Replica) dropLapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.lapsed.until) {
		return // a later outage has set a new time
	}
	r.lapsed = lapsedEndpoints{}
	r.updateInUse()
}
