package catalog

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// notifyWaiters wakes the pull requests that wait for a change. r.mu must be held.
func (r *Replica) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// setSourceFailed records whether the latest read of the endpoints failed.
func (r *Replica) setSourceFailed(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sourceFailed != failed {
		r.sourceFailed = failed
		r.notifyWaiters()
	}
}

// waitForChange waits until the endpoints differ from those of the caller or the source
// fails, but at most for req.WaitMillis.
func (r *Replica) waitForChange(ctx context.Context, req PullRequest) {
	timer := time.NewTimer(time.Duration(req.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		r.mu.Lock()
		changed, ready := r.changed, r.sourceFailed || r.digest != req.Digest
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

// buildReply returns the content that is newer than the caller's. A request that waits
// gets no document; see PullRequest.WaitMillis.
func (r *Replica) buildReply(req PullRequest, now time.Time) PullReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := PullReply{AgeMillis: now.Sub(r.lastListAt).Milliseconds(), SourceUnavailable: r.sourceFailed || r.relayLost != nil}
	if c := r.Current(); req.WaitMillis == 0 && c != nil && c.Version > req.Version {
		reply.Document = c.Document
	}
	reply.Unchanged = req.Digest != 0 && req.Digest == r.digest
	if r.endpoints.Revision > req.Revision {
		list := r.endpoints
		if reply.Unchanged {
			list.Endpoints = nil
		}
		reply.Endpoints = &list
	}
	return reply
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

// waitWhileRelayed blocks while a relay reads the source for this instance. It reports
// false if ctx has ended.
func (r *Replica) waitWhileRelayed(ctx context.Context) bool {
	r.mu.Lock()
	lost := r.relayLost
	r.mu.Unlock()
	if lost != nil {
		select {
		case <-lost:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// pollRelays polls the first relay that answers and reads the source itself. A relay
// that fails is skipped for RelayRetryDelay.
func (r *Replica) pollRelays(ctx context.Context) {
	skipUntil := map[string]time.Time{}
	for ctx.Err() == nil {
		var relay string
		for _, address := range r.opts.Relays() {
			if time.Now().Before(skipUntil[address]) {
				continue
			}
			if r.pollRelay(ctx, address) {
				relay = address
				break
			}
			skipUntil[address] = time.Now().Add(r.opts.Timing.RelayRetryDelay)
		}
		r.updateRelay(relay)
		delay := r.opts.Timing.RelayPollDelay
		if relay == "" {
			delay = r.opts.Timing.RelayRetryDelay / 2
		}
		wait.Sleep(ctx, delay)
	}
	r.updateRelay("")
}

// updateRelay records the address of the relay in use, or "" if there is none. Losing
// the relay makes pollEndpoints read the source at once.
func (r *Replica) updateRelay(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case address != "" && r.relayLost == nil:
		r.relayLost = make(chan struct{})
		r.opts.Log.WithField("relay", address).Info("another instance reads the endpoints for this one")
	case address == "" && r.relayLost != nil:
		close(r.relayLost)
		r.relayLost = nil
		r.opts.Log.Info("this instance reads the endpoints itself")
	}
}

// pollRelay polls a relay once and applies its list. It reports false if the relay does
// not answer in time or has no recent list from the source.
func (r *Replica) pollRelay(ctx context.Context, address string) bool {
	r.mu.Lock()
	req := PullRequest{Revision: r.endpoints.Revision, Digest: r.digest, WaitMillis: r.opts.Timing.RelayPollTimeout.Milliseconds()}
	r.mu.Unlock()
	reply, err := r.callPull(ctx, address, req, r.opts.Timing.RelayPollTimeout+r.opts.Timing.RelayReplyTimeout)
	if err != nil {
		return false
	}
	now := time.Now()
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	current := !reply.SourceUnavailable && age <= r.opts.Timing.ListInterval+r.opts.Timing.ListTimeout
	if list, ok := r.listFromReply(reply, req); ok {
		r.applyList(list, now, current)
	}
	return current
}

// listFromReply returns the list that a relay's reply describes. It reports false if the
// reply has no list, or omits the endpoints as unchanged although they have changed here
// since the request.
func (r *Replica) listFromReply(reply PullReply, req PullRequest) (EndpointList, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case reply.Unchanged && r.digest == req.Digest:
		list := r.endpoints
		if reply.Endpoints != nil {
			list.Revision = max(list.Revision, reply.Endpoints.Revision)
		}
		return list, true
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
