package rights

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// storeFault is what the fake store does with the next transaction.
type storeFault int

const (
	serve storeFault = iota
	refuse
	loseAnswer
	loseRequest
	doLate
)

// fakeStore is a store in memory whose answers get lost.
type fakeStore struct {
	revision uint64
	items    map[string]kvstore.Item
	fault    storeFault
	late     []kvstore.Transaction
	commits  int
	before   func() // called before each transaction
}

var _ Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]kvstore.Item{}} }

func (f *fakeStore) apply(t kvstore.Transaction) ([]kvstore.Item, bool) {
	var present []kvstore.Item
	holds := true
	for _, e := range t.Expect {
		it, ok := f.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if ok {
			present = append(present, it)
		}
	}
	if !holds {
		return present, false
	}
	f.revision++
	for _, w := range t.Write {
		f.items[w.Key] = kvstore.Item{Key: w.Key, Value: w.Value, Revision: f.revision}
	}
	return nil, true
}

func (f *fakeStore) Commit(_ context.Context, t kvstore.Transaction) (uint64, []kvstore.Item, error) {
	f.commits++
	if f.before != nil {
		f.before()
	}
	uncertain := failure.New(failure.Uncertain, "", "no answer")
	switch f.fault {
	case refuse:
		return 0, nil, failure.New(failure.Unavailable, "", "busy")
	case loseRequest:
		return 0, nil, uncertain
	case loseAnswer:
		f.apply(t)
		return 0, nil, uncertain
	case doLate:
		f.late = append(f.late, t)
		return 0, nil, uncertain
	}
	if items, ok := f.apply(t); !ok {
		return 0, items, failure.New(failure.Conflict, "", "changed")
	}
	return f.revision, nil, nil
}

func (f *fakeStore) doLate() {
	for _, t := range f.late {
		f.apply(t)
	}
	f.late = nil
}

func (f *fakeStore) Range(_ context.Context, prefix string, _ bool) ([]kvstore.Item, uint64, error) {
	var out []kvstore.Item
	for key, it := range f.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	return out, f.revision, nil
}

func (f *fakeStore) WatchKey(context.Context, string, uint64, time.Duration) (*kvstore.Item, uint64, error) {
	return nil, 0, errors.New("not used")
}

// fakePeers calls handlers directly and loses requests or replies.
type fakePeers struct {
	handlers map[string]peer.Handler // by address
	from     peer.Identity
	lose     func() (request, reply bool)
	repeats  []func() // requests that arrive once more later
}

func (p *fakePeers) Call(ctx context.Context, address string, _ peer.Method, req, resp any) error {
	body, err := peer.Marshal(req)
	if err != nil {
		return err
	}
	h := p.handlers[address]
	request, reply := p.lose()
	if h == nil || request {
		return failure.New(failure.Unavailable, "", "unreachable")
	}
	from := p.from
	p.repeats = append(p.repeats, func() {
		if h := p.handlers[address]; h != nil {
			_, _ = h(ctx, from, body) // a repeated request whose answer nobody reads
		}
	})
	out, err := h(ctx, from, body)
	if err != nil {
		return err
	}
	if reply {
		return failure.New(failure.Uncertain, "", "no answer")
	}
	b, err := peer.Marshal(out)
	if err != nil {
		return err
	}
	return peer.Unmarshal(b, resp)
}

// registrar keeps the handler of one method.
type registrar struct{ handler peer.Handler }

func (r *registrar) Handle(_ peer.Method, h peer.Handler) { r.handler = h }

func discard() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// noSupply is a store that answers and has no rights left.
type noSupply struct{}

var _ GrantSource = noSupply{}

func (noSupply) IsStoreUnreachable() bool                 { return false }
func (noSupply) RequestGrant(string, string, Tokens) bool { return false }

// awaySupply is a store out of reach.
type awaySupply struct{ noSupply }

func (awaySupply) IsStoreUnreachable() bool { return true }

// ampleSupply is a store that adds what is asked for to a book.
type ampleSupply struct {
	noSupply
	book *Book
}

func (s ampleSupply) RequestGrant(workspace, _ string, lack Tokens) bool {
	s.book.Add(workspace, lack)
	return true
}
