// Package roster keeps the list of live instances in the store.
//
// Each instance registers a key under a lease. While the store is unavailable, the
// latest list stays in use, extended by instances that have since proved their identity
// on a connection. The list is only a hint which instances to call.
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

// Prefix is the key prefix under which instances register.
const Prefix = "instances/"

const (
	// registrationTTL is the TTL of the lease: how long an instance stays listed after
	// its last renewal.
	registrationTTL = 10 * time.Second
	// renewInterval is the delay between two renewals; each is followed by a read of the
	// list. Three fit into registrationTTL.
	renewInterval = 3 * time.Second
	// startupInterval replaces renewInterval in the first startupRounds rounds, while a
	// fleet starts.
	startupInterval = 500 * time.Millisecond
	startupRounds   = 8
	// retryDelay is the delay after a failed round.
	retryDelay = 500 * time.Millisecond
	// roundTimeout bounds a renewal and the following read together.
	roundTimeout = 500 * time.Millisecond
	// maxListAge is how old the content of a list may be when it is read: a stale read
	// lags by a few seconds at most. Instances seen on a connection more recently than
	// that are kept although a list lacks them.
	maxListAge = 5 * time.Second
	// absenceTTL is how long an instance that is missing from the lists still counts in
	// Established. Its registration may have expired in an outage of the store.
	absenceTTL = 15 * time.Second
	// joinDelay is the time after the registration of this instance from which it counts
	// itself in Established: by then the others have listed it.
	joinDelay = 2 * renewInterval
)

// Store is the part of the store that a Roster uses.
type Store interface {
	kvstore.Transactor
	kvstore.RangeReader
	kvstore.Leaser
}

// Roster registers this instance and lists the others. It is safe for concurrent
// use, except that Leave must not run at the same time as Run.
type Roster struct {
	self  peer.Identity
	store Store
	log   logrus.FieldLogger
	lease uint64

	mu            sync.Mutex
	members       []peer.Identity // excludes this instance
	connected     []connection    // seen since the list was read
	peak          int
	lists         int             // number of lists read
	listedAt      time.Time       // when the latest list was read
	settled       bool            // two reads of the list in a row agreed
	leaders       map[string]bool // incarnations chosen from members and this instance; nil after a change
	leadersTarget int             // target for which leaders were chosen
	registeredAt  time.Time       // first registration of this instance, or zero
	established   map[string]establishedMember
}

// establishedMember is an instance that was listed, by name.
type establishedMember struct {
	peer.Identity
	absentSince time.Time // first list without it since it was listed last, or zero
}

// connection records a connection to an instance that the list does not contain yet.
type connection struct {
	peer.Identity
	seenAt time.Time
	// replaced is the incarnation that was listed at the same address before, or "".
	replaced string
}

// New returns a roster for the instance self. It does not use the store until Run.
func New(self peer.Identity, store Store, log logrus.FieldLogger) *Roster {
	return &Roster{self: self, store: store, log: log, established: map[string]establishedMember{}}
}

// Others returns the other instances: those of the latest list of the store, and those
// that connected since.
func (r *Roster) Others() []peer.Identity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]peer.Identity(nil), r.members...)
}

// AddConnected adds an instance that proved its identity on a connection at time now. It
// replaces a listed incarnation with the same address, which must have ended.
func (r *Roster) AddConnected(id peer.Identity, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id.Incarnation == r.self.Incarnation || slices.ContainsFunc(r.members, func(m peer.Identity) bool { return m.Incarnation == id.Incarnation }) {
		return
	}
	var replaced string
	r.members, replaced = replaceByAddress(r.members, id)
	r.leaders = nil
	r.connected = append(r.connected, connection{id, now, replaced})
	r.log.WithField("met", id.Incarnation).WithField("instances", len(r.members)+1).Info("list of instances changed")
}

// replaceByAddress returns members with id in place of the member that has its address.
// replaced is the incarnation of that member, or "" if there was none.
func replaceByAddress(members []peer.Identity, id peer.Identity) (out []peer.Identity, replaced string) {
	out = slices.DeleteFunc(slices.Clone(members), func(m peer.Identity) bool {
		if m.Address == id.Address {
			replaced = m.Incarnation
		}
		return m.Address == id.Address
	})
	return append(out, id), replaced
}

// applyList replaces the members by a list of the store. Instances seen on recent
// connections are kept, because the list may be older than the connections.
func (r *Roster) applyList(listed []peer.Identity, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connected = slices.DeleteFunc(r.connected, func(m connection) bool {
		return now.Sub(m.seenAt) > maxListAge || slices.Contains(listed, m.Identity)
	})
	members := listed
	for _, m := range r.connected {
		// An incarnation other than the one replaced then is newer than the connection.
		if updated, replaced := replaceByAddress(members, m.Identity); replaced == "" || replaced == m.replaced {
			members = updated
		}
	}
	if len(members) != len(r.members) {
		r.log.WithField("instances", len(members)+1).Info("list of instances changed")
	}
	r.settled = r.settled || r.lists > 0 && sameMembers(members, r.members)
	r.lists++
	r.listedAt = now
	r.members, r.leaders = members, nil
	r.peak = max(r.peak, len(members)+1)
	r.updateEstablished(now)
}

