package machines

import (
	"encoding/json"
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

// Item is an item in the form of the wire.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_revision"`
	Lease    uint64 `json:"lease"`
}

// event is a change in the form of the wire.
type event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// Fault is what the store does with one call.
type Fault int

// Faults of calls.
const (
	// NoFault answers.
	NoFault Fault = iota
	// Unavailable answers 503, Many 429; nothing is done.
	Unavailable
	TooManyRequests
	// Reset breaks the connection before anything is done.
	Reset
	// LoseAnswer does the call and breaks the connection.
	LoseAnswer
	// DelayTransaction breaks the connection and does a transaction at the next DoLate.
	DelayTransaction
)

// pageItems is the size of a page.
const pageItems = 3

// Store is the stand-in of the store as an http.Handler.
type Store struct {
	app *iris.Application

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []event
	dropped  uint64          // history up to this revision is gone
	leases   map[uint64]bool // open ones
	changed  chan struct{}
	faults   func(call string) Fault
	late     []func()
	calls    map[string]int
}

var _ http.Handler = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() (*Store, error) {
	s := &Store{app: iris.New(), items: map[string]Item{}, leases: map[uint64]bool{}, changed: make(chan struct{}), calls: map[string]int{}}
	s.app.Logger().SetLevel("disable")
	s.app.Configure(iris.WithoutPathCorrection, iris.WithoutAutoFireStatusCode)
	s.app.Get("/-/kv-key", s.serve("get", s.get))
	s.app.Get("/-/kv-range", s.serve("range", s.list))
	s.app.Get("/-/kv-watch", s.serve("watch", s.watch))
	s.app.Post("/-/kv-txn", s.serve("txn", s.commit))
	s.app.Post("/-/kv-lease", s.serve("lease", s.grant))
	s.app.Post("/-/kv-keep/{id:uint64}", s.serve("keep", s.keep))
	s.app.Delete("/-/kv-lease-end/{id:uint64}", s.serve("lease-end", s.end))
	if err := s.app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the routes of the store's stand-in")
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// SetFaults decides what happens to each call, by its kind; nil serves all.
func (s *Store) SetFaults(f func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls of a kind.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Put writes as the operator or a runner.
func (s *Store) Put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, []byte(value), 0)
	s.announce()
	return s.revision
}

// Get returns the present value of a key.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

// Count returns the number of keys below a prefix.
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

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.announce()
}

// ExpireLeases ends all leases.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.drop(id)
	}
	s.announce()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.announce()
}

// ApplyDelayed does the transactions that were held back, where their conditions hold.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, do := range late {
		do()
	}
}

func (s *Store) put(key string, value []byte, lease uint64) {
	it := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, event{Item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{Item: Item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

func (s *Store) drop(lease uint64) {
	delete(s.leases, lease)
	s.revision++
	for key, it := range s.items {
		if it.Lease == lease {
			s.remove(key)
		}
	}
}

func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve applies the faults to a handler.
func (s *Store) serve(kind string, handle func(iris.Context)) iris.Handler {
	return func(c iris.Context) {
		s.mu.Lock()
		s.calls[kind]++
		fault := NoFault
		if s.faults != nil {
			fault = s.faults(kind)
		}
		s.mu.Unlock()
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
				s.late = append(s.late, func() { s.apply(t) })
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

func (s *Store) list(c iris.Context) {
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
	more := len(found) > pageItems
	endpoint.WriteJSON(c, http.StatusOK, iris.Map{"items": found[:min(len(found), pageItems)], "has_more": more, "at": s.revision})
}

func (s *Store) watch(c iris.Context) {
	prefix := c.URLParam("prefix")
	after, _ := strconv.ParseUint(c.URLParam("after"), 10, 64)
	wait, _ := strconv.Atoi(c.URLParam("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, at, changed := after < s.dropped, s.revision, s.changed
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if gone {
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

// transaction is the body of a change.
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

// maxEntries bounds a transaction.
const maxEntries = 32

// apply does a transaction and returns its revision, or the present items of its
// expectations.
func (s *Store) apply(t transaction) (revision uint64, conflict []Item, noLease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	present := []Item{}
	for _, e := range t.Expect {
		it := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if it.Revision > 0 {
			present = append(present, it)
		}
	}
	if !holds {
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
	s.announce()
	return s.revision, nil, false
}

func (s *Store) commit(c iris.Context) {
	var t transaction
	if !endpoint.ReadJSON(c, &t) {
		return
	}
	if len(t.Expect)+len(t.Write)+len(t.Remove) > maxEntries {
		c.StatusCode(http.StatusBadRequest)
		return
	}
	for _, w := range t.Write {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			c.StatusCode(http.StatusForbidden)
			return
		}
	}
	revision, conflict, noLease := s.apply(t)
	switch {
	case noLease:
		c.StatusCode(http.StatusNotFound)
	case conflict != nil:
		endpoint.WriteJSON(c, http.StatusPreconditionFailed, iris.Map{"items": conflict})
	default:
		endpoint.WriteJSON(c, http.StatusOK, iris.Map{"revision": revision})
	}
}

func (s *Store) grant(c iris.Context) {
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

func (s *Store) keep(c iris.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[c.Params().GetUint64Default("id", 0)] {
		c.StatusCode(http.StatusNotFound)
		return
	}
	endpoint.WriteJSON(c, http.StatusOK, iris.Map{"ttl_ms": 0})
}

func (s *Store) end(c iris.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := c.Params().GetUint64Default("id", 0)
	if !s.leases[id] {
		c.StatusCode(http.StatusNotFound)
		return
	}
	s.drop(id)
	s.announce()
}
