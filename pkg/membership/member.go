package membership

import (
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// member is what is known of an address.
type member struct {
	address string
	domain  string // "" until it is known
	seed    bool
	id      peer.Identity // of the current incarnation, empty before the first contact
	retired []string      // replaced incarnations, oldest first
	report  Report

	status, view       uint32 // its versions that this instance has
	ackStatus, ackView uint32 // own versions that it has

	live    bool
	failed  bool // a call failed and nothing was heard since
	calling bool
	known   time.Time // when the address was last learnt
	heard   time.Time
	sent    time.Time
}

// adopt makes id the current incarnation of the address. It reports false for
// an incarnation that was replaced before, because its message is a late one.
// An answer is never late by much, so it overrides a wrong replacement.
func (m *member) adopt(id peer.Identity, answered bool) bool {
	switch {
	case m.id.Incarnation == id.Incarnation:
		return true
	case !answered && slices.Contains(m.retired, id.Incarnation):
		return false
	case m.id.Incarnation != "":
		m.retired = append(m.retired, m.id.Incarnation)
		m.retired = m.retired[max(0, len(m.retired)-keptRetired):]
	}
	m.retired = slices.DeleteFunc(m.retired, func(old string) bool { return old == id.Incarnation })
	m.id, m.domain, m.report, m.live = id, id.Domain, Report{}, false
	m.status, m.view, m.ackStatus, m.ackView = 0, 0, 0, 0
	return true
}

// take applies a heartbeat of the current incarnation. It reports whether what
// readers see has changed.
func (m *member) take(hb heartbeat, now time.Time) bool {
	changed := !m.live
	m.live, m.failed, m.heard = true, false, now
	m.ackStatus, m.ackView = hb.KnowsStatus, hb.KnowsView
	if hb.Status != nil && newer(hb.StatusVersion, m.status) {
		changed = true
		m.status, m.report = hb.StatusVersion, hb.Status.Report
	}
	if hb.View != nil && newer(hb.ViewVersion, m.view) {
		m.view = hb.ViewVersion
	}
	return changed
}

// excuse keeps the time in which this process did not run from counting as
// silence of the member.
func (m *member) excuse(now time.Time, late time.Duration) {
	if m.heard = m.heard.Add(late); m.heard.After(now) {
		m.heard = now
	}
}

// sweep ends the liveness of a member that was silent for too long.
func (m *member) sweep(now time.Time, silence time.Duration, sameDomain bool) (lost bool) {
	if !m.live || now.Sub(m.heard) < silence {
		return false
	}
	m.live = false
	// A member of another domain may have chosen other contacts.
	m.failed = m.failed || sameDomain
	return true
}

// forgotten reports whether the address is no longer worth trying.
func (m *member) forgotten(now time.Time) bool {
	return !m.seed && !m.live && !m.calling && now.Sub(m.known) > forgetAfter && now.Sub(m.heard) > forgetAfter
}
