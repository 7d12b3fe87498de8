package node

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

const (
	// credentialKey holds the secret that instances share. The first one that
	// starts draws it.
	credentialKey   = "peers/credential"
	credentialBytes = 32
	// peerIdle closes connections between instances that carry no calls: most are
	// needed only while the store is away.
	peerIdle = 10 * time.Second
	// peerSilence bounds the opening of a connection and the silence on it.
	peerSilence = 1500 * time.Millisecond
	// credentialPause follows a failed attempt to read the credential.
	credentialPause = 300 * time.Millisecond
)

// latePeers is a caller that has no connection until the credential is known.
type latePeers struct {
	transport atomic.Pointer[peer.Transport]
}

var _ peer.Caller = (*latePeers)(nil)

// Call implements peer.Caller.
func (l *latePeers) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	t := l.transport.Load()
	if t == nil {
		return failure.New(failure.Unavailable, "wait until the store has answered", "the credential of the instances is not known yet")
	}
	return t.Call(ctx, address, method, req, resp)
}

// credential returns the shared secret, which it draws if there is none.
func credential(ctx context.Context, store kvstore.Transactor) ([]byte, error) {
	drawn := make([]byte, credentialBytes)
	_, _ = rand.Read(drawn) // crypto/rand.Read never fails
	t := kvstore.Transaction{
		Expect: []kvstore.Expectation{{Key: credentialKey}},
		Write:  []kvstore.Write{{Key: credentialKey, Value: drawn}},
	}
	for {
		call, cancel := context.WithTimeout(ctx, credentialPause*2)
		_, items, err := store.Commit(call, t)
		cancel()
		switch {
		case err == nil:
			return drawn, nil
		case failure.Is(err, failure.Conflict) && len(items) == 1 && items[0].Revision > 0:
			return items[0].Value, nil
		}
		if wait.Sleep(ctx, credentialPause); ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}
