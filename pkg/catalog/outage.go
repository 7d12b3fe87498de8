package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// maxReadersAsked is the number of instances that are asked at the same time for one that
// reads the source. With three, one in thirty searches fails at first if the source turns a
// third of the instances away.
const maxReadersAsked = 3

// readerPollTimeout is how long an instance that is asked whether it reads the source may
// delay its reply. PullRequest.WaitMillis must not be 0, which requests whole documents.
const readerPollTimeout = time.Millisecond

// readThroughPeers keeps the replica up to date while the source fails for it. It follows an
// instance that still reads the source, like a relay. While there is none, it exchanges
// content with random instances, one at a time.
func (r *Replica) readThroughPeers(ctx context.Context) {
	for r.awaitSourceFailure(ctx) {
		if reader := r.findReader(ctx); reader != "" {
			r.followReader(ctx, reader)
			continue
		}
		if members := r.opts.Members(); len(members) > 0 {
			r.pullFromPeer(ctx, members[rand.IntN(len(members))])
		}
		wait.Sleep(ctx, 2*r.opts.Timing.RetryDelay)
	}
}

// awaitSourceFailure waits until the latest probe or read of the source has failed. It
// reports false if ctx has ended.
func (r *Replica) awaitSourceFailure(ctx context.Context) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		failed, changed := r.sourceFailed, r.changed
		r.mu.Unlock()
		if failed {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// findReader asks random instances at the same time and returns the address of the first
// one that reads the source, or "".
func (r *Replica) findReader(ctx context.Context) string {
	members := slices.Clone(r.opts.Members())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	members = members[:min(maxReadersAsked, len(members))]
	readers := make(chan string, len(members))
	var asked sync.WaitGroup
	for _, address := range members {
		asked.Go(func() {
			if state, err := r.pollRelay(ctx, address, readerPollTimeout); err == nil && state == relayCurrent {
				readers <- address
			}
		})
	}
	go func() { asked.Wait(); close(readers) }()
	return <-readers
}

// followReader polls an instance that reads the source until it no longer does, or until
// the source answers again.
func (r *Replica) followReader(ctx context.Context, address string) {
	r.opts.Log.WithField("reader", address).Info("another instance reads the store for this one until it answers again")
	for ctx.Err() == nil && r.isSourceFailed() {
		state, err := r.pollRelay(ctx, address, r.opts.Timing.RelayPollTimeout)
		if err != nil || state != relayCurrent {
			return
		}
		if r.missesVersion() {
			r.pullFromPeer(ctx, address)
		}
		wait.Sleep(ctx, r.opts.Timing.RelayPollDelay)
	}
}

// missesVersion reports whether another instance has a later version of the declarations.
func (r *Replica) missesVersion() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced > r.version()
}

// pullFromPeer pulls from one peer and applies what is newer.
func (r *Replica) pullFromPeer(ctx context.Context, address string) {
	r.mu.Lock()
	req := PullRequest{Version: r.version(), Revision: r.listed.Revision}
	r.mu.Unlock()
	reply, err := r.callPull(ctx, address, req, r.opts.Timing.PullTimeout)
	if err != nil {
		if !failure.Is(err, failure.Unavailable) {
			r.opts.Log.WithError(err).WithField("peer", address).Debug("pull from peer failed")
		}
		return
	}
	if r.opts.TracksDomains && reply.Domains != nil {
		r.applyDomains(*reply.Domains, address, limits.Millis(reply.AgeMillis), false)
	}
	if reply.PassesRegions {
		r.applyDocument(reply.Document, address)
	}
	if reply.Endpoints != nil && reply.PassesSoftwareVersions && reply.PassesRegions {
		r.applyList(*reply.Endpoints, time.Now(), secondHand)
	}
}