// updateEstablished brings r.established up to date with r.members. r.mu must be held.
func (r *Roster) updateEstablished(now time.Time) {
	for name, m := range r.established {
		if m.absentSince.IsZero() {
			m.absentSince = now
		}
		r.established[name] = m
		if now.Sub(m.absentSince) > absenceTTL {
			delete(r.established, name)
		}
	}
	for _, m := range r.members {
		r.established[m.Instance] = establishedMember{Identity: m}
	}
}

// Established returns the instances, without this one, that divide limits among them, and
// whether this instance is one of them. An instance that starts again under its name keeps
// its place, one that is gone loses it after absenceTTL, and this one counts from joinDelay
// after its registration. So the places of two instances rarely overlap while their lists
// differ.
func (r *Roster) Established(now time.Time) (others []peer.Identity, self bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.established {
		others = append(others, m.Identity)
	}
	return others, r.settled && !r.registeredAt.IsZero() && now.Sub(r.registeredAt) >= joinDelay
}

// sameMembers reports whether a and b hold the same instances.
func sameMembers(a, b []peer.Identity) bool {
	known := make(map[peer.Identity]bool, len(a))
	for _, id := range a {
		known[id] = true
	}
	return len(a) == len(b) && !slices.ContainsFunc(b, func(id peer.Identity) bool { return !known[id] })
}

// IsSettled reports whether two reads of the list in a row have agreed since the start of
// the process. Before that the list may be that of a fleet which is still starting.
func (r *Roster) IsSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled
}

// ListedAt returns when the list was last read, zero if it was not read yet.
func (r *Roster) ListedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedAt
}

// PeakInstances returns the largest number of instances so far, including this one.
// Limits that are divided among the instances use it, because a list may be short only
// because of an outage.
func (r *Roster) PeakInstances() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.peak, len(r.members)+1)
}

// Leaders returns the incarnations of about target instances, spread evenly over the
// failure domains: target divided by the number of domains, rounded up, of each domain,
// or all instances of a smaller domain. Within a domain those with the lowest hash are
// chosen, so instances that list the same members agree. isLeader reports whether this
// instance is chosen. The map is shared and must not be modified.
func (r *Roster) Leaders(target int) (leaders map[string]bool, isLeader bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaders == nil || r.leadersTarget != target {
		r.leaders, r.leadersTarget = chooseLeaders(append([]peer.Identity{r.self}, r.members...), target), target
	}
	return r.leaders, r.leaders[r.self.Incarnation]
}

// chooseLeaders implements Leaders for the instances all.
func chooseLeaders(all []peer.Identity, target int) map[string]bool {
	byDomain := map[string][]peer.Identity{}
	for _, id := range all {
		byDomain[id.Domain] = append(byDomain[id.Domain], id)
	}
	leaders := map[string]bool{}
	perDomain := (target + len(byDomain) - 1) / len(byDomain)
	for _, ids := range byDomain {
		slices.SortFunc(ids, func(a, b peer.Identity) int {
			return cmp.Or(cmp.Compare(rendezvous.Hash(a.Incarnation), rendezvous.Hash(b.Incarnation)), cmp.Compare(a.Incarnation, b.Incarnation))
		})
		for _, id := range ids[:min(perDomain, len(ids))] {
			leaders[id.Incarnation] = true
		}
	}
	return leaders
}

// Run registers this instance and updates the list until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		delay := renewInterval
		if round < startupRounds {
			delay = startupInterval
		}
		if err := r.renewAndList(ctx); err != nil {
			delay = retryDelay
		}
		wait.Sleep(ctx, delay)
	}
}

// renewAndList renews the registration and reads the list once.
func (r *Roster) renewAndList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if err := r.renew(ctx); err != nil {
		return err
	}
	items, _, err := r.store.Range(ctx, Prefix, true)
	if err != nil {
		return err
	}
	members, err := r.decodeMembers(items)
	if err != nil {
		r.log.WithError(err).Warn("cannot decode instance registration")
	}
	r.applyList(members, time.Now())
	return nil
}

// decodeMembers returns the other instances of a list. Of several incarnations at one
// address only the latest is alive; the others stay listed until their leases expire.
// Entries that cannot be decoded are skipped; the error is that of the last one.
func (r *Roster) decodeMembers(items []kvstore.Item) (members []peer.Identity, err error) {
	latest := map[string]kvstore.Item{} // by address
	for _, item := range items {
		var id peer.Identity
		if decodeErr := peer.Unmarshal(item.Value, &id); decodeErr != nil {
			err = errors.Wrapf(decodeErr, "decode instance registration %q", item.Key)
			continue
		}
		if id.Address == r.self.Address || item.Revision < latest[id.Address].Revision {
			continue
		}
		latest[id.Address] = item
		members = slices.DeleteFunc(members, func(m peer.Identity) bool { return m.Address == id.Address })
		members = append(members, id)
	}
	return members, err
}

// renew renews the lease, or registers under a new one if there is none or it expired.
func (r *Roster) renew(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.KeepAlive(ctx, r.lease)
		if !failure.Is(err, failure.NotFound) {
			return err
		}
		r.lease = 0
	}
	lease, err := r.store.Grant(ctx, registrationTTL)
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
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registeredAt.IsZero() {
		r.registeredAt = time.Now()
	}
	return nil
}

// Leave revokes the registration. It must be called after Run has returned.
func (r *Roster) Leave(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	return r.store.Revoke(ctx, r.lease)
}
