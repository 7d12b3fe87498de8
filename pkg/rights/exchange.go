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
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// AskMethod asks another instance to transfer some of its rights.
const AskMethod peer.Method = "rights.ask"

// AskRequest is the body of an AskMethod call from a requester to a giver. The call is
// idempotent: the requester repeats it with the same Sequence until it is answered, and
// each answer is the same.
type AskRequest struct {
	// TargetIncarnation is the incarnation of the giver. Another incarnation has
	// no record of earlier transfers and must not answer.
	TargetIncarnation string `cbor:"1,keyasint"`
	// Sequence is the number of the request within its Channel.
	Sequence  uint64 `cbor:"2,keyasint"`
	Workspace string `cbor:"3,keyasint"`
	// Want is the maximum that the giver may transfer.
	Want Tokens `cbor:"4,keyasint"`
	// Spent is what the requester has spent of the workspace since its last report; the
	// giver includes it in its own report.
	Spent Tokens `cbor:"5,keyasint,omitempty"`
	// UseStore asks the giver to take from the store what it lacks or transfers.
	UseStore bool `cbor:"6,keyasint,omitempty"`
	// ReplaceableOnly limits the transfer to what the giver can replace from the store.
	ReplaceableOnly bool `cbor:"7,keyasint,omitempty"`
	// Returned is the number of rights that the requester transfers to the giver.
	Returned Tokens `cbor:"8,keyasint,omitempty"`
	// Channel selects an independent sequence of requests, so that calls for some
	// workspaces do not wait for calls for others, nor for refills.
	Channel uint8 `cbor:"9,keyasint,omitempty"`
}

// AskReply is the answer to an AskRequest.
type AskReply struct {
	// Given is the number of rights that the giver has removed from its book for the
	// requester.
	Given Tokens `cbor:"1,keyasint"`
	// StoreReached reports that the request had UseStore set and that the giver reaches
	// the store.
	StoreReached bool `cbor:"2,keyasint,omitempty"`
}

const (
	// askTimeout bounds one call for which a request waits. A reachable peer answers
	// within milliseconds, and a request waits for only a few such calls.
	askTimeout = 80 * time.Millisecond
	// refillCallTimeout bounds one call for which no request waits. A supplier with a
	// fifth of a core and a saturated link takes longer than askTimeout.
	refillCallTimeout = 250 * time.Millisecond
	// peerBackoffDelay is how long a peer that did not answer is not called, and one that
	// did not reach the store not asked for a refill.
	peerBackoffDelay = time.Second
	// maxAskedPeers bounds the peers that are asked for one request. Members lists
	// those that hold the most first.
	maxAskedPeers = 12
	// maxTransferShare bounds the fraction of its free rights that an instance with demand
	// of its own transfers. An instance without demand transfers all of them, because
	// the last rights of a workspace are useful only when they are in one place.
	maxTransferShare = 0.5
	// defaultGrantTimeout bounds the wait of a giver for rights from the store, which
	// answers within milliseconds. It is well below askTimeout.
	defaultGrantTimeout = 40 * time.Millisecond
	// maxSuppliers is the number of instances that are tried in turn to get rights from
	// the store. If half of the instances cannot reach the store, one of three suppliers
	// reaches it in seven of eight cases.
	maxSuppliers = 3
	// maxAskPasses bounds the passes over the list of members. The calls of the first
	// pass reveal which instances have replaced listed ones.
	maxAskPasses = 2
)

// GrantSource takes rights from the store on behalf of an Exchange.
type GrantSource interface {
	// IsStoreUnreachable reports whether the latest call of the store failed.
	IsStoreUnreachable() bool
	// RequestGrant requests shortfall tokens for another instance, the requester; they
	// arrive later. It reports false if the workspace has no tokens left or the store is
	// unreachable.
	RequestGrant(workspace, requester string, shortfall Tokens) bool
}

// Member is another instance as a source of rights.
type Member struct {
	Incarnation, Address string
	// IsSupplier reports whether the instance is a supplier of the workspace in question
	// that ranks before this instance.
	IsSupplier bool
}

// Members lists the other instances in the order in which they are asked for rights of
// a workspace. Suppliers that rank before this instance are first.
type Members func(workspace string) []Member

// NoSupplier is the rank of an instance that is not among the suppliers of a workspace.
const NoSupplier = -1

