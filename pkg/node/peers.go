package node

import (
	"bytes"
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
	// credentialKey is the key of the credential that the instances share. The first
	// instance that starts generates it.
	credentialKey   = "peers/credential"
	credentialBytes = 32
	// peerIdleTimeout closes connections between instances that carry no calls: most are
	// needed only while the store is unavailable.
	peerIdleTimeout = 10 * time.Second
	// peerSilenceTimeout closes a connection on which nothing is received. It also bounds
	// the opening of a connection.
	peerSilenceTimeout = 1500 * time.Millisecond
	// credentialRetryDelay is the delay after a failed attempt to read the credential.
	credentialRetryDelay = 300 * time.Millisecond
)

// deferredCaller is a peer.Caller whose calls fail until transport is set.
type deferredCaller struct {
	transport atomic.Pointer[peer.Transport]
}

var _ peer.Caller = (*deferredCaller)(nil)

// Call implements peer.Caller.
func (c *deferredCaller) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	transport := c.transport.Load()
	if transport == nil {
		return failure.New(failure.Unavailable, "wait until the store has answered", "the shared credential of the instances is not known yet")
	}
	return transport.Call(ctx, address, method, req, resp)
}

// keepCredential writes the credential to the store again after a restored copy lacked it:
// instances that start would generate another one and could not call those that run.
func (n *Node) keepCredential(ctx context.Context, credential []byte) {
	transaction := kvstore.Transaction{
		Expect: []kvstore.Expectation{{Key: credentialKey}},
		Write:  []kvstore.Write{{Key: credentialKey, Value: credential}},
	}
	var keptEra uint64
	for ; ctx.Err() == nil; wait.Sleep(ctx, credentialRetryDelay) {
		era := n.storeEra()
		if _, isLeader := n.leaderCount(); keptEra == 0 || era == keptEra || !isLeader {
			keptEra = max(keptEra, era)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, credentialRetryDelay*2)
		_, items, err := n.opts.Store.Commit(callCtx, transaction)
		cancel()
		if err != nil && !failure.Is(err, failure.Conflict) {
			continue
		}
		if len(items) == 1 && !bytes.Equal(items[0].Value, credential) {
			n.log.Error("the store has another credential of the instances; restart those that started before it returned from a copy")
		}
		keptEra = era
	}
}

// sharedCredential returns the credential that the instances share. If the store holds
// none, it writes a generated one. It retries until ctx ends and then returns its error.
func sharedCredential(ctx context.Context, store kvstore.Transactor) ([]byte, error) {
	generated := make([]byte, credentialBytes)
	_, _ = rand.Read(generated) // crypto/rand.Read never fails
	transaction := kvstore.Transaction{
		Expect: []kvstore.Expectation{{Key: credentialKey}},
		Write:  []kvstore.Write{{Key: credentialKey, Value: generated}},
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, credentialRetryDelay*2)
		_, items, err := store.Commit(callCtx, transaction)
		cancel()
		switch {
		case err == nil:
			return generated, nil
		case failure.Is(err, failure.Conflict) && len(items) == 1 && items[0].Revision > 0:
			return items[0].Value, nil
		}
		if wait.Sleep(ctx, credentialRetryDelay); ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}
