package rights

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

// AskMethod asks another instance for some of its rights.
const AskMethod peer.Method = "rights.ask"

// AskRequest is repeated with the same Number until it is answered, and answered
// alike each time.
type AskRequest struct {
	// TargetIncarnation is the incarnation of the asked instance: another incarnation does
	// not know what was given before and must not answer.
	TargetIncarnation string `cbor:"1,keyasint"`
	Sequence          uint64 `cbor:"2,keyasint"`
	Workspace         string `cbor:"3,keyasint"`
	Want              Tokens `cbor:"4,keyasint"`
	// Spent is what the asker has spent of the workspace since it reported last; the
	// giver reports it with its own.
	Spent Tokens `cbor:"5,keyasint,omitempty"`
	// UseStore asks the giver to get from the store what it lacks or gives away.
	UseStore bool `cbor:"6,keyasint,omitempty"`
	// ReplaceableOnly asks only for what the giver can replace from the store.
	ReplaceableOnly bool `cbor:"7,keyasint,omitempty"`
	// Returned has left the book of the asker for that of the giver.
	Returned Tokens `cbor:"8,keyasint,omitempty"`
	// Channel has a row of numbers of its own, so that calls for some workspaces do not
	// wait for those for others, nor for refills.
	Channel uint8 `cbor:"9,keyasint,omitempty"`
}

// AskReply tells what was given. The rights have left the book of the giver.
type AskReply struct {
	Given Tokens `cbor:"1,keyasint"`
	// StoreReached tells that the giver reaches the store, if it was asked to.
	StoreReached bool `cbor:"2,keyasint,omitempty"`
}

const (
	// askTimeout bounds one call; a peer in reach answers within milliseconds, and a
	// request does not wait for more than a few of them.
	askTimeout = 80 * time.Millisecond
	// refillCallTimeout bounds one call for which no request waits: a supplier with a
	// fifth of a core and a full link takes longer than askTimeout.
	refillCallTimeout = 250 * time.Millisecond
	// askRest is how long a peer that did not answer is left alone.
	askRest = time.Second
	// askMost bounds the peers that are asked for one request: those first in order
	// hold the most.
	askMost = 12
	// giveShare is the part of its free rights that an instance with demand of its
	// own gives at most. One without demand gives all: the last rights of a workspace
	// are of use only in one place.
	giveShare = 0.5
	// supplyWait is how long a giver waits for rights from the store, which answers
	// within milliseconds; it is well below askTimeout.
	supplyWait = 40 * time.Millisecond
	// maxSuppliers is the number of instances that are tried one after the other to get
	// rights from the store. Half of them may be without it while every instance still
	// finds one in seven of eight cases.
	maxSuppliers = 3
	// askPasses is how often the list of members is gone through: calls of the first
	// pass show which instances took the place of listed ones.
	askPasses = 2
)

// GrantSource is the store as a source of rights.
type GrantSource interface {
	// IsStoreUnreachable reports whether the store did not answer last.
	IsStoreUnreachable() bool
	// RequestGrant asks for rights that the instance asker lacks. It reports false when there
	// are none left, or the store is away.
	RequestGrant(workspace, asker string, lack Tokens) bool
}

// Member is another instance.
type Member struct {
	Incarnation, Address string
	// IsSupplier marks the suppliers of the workspace in question that come before this
	// instance.
	IsSupplier bool
}

// Members lists the other instances in the order in which they are asked for rights of
// a workspace. Those that come before this instance as suppliers are first.
type Members func(workspace string) []Member

// Suppliers returns the incarnations among takers that change the record of a workspace
// for all of them, so that their transactions do not conflict: the first one that
// reaches the store. All instances with the same takers choose alike.
func Suppliers(workspace string, takers map[string]bool) []string {
	shard := rendezvous.Mix(uint64(shardOf(workspace) + 1))
	all := slices.SortedFunc(maps.Keys(takers), func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Mix(rendezvous.Hash(b)^shard), rendezvous.Mix(rendezvous.Hash(a)^shard)), cmp.Compare(a, b))
	})
	return all[:min(maxSuppliers, len(all))]
}

// Exchange moves rights between instances. A move that got no answer is repeated
// before anything else is asked of that peer, so no rights appear twice.
type Exchange struct {
	book    *Book
	peers   peer.Caller
	members Members
	supply  GrantSource
	wait    time.Duration // supplyWait, but in tests
	log     logrus.FieldLogger

	mu     sync.Mutex
	asks   map[channel]*asker // by the asked
	given  map[channel]gift   // latest by the asking
	states map[string]state   // by incarnation
}

// channel is a row of numbered calls between two instances.
type channel struct {
	incarnation string
	number      uint8
}

