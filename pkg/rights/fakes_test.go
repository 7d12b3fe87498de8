package rights

import (
	"context"
	"errors"
	"io"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// storeFault is the fault of a fakeStore.
type storeFault int

const (
	noFault      storeFault = iota
	refuseCommit            // fails as unavailable, without effect
	loseReply               // takes effect, fails as uncertain
	loseRequest             // has no effect, fails as uncertain
	delayCommit             // fails as uncertain, takes effect at applyDelayed
)

// fakeStore is an in-memory store that refuses, loses or delays transactions.
type fakeStore struct {
	revision     uint64
	items        map[string]kvstore.Item // with revisions as within their era
	era          uint64                  // 0 for a store without eras
	isEraKnown   func() bool             // whether the client knows the era when it commits
	copied       *fakeStore              // the latest copy
	fault        storeFault
	delayed      []kvstore.Transaction
	commits      int
	reads        atomic.Int64 // calls of Range
	beforeCommit func()       // called before each transaction
}

var _ Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]kvstore.Item{}} }

// apply commits a transaction if its expectations match. Otherwise it returns the
// current items of the expected keys and false.
func (f *fakeStore) apply(t kvstore.Transaction) ([]kvstore.Item, bool) {
	var present []kvstore.Item
	matches := true
	for _, e := range t.Expect {
		it, ok := f.items[e.Key]
		matches = matches && it.Revision == kvstore.RawRevision(e.Revision)
		if ok {
			present = append(present, f.inEra(it))
		}
	}
	if !matches {
		return present, false
	}
	f.revision++
	for _, w := range t.Write {
		f.items[w.Key] = kvstore.Item{Key: w.Key, Value: w.Value, Revision: f.revision}
	}
	for _, key := range t.Remove {
		delete(f.items, key)
	}
	return nil, true
}

// inEra returns an item as a client of the current era gets it.
func (f *fakeStore) inEra(it kvstore.Item) kvstore.Item {
	it.Revision = kvstore.InEra(f.era, it.Revision)
	return it
}

// copyContent keeps a copy of the content, and restore returns to it in a new era.
func (f *fakeStore) copyContent() {
	f.copied = &fakeStore{revision: f.revision, items: maps.Clone(f.items)}
}

func (f *fakeStore) restore() {
	f.era++
	f.revision, f.items = f.copied.revision, maps.Clone(f.copied.items)
}

func (f *fakeStore) Commit(_ context.Context, t kvstore.Transaction) (uint64, []kvstore.Item, error) {
	f.commits++
	expectedEra := f.era
	for _, e := range t.Expect {
		if e.Revision > 0 {
			expectedEra = kvstore.EraOf(e.Revision)
		}
	}
	if expectedEra != f.era && f.isEraKnown() {
		t.Expect = append(t.Expect, kvstore.Expectation{Key: "never", Revision: 1})
	}
	if f.beforeCommit != nil {
		f.beforeCommit()
	}
	uncertain := failure.New(failure.Uncertain, "", "no answer")
	switch f.fault {
	case refuseCommit:
		return 0, nil, failure.New(failure.Unavailable, "", "busy")
	case loseRequest:
		return 0, nil, uncertain
	case loseReply:
		f.apply(t)
		return 0, nil, uncertain
	case delayCommit:
		f.delayed = append(f.delayed, t)
		return 0, nil, uncertain
	}
	if items, ok := f.apply(t); !ok {
		return 0, items, failure.New(failure.Conflict, "", "changed")
	}
	if expectedEra != f.era {
		return 0, nil, uncertain
	}
	return kvstore.InEra(f.era, f.revision), nil, nil
}

// applyDelayed applies the transactions that delayCommit held back.
func (f *fakeStore) applyDelayed() {
	for _, t := range f.delayed {
		f.apply(t)
	}
	f.delayed = nil
}

func (f *fakeStore) Range(_ context.Context, prefix string, _ bool) ([]kvstore.Item, uint64, error) {
	f.reads.Add(1)
	var out []kvstore.Item
	for key, it := range f.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, f.inEra(it))
		}
	}
	return out, kvstore.InEra(f.era, max(1, f.revision)), nil
}

func (f *fakeStore) Get(_ context.Context, key string) (*kvstore.Item, uint64, error) {
	if it, ok := f.items[key]; ok {
		it = f.inEra(it)
		return &it, it.Revision, nil
	}
	return nil, 0, nil
}

func (f *fakeStore) Watch(context.Context, string, uint64, time.Duration) (kvstore.Changes, error) {
	return kvstore.Changes{}, errors.New("not used")
}

// fakePeers calls handlers directly, one at a time. It can lose requests or replies and
// repeat requests.
type fakePeers struct {
	mu         sync.Mutex
	handlers   map[string]peer.Handler // by address
	from       peer.Identity
	shouldLose func() (request, reply bool)
	duplicates []func() // deliver earlier requests again
}

func (p *fakePeers) Call(ctx context.Context, address string, _ peer.Method, req, resp any) error {
	body, err := peer.Marshal(req)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.handlers[address]
	requestLost, replyLost := p.shouldLose()
	if h == nil || requestLost {
		return failure.New(failure.Unavailable, "", "unreachable")
	}
	from := p.from
	p.duplicates = append(p.duplicates, func() {
		if h := p.handlers[address]; h != nil {
			_, _ = h(ctx, from, body) // the reply to a duplicate is dropped
		}
	})
	out, err := h(ctx, from, body)
	if err != nil {
		return err
	}
	if replyLost {
		return failure.New(failure.Uncertain, "", "no answer")
	}
	b, err := peer.Marshal(out)
	if err != nil {
		return err
	}
	return peer.Unmarshal(b, resp)
}

// registrar is a peer.Registrar that keeps the latest handler.
type registrar struct{ handler peer.Handler }

func (r *registrar) Handle(_ peer.Method, h peer.Handler) { r.handler = h }

// discardLogger returns a logger without output.
func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// emptySource is a GrantSource whose store is reachable and has no rights left.
type emptySource struct{}

var _ GrantSource = emptySource{}

func (emptySource) IsStoreUnreachable() bool                 { return false }
func (emptySource) RequestGrant(string, string, Tokens) bool { return false }

// unreachableSource is a GrantSource whose store is unreachable.
type unreachableSource struct{ emptySource }

func (unreachableSource) IsStoreUnreachable() bool { return true }

// unlimitedSource is a GrantSource that adds each requested shortfall to a book at once.
type unlimitedSource struct {
	emptySource
	book *Book
}

func (s unlimitedSource) RequestGrant(workspace, _ string, shortfall Tokens) bool {
	s.book.Add(workspace, shortfall)
	return true
}
