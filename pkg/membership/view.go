package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// snapshot is an immutable state for readers.
type snapshot struct {
	live          map[string][]peer.Identity // by domain, sorted, without draining ones
	byIncarnation map[string]entry           // live ones and those that fell silent
}

type entry struct {
	id             peer.Identity
	live, draining bool
}

// Live returns the live instances of the own domain that are not draining,
// sorted by name. This instance is among them unless it is draining. The result
// must not be modified.
func (s *Service) Live() []peer.Identity { return s.LiveIn(s.self.Domain) }

// LiveIn is Live for any domain. Of other domains it has only the instances
// that exchange heartbeats with this one.
func (s *Service) LiveIn(domain string) []peer.Identity { return s.snap.Load().live[domain] }

// IsLive reports whether an incarnation was heard from within the silence time.
// Draining instances are live.
func (s *Service) IsLive(incarnation string) bool {
	return s.snap.Load().byIncarnation[incarnation].live
}

// IsDraining reports whether an incarnation last said that it is draining.
func (s *Service) IsDraining(incarnation string) bool {
	return s.snap.Load().byIncarnation[incarnation].draining
}

// Peer returns the identity of an incarnation that is the latest one known at
// its address, live or not.
func (s *Service) Peer(incarnation string) (peer.Identity, bool) {
	e, ok := s.snap.Load().byIncarnation[incarnation]
	return e.id, ok
}

// Rendezvous is the package's Rendezvous.
func (s *Service) Rendezvous(key string, among []peer.Identity) (peer.Identity, bool) {
	return Rendezvous(key, among)
}

// updateReport must be called with mu held.
func (s *Service) updateReport() {
	report := s.opts.LocalReport()
	report.Draining = report.Draining || s.draining
	if !report.equal(s.report) {
		s.report = report
		s.statusVersion++
	}
}

// refresh brings the own view and the snapshot up to date. It must be called
// with mu held.
func (s *Service) refresh() {
	if v := s.currentView(); !v.equal(s.view) {
		s.view = v
		s.viewVersion++
	}
	s.publish()
}

func (s *Service) currentView() view {
	v := view{Contacts: map[string][]string{}}
	for _, m := range s.sorted() {
		switch {
		case !m.live:
		case m.domain == s.self.Domain:
			v.Domain = append(v.Domain, m.address)
		case len(v.Contacts[m.domain]) < s.opts.ContactsPerDomain:
			v.Contacts[m.domain] = append(v.Contacts[m.domain], m.address)
		}
	}
	return v
}

func (s *Service) publish() {
	next := &snapshot{live: map[string][]peer.Identity{}, byIncarnation: map[string]entry{}}
	add := func(id peer.Identity, live, draining bool) {
		next.byIncarnation[id.Incarnation] = entry{id, live, draining}
		if live && !draining {
			next.live[id.Domain] = append(next.live[id.Domain], id)
		}
	}
	add(s.self, true, s.report.Draining)
	alive := 1
	for _, m := range s.members {
		if m.id.Incarnation == "" {
			continue
		}
		add(m.id, m.live, m.report.Draining)
		if m.live && m.domain == s.self.Domain {
			alive++
		}
	}
	for _, ids := range next.live {
		slices.SortFunc(ids, func(a, b peer.Identity) int {
			return cmp.Or(strings.Compare(a.Instance, b.Instance), strings.Compare(a.Incarnation, b.Incarnation))
		})
	}
	s.metrics.live.Set(float64(alive))
	s.snap.Store(next)
}

func (s *Service) sorted() []*member {
	all := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int { return strings.Compare(a.address, b.address) })
	return all
}

// targets returns the members that are due for a heartbeat.
func (s *Service) targets(now time.Time, step int) []*member {
	byDomain := map[string][]*member{}
	for _, m := range s.sorted() {
		byDomain[m.domain] = append(byDomain[m.domain], m)
	}
	var due []*member
	for domain, members := range byDomain {
		usable := slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return m.failed && !m.live })
		if domain != s.self.Domain && domain != "" {
			usable = s.contacts(usable)
		}
		for _, m := range usable {
			if s.due(m, now) {
				due = append(due, m)
			}
		}
		if step%stepsPerHeartbeat == 0 {
			due = append(due, probes(members)...)
		}
	}
	return due
}

// contacts returns the few members of another domain that this instance sends
// heartbeats to.
func (s *Service) contacts(members []*member) []*member {
	slices.SortStableFunc(members, func(a, b *member) int {
		return cmp.Compare(score(s.self.Address, b.address), score(s.self.Address, a.address))
	})
	return members[:min(len(members), s.opts.ContactsPerDomain)]
}

// due reports whether m needs a heartbeat now. Within a domain the side with the
// lower address calls, because one call brings news to both. The other side
// calls when it hears nothing, so that a broken direction looks like no failure.
func (s *Service) due(m *member, now time.Time) bool {
	since, beat := now.Sub(m.sent), s.opts.HeartbeatInterval
	slack := beat / stepsPerHeartbeat / 2 // the ticker may be early by a little
	switch {
	case m.calling:
		return false
	case m.sent.IsZero():
		return true
	case m.live && (m.ackStatus != s.statusVersion || m.ackView != s.viewVersion):
		return since >= beat/2-slack
	case m.live && m.domain == s.self.Domain && s.self.Address > m.address:
		return since >= beat-slack && now.Sub(m.heard) >= beat+beat/2
	}
	return since >= beat-slack
}

// probes returns the failed members that were not tried for the longest time.
func probes(members []*member) []*member {
	failed := slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return !m.failed || m.live || m.calling })
	slices.SortStableFunc(failed, func(a, b *member) int { return a.sent.Compare(b.sent) })
	return failed[:min(len(failed), probesPerBeat)]
}