// Suppliers returns at most three of the candidates, in order of rank. Candidates are
// the incarnations of all buffer holders. The first supplier that reaches the store
// changes the record of the workspace for all instances, so that their transactions do
// not conflict. The choice is by rendezvous hashing: all instances with the same
// candidates make the same one.
func Suppliers(workspace string, candidates map[string]bool) []string {
	shardHash := rendezvous.Mix(uint64(shardOf(workspace) + 1))
	ranked := slices.SortedFunc(maps.Keys(candidates), func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Mix(rendezvous.Hash(b)^shardHash), rendezvous.Mix(rendezvous.Hash(a)^shardHash)), cmp.Compare(a, b))
	})
	return ranked[:min(maxSuppliers, len(ranked))]
}

// Exchange transfers rights between instances. A call that got no answer is repeated
// before the next call on the same channel, so that no rights are duplicated. It is
// safe for concurrent use.
type Exchange struct {
	book         *Book
	peers        peer.Caller
	members      Members
	source       GrantSource
	grantTimeout time.Duration // defaultGrantTimeout except in tests
	log          logrus.FieldLogger

	mu         sync.Mutex
	outgoing   map[channel]*outgoingChannel // by the called instance
	replies    map[channel]recordedReply    // latest one, by the calling instance
	peerStates map[string]peerState         // by incarnation
}

// channel identifies a sequence of calls to or from another instance.
type channel struct {
	incarnation string
	number      uint8
}

// channelNumber returns the number of the channel for a workspace. Each shard has one
// channel for refills and one for all other calls.
func channelNumber(workspace string, refill bool) uint8 {
	n := uint8(shardOf(workspace)) * 2
	if refill {
		n++
	}
	return n
}

// peerState holds the backoff of calls to another instance.
type peerState struct {
	askRetryAt    time.Time // before that, no request waits for the instance
	refillRetryAt time.Time // before that, it is not asked for a refill
}

// recordedReply is the latest reply on one channel, kept to answer a repeated request.
type recordedReply struct {
	sequence uint64
	reply    AskReply
}

// outgoingChannel is the state of one channel to a peer. Its mutex is held during a
// call, so that calls are sequential.
type outgoingChannel struct {
	mu             sync.Mutex
	sequence       uint64
	pending        *AskRequest // request without an answer, or nil
	mayHaveArrived bool        // the peer may have received pending
}

// NewExchange returns an exchange for the rights of book.
func NewExchange(book *Book, peers peer.Caller, members Members, source GrantSource, log logrus.FieldLogger) *Exchange {
	return &Exchange{book: book, peers: peers, members: members, source: source, grantTimeout: defaultGrantTimeout, log: log, outgoing: map[channel]*outgoingChannel{}, replies: map[channel]recordedReply{}, peerStates: map[string]peerState{}}
}

// RegisterPeer registers the handler of AskMethod for this incarnation.
func (x *Exchange) RegisterPeer(reg peer.Registrar, incarnation string) {
	reg.Handle(AskMethod, func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		var req AskRequest
		if err := peer.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		if req.TargetIncarnation != incarnation {
			return nil, failure.New(failure.NotFound, "ask the current incarnation", "this instance is incarnation %q, not %q", incarnation, req.TargetIncarnation)
		}
		replaceable := req.UseStore && x.obtainFromStore(ctx, from.Incarnation, req)
		return x.transfer(from.Incarnation, req, replaceable)
	})
}

