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

// announce wakes the instances that wait for a change. mu must be held.
func (r *Replica) announce() {
	close(r.news)
	r.news = make(chan struct{})
}

func (r *Replica) setAway(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away != away {
		r.away = away
		r.announce()
	}
}

// awaitNews waits until the endpoints differ from those of the caller, as long as the
// caller wants.
func (r *Replica) awaitNews(ctx context.Context, req PullRequest) {
	timer := time.NewTimer(time.Duration(req.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		r.mu.Lock()
		news, due := r.news, r.away || r.digest != req.Digest
		r.mu.Unlock()
		if due {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answer returns what is newer than the caller has.
func (r *Replica) answer(req PullRequest, now time.Time) PullReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := PullReply{AgeMillis: now.Sub(r.heardList).Milliseconds(), SourceUnavailable: r.away || r.relayed != nil}
	if c := r.Current(); req.WaitMillis == 0 && c != nil && c.Version > req.Version {
		reply.Document = c.Document
	}
	reply.Unchanged = req.Digest != 0 && req.Digest == r.digest
	if r.listed.Revision > req.Revision {
		list := r.listed
		if reply.Unchanged {
			list.Endpoints = nil
		}
		reply.Endpoints = &list
	}
	return reply
}

// digestOf returns a number that differs between lists with different endpoints,
// whatever their order, and is never 0.
func digestOf(endpoints []Endpoint) uint64 {
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	h := fnv.New64a()
	if data, err := peer.Marshal(sorted); err == nil { // the type always encodes
		_, _ = h.Write(data) // never fails
	}
	return h.Sum64() | 1
}

// awaitRelayLoss waits while another instance reads the source for this one. It
// reports false when ctx has ended.
func (r *Replica) awaitRelayLoss(ctx context.Context) bool {
	r.mu.Lock()
	relayed := r.relayed
	r.mu.Unlock()
	if relayed != nil {
		select {
		case <-relayed:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// followRelays learns from the first relay that answers and reaches the source.
func (r *Replica) followRelays(ctx context.Context) {
	rests := map[string]time.Time{}
	for ctx.Err() == nil {
		var by string
		for _, address := range r.opts.Relays() {
			if time.Now().Before(rests[address]) {
				continue
			}
			if r.followOnce(ctx, address) {
				by = address
				break
			}
			rests[address] = time.Now().Add(r.opts.Timing.RelayRetryDelay)
		}
		r.setRelay(by)
		pause := r.opts.Timing.RelayPollDelay
		if by == "" {
			pause = r.opts.Timing.RelayRetryDelay / 2
		}
		wait.Sleep(ctx, pause)
	}
	r.setRelay("")
}

// setRelay notes whether there is a relay. Without one, the source is read at once.
func (r *Replica) setRelay(by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case by != "" && r.relayed == nil:
		r.relayed = make(chan struct{})
		r.opts.Log.WithField("relay", by).Info("another instance reads the endpoints for this one")
	case by == "" && r.relayed != nil:
		close(r.relayed)
		r.relayed = nil
		r.opts.Log.Info("this instance reads the endpoints itself")
	}
}

// followOnce asks a relay once. It reports false if the relay does not answer in time
// or does not hear the source.
func (r *Replica) followOnce(ctx context.Context, address string) bool {
	r.mu.Lock()
	req := PullRequest{Revision: r.listed.Revision, Digest: r.digest, WaitMillis: r.opts.Timing.RelayPollTimeout.Milliseconds()}
	r.mu.Unlock()
	reply, err := r.pullFrom(ctx, address, req, r.opts.Timing.RelayPollTimeout+r.opts.Timing.RelayReplyTimeout)
	if err != nil {
		return false
	}
	now := time.Now()
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	current := !reply.SourceUnavailable && age <= r.opts.Timing.ListInterval+r.opts.Timing.ListTimeout
	if list, ok := r.relayedList(reply, req); ok {
		r.applyList(list, now, current)
	}
	return current
}

// relayedList returns the list that a relay told of. There is none if the relay left
// out endpoints that have changed here meanwhile.
func (r *Replica) relayedList(reply PullReply, req PullRequest) (EndpointList, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case reply.Unchanged && r.digest == req.Digest:
		list := r.listed
		if reply.Endpoints != nil {
			list.Revision = max(list.Revision, reply.Endpoints.Revision)
		}
		return list, true
	case reply.Unchanged || reply.Endpoints == nil:
		return EndpointList{}, false
	}
	return *reply.Endpoints, true
}

// pullFrom asks another instance for what is newer there.
func (r *Replica) pullFrom(ctx context.Context, address string, req PullRequest, timeout time.Duration) (PullReply, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply PullReply
	err := r.opts.Peers.Call(call, address, PullMethod, req, &reply)
	return reply, err
}
