package lineage

import (
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// versionState is what is known of a software version of a service.
type versionState struct {
	listed bool      // endpoints of it are in use
	usedAt time.Time // when it was last listed or recorded as an origin
	stored bool      // the durable record has it
}

// knowledge says how well the possible versions are known.
type knowledge struct {
	// fresh means that the list of endpoints has all versions that began streams while listed.
	fresh bool
	// complete means that the list was followed for Retention, so that the durable record adds
	// nothing.
	complete bool
	// certain means that no version is possible beside those of possible.
	certain bool
}

// knowledge returns what is known at time now if the list was confirmed as
// catalog.Replica.Confirmed says. t.mu must be held.
func (t *Tracker) knowledge(latest, since, now time.Time) knowledge {
	var k knowledge
	k.fresh = !latest.IsZero() && now.Sub(latest) <= t.opts.Timing.MaxListAge
	k.complete = k.fresh && now.Sub(since) > t.opts.Timing.Retention
	k.certain = k.complete || k.fresh && t.record.isCertainAt(since)
	return k
}

// possible returns the versions of a service that may have begun a stream. t.mu must be held.
func (t *Tracker) possible(service string, k knowledge, now time.Time) []string {
	var versions []string
	for version, v := range t.services[service] {
		if v.listed || now.Sub(v.usedAt) <= t.opts.Timing.Retention || v.stored && !k.complete {
			versions = append(versions, version)
		}
	}
	return versions
}

// version returns the state of a version, which it creates if it is new. t.mu must be held.
func (t *Tracker) version(o Origin) *versionState {
	versions := t.services[o.Service]
	if versions == nil {
		versions = map[string]*versionState{}
		t.services[o.Service] = versions
	}
	v := versions[o.Version]
	if v == nil {
		v = &versionState{}
		versions[o.Version] = v
		t.wakeUp()
		t.opts.Log.WithField("service", o.Service).WithField("version", o.Version).Info("software version may begin streams")
	}
	return v
}

// dropVersions forgets the versions that are no longer possible. t.mu must be held.
func (t *Tracker) dropVersions(now time.Time) {
	for service, versions := range t.services {
		for version, v := range versions {
			if v.listed || v.stored || now.Sub(v.usedAt) <= t.opts.Timing.Retention {
				continue
			}
			delete(versions, version)
			t.opts.Log.WithField("service", service).WithField("version", version).Info("software version is no longer possible")
		}
		if len(versions) == 0 {
			delete(t.services, service)
		}
	}
}

// UpdateEndpoints records the endpoints in use.
func (t *Tracker) UpdateEndpoints(list catalog.EndpointList, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, versions := range t.services {
		for _, v := range versions {
			if v.listed {
				v.listed, v.usedAt = false, now
			}
		}
	}
	for _, e := range list.Endpoints {
		v := t.version(Origin{e.Service, e.SoftwareVersion})
		if v.stored && now.Sub(v.usedAt) > t.opts.Timing.Retention {
			v.stored, t.record.unsure = false, true // the first instance may have removed it
		}
		v.listed, v.usedAt = true, now
	}
	t.wakeUp()
}

// wakeUp makes Run check the versions at once.
func (t *Tracker) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default: // a check is already due
	}
}

// MayBegin reports whether new streams may begin at a version of a service: the durable record
// has it, or no other version is possible. Streams of a version that the record lacks could be
// taken for those of another one after all instances were replaced, or by an instance whose
// list of endpoints is old.
func (t *Tracker) MayBegin(service, version string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := t.services[service]
	if v := versions[version]; v != nil && v.stored {
		return true
	}
	return !slices.ContainsFunc(t.possible(service, knowledge{}, now), func(other string) bool { return other != version })
}
