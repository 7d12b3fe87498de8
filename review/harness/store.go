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

// item is an item of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_revision"`
	Lease    uint64 `json:"lease"`
}

// storeEvent is one entry of the history.
type storeEvent struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

// store is a sound stand-in of the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []storeEvent
	leases   map[uint64]*leaseState
	changed  chan struct{}
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// startStore serves a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: map[string]item{}, leases: map[uint64]*leaseState{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	go s.expireLeases()
	return s, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has left
}

// put writes a value as the operator or a runner does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notify()
}

// delete removes a key as the operator or a runner does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.notify()
}

func (s *store) set(key string, value []byte, lease uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, storeEvent{item: it})
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeEvent{item: item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.unset(key)
		}
	}
	s.notify()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{it, s.revision})
}

// pageItems is the largest number of items of one page.
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
	writeJSON(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "has_more": len(found) > pageItems, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		at, changed, events := s.revision, s.changed, []storeEvent{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
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
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Write)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, present := true, []item{}
	for _, e := range t.Expect {
		it, ok := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if ok {
			present = append(present, it)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, e := range t.Write {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			writeJSON(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, e := range t.Write {
		s.set(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(max(1000, body.TTL)) * time.Millisecond
	s.leases[s.revision] = &leaseState{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}