// channelOf returns the number of the channel for a workspace.
func channelOf(workspace string, refill bool) uint8 {
	n := uint8(shardOf(workspace)) * 2
	if refill {
		n++
	}
	return n
}

// state is what calls have shown of another instance.
type state struct {
	silent time.Time // no request waits for it until then
	dry    time.Time // it is not asked to supply until then
}

// gift is the latest answer on one channel.
type gift struct {
	number uint64
	given  AskReply
}

// asker is the state of one channel to a peer; its mutex orders the calls.
type asker struct {
	mu     sync.Mutex
	number uint64
	open   *AskRequest // without an answer
	sent   bool        // open may have arrived
}

// NewExchange returns an exchange for the rights of book.
func NewExchange(book *Book, peers peer.Caller, members Members, supply GrantSource, log logrus.FieldLogger) *Exchange {
	return &Exchange{book: book, peers: peers, members: members, supply: supply, wait: supplyWait, log: log, asks: map[channel]*asker{}, given: map[channel]gift{}, states: map[string]state{}}
}

// RegisterPeer registers the handler of AskMethod for this incarnation.
func (x *Exchange) RegisterPeer(reg peer.Registrar, incarnation string) {
	reg.Handle(AskMethod, func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		var req AskRequest
		if err := peer.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		if req.TargetIncarnation != incarnation {
			return nil, failure.New(failure.NotFound, "ask the present incarnation", "incarnation %s has ended", req.TargetIncarnation)
		}
		replaceable := req.UseStore && x.stock(ctx, from.Incarnation, req)
		return x.give(from.Incarnation, req, replaceable)
	})
}

// stock gets rights from the store for another instance, if the free ones are too
// few. It reports whether this instance can replace what it gives away.
func (x *Exchange) stock(ctx context.Context, asker string, req AskRequest) bool {
	changed := x.book.Changed(req.Workspace)
	lack := req.Want - x.book.Holding(req.Workspace, time.Now()).Free
	if !x.supply.RequestGrant(req.Workspace, asker, max(0, lack)) {
		return false
	}
	if lack <= 0 {
		return true
	}
	timer := time.NewTimer(x.wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// give moves rights to an asker. replaceable tells that the store has more.
func (x *Exchange) give(to string, req AskRequest, replaceable bool) (AskReply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	row := channel{to, req.Channel}
	last := x.given[row]
	switch {
	case req.Sequence == last.number:
		return last.given, nil
	case req.Sequence < last.number:
		return AskReply{}, failure.New(failure.Fenced, "ignore the answer", "a later request was answered")
	}
	x.book.AddRelayed(req.Workspace, req.Spent)
	if req.Returned > 0 {
		x.book.Add(req.Workspace, req.Returned)
		x.log.WithFields(logrus.Fields{"workspace": req.Workspace, "from": to, "returned": req.Returned}).Info("rights taken back")
	}
	h := x.book.Holding(req.Workspace, time.Now())
	most := h.Free
	switch {
	case replaceable:
	case req.ReplaceableOnly:
		most = 0
	case h.Rate > 0:
		most = Tokens(float64(h.Free) * giveShare)
	}
	n := x.book.Remove(req.Workspace, min(req.Want, most))
	reply := AskReply{Given: n, StoreReached: req.UseStore && !x.supply.IsStoreUnreachable()}
	x.given[row] = gift{req.Sequence, reply}
	if n > 0 {
		x.log.WithFields(logrus.Fields{"workspace": req.Workspace, "to": to, "given": n, "free": h.Free - n, "replaceable": replaceable}).Info("rights given")
	}
	return reply, nil
}

// Ask asks other instances until want is reached: suppliers for what the store has until
// one reaches it (without the store every instance counts as one), and the others for a
// part of what they hold. It returns what the book got of the workspace, and whether an
// instance that reaches the store was asked.
func (x *Exchange) Ask(ctx context.Context, workspace string, want Tokens) (got Tokens, reached bool) {
	away := x.supply.IsStoreUnreachable()
	asked := map[string]bool{}
	for range askPasses {
		for _, m := range x.members(workspace) {
			if got >= want || len(asked) == askMost || ctx.Err() != nil {
				return got, reached
			}
			if asked[m.Incarnation] {
				continue
			}
			r := x.askOne(ctx, m, AskRequest{Workspace: workspace, Want: want - got, UseStore: !reached && (away || m.IsSupplier)})
			asked[m.Incarnation] = true
			got += r.tokens
			reached = reached || r.reached
		}
	}
	return got, reached
}

// Refill asks the first supplier that reaches the store for want tokens, or gives back
// -want free ones if want is negative. It reports false if there is none before this
// instance.
func (x *Exchange) Refill(ctx context.Context, workspace string, want Tokens) (reached bool) {
	req := AskRequest{Workspace: workspace, Want: max(0, want), UseStore: true, ReplaceableOnly: true, Returned: max(0, -want)}
	for _, m := range x.members(workspace) {
		if !m.IsSupplier {
			return false
		}
		if x.isDry(m) { // it did not reach the store, or did not answer, a moment ago
			continue
		}
		if reached = x.askOne(ctx, m, req).reached; reached || want < 0 {
			return reached // what was given back may have arrived: the rest follows in the next round
		}
	}
	return false
}

// ResolvePending repeats the calls without an answer to instances that are still there: what
// was moved by them is of use to nobody until then.
func (x *Exchange) ResolvePending(ctx context.Context) {
	for _, m := range x.members("") {
		for number := range uint8(2 * Shards) {
			a, known := x.lookup(m, number)
			if known && !x.isSilent(m) {
				x.resolve(ctx, m, a)
			}
		}
	}
}

func (x *Exchange) resolve(ctx context.Context, m Member, a *asker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open != nil {
		x.call(ctx, m, a, askTimeout)
	}
}

// isDry reports whether m did not supply a moment ago.
func (x *Exchange) isDry(m Member) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Now().Before(x.states[m.Incarnation].dry)
}

func (x *Exchange) isSilent(m Member) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Now().Before(x.states[m.Incarnation].silent)
}

