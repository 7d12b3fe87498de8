package catalog

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// notifyWaiters wakes the pull requests that wait for a change. r.mu must be held.
func (r *Replica) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitForChange waits until the content differs from that of the caller or this instance
// cannot act as a relay, but at most for req.WaitMillis.
func (r *Replica) waitForChange(ctx context.Context, req PullRequest) {
	timer := time.NewTimer(limits.Millis(req.WaitMillis))
	defer timer.Stop()
	for {
		r.mu.Lock()
		changed := r.changed
		ready := !r.isRelay() || r.digest != req.Digest || r.version() > max(req.Version, req.Announced) ||
			req.Domains != 0 && req.Domains != r.domains.inForce.digest()
		r.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// isRelay reports whether this instance can act as a relay. r.mu must be held.
func (r *Replica) isRelay() bool { return !r.sourceFailed && r.session != nil }

// buildReply returns the content that is newer than the caller's. arrival is the time at which
// the request arrived.
func (r *Replica) buildReply(req PullRequest, arrival, now time.Time) PullReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.WaitMillis > 0 {
		r.polledAt = now
	}
	reply := PullReply{AgeMillis: now.Sub(r.lastListAt).Milliseconds(), SourceUnavailable: !r.isRelay(), Standby: !r.isRelay() && !r.sourceFailed, Version: r.version(), PassesVersions: true,
		PassesSoftwareVersions: true, Confirmed: r.confirmed.latest.Sub(arrival), Recovering: now.Sub(r.recoveredAt) < r.opts.Timing.RecoveryWindow}
	reply.PassesRegions = true
	if r.domains.inForce.Revision > 0 {
		reply.Domains = &DomainSet{r.domains.inForce.Revision, r.domains.inForce.Out}
	}
	if c := r.Current(); c != nil && c.Version > req.Version {
		if req.WaitMillis == 0 {
			reply.Document = c.Document
		} else if c.Version > req.Announced {
			reply.Delta = r.deltaFrom(req.Version)
		}
	}
	reply.Unchanged = req.Digest != 0 && req.Digest == r.digest
	if r.listed.Revision > req.Revision {
		r.addEndpoints(&reply, req)
	}
	return reply
}

// addEndpoints adds the endpoints to a reply: nothing but the revision if they are
// unchanged, the changes if the list of the caller is known, or the whole list. r.mu must
// be held.
func (r *Replica) addEndpoints(reply *PullReply, req PullRequest) {
	list := r.listed
	i := slices.IndexFunc(r.lists, func(l formerList) bool { return l.digest == req.Digest })
	switch {
	case reply.Unchanged:
		list.Endpoints = nil
	case i >= 0:
		reply.Changes = diffEndpoints(r.lists[i].EndpointList, list)
		return
	}
	reply.Endpoints = &list
}

// formerList is an endpoint list with its digest.
type formerList struct {
	EndpointList
	digest uint64
}

// maxFormerLists is the number of former endpoint lists from which changes start. A
// follower that is further behind gets the whole list, which is so large that a relay with
// a slow link needs a quarter of a second to send it to all followers.
const maxFormerLists = 8

// rememberList keeps the current endpoint list, which is about to be replaced, as the base
// of changes if this instance has followers. r.mu must be held.
func (r *Replica) rememberList(now time.Time) {
	if now.Sub(r.polledAt) > r.opts.Timing.RelayRetryDelay {
		r.lists = nil
		return
	}
	r.lists = append(r.lists, formerList{r.listed, r.digest})
	r.lists = r.lists[max(0, len(r.lists)-maxFormerLists):]
}

const (
	// maxHistory is the number of former documents from which deltas start. A follower
	// that missed more versions reads the document itself.
	maxHistory = 4
	// maxDeltaBytes bounds a delta: a relay with a link of 20 Mbit/s sends one of this size
	// to 50 followers within a second.
	maxDeltaBytes = 32 << 10
)

// rememberForDeltas keeps c, which is about to be replaced, as the base of deltas if this
// instance has followers. r.mu must be held.
func (r *Replica) rememberForDeltas(c *Catalog, now time.Time) {
	r.deltas = map[uint64]*DocumentDelta{}
	if c == nil || now.Sub(r.polledAt) > r.opts.Timing.RelayRetryDelay {
		r.history = nil
		return
	}
	r.history = append(r.history, c.Document)
	r.history = r.history[max(0, len(r.history)-maxHistory):]
}

// deltaFrom returns the delta from version base to the current document, or nil if that
// version is not known or the delta is too large. r.mu must be held.
func (r *Replica) deltaFrom(base uint64) *DocumentDelta {
	if delta, ok := r.deltas[base]; ok {
		return delta
	}
	i := slices.IndexFunc(r.history, func(d *Document) bool { return d.Version == base })
	if i < 0 {
		return nil
	}
	delta, err := diffDocuments(r.history[i], r.Current().Document)
	if err == nil {
		var encoded []byte
		if encoded, err = peer.Marshal(delta); len(encoded) > maxDeltaBytes {
			delta = nil
		}
	}
	if err != nil {
		r.opts.Log.WithError(err).Error("cannot encode a delta of the declarations")
		delta = nil
	}
	r.deltas[base] = delta
	return delta
}

// digestOf returns a 64-bit hash of the endpoints that does not depend on their order
// and is never 0.
func digestOf(endpoints []Endpoint) uint64 {
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	h := fnv.New64a()
	if data, err := peer.Marshal(sorted); err == nil { // []Endpoint can always be encoded
		_, _ = h.Write(data) // hash.Hash.Write never fails
	}
	return h.Sum64() | 1
}

// followsRelay reports whether a relay reads the source for this instance.
func (r *Replica) followsRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay != ""
}

