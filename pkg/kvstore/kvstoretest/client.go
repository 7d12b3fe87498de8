package kvstoretest

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// DefaultWatchWait is the time after which Watch returns an unchanged record; it
// equals kvstore.DefaultWatchWait.
const DefaultWatchWait = 30 * time.Second

// Client is a connection to a Fake with a client id. Fake.CutClient disconnects it.
type Client struct {
	fake *Fake
	id   string
}

var (
	_ kvstore.Store     = (*Client)(nil)
	_ kvstore.Lister    = (*Client)(nil)
	_ kvstore.Registrar = (*Client)(nil)
	_ kvstore.Store     = (*Fake)(nil)
	_ kvstore.Lister    = (*Fake)(nil)
)

// Get implements kvstore.Store.
func (c *Client) Get(ctx context.Context, key string) (kvstore.Record, error) {
	return read(ctx, c, kvstore.CallGet, kvstore.CheckKey(key), func() kvstore.Record {
		return c.fake.recordLocked(key)
	})
}

// CompareAndSwap implements kvstore.Store. With failure.Conflict it returns
// the current version of the key.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	return write(ctx, c, kvstore.CallSwap, kvstore.CheckSwap(key, value), func() (uint64, error) {
		f := c.fake
		if f.delaySwaps {
			f.delayedSwaps = append(f.delayedSwaps, delayedSwap{key: key, expect: expect, value: slices.Clone(value)})
			return 0, uncertain("the swap of %q is delayed", key)
		}
		return f.swapLocked(key, expect, value)
	})
}

// Watch implements kvstore.Store. It waits for at most DefaultWatchWait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (kvstore.Record, error) {
	return c.WatchFor(ctx, key, after, DefaultWatchWait)
}

// WatchFor is like Watch, but waits for at most wait.
func (c *Client) WatchFor(ctx context.Context, key string, after uint64, wait time.Duration) (kvstore.Record, error) {
	if err := c.admit(ctx, kvstore.CallWatch, kvstore.CheckKey(key)); err != nil {
		return kvstore.Record{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		record, changed, err := c.poll(key)
		if err != nil {
			return kvstore.Record{}, err
		}
		if timedOut || record.Version > after {
			if err := c.delayResponse(ctx); err != nil {
				return kvstore.Record{}, err
			}
			return record, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return kvstore.Record{}, unavailable("the caller ended the watch of %q: %v", key, ctx.Err())
		}
	}
}

// AcquireLease implements kvstore.Store. With failure.Conflict it returns the
// current holder and token.
func (c *Client) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	return write(ctx, c, kvstore.CallLease, kvstore.CheckLease(name, holder, ttl), func() (kvstore.Lease, error) {
		return c.fake.acquireLocked(name, holder, ttl)
	})
}

// ReleaseLease implements kvstore.Store. It also works after Fake.SetDown.
func (c *Client) ReleaseLease(ctx context.Context, name, holder string) error {
	_, err := write(ctx, c, kvstore.CallRelease, kvstore.CheckKey(name), func() (struct{}, error) {
		c.fake.releaseLocked(name, holder)
		return struct{}{}, nil
	})
	return err
}

// Instances implements kvstore.Lister. It returns the instances sorted by id.
func (c *Client) Instances(ctx context.Context, service string) ([]kvstore.Instance, error) {
	return read(ctx, c, kvstore.CallList, nil, func() []kvstore.Instance { return c.fake.listLocked(service) })
}

// Register implements kvstore.Registrar.
func (c *Client) Register(ctx context.Context, instance kvstore.Instance) error {
	_, err := write(ctx, c, kvstore.CallRegister, kvstore.CheckInstance(instance.ID), func() (struct{}, error) {
		c.fake.queueListChangeLocked(instance, false)
		return struct{}{}, nil
	})
	return err
}

// Deregister implements kvstore.Registrar.
func (c *Client) Deregister(ctx context.Context, id string) error {
	_, err := write(ctx, c, kvstore.CallDeregister, kvstore.CheckInstance(id), func() (struct{}, error) {
		c.fake.queueListChangeLocked(kvstore.Instance{ID: id}, true)
		return struct{}{}, nil
	})
	return err
}

// admit counts the call. It returns an error if the arguments are invalid, the
// context has ended or an injected fault refuses the call, which then has no effect.
// Only calls with valid arguments and context are counted.
func (c *Client) admit(ctx context.Context, kind kvstore.CallKind, argErr error) error {
	if argErr != nil {
		return argErr
	}
	if err := ctx.Err(); err != nil {
		return unavailable("the call was not sent: %v", err)
	}
	f := c.fake
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[kind]++
	return c.checkReachableLocked(kind)
}

// checkReachableLocked returns the error of a call that an injected fault refuses.
func (c *Client) checkReachableLocked(kind kvstore.CallKind) error {
	switch f := c.fake; {
	case f.cutClients[c.id]:
		return unavailable("client %q is cut off", c.id)
	case f.down && kind != kvstore.CallRelease:
		return unavailable("the store is down")
	}
	return nil
}

// poll returns the record and a channel that is closed by the next change of the
// store.
func (c *Client) poll(key string) (kvstore.Record, <-chan struct{}, error) {
	f := c.fake
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := c.checkReachableLocked(kvstore.CallWatch); err != nil {
		return kvstore.Record{}, nil, err
	}
	return f.recordLocked(key), f.changed, nil
}

// delayResponse waits for the delay that Fake.SetResponseDelay set.
func (c *Client) delayResponse(ctx context.Context) error {
	f := c.fake
	f.mu.Lock()
	delay := f.responseDelay
	f.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unavailable("the store did not respond in time: %v", ctx.Err())
	}
}

// read makes a call that changes nothing. It runs query with the lock held.
func read[T any](ctx context.Context, c *Client, kind kvstore.CallKind, argErr error, query func() T) (T, error) {
	var zero T
	if err := c.admit(ctx, kind, argErr); err != nil {
		return zero, err
	}
	c.fake.mu.Lock()
	result := query()
	c.fake.mu.Unlock()
	if err := c.delayResponse(ctx); err != nil {
		return zero, err
	}
	return result, nil
}

// write makes a call that changes the store. It runs change with the lock held.
func write[T any](ctx context.Context, c *Client, kind kvstore.CallKind, argErr error, change func() (T, error)) (T, error) {
	var zero T
	if err := c.admit(ctx, kind, argErr); err != nil {
		return zero, err
	}
	c.fake.mu.Lock()
	result, err := change()
	lost := err == nil && c.fake.consumeLostAnswerLocked(kind)
	c.fake.mu.Unlock()
	if c.delayResponse(ctx) != nil || lost {
		return zero, uncertain("the response to a %s call was lost", kind)
	}
	return result, err
}

// consumeLostAnswerLocked reports whether the response to a write is to be lost, and
// counts it against LoseAnswers. Registrations are exempt, because their renewal in
// the background would use up a fault that is meant for a swap or a lease.
func (f *Fake) consumeLostAnswerLocked(kind kvstore.CallKind) bool {
	registration := kind == kvstore.CallRegister || kind == kvstore.CallDeregister
	if registration || f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	return true
}

func unavailable(format string, args ...any) error {
	return failure.New(failure.Unavailable, retryLaterRemedy, format, args...)
}

func uncertain(format string, args ...any) error {
	return failure.New(failure.Uncertain, "read the state back before repeating the write", format, args...)
}