// obtainFromStore takes rights from the store if the free rights do not cover req. It
// reports whether this instance can replace from the store what it transfers.
func (x *Exchange) obtainFromStore(ctx context.Context, requester string, req AskRequest) bool {
	changed := x.book.Changed(req.Workspace)
	h := x.book.Holding(req.Workspace, time.Now())
	shortfall := req.Want.Excess(h.Free.Excess(h.Waiting))
	if !x.source.RequestGrant(req.Workspace, requester, shortfall) {
		return false
	}
	if shortfall == 0 {
		return true
	}
	timer := time.NewTimer(x.grantTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// transfer takes back the returned rights and moves free ones to the requester.
// replaceable reports whether this instance can replace them from the store. A
// repeated request gets the reply of the first one.
func (x *Exchange) transfer(requester string, req AskRequest, replaceable bool) (AskReply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := channel{requester, req.Channel}
	last := x.replies[key]
	switch {
	case req.Sequence == last.sequence:
		return last.reply, nil
	case req.Sequence < last.sequence:
		return AskReply{}, failure.New(failure.Fenced, "ignore the answer", "request %d from %q on channel %d is stale: request %d was answered", req.Sequence, requester, req.Channel, last.sequence)
	}
	x.book.AddRelayed(req.Workspace, req.Spent)
	if req.Returned > 0 {
		x.book.Add(req.Workspace, req.Returned)
		x.log.WithFields(logrus.Fields{"workspace": req.Workspace, "from": requester, "returned": req.Returned}).Info("rights taken back")
	}
	h := x.book.Holding(req.Workspace, time.Now())
	available := h.Free.Excess(h.Waiting)
	switch {
	case replaceable:
	case req.ReplaceableOnly:
		available = 0
	case h.Rate > 0:
		available = tokens.FromFloat(float64(available) * maxTransferShare)
	}
	given := x.book.Remove(req.Workspace, min(req.Want, available))
	reply := AskReply{Given: given, StoreReached: req.UseStore && !x.source.IsStoreUnreachable()}
	x.replies[key] = recordedReply{req.Sequence, reply}
	if given > 0 {
		x.log.WithFields(logrus.Fields{"workspace": req.Workspace, "to": requester, "given": given, "free": h.Free.Excess(given), "replaceable": replaceable}).Info("rights given")
	}
	return reply, nil
}

// Ask asks other instances for rights of a workspace until it has got want tokens.
// Suppliers are asked to take rights from the store until one of them reaches it; if
// the store is unreachable from here, every instance is asked to. The others are asked
// for a part of what they hold. Ask returns the tokens added to the book, and whether
// an instance that reaches the store was asked.
func (x *Exchange) Ask(ctx context.Context, workspace string, want Tokens) (got Tokens, storeReached bool) {
	storeUnreachable := x.source.IsStoreUnreachable()
	asked := map[string]bool{}
	for range maxAskPasses {
		for _, m := range x.members(workspace) {
			if got >= want || len(asked) == maxAskedPeers || ctx.Err() != nil {
				return got, storeReached
			}
			if asked[m.Incarnation] {
				continue
			}
			r := x.askPeer(ctx, m, AskRequest{Workspace: workspace, Want: want.Excess(got), UseStore: !storeReached && (storeUnreachable || m.IsSupplier)})
			asked[m.Incarnation] = true
			got = got.Plus(r.tokens)
			storeReached = storeReached || r.storeReached
		}
	}
	return got, storeReached
}

// AskSuppliers is like Ask, but asks only the suppliers that rank before this instance.
func (x *Exchange) AskSuppliers(ctx context.Context, workspace string, want Tokens) (got Tokens, storeReached bool) {
	for _, m := range x.members(workspace) {
		if !m.IsSupplier || got >= want || ctx.Err() != nil {
			break
		}
		r := x.askPeer(ctx, m, AskRequest{Workspace: workspace, Want: want.Excess(got), UseStore: !storeReached})
		got, storeReached = got.Plus(r.tokens), storeReached || r.storeReached
	}
	return got, storeReached
}

// Refill asks the first supplier that reaches the store for want tokens, or returns
// -want free ones to it if want is negative. It reports false if no supplier that ranks
// before this instance reached the store.
func (x *Exchange) Refill(ctx context.Context, workspace string, want Delta) (storeReached bool) {
	req := AskRequest{Workspace: workspace, Want: want.Increase(), UseStore: true, ReplaceableOnly: true, Returned: want.Decrease()}
	for _, m := range x.members(workspace) {
		if !m.IsSupplier {
			return false
		}
		if x.isRefillBackedOff(m) {
			continue
		}
		if storeReached = x.askPeer(ctx, m, req).storeReached; storeReached || want < 0 {
			// After a failed return the rights may have arrived, so they are not returned to
			// another supplier. The next round returns the rest.
			return storeReached
		}
	}
	return false
}

// ResolvePending repeats the calls without an answer to instances that still exist.
// Until such a call is answered, no instance can use the rights that it transfers.
func (x *Exchange) ResolvePending(ctx context.Context) {
	for _, m := range x.members("") {
		for number := range uint8(2 * Shards) {
			ch, ok := x.existingChannelTo(m, number)
			if ok && !x.isBackedOff(m) {
				x.resolveChannel(ctx, m, ch)
			}
		}
	}
}

// resolveChannel repeats the pending call of a channel, if there is one.
func (x *Exchange) resolveChannel(ctx context.Context, m Member, ch *outgoingChannel) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.pending != nil {
		x.sendPending(ctx, m, ch, askTimeout)
	}
}

// isRefillBackedOff reports whether m recently did not answer or did not reach the store.
func (x *Exchange) isRefillBackedOff(m Member) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Now().Before(x.peerStates[m.Incarnation].refillRetryAt)
}

