package membership

import (
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// member is the state kept for an address.
type member struct {
	address string
	domain  string // empty until known
	seed    bool
	id      peer.Identity // current incarnation; zero before the first contact
	retired []string      // replaced incarnations, oldest first
	report  Report

	statusVersion, viewVersion uint32 // latest versions received from the member
	ackedStatus, ackedView     uint32 // latest local versions that the member has

	live          bool
	failed        bool // a call failed or the member timed out, and no heartbeat has arrived since
	callInFlight  bool
	lastMentioned time.Time // when a list, a seed, a view or a heartbeat last named the address
	lastReceived  time.Time
	lastSent      time.Time
}

// setIncarnation makes id the current incarnation of the address. It returns
// false for an incarnation that was already replaced, because its message is
// delayed. An answer to a call of this instance is recent, so it overrides a
// wrong replacement.
func (m *member) setIncarnation(id peer.Identity, answered bool) bool {
	switch {
	case m.id.Incarnation == id.Incarnation:
		return true
	case !answered && slices.Contains(m.retired, id.Incarnation):
		return false
	case m.id.Incarnation != "":
		m.retired = append(m.retired, m.id.Incarnation)
		m.retired = m.retired[max(0, len(m.retired)-maxRetired):]
	}
	m.retired = slices.DeleteFunc(m.retired, func(old string) bool { return old == id.Incarnation })
	m.id, m.domain, m.report, m.live = id, id.Domain, Report{}, false
	m.statusVersion, m.viewVersion, m.ackedStatus, m.ackedView = 0, 0, 0, 0
	return true
}

// applyHeartbeat applies a heartbeat of the current incarnation. It reports
// whether the liveness or the report of the member changed.
func (m *member) applyHeartbeat(hb heartbeat, now time.Time) bool {
	changed := !m.live
	m.live, m.failed, m.lastReceived = true, false, now
	m.ackedStatus, m.ackedView = hb.AckedStatus, hb.AckedView
	if hb.Status != nil && isNewer(hb.StatusVersion, m.statusVersion) {
		changed = true
		m.statusVersion, m.report = hb.StatusVersion, hb.Status.Report
	}
	if hb.View != nil && isNewer(hb.ViewVersion, m.viewVersion) {
		m.viewVersion = hb.ViewVersion
	}
	return changed
}

// compensatePause excludes a pause of this process from the time since the
// member's last heartbeat.
func (m *member) compensatePause(now time.Time, pause time.Duration) {
	if m.lastReceived = m.lastReceived.Add(pause); m.lastReceived.After(now) {
		m.lastReceived = now
	}
}

// checkTimeout marks a live member as not live if its last heartbeat is older
// than timeout, and reports whether it did.
func (m *member) checkTimeout(now time.Time, timeout time.Duration, sameDomain bool) (lost bool) {
	if !m.live || now.Sub(m.lastReceived) < timeout {
		return false
	}
	m.live = false
	// A member of another domain may have selected other contacts, so its
	// timeout is no failure.
	m.failed = m.failed || sameDomain
	return true
}

// isForgettable reports whether the address can be removed: it is not a seed, is
// not live, has no call in flight, and within addressTTL no source named it and
// no heartbeat arrived from it.
func (m *member) isForgettable(now time.Time) bool {
	return !m.seed && !m.live && !m.callInFlight && now.Sub(m.lastMentioned) > addressTTL && now.Sub(m.lastReceived) > addressTTL
}
