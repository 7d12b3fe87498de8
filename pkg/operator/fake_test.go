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

// fakeStore keeps records in memory. The next lose writes take effect without
// an answer, the next drop writes are lost.
type fakeStore struct {
	kvstore.Store // watches and leases are not used by this package

	mu      sync.Mutex
	records map[string]kvstore.Record
	lose    int
	drop    int
	down    bool
}

func (s *fakeStore) Get(_ context.Context, key string) (kvstore.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return kvstore.Record{}, failure.New(failure.Unavailable, "", "down")
	}
	return s.records[key], nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, failure.New(failure.Unavailable, "", "down")
	case s.drop > 0:
		s.drop--
		return 0, failure.New(failure.Uncertain, "", "answer lost")
	case s.records[key].Version != expect:
		return 0, failure.New(failure.Conflict, "", "other version")
	}
	s.records[key] = kvstore.Record{Key: key, Value: value, Version: expect + 1}
	if s.lose > 0 {
		s.lose--
		return 0, failure.New(failure.Uncertain, "", "answer lost")
	}
	return expect + 1, nil
}

// fleetStub answers with empty reports.
type fleetStub struct{}

func (fleetStub) Running(context.Context) (r RunningReport, err error)     { return }
func (fleetStub) Draining(context.Context) (r DrainingReport, err error)   { return }
func (fleetStub) Instances(context.Context) (r InstancesReport, err error) { return }
func (fleetStub) Burn(context.Context) (r BurnReport, err error)           { return }
func (fleetStub) Stop(_ context.Context, _ Issuer, req StopRequest) (r StopResult, err error) {
	return r, failure.New(failure.NotFound, "", "no instance %s", req.Instance)
}

type testBackend struct {
	*StoreBackend
	Fleet
}

func newBackend(store *fakeStore) testBackend {
	replica := config.NewReplica(store, config.ReplicaOptions{}, nil)
	return testBackend{NewStoreBackend(store, replica), fleetStub{}}
}

func document() *config.Document {
	return &config.Document{
		Shards: 4, Domains: []string{"ikeja"},
		Services: []config.Service{{Name: "llm-pool", Kind: config.ModelService, MaxOutputTokens: 9, Timeout: time.Minute, FirstByteTimeout: time.Second, IdleTimeout: time.Second, Concurrency: 1,
			Endpoints: []config.Endpoint{{ID: "llm-1", Address: "10.0.0.1:80", Domain: "ikeja"}}}},
		Workspaces: []config.Workspace{{Name: "clinic", KeyHash: strings.Repeat("ab", 32), DefaultBudget: "main"}},
	}
}
