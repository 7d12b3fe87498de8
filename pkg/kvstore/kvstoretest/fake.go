package kvstoretest

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

const retryLaterRemedy = "repeat the call later"

// Fake is an in-memory platform store with fault injection. Faults may be changed at
// any time; SetDown and CutClient also end waiting watches. Calls on a Fake itself
// are those of the client with the empty id.
type Fake struct {
	*defaultClient

	mu             sync.Mutex
	records        map[string]kvstore.Record
	leases         map[string]leaseRecord
	instances      map[string]kvstore.Instance
	pendingChanges []listChange
	delayedSwaps   []delayedSwap
	calls          map[kvstore.CallKind]int
	changed        chan struct{} // closed and replaced on each change

	down          bool
	responseDelay time.Duration
	loseAnswers   int
	delaySwaps    bool
	listLag       time.Duration
	cutClients    map[string]bool
}

// defaultClient is an alias of Client. If Client were embedded under its own name, the
// field would collide with the method Fake.Client.
type defaultClient = Client

// leaseRecord is a stored lease. A released lease has no holder and keeps its token.
type leaseRecord struct {
	holder  string
	token   uint64
	expires time.Time
}

// listChange is a registration, or its removal, that the instance list does not show
// yet.
type listChange struct {
	at       time.Time
	instance kvstore.Instance
	removed  bool
}

// delayedSwap is a swap that waits for ApplyDelayed.
type delayedSwap struct {
	key    string
	expect uint64
	value  []byte
}

// NewFake returns an empty store without faults.
func NewFake() *Fake {
	f := &Fake{
		records:    map[string]kvstore.Record{},
		leases:     map[string]leaseRecord{},
		instances:  map[string]kvstore.Instance{},
		calls:      map[kvstore.CallKind]int{},
		cutClients: map[string]bool{},
		changed:    make(chan struct{}),
	}
	f.defaultClient = f.Client("")
	return f
}

// Client returns a client with the given id.
func (f *Fake) Client(id string) *Client { return &Client{fake: f, id: id} }

// SetDown makes all calls except ReleaseLease fail with failure.Unavailable.
func (f *Fake) SetDown(down bool) { f.update(func() { f.down = down }) }

// SetResponseDelay delays every response by d. Calls take effect before the delay.
func (f *Fake) SetResponseDelay(d time.Duration) { f.update(func() { f.responseDelay = d }) }

// LoseAnswers loses the responses to the next n swaps, leases and releases that take
// effect: they return failure.Uncertain.
func (f *Fake) LoseAnswers(n int) { f.update(func() { f.loseAnswers = n }) }

// DelaySwaps makes each swap return failure.Uncertain and have no effect before
// ApplyDelayed.
func (f *Fake) DelaySwaps(delay bool) { f.update(func() { f.delaySwaps = delay }) }

// CutClient makes every call of the client fail with failure.Unavailable until
// RestoreClient.
func (f *Fake) CutClient(id string) { f.update(func() { f.cutClients[id] = true }) }

// RestoreClient ends the effect of CutClient.
func (f *Fake) RestoreClient(id string) { f.update(func() { delete(f.cutClients, id) }) }

// CutOnly applies CutClient to the given clients and RestoreClient to all others.
func (f *Fake) CutOnly(ids ...string) {
	f.update(func() {
		clear(f.cutClients)
		for _, id := range ids {
			f.cutClients[id] = true
		}
	})
}

// IsCut reports whether CutClient is in effect for id.
func (f *Fake) IsCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutClients[id]
}

// SetListLag sets how long the instance list lags behind registrations.
func (f *Fake) SetListLag(d time.Duration) { f.update(func() { f.listLag = d }) }

// SetInstances replaces the instance list at once, regardless of the lag.
func (f *Fake) SetInstances(list ...kvstore.Instance) {
	f.update(func() {
		clear(f.instances)
		f.pendingChanges = nil
		for _, instance := range list {
			f.instances[instance.ID] = instance
		}
	})
}

