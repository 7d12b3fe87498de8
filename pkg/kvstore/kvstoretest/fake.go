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

const retryRemedy = "repeat the call later"

// Fake is an in-memory platform store. Its switches may be changed at any
// time; Down and CutClient also end watches that are waiting. A Fake is itself
// the view of the client with the empty id.
type Fake struct {
	*view

	mu        sync.Mutex
	records   map[string]kvstore.Record
	leases    map[string]heldLease
	instances map[string]kvstore.Instance
	unlisted  []listChange
	delayed   []delayedSwap
	calls     map[kvstore.CallKind]int
	wake      chan struct{} // closed and replaced on each change

	down        bool
	slow        time.Duration
	loseAnswers int
	delaySwaps  bool
	listLag     time.Duration
	cut         map[string]bool
}

// view is Client under a name that leaves Fake.Client free for the method.
type view = Client

type heldLease struct {
	holder  string
	token   uint64
	expires time.Time
}

// listChange is a registration that the instance list does not show yet.
type listChange struct {
	at      time.Time
	entry   kvstore.Instance
	removed bool
}

type delayedSwap struct {
	key    string
	expect uint64
	value  []byte
}

// NewFake returns an empty store with all fault switches off.
func NewFake() *Fake {
	f := &Fake{
		records:   map[string]kvstore.Record{},
		leases:    map[string]heldLease{},
		instances: map[string]kvstore.Instance{},
		calls:     map[kvstore.CallKind]int{},
		cut:       map[string]bool{},
		wake:      make(chan struct{}),
	}
	f.view = f.Client("")
	return f
}

// Client returns the view of the client with the given id.
func (f *Fake) Client(id string) *Client { return &Client{fake: f, id: id} }

// SetDown refuses all calls but ReleaseLease with failure.Unavailable.
func (f *Fake) SetDown(down bool) { f.set(func() { f.down = down }) }

// SetResponseDelay delays every answer by d. The call takes effect before the delay.
func (f *Fake) SetResponseDelay(d time.Duration) { f.set(func() { f.slow = d }) }

// LoseAnswers makes the next n writes that take effect (swaps, leases and
// releases) report failure.Uncertain.
func (f *Fake) LoseAnswers(n int) { f.set(func() { f.loseAnswers = n }) }

// DelaySwaps makes each swap report failure.Uncertain without effect; the
// swap waits for ApplyDelayed.
func (f *Fake) DelaySwaps(delay bool) { f.set(func() { f.delaySwaps = delay }) }

// CutClient makes every call of the client fail until RestoreClient.
func (f *Fake) CutClient(id string) { f.set(func() { f.cut[id] = true }) }

// RestoreClient ends the effect of CutClient.
func (f *Fake) RestoreClient(id string) { f.set(func() { delete(f.cut, id) }) }

// CutOnly cuts the given clients and restores all others.
func (f *Fake) CutOnly(ids ...string) {
	f.set(func() {
		clear(f.cut)
		for _, id := range ids {
			f.cut[id] = true
		}
	})
}

// IsCut reports whether CutClient is in effect for id.
func (f *Fake) IsCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[id]
}

// SetListLag sets how long the instance list lags behind registrations.
func (f *Fake) SetListLag(d time.Duration) { f.set(func() { f.listLag = d }) }

// SetInstances replaces the instance list at once, regardless of the lag.
func (f *Fake) SetInstances(list ...kvstore.Instance) {
	f.set(func() {
		clear(f.instances)
		f.unlisted = nil
		for _, in := range list {
			f.instances[in.ID] = in
		}
	})
}

// ApplyDelayed applies the delayed swaps in their order of arrival, each only
// if its version still matches. It returns the number that took effect.
func (f *Fake) ApplyDelayed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := 0
	for _, d := range f.delayed {
		if _, err := f.swapLocked(d.key, d.expect, d.value); err == nil {
			applied++
		}
	}
	f.delayed = nil
	return applied
}

// DropDelayed discards the delayed swaps and returns their number.
func (f *Fake) DropDelayed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.delayed)
	f.delayed = nil
	return n
}

// Calls returns the number of calls of a kind by all clients, including
// refused ones. A watch counts as one call.
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
func (f *Fake) ResetCalls() { f.set(func() { clear(f.calls) }) }

// Record returns the stored record of key without counting a call or applying
// a fault.
func (f *Fake) Record(key string) kvstore.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordLocked(key)
}

// ExpireLease ends the lease at once, as if its time to live had passed.
func (f *Fake) ExpireLease(name string) {
	f.set(func() {
		held := f.leases[name]
		held.holder = ""
		f.leases[name] = held
	})
}

func (f *Fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.notifyLocked()
}

func (f *Fake) notifyLocked() {
	close(f.wake)
	f.wake = make(chan struct{})
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

// acquireLocked renews a lease under its token, or raises the token when the
// lease was free or had lapsed.
func (f *Fake) acquireLocked(name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	now := time.Now()
	held := f.leases[name]
	current := held.holder != "" && now.Before(held.expires)
	if current && held.holder != holder {
		return kvstore.Lease{Name: name, Holder: held.holder, Token: held.token},
			failure.New(failure.Conflict, "wait until the lease lapses", "lease %q is held by %q", name, held.holder)
	}
	if !current {
		held.token++
	}
	held.holder, held.expires = holder, now.Add(ttl)
	f.leases[name] = held
	return kvstore.Lease{Name: name, Holder: holder, Token: held.token, Expires: held.expires}, nil
}

func (f *Fake) releaseLocked(name, holder string) {
	held := f.leases[name]
	if held.holder == holder {
		held.holder = ""
		f.leases[name] = held
	}
}

func (f *Fake) registerLocked(entry kvstore.Instance, removed bool) {
	f.unlisted = append(f.unlisted, listChange{at: time.Now(), entry: entry, removed: removed})
}

func (f *Fake) listLocked(service string) []kvstore.Instance {
	now := time.Now()
	for len(f.unlisted) > 0 && now.Sub(f.unlisted[0].at) >= f.listLag {
		change := f.unlisted[0]
		f.unlisted = f.unlisted[1:]
		if change.removed {
			delete(f.instances, change.entry.ID)
		} else {
			f.instances[change.entry.ID] = change.entry
		}
	}
	list := []kvstore.Instance{}
	for _, in := range f.instances {
		if service == "" || in.Service == service {
			list = append(list, in)
		}
	}
	slices.SortFunc(list, func(a, b kvstore.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
