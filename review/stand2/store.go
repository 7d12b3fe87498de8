package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a stored item as encoded on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_revision"`
	Lease    uint64 `json:"lease"`
}

// change is an event of a watch.
type change struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

// lease is a lease that has not ended.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's store: linearizable, with leases that end in time. While
// it is silent it answers nothing, and leases and registrations of runners pause.
type store struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []change
	leases   map[uint64]lease
	beats    map[string]time.Time // latest registration of each runner, by key
	changed  chan struct{}
	silent   bool
	ticked   time.Time // when expire ran last
}

// runnerTTL is the silence after which the registration of a runner is removed: three heartbeat
// intervals.
const runnerTTL = 3 * heartbeat

// newStore starts a store on a free port of an address.
func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, beats: map[string]time.Time{}, changed: make(chan struct{}), ticked: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.hangIfSilent(r)
		w.Header().Set("Store-Era", "1")
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }() // returns when the server is closed
	go s.expireLoop()
	return s, nil
}

// hangIfSilent answers nothing while the store is silent.
func (s *store) hangIfSilent(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// setSilent begins or ends an outage.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notify()
}

func (s *store) expireLoop() {
	for range time.Tick(50 * time.Millisecond) {
		s.expire(time.Now())
	}
}

// expire ends leases and removes registrations whose time is over.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	passed := now.Sub(s.ticked)
	s.ticked = now
	if s.silent {
		for id, l := range s.leases {
			s.leases[id] = lease{l.ttl, l.end.Add(passed)}
		}
		for key, at := range s.beats {
			s.beats[key] = at.Add(passed)
		}
		return
	}
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
	for key, at := range s.beats {
		if now.Sub(at) > runnerTTL {
			s.revision++
			s.remove(key)
			delete(s.beats, key)
			s.notify()
		}
	}
}

// put writes a key as the operator or a runner does. It reports false while the store is silent.
func (s *store) put(key, value string, isRunner bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.revision++
	s.write(key, []byte(value), 0)
	if isRunner {
		s.beats[key] = time.Now()
	}
	s.notify()
	return true
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{item: it})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, change{item{Key: key, Revision: s.revision}, true})
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has left
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{it, s.revision})
}

// pageItems bounds the items of one page.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.hangIfSilent(r)
		s.mu.Lock()
		changed, at := s.changed, s.revision
		events := []change{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[i:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.hangIfSilent(r)
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a transaction.
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

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Write)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, holds := []item{}, true
	for _, e := range t.Expect {
		it := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if it.Revision > 0 {
			present = append(present, it)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, e := range t.Write {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, e := range t.Write {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}