// leaveAlone notes that m did not answer, or only that it does not reach the store.
func (x *Exchange) leaveAlone(m Member, silent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	until := time.Now().Add(askRest)
	s := x.states[m.Incarnation]
	s.dry = until
	if silent {
		s.silent = until
	}
	x.states[m.Incarnation] = s
}

// askOne sends req, which the state of the channel completes. An open request is
// repeated before. A peer that did not answer is left alone, unless no request waits.
func (x *Exchange) askOne(ctx context.Context, m Member, req AskRequest) received {
	timeout := refillCallTimeout
	if !req.ReplaceableOnly {
		timeout = askTimeout
		if x.isSilent(m) {
			return received{}
		}
	}
	req.Channel = channelOf(req.Workspace, req.ReplaceableOnly)
	a := x.asker(m, req.Channel)
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum received
	if a.open != nil {
		r, ok := x.call(ctx, m, a, timeout)
		if !ok {
			return sum
		}
		if r.workspace == req.Workspace {
			sum.tokens = r.tokens
		}
	}
	a.number++
	req.TargetIncarnation, req.Sequence = m.Incarnation, a.number
	req.Spent, req.Returned = x.book.TakeUnreported(req.Workspace), x.book.Remove(req.Workspace, req.Returned)
	a.open, a.sent = &req, false
	r, ok := x.call(ctx, m, a, timeout)
	if ok && req.UseStore && !r.reached {
		x.leaveAlone(m, false)
	}
	sum.tokens += r.tokens
	sum.reached = r.reached
	return sum
}

// lookup returns the state of a channel that was used before.
func (x *Exchange) lookup(m Member, number uint8) (*asker, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	a, ok := x.asks[channel{m.Incarnation, number}]
	return a, ok
}

func (x *Exchange) asker(m Member, number uint8) *asker {
	x.mu.Lock()
	defer x.mu.Unlock()
	row := channel{m.Incarnation, number}
	a := x.asks[row]
	if a == nil {
		a = &asker{}
		x.asks[row] = a
	}
	return a
}

// received is what one call brought.
type received struct {
	workspace string
	tokens    Tokens
	reached   bool
}

// call sends the open request once.
func (x *Exchange) call(ctx context.Context, m Member, a *asker, timeout time.Duration) (received, bool) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := *a.open
	var reply AskReply
	err := x.peers.Call(call, m.Address, AskMethod, req, &reply)
	switch {
	case err == nil:
		a.open = nil
		x.book.Add(req.Workspace, reply.Given)
		if reply.Given > 0 {
			x.log.WithFields(logrus.Fields{"workspace": req.Workspace, "from": m.Incarnation, "got": reply.Given}).Info("rights received")
		}
		return received{req.Workspace, reply.Given, reply.StoreReached}, true
	case !a.sent && (failure.Is(err, failure.Unavailable) || failure.Is(err, failure.NotFound)):
		a.open = nil // it was not sent, or only to another incarnation
		x.book.RestoreUnreported(req.Workspace, req.Spent)
		x.book.Add(req.Workspace, req.Returned)
	case failure.Is(err, failure.NotFound), failure.Is(err, failure.Fenced):
		a.open = nil // that incarnation is gone and its rights with it
	default:
		a.sent = true
	}
	x.leaveAlone(m, true)
	return received{}, false
}
