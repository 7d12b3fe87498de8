package config

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

type writeFault int

const (
	noFault    writeFault = iota
	loseAnswer            // the write takes effect, its answer is lost
	dropWrite             // the write is lost
	delayWrite            // the write may take effect later
)

// fakeStore holds one key and keeps every record that it ever had.
type fakeStore struct {
	kvstore.Store // lease calls are not used by this package

	mu      sync.Mutex
	history []kvstore.Record
	changed chan struct{}
	down    bool
	silent  bool
	stale   int // Get and Watch show the record this many writes ago
	faults  []writeFault
	delayed []kvstore.Record // Version is the expected one
}

func newFakeStore() *fakeStore {
	return &fakeStore{history: []kvstore.Record{{Key: StoreKey}}, changed: make(chan struct{})}
}

func (s *fakeStore) shown() kvstore.Record {
	return s.history[max(0, len(s.history)-1-s.stale)]
}

func (s *fakeStore) latest() kvstore.Record { return s.history[len(s.history)-1] }

func (s *fakeStore) put(value []byte) {
	s.history = append(s.history, kvstore.Record{Key: StoreKey, Value: value, Version: s.latest().Version + 1})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Get(ctx context.Context, _ string) (kvstore.Record, error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return kvstore.Record{}, failure.New(failure.Unavailable, "", "silent")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return kvstore.Record{}, failure.New(failure.Unavailable, "", "down")
	}
	return s.shown(), nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, _ string, expect uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, failure.New(failure.Unavailable, "", "down")
	}
	fault := noFault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	lost := failure.New(failure.Uncertain, "", "answer lost")
	switch {
	case fault == dropWrite:
		return 0, lost
	case fault == delayWrite:
		s.delayed = append(s.delayed, kvstore.Record{Value: value, Version: expect})
		return 0, lost
	case s.latest().Version != expect:
		return 0, failure.New(failure.Conflict, "", "version is %d", s.latest().Version)
	}
	s.put(value)
	if fault == loseAnswer {
		return 0, lost
	}
	return s.latest().Version, nil
}

// deliver lets the delayed writes take effect whose version still holds.
func (s *fakeStore) deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.delayed {
		if w.Version == s.latest().Version {
			s.put(w.Value)
		}
	}
	s.delayed = nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, after uint64) (kvstore.Record, error) {
	ended := time.After(20 * time.Second)
	for {
		s.mu.Lock()
		silent, changed := s.silent, s.changed
		s.mu.Unlock()
		if rec, err := s.Get(ctx, key); silent || err != nil || rec.Version != after {
			return rec, err
		}
		select {
		case <-ctx.Done():
			return kvstore.Record{}, ctx.Err()
		case <-ended:
			return s.Get(ctx, key)
		case <-changed:
		}
	}
}

// fakePeers connects replicas by address and encodes calls as the real one does.
type fakePeers map[string]*Replica

func (p fakePeers) Call(ctx context.Context, address string, _ peer.Method, req, resp any) error {
	r, ok := p[address]
	if !ok {
		return failure.New(failure.Unavailable, "", "no peer at %s", address)
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	reply, err := r.serveFetch(ctx, peer.Identity{}, body)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

func validDocument() *Document {
	hash := strings.Repeat("ab", keyHashBytes)
	return &Document{
		Format: FormatVersion, Generation: 1, Shards: 8, Domains: []string{"ikeja", "yaba"},
		Services: []Service{
			{Name: "llm-pool", Kind: ModelService, MaxOutputTokens: 4096, Timeout: time.Minute, FirstByteTimeout: time.Second, IdleTimeout: time.Second, Concurrency: 8,
				Endpoints: []Endpoint{{ID: "llm-1", Address: "10.0.0.1:80", Domain: "ikeja"}}},
			{Name: "rounds-app", Kind: AppService, Timeout: time.Minute, FirstByteTimeout: time.Second, IdleTimeout: time.Second, Concurrency: 8,
				Routes: []Route{{Method: "POST", PathPrefix: "/bookings", Price: 20}}},
		},
		Workspaces: []Workspace{{Name: "clinic", KeyHash: hash, DefaultBudget: "main"}},
		Engines:    []EngineState{{Endpoint: "llm-1", Model: "notas"}},
		Objectives: []Objective{{Service: "llm-pool", Target: 0.95}},
	}
}

// establish replaces the content of a document by the valid one.
func establish(d *Document) error {
	*d = *validDocument()
	return nil
}

func retire(id string) func(*Document) error {
	return func(d *Document) error {
		d.Drained = append(d.Drained, id)
		return nil
	}
}

func changeBy(command string, expect uint64, mutate func(*Document) error) ChangeRequest {
	return ChangeRequest{Command: command, Operator: "ada", Summary: "test", Expect: expect, Mutate: mutate}
}
