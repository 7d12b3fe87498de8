package machines

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// Item is a stored item as encoded on the wire.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_revision"`
	Lease    uint64 `json:"lease"`
}

// event is a change of an item as encoded on the wire.
type event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// Fault is a fault that the store injects into one call.
type Fault int

// Faults that can be injected.
const (
	// NoFault handles the call normally.
	NoFault Fault = iota
	// Unavailable answers 503 without handling the call.
	Unavailable
	// TooManyRequests answers 429 without handling the call.
	TooManyRequests
	// Reset closes the connection without handling the call.
	Reset
	// LoseAnswer handles the call and closes the connection without a response.
	LoseAnswer
	// DelayTransaction closes the connection and keeps the transaction for the
	// next ApplyDelayed.
	DelayTransaction
)

// pageSize is the maximum number of items in one page of a range.
const pageSize = 3

// Store is an in-memory stand-in for the store. It implements http.Handler and
// is safe for concurrent use.
type Store struct {
	app *iris.Application

	mu                sync.Mutex
	revision          uint64
	items             map[string]Item
	history           []event
	compactedRevision uint64          // the history up to this revision was dropped
	leases            map[uint64]bool // ids of the leases that have not ended
	changed           chan struct{}   // closed and replaced at each change
	chooseFault       func(call string) Fault
	delayed           []func()
	calls             map[string]int
	era               uint64 // rises when the store returns from a copy
}

// Copy is the content of a store at some time.
type Copy struct {
	revision uint64
	items    map[string]Item
	leases   map[uint64]bool
}

var _ http.Handler = (*Store)(nil)

// NewStore returns an empty store. It returns an error when its routes cannot be
// built.
func NewStore() (*Store, error) {
	s := &Store{era: 1, app: iris.New(), items: map[string]Item{}, leases: map[uint64]bool{}, changed: make(chan struct{}), calls: map[string]int{}}
	s.app.Logger().SetLevel("disable")
	s.app.Configure(iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	s.app.Get("/-/kv-key", s.withFaults("get", s.get))
	s.app.Get("/-/kv-range", s.withFaults("range", s.listRange))
	s.app.Get("/-/kv-watch", s.withFaults("watch", s.watch))
	s.app.Post("/-/kv-txn", s.withFaults("txn", s.commit))
	s.app.Post("/-/kv-lease", s.withFaults("lease", s.grantLease))
	s.app.Post("/-/kv-keep/{id:uint64}", s.withFaults("keep", s.keepLeaseAlive))
	s.app.Delete("/-/kv-lease-end/{id:uint64}", s.withFaults("lease-end", s.revokeLease))
	if err := s.app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the routes of the store stand-in")
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// SetFaults sets the function that chooses the fault of each call by the kind of
// the call. With nil no faults are injected.
func (s *Store) SetFaults(f func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = f
}

// Calls returns the number of calls of a kind, including those with a fault.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Put writes a value without a lease, as the operator or a runner does, and
// returns the new revision.
func (s *Store) Put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, []byte(value), 0)
	s.notifyWatchers()
	return s.revision
}

// Get returns the current value of a key and whether the key exists.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

// Count returns the number of keys that begin with a prefix.
func (s *Store) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Remove deletes a key, if it exists.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatchers()
}

// ExpireLeases ends all leases and deletes their items.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
	s.notifyWatchers()
}

// Compact drops the history, so that watches from an earlier revision get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// ApplyDelayed applies the transactions that DelayTransaction held back. Those
// whose expected revisions no longer match have no effect.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, apply := range delayed {
		apply()
	}
}

// HeaderEra is the header field of all answers of the store. Its number rises by one each
// time the store returns from a copy.
const HeaderEra = "Store-Era"

// Copy returns the current content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items), maps.Clone(s.leases)}
}

// Restore replaces the content by an earlier copy. Revisions go back with it and are given
// out again. What the operator and the runners have written since is written again, and what
// the operator has removed is removed again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.items
	s.era++
	s.revision, s.items, s.leases = c.revision, maps.Clone(c.items), maps.Clone(c.leases)
	s.history, s.compactedRevision = nil, s.revision
	for key, it := range lost {
		if (strings.HasPrefix(key, "op/") || strings.HasPrefix(key, ServersPrefix)) && it.Revision > c.revision {
			s.revision++
			s.put(key, it.Value, 0)
		}
	}
	for key := range c.items {
		if _, found := lost[key]; strings.HasPrefix(key, "op/") && !found {
			s.revision++
			s.remove(key)
		}
	}
	s.notifyWatchers()
}

// put writes an item at the current revision. The mutex is held.
func (s *Store) put(key string, value []byte, lease uint64) {
	it := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, event{Item: it})
}

// remove deletes an item at the current revision. The mutex is held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{Item: Item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

// endLease ends a lease and deletes its items. The mutex is held.
func (s *Store) endLease(lease uint64) {
	delete(s.leases, lease)
	s.revision++
	for key, it := range s.items {
		if it.Lease == lease {
			s.remove(key)
		}
	}
}

