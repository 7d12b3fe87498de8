package catalog

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// OutDomain is a failure domain that the operator has taken out of use. Since is the store
// revision of the request to do so.
type OutDomain struct {
	Name  string `cbor:"1,keyasint"`
	Since uint64 `cbor:"2,keyasint"`
}

// DomainSet holds the failure domains out of use, by name, as of a revision of the store. The
// revision is 0 if nothing is known.
type DomainSet struct {
	Revision uint64      `cbor:"1,keyasint"`
	Out      []OutDomain `cbor:"2,keyasint,omitempty"`
}

// since returns the revision at which a domain was taken out of use, or 0 if it is in use.
func (s DomainSet) since(name string) uint64 {
	if i := slices.IndexFunc(s.Out, func(d OutDomain) bool { return d.Name == name }); i >= 0 {
		return s.Out[i].Since
	}
	return 0
}

// digest returns a hash of the domains that does not depend on the revision, and 0 if nothing
// is known.
func (s DomainSet) digest() uint64 {
	if s.Revision == 0 {
		return 0
	}
	h := fnv.New64a()
	if data, err := peer.Marshal(s.Out); err == nil { // []OutDomain can always be encoded
		_, _ = h.Write(data) // hash.Hash.Write never fails
	}
	return h.Sum64() | 1
}

const (
	// outHoldTime is how long a domain stays out of use that a restored store does not list. It
	// exceeds the time in which the operator writes again what is gone.
	outHoldTime = 5 * time.Second
	// inUseHoldTime is how long a domain stays in use that a restored store lists. It is
	// shorter, because this instance may have missed that the domain was taken out of use.
	inUseHoldTime = 2 * time.Second
)

// domainState decides which failure domains are out of use.
type domainState struct {
	listed  DomainSet             // latest set of the store or of another instance
	inForce DomainSet             // listed with the disputed domains as they were before
	dispute map[string]heldDomain // by name
}

// heldDomain is a domain whose state differs between the former era of the store and the first
// set of the current one. The former state holds until the store changes it, or until a time.
type heldDomain struct {
	formerSince uint64 // 0 if it was in use
	listedSince uint64 // 0 if the store does not list it
	until       time.Time
}

// replace replaces the listed set and reports whether the domains in force have changed. A set
// of an older revision is ignored, and so is one of the same revision unless sameRevision is
// set.
func (s *domainState) replace(set DomainSet, sameRevision bool, now time.Time) (changed bool) {
	if set.Revision == 0 || set.Revision < s.listed.Revision || set.Revision == s.listed.Revision && !sameRevision {
		return false
	}
	if s.listed.Revision > 0 && kvstore.EraOf(set.Revision) > kvstore.EraOf(s.listed.Revision) {
		s.hold(set, now)
	}
	maps.DeleteFunc(s.dispute, func(name string, d heldDomain) bool { return set.since(name) != d.listedSince })
	s.listed = set
	return s.decide(now)
}

// hold keeps the state of the domains on which the first set of a new era differs.
func (s *domainState) hold(set DomainSet, now time.Time) {
	s.dispute = map[string]heldDomain{}
	for _, d := range s.inForce.Out {
		if set.since(d.Name) == 0 {
			s.dispute[d.Name] = heldDomain{formerSince: d.Since, until: now.Add(outHoldTime)}
		}
	}
	for _, d := range set.Out {
		if s.inForce.since(d.Name) == 0 {
			s.dispute[d.Name] = heldDomain{listedSince: d.Since, until: now.Add(inUseHoldTime)}
		}
	}
}

// decide ends the holds whose time is over, and reports whether the domains in force have
// changed.
func (s *domainState) decide(now time.Time) (changed bool) {
	maps.DeleteFunc(s.dispute, func(_ string, d heldDomain) bool { return !now.Before(d.until) })
	set := DomainSet{Revision: s.listed.Revision}
	for _, d := range s.listed.Out {
		if _, isHeld := s.dispute[d.Name]; !isHeld {
			set.Out = append(set.Out, d)
		}
	}
	for name, d := range s.dispute {
		if d.formerSince > 0 {
			set.Out = append(set.Out, OutDomain{name, d.formerSince})
		}
	}
	slices.SortFunc(set.Out, func(a, b OutDomain) int { return cmp.Compare(a.Name, b.Name) })
	changed = set.digest() != s.inForce.digest()
	s.inForce = set
	return changed
}

// Domains returns the failure domains out of use. The revision is 0 if nothing is known yet.
func (r *Replica) Domains() DomainSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.domains.inForce
}

// applyDomains replaces the failure domains out of use unless set is older. from names the
// store or the address of a peer in the log, and age is how old the knowledge of that peer
// may be. sameRevision is set if the sender decides for this instance.
func (r *Replica) applyDomains(set DomainSet, from string, age time.Duration, sameRevision bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, now := r.domains.inForce, time.Now()
	changed := r.domains.replace(set, sameRevision, now)
	if kvstore.EraOf(set.Revision) > kvstore.EraOf(previous.Revision) && len(r.domains.dispute) > 0 {
		r.opts.Log.WithField("domains", slices.Sorted(maps.Keys(r.domains.dispute))).WithField("revision", set.Revision).
			Info("failure domains keep their state for a while after the store returned from a copy")
		for _, hold := range []time.Duration{inUseHoldTime, outHoldTime} {
			time.AfterFunc(hold, r.endDomainHolds)
		}
	}
	if changed {
		r.publishDomains(previous, from, age)
	}
}

// endDomainHolds ends the holds of domains whose time is over.
func (r *Replica) endDomainHolds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.domains.inForce
	if r.domains.decide(time.Now()) {
		r.publishDomains(previous, "hold", 0)
	}
}

// publishDomains passes the domains out of use on. r.mu must be held.
func (r *Replica) publishDomains(previous DomainSet, from string, age time.Duration) {
	current := r.domains.inForce
	log := r.opts.Log.WithFields(logrus.Fields{"revision": current.Revision, "from": from, "age_ms": age.Milliseconds()})
	for _, d := range current.Out {
		if previous.since(d.Name) == 0 {
			log.WithField("failure_domain", d.Name).WithField("since", d.Since).Info("failure domain out of use")
		}
	}
	for _, d := range previous.Out {
		if current.since(d.Name) == 0 {
			log.WithField("failure_domain", d.Name).Info("failure domain back in use")
		}
	}
	r.notifyWaiters()
	if r.opts.OnDomains != nil {
		r.opts.OnDomains(current)
	}
}
