package node

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// awayStore is a store out of reach.
type awayStore struct{}

var errAway = failure.New(failure.Unavailable, "", "away")

func (awayStore) Commit(context.Context, kvstore.Transaction) (uint64, []kvstore.Item, error) {
	return 0, nil, errAway
}

func (awayStore) Range(context.Context, string, bool) ([]kvstore.Item, uint64, error) {
	return nil, 0, errAway
}

func (awayStore) WatchKey(context.Context, string, uint64, time.Duration) (*kvstore.Item, uint64, error) {
	return nil, 0, errAway
}

// generous gives what is asked for and notes how much that was.
type generous struct {
	reached bool
	wants   []rights.Tokens
}

func (g *generous) Call(_ context.Context, _ string, _ peer.Method, req, resp any) error {
	ask := req.(rights.AskRequest)
	g.wants = append(g.wants, ask.Want)
	*resp.(*rights.AskReply) = rights.AskReply{Given: ask.Want, StoreReached: g.reached && ask.UseStore}
	return nil
}

// Guards against an instance without the store that hoards rights although its
// neighbours would get it more at any time, and against one that asks for each request
// while none of them can.
func TestSearchWithoutStore(t *testing.T) {
	const most = 100
	for _, tc := range []struct {
		desc    string
		reached bool // by the neighbour
		want    []rights.Tokens
	}{
		{"a neighbour reaches the store", true, []rights.Tokens{most}},
		{"nobody reaches the store", false, []rights.Tokens{most, (awayFactor - 1) * most}},
	} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		book := rights.NewBook()
		syncer := rights.NewSyncer(rights.SyncerOptions{Book: book, Ledger: rights.NewLedger(awayStore{}, "a"), Prepaid: func() map[string]rights.Tokens { return nil },
			BufferHolders: func() (int, bool) { return 2, true }, IsSupplier: func(string) bool { return false }, ResolvePending: func(context.Context) {},
			Policy: rights.DefaultPolicy(), Timing: rights.DefaultTiming(), Log: log})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { syncer.Run(ctx); close(done) }()
		for !syncer.IsStoreUnreachable() {
			time.Sleep(time.Millisecond) // the first round
		}
		g := &generous{reached: tc.reached}
		x := rights.NewExchange(book, g, func(string) []rights.Member {
			return []rights.Member{{Incarnation: "b", Address: "b", IsSupplier: true}}
		}, syncer, log)
		p := newPurse(book, syncer, x, func(string) bool { return false })
		p.search(ctx, "w", most)
		if !slices.Equal(g.wants, tc.want) {
			t.Errorf("%s: asked for %v, want %v", tc.desc, g.wants, tc.want)
		}
		cancel()
		<-done
	}
}