// notifyWatchers wakes all waiting watches. The mutex is held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFaults wraps the handler of one kind of call: it counts the calls and
// injects the chosen faults.
func (s *Store) withFaults(kind string, handle func(iris.Context)) iris.Handler {
	return func(c iris.Context) {
		s.mu.Lock()
		s.calls[kind]++
		c.Header(HeaderEra, strconv.FormatUint(s.era, 10))
		chooseFault := s.chooseFault
		s.mu.Unlock()
		fault := NoFault
		if chooseFault != nil {
			fault = chooseFault(kind)
		}
		switch fault {
		case Unavailable:
			c.StatusCode(http.StatusServiceUnavailable)
		case TooManyRequests:
			c.StatusCode(http.StatusTooManyRequests)
		case Reset:
			panic(http.ErrAbortHandler)
		case LoseAnswer:
			c.Recorder() // nothing reaches the client
			handle(c)
			panic(http.ErrAbortHandler)
		case DelayTransaction:
			var t transaction
			if json.NewDecoder(c.Request().Body).Decode(&t) == nil {
				s.mu.Lock()
				s.delayed = append(s.delayed, func() { s.apply(t) })
				s.mu.Unlock()
			}
			panic(http.ErrAbortHandler)
		default:
			handle(c)
		}
	}
}

func (s *Store) get(c iris.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[c.URLParam("key")]
	if !ok {
		c.StatusCode(http.StatusNotFound)
		return
	}
	endpoint.WriteJSON(c, http.StatusOK, struct {
		Item
		At uint64 `json:"at"`
	}{it, s.revision})
}

func (s *Store) listRange(c iris.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := c.URLParam("prefix"), c.URLParam("after")
	found := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(found) > pageSize
	endpoint.WriteJSON(c, http.StatusOK, iris.Map{"items": found[:min(len(found), pageSize)], "has_more": hasMore, "at": s.revision})
}

func (s *Store) watch(c iris.Context) {
	prefix := c.URLParam("prefix")
	after, _ := strconv.ParseUint(c.URLParam("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(c.URLParam("wait_ms"))
	deadline := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		compacted, at, changed := after < s.compactedRevision || after > s.revision, s.revision, s.changed
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if compacted {
			c.StatusCode(http.StatusGone)
			return
		}
		if len(events) > 0 {
			endpoint.WriteJSON(c, http.StatusOK, iris.Map{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			endpoint.WriteJSON(c, http.StatusOK, iris.Map{"events": events, "at": at})
			return
		case <-c.Request().Context().Done():
			return
		}
	}
}

// transaction is the request body of a transaction.
type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Write []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"write"`
	Remove []string `json:"remove"`
}

// maxTransactionEntries bounds the expected revisions, writes and removals of one
// transaction together.
const maxTransactionEntries = 32

// apply applies a transaction and returns its revision. If an expected revision
// does not match, it returns the current items of the expected keys instead; if
// a lease has ended, it reports leaseMissing.
func (s *Store) apply(t transaction) (revision uint64, conflict []Item, leaseMissing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conditionsHold := true
	present := []Item{}
	for _, e := range t.Expect {
		it := s.items[e.Key]
		conditionsHold = conditionsHold && it.Revision == e.Revision
		if it.Revision > 0 {
			present = append(present, it)
		}
	}
	if !conditionsHold {
		return 0, present, false
	}
	for _, w := range t.Write {
		if w.Lease != 0 && !s.leases[w.Lease] {
			return 0, nil, true
		}
	}
	s.revision++
	for _, w := range t.Write {
		s.put(w.Key, w.Value, w.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notifyWatchers()
	return s.revision, nil, false
}

func (s *Store) commit(c iris.Context) {
	var t transaction
	if !endpoint.ReadJSON(c, &t) {
		return
	}
	if len(t.Expect)+len(t.Write)+len(t.Remove) > maxTransactionEntries {
		c.StatusCode(http.StatusBadRequest)
		return
	}
	for _, w := range t.Write {
		if w.Value == nil {
			c.StatusCode(http.StatusBadRequest)
			return
		}
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			c.StatusCode(http.StatusForbidden)
			return
		}
	}
	revision, conflict, leaseMissing := s.apply(t)
	switch {
	case leaseMissing:
		c.StatusCode(http.StatusNotFound)
	case conflict != nil:
		endpoint.WriteJSON(c, http.StatusPreconditionFailed, iris.Map{"items": conflict})
	default:
		endpoint.WriteJSON(c, http.StatusOK, iris.Map{"revision": revision})
	}
}

func (s *Store) grantLease(c iris.Context) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !endpoint.ReadJSON(c, &body) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = true
	endpoint.WriteJSON(c, http.StatusOK, iris.Map{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *Store) keepLeaseAlive(c iris.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[c.Params().GetUint64Default("id", 0)] {
		c.StatusCode(http.StatusNotFound)
		return
	}
	endpoint.WriteJSON(c, http.StatusOK, iris.Map{"ttl_ms": 0})
}

func (s *Store) revokeLease(c iris.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := c.Params().GetUint64Default("id", 0)
	if !s.leases[id] {
		c.StatusCode(http.StatusNotFound)
		return
	}
	s.endLease(id)
	s.notifyWatchers()
}