// ApplyDelayed applies the delayed swaps in the order of their calls, each only if
// its version still matches. It returns the number of swaps that took effect.
func (f *Fake) ApplyDelayed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := 0
	for _, d := range f.delayedSwaps {
		if _, err := f.swapLocked(d.key, d.expect, d.value); err == nil {
			applied++
		}
	}
	f.delayedSwaps = nil
	return applied
}

// DropDelayed discards the delayed swaps and returns their number.
func (f *Fake) DropDelayed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.delayedSwaps)
	f.delayedSwaps = nil
	return n
}

// Calls returns the number of calls of a kind by all clients, including those that
// failed because of a fault. A watch counts as one call.
func (f *Fake) Calls(kind kvstore.CallKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[kind]
}

// AllCalls returns the number of calls by kind.
func (f *Fake) AllCalls() map[kvstore.CallKind]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.calls)
}

// ResetCalls sets all call counters to zero.
func (f *Fake) ResetCalls() { f.update(func() { clear(f.calls) }) }

// Record returns the stored record of key, regardless of faults and without counting
// a call.
func (f *Fake) Record(key string) kvstore.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordLocked(key)
}

// ExpireLease makes the lease expire at once.
func (f *Fake) ExpireLease(name string) {
	f.update(func() {
		lease := f.leases[name]
		lease.holder = ""
		f.leases[name] = lease
	})
}

// update runs apply with the lock held and wakes all watches.
func (f *Fake) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	f.notifyLocked()
}

func (f *Fake) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fake) recordLocked(key string) kvstore.Record {
	r := f.records[key]
	r.Key, r.Value = key, slices.Clone(r.Value)
	return r
}

func (f *Fake) swapLocked(key string, expect uint64, value []byte) (uint64, error) {
	version := f.records[key].Version
	if version != expect {
		return version, failure.New(failure.Conflict, "read the record and decide again",
			"version of %q is %d, not %d", key, version, expect)
	}
	version++
	f.records[key] = kvstore.Record{Key: key, Value: slices.Clone(value), Version: version}
	f.notifyLocked()
	return version, nil
}

// acquireLocked renews a valid lease with the same token. If the lease is free or
// has expired, it increments the token.
func (f *Fake) acquireLocked(name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	now := time.Now()
	lease := f.leases[name]
	valid := lease.holder != "" && now.Before(lease.expires)
	if valid && lease.holder != holder {
		return kvstore.Lease{Name: name, Holder: lease.holder, Token: lease.token},
			failure.New(failure.Conflict, "wait until the lease expires", "lease %q is held by %q", name, lease.holder)
	}
	if !valid {
		lease.token++
	}
	lease.holder, lease.expires = holder, now.Add(ttl)
	f.leases[name] = lease
	return kvstore.Lease{Name: name, Holder: holder, Token: lease.token, Expires: lease.expires}, nil
}

func (f *Fake) releaseLocked(name, holder string) {
	lease := f.leases[name]
	if lease.holder == holder {
		lease.holder = ""
		f.leases[name] = lease
	}
}

// queueListChangeLocked records a change that listLocked applies after the list lag.
func (f *Fake) queueListChangeLocked(instance kvstore.Instance, removed bool) {
	f.pendingChanges = append(f.pendingChanges, listChange{at: time.Now(), instance: instance, removed: removed})
}

func (f *Fake) listLocked(service string) []kvstore.Instance {
	now := time.Now()
	for len(f.pendingChanges) > 0 && now.Sub(f.pendingChanges[0].at) >= f.listLag {
		change := f.pendingChanges[0]
		f.pendingChanges = f.pendingChanges[1:]
		if change.removed {
			delete(f.instances, change.instance.ID)
		} else {
			f.instances[change.instance.ID] = change.instance
		}
	}
	list := []kvstore.Instance{}
	for _, instance := range f.instances {
		if service == "" || instance.Service == service {
			list = append(list, instance)
		}
	}
	slices.SortFunc(list, func(a, b kvstore.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
