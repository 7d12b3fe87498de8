package operator

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// fakeStore is an in-memory store with injected faults.
type fakeStore struct {
	kvstore.Store // nil, because this package uses no watches or leases

	mu            sync.Mutex
	records       map[string]kvstore.Record
	answersToLose int  // number of writes that take effect without an answer
	writesToDrop  int  // number of writes that have neither effect nor answer
	isDown        bool // every call fails
}

func (s *fakeStore) Get(_ context.Context, key string) (kvstore.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return kvstore.Record{}, failure.New(failure.Unavailable, "", "down")
	}
	return s.records[key], nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isDown:
		return 0, failure.New(failure.Unavailable, "", "down")
	case s.writesToDrop > 0:
		s.writesToDrop--
		return 0, failure.New(failure.Uncertain, "", "answer lost")
	case s.records[key].Version != expect:
		return 0, failure.New(failure.Conflict, "", "other version")
	}
	s.records[key] = kvstore.Record{Key: key, Value: value, Version: expect + 1}
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, failure.New(failure.Uncertain, "", "answer lost")
	}
	return expect + 1, nil
}

// stubFleet returns empty reports and knows no instance.
type stubFleet struct{}

func (stubFleet) Running(context.Context) (r RunningReport, err error)     { return }
func (stubFleet) Draining(context.Context) (r DrainingReport, err error)   { return }
func (stubFleet) Instances(context.Context) (r InstancesReport, err error) { return }
func (stubFleet) Burn(context.Context) (r BurnReport, err error)           { return }
func (stubFleet) Stop(_ context.Context, _ Issuer, req StopRequest) (r StopResult, err error) {
	return r, failure.New(failure.NotFound, "", "no instance %s", req.Instance)
}

// testBackend is a complete Backend on a fake store.
type testBackend struct {
	*StoreBackend
	Fleet
}

func newTestBackend(store *fakeStore) testBackend {
	replica := config.NewReplica(store, config.ReplicaOptions{}, nil)
	return testBackend{NewStoreBackend(store, replica), stubFleet{}}
}

// testDocument returns a configuration with one endpoint and one workspace.
func testDocument() *config.Document {
	return &config.Document{
		Shards: 4, Domains: []string{"ikeja"},
		Services: []config.Service{{Name: "llm-pool", Kind: config.ModelService, MaxOutputTokens: 9, Timeout: time.Minute, FirstByteTimeout: time.Second, IdleTimeout: time.Second, Concurrency: 1,
			Endpoints: []config.Endpoint{{ID: "llm-1", Address: "10.0.0.1:80", Domain: "ikeja"}}}},
		Workspaces: []config.Workspace{{Name: "clinic", KeyHash: strings.Repeat("ab", 32), DefaultBudget: "main"}},
	}
}