// isSourceFailed reports whether the latest probe or read of the source failed.
func (r *Replica) isSourceFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sourceFailed
}

// pollRelays polls the first relay that reads the source. While there is none, the replica
// reads the source itself.
func (r *Replica) pollRelays(ctx context.Context) {
	skipUntil := map[string]time.Time{}
	searches := 0 // since the relay was lost
	for ctx.Err() == nil {
		relay, standby := r.findRelay(ctx, skipUntil)
		delay := r.opts.Timing.RelayPollDelay
		switch {
		case relay != "":
			searches = 0
			r.setRelay(ctx, relay)
		case standby && r.followsRelay() && searches < r.opts.Timing.RelaySearches:
			searches++
			delay = r.opts.Timing.RelaySearchDelay
		default:
			r.setRelay(ctx, "")
			delay = r.opts.Timing.RelayRetryDelay / 2
			if r.isSourceFailed() {
				delay = r.opts.Timing.RetryDelay
			}
		}
		wait.Sleep(ctx, delay)
	}
}

// findRelay returns the address of the first relay that answers a poll and reads the
// source. If there is none, address is "" and standby reports whether a standby answered.
// A relay that does not answer is skipped for RelayRetryDelay.
func (r *Replica) findRelay(ctx context.Context, skipUntil map[string]time.Time) (address string, standby bool) {
	for _, address := range r.opts.Relays() {
		if time.Now().Before(skipUntil[address]) {
			continue
		}
		state, err := r.pollRelay(ctx, address, r.opts.Timing.RelayPollTimeout)
		switch {
		case err != nil:
			skipUntil[address] = time.Now().Add(r.opts.Timing.RelayRetryDelay)
		case state == relayCurrent:
			return address, false
		case state == relayStandby:
			standby = true
		}
	}
	return "", standby
}

// relayState is what a reply says of the replying instance as a relay.
type relayState int

const (
	relayUnavailable relayState = iota // it cannot read the source
	relayStandby                       // see PullReply.Standby
	relayCurrent                       // it reads the source, and its content is recent
)

// setRelay records the address of the relay that is followed, or "" if there is none. A
// relay ends the session; without one the source is probed at once.
func (r *Replica) setRelay(ctx context.Context, address string) {
	r.mu.Lock()
	previous := r.relay
	r.relay = address
	var session *readingSession
	if address != "" {
		session = r.session
		r.sourceFailed = false
	}
	r.mu.Unlock()
	r.endSession(session)
	switch {
	case previous == address || ctx.Err() != nil:
		return
	case address != "":
		r.opts.Log.WithField("relay", address).Info("another instance reads the store for this one")
	default:
		r.opts.Log.Info("this instance reads the store itself")
		r.requestProbe()
	}
}

