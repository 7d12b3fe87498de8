package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// snapshot is the immutable state that readers use.
type snapshot struct {
	live          map[string][]peer.Identity // by domain, sorted, without draining instances
	byIncarnation map[string]instanceState   // current incarnations of all known addresses, live or not
}

type instanceState struct {
	id             peer.Identity
	live, draining bool
}

// Live returns the live instances of the local domain that are not draining,
// sorted by name. It includes this instance unless it is draining. The result
// must not be modified.
func (s *Service) Live() []peer.Identity { return s.LiveIn(s.self.Domain) }

// LiveIn is Live for any domain. For other domains it returns only the
// instances that exchange heartbeats with this one.
func (s *Service) LiveIn(domain string) []peer.Identity { return s.snapshot.Load().live[domain] }

// IsLive reports whether a heartbeat of the incarnation arrived within the
// heartbeat timeout. Draining instances are live.
func (s *Service) IsLive(incarnation string) bool {
	return s.snapshot.Load().byIncarnation[incarnation].live
}

// IsDraining reports whether the latest report of the incarnation says that it
// is draining.
func (s *Service) IsDraining(incarnation string) bool {
	return s.snapshot.Load().byIncarnation[incarnation].draining
}

// Peer returns the identity of an incarnation if it is the latest one known at
// its address, live or not.
func (s *Service) Peer(incarnation string) (peer.Identity, bool) {
	e, ok := s.snapshot.Load().byIncarnation[incarnation]
	return e.id, ok
}

// Rendezvous calls the package's function of the same name.
func (s *Service) Rendezvous(key string, among []peer.Identity) (peer.Identity, bool) {
	return Rendezvous(key, among)
}

// updateReport reads the local report and increments its version if it changed.
// It must be called with mu held.
func (s *Service) updateReport() {
	report := s.opts.LocalReport()
	report.Draining = report.Draining || s.draining
	if !report.equal(s.report) {
		s.report = report
		s.statusVersion++
	}
}

// updateView recomputes the local view and publishes the snapshot. It must be
// called with mu held.
func (s *Service) updateView() {
	if v := s.currentView(); !v.equal(s.view) {
		s.view = v
		s.viewVersion++
	}
	s.publishSnapshot()
}

func (s *Service) currentView() view {
	v := view{Contacts: map[string][]string{}}
	for _, m := range s.sortedMembers() {
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

func (s *Service) publishSnapshot() {
	next := &snapshot{live: map[string][]peer.Identity{}, byIncarnation: map[string]instanceState{}}
	add := func(id peer.Identity, live, draining bool) {
		next.byIncarnation[id.Incarnation] = instanceState{id, live, draining}
		if live && !draining {
			next.live[id.Domain] = append(next.live[id.Domain], id)
		}
	}
	add(s.self, true, s.report.Draining)
	liveInDomain := 1
	for _, m := range s.members {
		if m.id.Incarnation == "" {
			continue
		}
		add(m.id, m.live, m.report.Draining)
		if m.live && m.domain == s.self.Domain {
			liveInDomain++
		}
	}
	for _, ids := range next.live {
		slices.SortFunc(ids, func(a, b peer.Identity) int {
			return cmp.Or(strings.Compare(a.Instance, b.Instance), strings.Compare(a.Incarnation, b.Incarnation))
		})
	}
	s.metrics.live.Set(float64(liveInDomain))
	s.snapshot.Store(next)
}

func (s *Service) sortedMembers() []*member {
	all := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int { return strings.Compare(a.address, b.address) })
	return all
}

// dueMembers returns the members to send a heartbeat to now.
func (s *Service) dueMembers(now time.Time, tick int) []*member {
	byDomain := map[string][]*member{}
	for _, m := range s.sortedMembers() {
		byDomain[m.domain] = append(byDomain[m.domain], m)
	}
	var due []*member
	for domain, members := range byDomain {
		usable := slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return m.failed && !m.live })
		if domain != s.self.Domain && domain != "" {
			usable = s.selectContacts(usable)
		}
		for _, m := range usable {
			if s.isDue(m, now) {
				due = append(due, m)
			}
		}
		if tick%ticksPerHeartbeat == 0 {
			due = append(due, selectRetries(members)...)
		}
	}
	return due
}

// selectContacts returns the members of another domain that this instance sends
// heartbeats to: those with the highest rendezvous scores.
func (s *Service) selectContacts(members []*member) []*member {
	slices.SortStableFunc(members, func(a, b *member) int {
		return cmp.Compare(score(s.self.Address, b.address), score(s.self.Address, a.address))
	})
	return members[:min(len(members), s.opts.ContactsPerDomain)]
}

// isDue reports whether m needs a heartbeat now. Within a domain the side with
// the lower address calls, because one call updates both sides. The other side
// calls when no heartbeat arrives, so that a failure of one direction is not
// taken for a failed instance.
func (s *Service) isDue(m *member, now time.Time) bool {
	elapsed, interval := now.Sub(m.lastSent), s.opts.HeartbeatInterval
	tolerance := interval / ticksPerHeartbeat / 2 // the ticker may fire slightly early
	switch {
	case m.callInFlight:
		return false
	case m.lastSent.IsZero():
		return true
	case m.live && (m.ackedStatus != s.statusVersion || m.ackedView != s.viewVersion):
		return elapsed >= interval/2-tolerance
	case m.live && m.domain == s.self.Domain && s.self.Address > m.address:
		return elapsed >= interval-tolerance && now.Sub(m.lastReceived) >= interval+interval/2
	}
	return elapsed >= interval-tolerance
}

// selectRetries returns the failed members whose last call is the oldest.
func selectRetries(members []*member) []*member {
	failed := slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return !m.failed || m.live || m.callInFlight })
	slices.SortStableFunc(failed, func(a, b *member) int { return a.lastSent.Compare(b.lastSent) })
	return failed[:min(len(failed), maxRetriesPerHeartbeat)]
}