// isBackedOff reports whether m recently did not answer.
func (x *Exchange) isBackedOff(m Member) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Now().Before(x.peerStates[m.Incarnation].askRetryAt)
}

// backOff delays the next refill from m for peerBackoffDelay and, if m is unresponsive,
// all other calls to it as well.
func (x *Exchange) backOff(m Member, unresponsive bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	until := time.Now().Add(peerBackoffDelay)
	s := x.peerStates[m.Incarnation]
	s.refillRetryAt = until
	if unresponsive {
		s.askRetryAt = until
	}
	x.peerStates[m.Incarnation] = s
}

// askPeer completes req from the state of its channel and sends it. A pending request
// of the channel is repeated first. Unless req is a refill, for which no request waits,
// askPeer does not call a peer that recently did not answer.
func (x *Exchange) askPeer(ctx context.Context, m Member, req AskRequest) callResult {
	timeout := refillCallTimeout
	if !req.ReplaceableOnly {
		timeout = askTimeout
		if x.isBackedOff(m) {
			return callResult{}
		}
	}
	req.Channel = channelNumber(req.Workspace, req.ReplaceableOnly)
	ch := x.channelTo(m, req.Channel)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	var total callResult
	if ch.pending != nil {
		r, ok := x.sendPending(ctx, m, ch, timeout)
		if !ok {
			return total
		}
		if r.workspace == req.Workspace {
			total.tokens = r.tokens
		}
	}
	ch.sequence++
	req.TargetIncarnation, req.Sequence = m.Incarnation, ch.sequence
	req.Spent, req.Returned = x.book.TakeUnreported(req.Workspace), x.book.Remove(req.Workspace, req.Returned)
	ch.pending, ch.mayHaveArrived = &req, false
	r, ok := x.sendPending(ctx, m, ch, timeout)
	if ok && req.UseStore && !r.storeReached {
		x.backOff(m, false)
	}
	total.tokens = total.tokens.Plus(r.tokens)
	total.storeReached = r.storeReached
	return total
}

// existingChannelTo returns the state of a channel if it was used before.
func (x *Exchange) existingChannelTo(m Member, number uint8) (*outgoingChannel, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ch, ok := x.outgoing[channel{m.Incarnation, number}]
	return ch, ok
}

// channelTo returns the state of a channel and creates it if necessary.
func (x *Exchange) channelTo(m Member, number uint8) *outgoingChannel {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := channel{m.Incarnation, number}
	ch := x.outgoing[key]
	if ch == nil {
		ch = &outgoingChannel{}
		x.outgoing[key] = ch
	}
	return ch
}

// callResult is what a call, or a repeated call and its successor, transferred.
type callResult struct {
	workspace    string
	tokens       Tokens
	storeReached bool
}

// sendPending sends the pending request of a channel once and reports whether it was
// answered. The caller holds ch.mu.
func (x *Exchange) sendPending(ctx context.Context, m Member, ch *outgoingChannel, timeout time.Duration) (callResult, bool) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := *ch.pending
	var reply AskReply
	err := x.peers.Call(callCtx, m.Address, AskMethod, req, &reply)
	switch {
	case err == nil:
		ch.pending = nil
		x.book.Add(req.Workspace, reply.Given)
		if reply.Given > 0 {
			x.log.WithFields(logrus.Fields{"workspace": req.Workspace, "from": m.Incarnation, "got": reply.Given}).Info("rights received")
		}
		return callResult{req.Workspace, reply.Given, reply.StoreReached}, true
	case !ch.mayHaveArrived && (failure.Is(err, failure.Unavailable) || failure.Is(err, failure.NotFound)):
		ch.pending = nil // it was not sent, or only another incarnation received it
		x.book.RestoreUnreported(req.Workspace, req.Spent)
		x.book.Add(req.Workspace, req.Returned)
	case failure.Is(err, failure.NotFound), failure.Is(err, failure.Fenced):
		// The incarnation has ended, and its rights are lost with it; or it has answered a
		// later request of the channel.
		ch.pending = nil
	default:
		ch.mayHaveArrived = true
	}
	if ctx.Err() == nil {
		x.backOff(m, true) // otherwise the caller has given up, and nothing is known of m
	}
	return callResult{}, false
}
