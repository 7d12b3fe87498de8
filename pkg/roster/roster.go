// Package roster keeps the list of live instances in the store.
//
// Each instance holds a key under a lease. While the store is away, the latest
// list stays in force, with the instances that were met on connections since: it is
// only a hint whom to call.
package roster

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Prefix is where instances register.
const Prefix = "instances/"

const (
	// ttl is how long an instance stays listed after its last renewal.
	ttl = 10 * time.Second
	// interval is the pause between two renewals and reads; three fit into ttl.
	interval = 3 * time.Second
	// firstInterval applies during firstRounds, while a fleet starts.
	firstInterval = time.Second
	firstRounds   = 6
	// retryPause follows a failed call.
	retryPause = 500 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 500 * time.Millisecond
	// listLag is how far a list may be behind a meeting: the cheap read is at most a
	// few seconds old.
	listLag = 5 * time.Second
)

// Store is what a Roster needs of the store.
type Store interface {
	kvstore.Transactor
	kvstore.Ranger
	kvstore.Leaser
}

// Roster registers this instance and lists the others. It is safe for concurrent
// use; Run owns the registration.
type Roster struct {
	self  peer.Identity
	store Store
	log   logrus.FieldLogger
	lease uint64

	mu      sync.Mutex
	members []peer.Identity // without this instance
	met     []meeting       // newer than the list
	most    int
	leaders map[string]bool // of members and this instance; nil after a change
	least   int             // argument for leaders
}

// meeting is a connection to an instance that the list does not hold yet.
type meeting struct {
	peer.Identity
	at time.Time
	// after is the incarnation that was known at its address before.
	after string
}

// New returns a roster that does nothing until Run.
func New(self peer.Identity, store Store, log logrus.FieldLogger) *Roster {
	return &Roster{self: self, store: store, log: log}
}

// Others returns the other instances as of the latest answer of the store.
func (r *Roster) Others() []peer.Identity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]peer.Identity(nil), r.members...)
}

// AddConnected adds an instance that proved its identity on a connection at time now. It takes
// the place of a listed one with the same address, which must have ended.
func (r *Roster) AddConnected(id peer.Identity, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id.Incarnation == r.self.Incarnation || slices.ContainsFunc(r.members, func(m peer.Identity) bool { return m.Incarnation == id.Incarnation }) {
		return
	}
	var former string
	r.members, former = replace(r.members, id)
	r.leaders = nil
	r.met = append(r.met, meeting{id, now, former})
	r.log.WithField("met", id.Incarnation).WithField("instances", len(r.members)+1).Info("list of instances changed")
}

// replace returns members with id instead of the one with its address, and the
// incarnation of that one.
func replace(members []peer.Identity, id peer.Identity) (out []peer.Identity, former string) {
	out = slices.DeleteFunc(slices.Clone(members), func(m peer.Identity) bool {
		if m.Address == id.Address {
			former = m.Incarnation
		}
		return m.Address == id.Address
	})
	return append(out, id), former
}

// adopt takes over a list of the store. Recent meetings stay, because the list may be
// older than they are.
func (r *Roster) adopt(listed []peer.Identity, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.met = slices.DeleteFunc(r.met, func(m meeting) bool {
		return now.Sub(m.at) > listLag || slices.Contains(listed, m.Identity)
	})
	members := listed
	for _, m := range r.met {
		// Another incarnation in its place is newer than the meeting.
		if with, former := replace(members, m.Identity); former == "" || former == m.after {
			members = with
		}
	}
	if len(members) != len(r.members) {
		r.log.WithField("instances", len(members)+1).Info("list of instances changed")
	}
	r.members, r.leaders = members, nil
	r.most = max(r.most, len(members)+1)
}

// PeakInstances returns the largest number of instances so far, with this one. Instances that share a limit use it,
// because a short list may come from an outage.
func (r *Roster) PeakInstances() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.most, len(r.members)+1)
}

// Leaders returns up to least instances, and at least one of each failure domain,
// that all instances agree on while they list the same ones: in each domain those
// that come first by the hash of their incarnation. This instance is among them if
// self is true. The map is shared and must not be changed.
func (r *Roster) Leaders(least int) (leaders map[string]bool, self bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaders == nil || r.least != least {
		r.leaders, r.least = chooseLeaders(append([]peer.Identity{r.self}, r.members...), least), least
	}
	return r.leaders, r.leaders[r.self.Incarnation]
}

func chooseLeaders(all []peer.Identity, least int) map[string]bool {
	byDomain := map[string][]peer.Identity{}
	for _, id := range all {
		byDomain[id.Domain] = append(byDomain[id.Domain], id)
	}
	leaders := map[string]bool{}
	share := (least + len(byDomain) - 1) / len(byDomain)
	for _, ids := range byDomain {
		slices.SortFunc(ids, func(a, b peer.Identity) int {
			return cmp.Or(cmp.Compare(rendezvous.Hash(a.Incarnation), rendezvous.Hash(b.Incarnation)), cmp.Compare(a.Incarnation, b.Incarnation))
		})
		for _, id := range ids[:min(share, len(ids))] {
			leaders[id.Incarnation] = true
		}
	}
	return leaders
}

// Run registers and reads until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		pause := interval
		if round < firstRounds {
			pause = firstInterval
		}
		if err := r.round(ctx); err != nil {
			pause = retryPause
		}
		wait.Sleep(ctx, pause)
	}
}

func (r *Roster) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.renew(ctx); err != nil {
		return err
	}
	items, _, err := r.store.Range(ctx, Prefix, true)
	if err != nil {
		return err
	}
	members, err := r.listed(items)
	if err != nil {
		r.log.WithError(err).Warn("entries of instances cannot be read")
	}
	r.adopt(members, time.Now())
	return nil
}

// listed returns the other instances of a list. Of several incarnations at one address
// only the latest lives; the others stay listed until their leases end. The error is
// that of the latest entry that cannot be read.
func (r *Roster) listed(items []kvstore.Item) (members []peer.Identity, err error) {
	latest := map[string]kvstore.Item{} // by address
	for _, it := range items {
		var id peer.Identity
		if failed := peer.Unmarshal(it.Value, &id); failed != nil {
			err = errors.Wrapf(failed, "entry %q", it.Key)
			continue
		}
		if id.Address == r.self.Address || it.Revision < latest[id.Address].Revision {
			continue
		}
		latest[id.Address] = it
		members = slices.DeleteFunc(members, func(m peer.Identity) bool { return m.Address == id.Address })
		members = append(members, id)
	}
	return members, err
}

// renew keeps the lease alive, or registers anew.
func (r *Roster) renew(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.KeepAlive(ctx, r.lease)
		if !failure.Is(err, failure.NotFound) {
			return err
		}
		r.lease = 0
	}
	lease, err := r.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	value, err := peer.Marshal(r.self)
	if err != nil {
		return err
	}
	if _, _, err = r.store.Commit(ctx, kvstore.Transaction{Write: []kvstore.Write{{Key: Prefix + r.self.Incarnation, Value: value, Lease: lease}}}); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// Leave ends the registration. It is called after Run has ended.
func (r *Roster) Leave(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	return r.store.Revoke(ctx, r.lease)
}
