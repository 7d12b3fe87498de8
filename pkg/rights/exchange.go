package rights

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// AskMethod asks another instance for some of its rights.
const AskMethod peer.Method = "rights.ask"

// AskRequest is repeated with the same Number until it is answered, and answered
// alike each time.
type AskRequest struct {
	// Holder is the incarnation of the asked instance: another incarnation does
	// not know what was given before and must not answer.
	Holder    string `cbor:"1,keyasint"`
	Number    uint64 `cbor:"2,keyasint"`
	Workspace string `cbor:"3,keyasint"`
	Want      Tokens `cbor:"4,keyasint"`
	// Spent is what the asker has spent of the workspace since it reported last; the
	// giver reports it with its own.
	Spent Tokens `cbor:"5,keyasint,omitempty"`
	// Away tells that the asker does not reach the store: the giver may get more
	// rights from there, the asker may not.
	Away bool `cbor:"6,keyasint,omitempty"`
}

// AskReply tells what was given. The rights have left the book of the giver.
type AskReply struct {
	Given Tokens `cbor:"1,keyasint"`
}

const (
	// askTimeout bounds one call; a peer in reach answers within milliseconds, and a
	// request does not wait for more than a few of them.
	askTimeout = 80 * time.Millisecond
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
	// askPasses is how often the list of members is gone through: calls of the first
	// pass show which instances took the place of listed ones.
	askPasses = 2
)

// Supply is the store as a source of rights.
type Supply interface {
	// Away reports whether the store did not answer last.
	Away() bool
	// Supply asks for rights that another instance lacks. It reports false when there
	// are none left, or the store is away.
	Supply(workspace string, lack Tokens) bool
}

// Member is another instance.
type Member struct{ Incarnation, Address string }

// Exchange moves rights between instances. A move that got no answer is repeated
// before anything else is asked of that peer, so no rights appear twice.
type Exchange struct {
	book    *Book
	peers   peer.Caller
	members func() []Member
	supply  Supply
	log     logrus.FieldLogger

	mu    sync.Mutex
	asks  map[string]*asker // by incarnation of the asked
	given map[string]gift   // latest by incarnation of the asking
}

// gift is the latest answer to one asking instance.
type gift struct {
	number uint64
	given  Tokens
}

// asker is the state of the calls to one peer; its mutex orders them.
type asker struct {
	mu     sync.Mutex
	number uint64
	open   *AskRequest // without an answer
	rest   time.Time   // left alone until then
}

// NewExchange returns an exchange for the rights of book.
func NewExchange(book *Book, peers peer.Caller, members func() []Member, supply Supply, log logrus.FieldLogger) *Exchange {
	return &Exchange{book: book, peers: peers, members: members, supply: supply, log: log, asks: map[string]*asker{}, given: map[string]gift{}}
}

// RegisterPeer registers the handler of AskMethod for this incarnation.
func (x *Exchange) RegisterPeer(reg peer.Registrar, incarnation string) {
	reg.Handle(AskMethod, func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		var req AskRequest
		if err := peer.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		if req.Holder != incarnation {
			return nil, failure.New(failure.NotFound, "ask the present incarnation", "incarnation %s has ended", req.Holder)
		}
		supplied := req.Away && x.stock(ctx, req.Workspace, req.Want)
		return x.give(from.Incarnation, req, supplied)
	})
}

// stock gets rights from the store for an instance that does not reach it. It reports
// whether this instance can replace what it gives away.
func (x *Exchange) stock(ctx context.Context, workspace string, want Tokens) bool {
	changed := x.book.Changed(workspace)
	free := x.book.Holding(workspace, time.Now()).Free
	if !x.supply.Supply(workspace, want) {
		return false
	}
	if free >= want {
		return true
	}
	timer := time.NewTimer(supplyWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// give moves rights to an asker. supplied tells that what is given can be replaced.
func (x *Exchange) give(to string, req AskRequest, supplied bool) (AskReply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.given[to]
	switch {
	case req.Number == last.number:
		return AskReply{Given: last.given}, nil
	case req.Number < last.number:
		return AskReply{}, failure.New(failure.Fenced, "ignore the answer", "a later request was answered")
	}
	x.book.Relay(req.Workspace, req.Spent)
	h := x.book.Holding(req.Workspace, time.Now())
	most := h.Free
	if h.Rate > 0 && !supplied {
		most = Tokens(float64(h.Free) * giveShare)
	}
	n := x.book.Remove(req.Workspace, min(req.Want, most))
	x.given[to] = gift{req.Number, n}
	if n > 0 {
		x.log.WithFields(logrus.Fields{"workspace": req.Workspace, "to": to, "given": n, "free": h.Free - n}).Info("rights given")
	}
	return AskReply{Given: n}, nil
}

// Ask asks peers in the order of members until want is reached. It returns what
// the book got of the workspace.
func (x *Exchange) Ask(ctx context.Context, workspace string, want Tokens) Tokens {
	var got Tokens
	asked := map[string]bool{}
	for range askPasses {
		for _, m := range x.members() {
			if got >= want || len(asked) == askMost || ctx.Err() != nil {
				return got
			}
			if !asked[m.Incarnation] {
				asked[m.Incarnation] = true
				got += x.askOne(ctx, m, workspace, want-got)
			}
		}
	}
	return got
}

func (x *Exchange) askOne(ctx context.Context, m Member, workspace string, want Tokens) Tokens {
	x.mu.Lock()
	a := x.asks[m.Incarnation]
	if a == nil {
		a = &asker{}
		x.asks[m.Incarnation] = a
	}
	x.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.rest) {
		return 0
	}
	var got Tokens
	for range 2 { // an open request of before, and the new one
		repeated := a.open != nil
		if !repeated {
			a.number++
			a.open = &AskRequest{Holder: m.Incarnation, Number: a.number, Workspace: workspace, Want: want, Spent: x.book.TakeUnreported(workspace), Away: x.supply.Away()}
		}
		n, ok := x.call(ctx, m, a)
		if !ok {
			return got
		}
		if n.workspace == workspace {
			got += n.tokens
		}
		if !repeated {
			break
		}
	}
	return got
}

type received struct {
	workspace string
	tokens    Tokens
}

// call sends the open request once.
func (x *Exchange) call(ctx context.Context, m Member, a *asker) (received, bool) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
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
		return received{req.Workspace, reply.Given}, true
	case failure.Is(err, failure.NotFound), failure.Is(err, failure.Fenced):
		a.open = nil // that incarnation is gone and its rights with it
	}
	a.rest = time.Now().Add(askRest)
	return received{}, false
}
