package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// store is the project's stand-in of the platform's store with leases that end in time, removed
// registrations of silent runners, and outages in which it answers nothing and these times pause.
type store struct {
	inner *machines.Store
	addr  string

	mu      sync.Mutex
	silent  bool
	leases  map[string]*lease    // that have not ended, by ID
	endPath string               // of the call that ends a lease, without its ID
	beats   map[string]time.Time // latest registration of each runner, by key
	ticked  time.Time            // when expire ran last
}

// lease is a lease that has not ended.
type lease struct {
	ttl time.Duration
	end time.Time
}

// runnerTTL is the silence after which the registration of a runner is removed: three heartbeat
// intervals.
const runnerTTL = 3 * heartbeat

// newStore starts a store on a free port of an address.
func newStore(ip string) (*store, error) {
	inner, err := machines.NewStore()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{inner: inner, addr: l.Addr().String(), leases: map[string]*lease{}, beats: map[string]time.Time{}, ticked: time.Now()}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }() // ends with the process
	go s.expireLoop()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.hangIfSilent(r)
	time.Sleep(storeDelay)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	s.inner.ServeHTTP(rec, r)
	s.hangIfSilent(r)
	if rec.Code == http.StatusOK {
		s.followLease(r, body, rec.Body.Bytes())
	}
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes()) // fails only if the client has left
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

// followLease records that a call has created, renewed or ended a lease.
func (s *store) followLease(r *http.Request, body, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch id := path.Base(r.URL.Path); {
	case strings.HasSuffix(r.URL.Path, "-lease"):
		var asked struct {
			TTL int64 `json:"ttl_ms"`
		}
		var granted struct {
			Lease uint64 `json:"lease"`
		}
		if json.Unmarshal(body, &asked) != nil || json.Unmarshal(answer, &granted) != nil {
			return
		}
		ttl := max(time.Second, time.Duration(asked.TTL)*time.Millisecond)
		s.endPath = r.URL.Path + "-end/"
		s.leases[strconv.FormatUint(granted.Lease, 10)] = &lease{ttl, time.Now().Add(ttl)}
	case s.leases[id] != nil && strings.Contains(r.URL.Path, "keep/"):
		s.leases[id].end = time.Now().Add(s.leases[id].ttl)
	case strings.HasPrefix(r.URL.Path, s.endPath):
		delete(s.leases, id)
	}
}

// setSilent begins or ends an outage.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
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
		for _, l := range s.leases {
			l.end = l.end.Add(passed)
		}
		for key, at := range s.beats {
			s.beats[key] = at.Add(passed)
		}
		return
	}
	for id, l := range s.leases {
		if now.After(l.end) {
			delete(s.leases, id)
			s.inner.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, s.endPath+id, nil))
		}
	}
	for key, at := range s.beats {
		if now.Sub(at) > runnerTTL {
			s.inner.Remove(key)
			delete(s.beats, key)
		}
	}
}

// register writes the entry of a runner. It does nothing while the store is silent.
func (s *store) register(id, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return
	}
	key := machines.ServersPrefix + id
	s.inner.Put(key, entry)
	s.beats[key] = time.Now()
}