// pollRelay polls a relay once and applies what is new. The relay waits for a change for at
// most timeout. pollRelay fails if the relay does not answer in time.
func (r *Replica) pollRelay(ctx context.Context, address string, timeout time.Duration) (relayState, error) {
	r.mu.Lock()
	req := PullRequest{Version: r.version(), Announced: r.announced, Revision: r.listed.Revision, Digest: r.digest, WaitMillis: timeout.Milliseconds(), Domains: r.domains.inForce.digest()}
	r.mu.Unlock()
	sent := r.now()
	reply, err := r.callPull(ctx, address, req, timeout+r.opts.Timing.RelayReplyTimeout)
	if err != nil {
		return relayUnavailable, err
	}
	age := limits.Millis(reply.AgeMillis)
	state := relayUnavailable
	switch {
	case !reply.PassesVersions || !reply.PassesSoftwareVersions || !reply.PassesRegions || r.opts.TracksDomains && reply.Domains == nil:
	case !reply.SourceUnavailable && age <= r.opts.Timing.maxListGap():
		state = relayCurrent
	case reply.Standby:
		state = relayStandby
	}
	from := secondHand
	switch {
	case state == relayCurrent && reply.Recovering:
		from = fromSource
	case state == relayCurrent:
		from = fromReader
	}
	if list, ok := r.listFromReply(reply, req); ok {
		r.applyList(list, time.Now(), from)
		sent.Time = sent.Add(min(reply.Confirmed, time.Since(sent.Time))) // never later than now
		r.confirm(sent)
	}
	if r.opts.TracksDomains && reply.Domains != nil {
		r.applyDomains(*reply.Domains, address, age, state == relayCurrent)
	}
	r.applyDelta(reply, address)
	return state, nil
}

// applyDelta applies the delta of a relay's reply. If the relay has a later version but no
// delta to it, the document is fetched.
func (r *Replica) applyDelta(reply PullReply, address string) {
	c := r.Current()
	if reply.Delta != nil && reply.PassesRegions && c != nil {
		d, err := reply.Delta.apply(c.Document)
		if err == nil {
			r.applyDocument(d, address)
		} else {
			r.opts.Log.WithError(err).WithField("relay", address).Warn("cannot apply a delta of the declarations")
		}
	}
	r.mu.Lock()
	r.announced = max(r.announced, reply.Version)
	r.mu.Unlock()
	if reply.Version > r.version() {
		select {
		case r.fetch <- address:
		default: // the fetch in progress reads the latest version
		}
	}
}

// fetchAnnounced reads the versions that relays announce without a delta: from the source
// or, if it fails, from the relay.
func (r *Replica) fetchAnnounced(ctx context.Context) {
	for {
		var relay string
		select {
		case relay = <-r.fetch:
		case <-ctx.Done():
			return
		}
		for r.isBehind() && ctx.Err() == nil {
			d, err := r.opts.Source.Document(ctx, r.version(), 0)
			if err == nil {
				r.applyDocument(d, "store")
			} else {
				// Only then, because whole documents for all followers fill the link of the relay.
				r.pullFromPeer(ctx, relay)
			}
			if r.isBehind() {
				wait.Sleep(ctx, r.opts.Timing.RetryDelay)
			}
		}
	}
}

// isBehind reports whether a relay that this instance follows has a later version.
func (r *Replica) isBehind() bool {
	return r.followsRelay() && r.missesVersion()
}

// listFromReply returns the list that a relay's reply describes. It reports false if the
// reply has no list, or refers to the list of the request although it has changed here
// since.
func (r *Replica) listFromReply(reply PullReply, req PullRequest) (EndpointList, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !reply.PassesSoftwareVersions:
		return EndpointList{}, false
	case reply.Unchanged && r.digest == req.Digest:
		list := r.listed
		if reply.Endpoints != nil {
			list.Revision = max(list.Revision, reply.Endpoints.Revision)
		}
		return list, true
	case reply.Changes != nil && r.digest == req.Digest:
		return reply.Changes.apply(r.listed), true
	case reply.Unchanged || reply.Endpoints == nil:
		return EndpointList{}, false
	}
	return *reply.Endpoints, true
}

// callPull sends one pull request to another instance.
func (r *Replica) callPull(ctx context.Context, address string, req PullRequest, timeout time.Duration) (PullReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply PullReply
	err := r.opts.Peers.Call(callCtx, address, PullMethod, req, &reply)
	return reply, err
}
