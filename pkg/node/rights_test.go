package node

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// unavailableStore is a store that cannot be reached.
type unavailableStore struct{}

var errUnavailable = failure.New(failure.Unavailable, "", "away")

func (unavailableStore) Commit(context.Context, kvstore.Transaction) (uint64, []kvstore.Item, error) {
	return 0, nil, errUnavailable
}

func (unavailableStore) Range(context.Context, string, bool) ([]kvstore.Item, uint64, error) {
	return nil, 0, errUnavailable
}

func (unavailableStore) Get(context.Context, string) (*kvstore.Item, uint64, error) {
	return nil, 0, errUnavailable
}

func (unavailableStore) Watch(context.Context, string, uint64, time.Duration) (kvstore.Changes, error) {
	return kvstore.Changes{}, errUnavailable
}

// fakePeer gives the rights that it is asked for and records the amounts.
type fakePeer struct {
	reached bool // whether it reaches the store
	asked   []rights.Tokens
}

func (p *fakePeer) Call(_ context.Context, _ string, _ peer.Method, req, resp any) error {
	ask := req.(rights.AskRequest)
	p.asked = append(p.asked, ask.Want)
	*resp.(*rights.AskReply) = rights.AskReply{Given: ask.Want, StoreReached: p.reached && ask.UseStore}
	return nil
}

// Guards against an instance that cannot reach the store and takes more rights than it
// needs although its peers could get more at any time, and against one that asks again
// for each request while no instance reaches the store.
func TestSearchWithoutStore(t *testing.T) {
	const maxTokens = 100
	for _, tc := range []struct {
		desc    string
		reached bool // whether the peer reaches the store
		want    []rights.Tokens
	}{
		{"a peer reaches the store", true, []rights.Tokens{maxTokens}},
		{"no instance reaches the store", false, []rights.Tokens{maxTokens, (outageAskFactor - 1) * maxTokens}},
	} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		book := rights.NewBook()
		syncer := rights.NewSyncer(rights.SyncerOptions{Book: book, Ledger: rights.NewLedger(unavailableStore{}, "a"), Prepaid: func() map[string]rights.Tokens { return nil },
			BufferHolders: func() (int, bool) { return 2, true }, Instances: func() int { return 2 }, SupplierRank: func(string) int { return rights.NoSupplier }, ResolvePending: func(context.Context) {},
			Policy: rights.DefaultPolicy(), Timing: rights.DefaultTiming(), Log: log})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { syncer.Run(ctx); close(done) }()
		for !syncer.IsStoreUnreachable() {
			time.Sleep(time.Millisecond) // until the first round has failed
		}
		other := &fakePeer{reached: tc.reached}
		exchange := rights.NewExchange(book, other, func(string) []rights.Member {
			return []rights.Member{{Incarnation: "b", Address: "b", IsSupplier: true}}
		}, syncer, log)
		r := newReserver(book, syncer, exchange, func(string) bool { return false }, log, nil)
		r.obtain(ctx, "w", maxTokens)
		if !slices.Equal(other.asked, tc.want) {
			t.Errorf("%s: asked for %v, want %v", tc.desc, other.asked, tc.want)
		}
		cancel()
		<-done
	}
}

// Guards against a fleet in which every instance that starts takes a buffer of rights of
// every workspace, because it does not know the others yet.
func TestStartingInstanceIsNoLeader(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := New(Options{Name: "i1", Domain: "d", PeerAddress: "127.0.0.1:1", Log: log, Registry: prometheus.NewRegistry()})
	if _, isLeader := n.leaderCount(); isLeader || n.isFirstSupplier("w") {
		t.Error("the instance leads before it has read the list of instances")
	}
}
