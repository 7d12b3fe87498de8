package kvstoretest

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// DefaultWatchWait is the time after which Watch returns an unchanged record.
const DefaultWatchWait = 30 * time.Second

// Client is one client's view of a Fake. It can be cut off by its id.
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
// the current version.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	return write(ctx, c, kvstore.CallSwap, kvstore.CheckSwap(key, value), func() (uint64, error) {
		f := c.fake
		if f.delaySwaps {
			f.delayed = append(f.delayed, delayedSwap{key: key, expect: expect, value: slices.Clone(value)})
			return 0, uncertain("the swap of %q is delayed", key)
		}
		return f.swapLocked(key, expect, value)
	})
}

// Watch implements kvstore.Store. The wait lasts at most DefaultWatchWait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (kvstore.Record, error) {
	return c.WatchFor(ctx, key, after, DefaultWatchWait)
}

// WatchFor is Watch with a limit to the wait.
func (c *Client) WatchFor(ctx context.Context, key string, after uint64, wait time.Duration) (kvstore.Record, error) {
	if err := c.enter(ctx, kvstore.CallWatch, kvstore.CheckKey(key)); err != nil {
		return kvstore.Record{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		record, wake, err := c.poll(key)
		if err != nil {
			return kvstore.Record{}, err
		}
		if over || record.Version > after {
			if err := c.pause(ctx); err != nil {
				return kvstore.Record{}, err
			}
			return record, nil
		}
		select {
		case <-wake:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return kvstore.Record{}, unavailable("the watch of %q was ended by its caller: %v", key, ctx.Err())
		}
	}
}

// AcquireLease implements kvstore.Store. With failure.Conflict it returns the
// present holder and token.
func (c *Client) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	return write(ctx, c, kvstore.CallLease, kvstore.CheckLease(name, holder, ttl), func() (kvstore.Lease, error) {
		return c.fake.acquireLocked(name, holder, ttl)
	})
}

// ReleaseLease implements kvstore.Store. It also works while the store is down.
func (c *Client) ReleaseLease(ctx context.Context, name, holder string) error {
	_, err := write(ctx, c, kvstore.CallRelease, kvstore.CheckKey(name), func() (struct{}, error) {
		c.fake.releaseLocked(name, holder)
		return struct{}{}, nil
	})
	return err
}

// Instances implements kvstore.Lister. The list is sorted by id.
func (c *Client) Instances(ctx context.Context, service string) ([]kvstore.Instance, error) {
	return read(ctx, c, kvstore.CallList, nil, func() []kvstore.Instance { return c.fake.listLocked(service) })
}

// Register implements kvstore.Registrar.
func (c *Client) Register(ctx context.Context, in kvstore.Instance) error {
	_, err := write(ctx, c, kvstore.CallRegister, kvstore.CheckInstance(in.ID), func() (struct{}, error) {
		c.fake.registerLocked(in, false)
		return struct{}{}, nil
	})
	return err
}

// Deregister implements kvstore.Registrar.
func (c *Client) Deregister(ctx context.Context, id string) error {
	_, err := write(ctx, c, kvstore.CallDeregister, kvstore.CheckInstance(id), func() (struct{}, error) {
		c.fake.registerLocked(kvstore.Instance{ID: id}, true)
		return struct{}{}, nil
	})
	return err
}

// enter counts the call and refuses it when its arguments, its context or a
// fault switch require that. A refused call has no effect.
func (c *Client) enter(ctx context.Context, kind kvstore.CallKind, invalid error) error {
	if invalid != nil {
		return invalid
	}
	if err := ctx.Err(); err != nil {
		return unavailable("the call was not made: %v", err)
	}
	f := c.fake
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[kind]++
	return c.refusalLocked(kind)
}

func (c *Client) refusalLocked(kind kvstore.CallKind) error {
	switch f := c.fake; {
	case f.cut[c.id]:
		return unavailable("client %q is cut off", c.id)
	case f.down && kind != kvstore.CallRelease:
		return unavailable("the store is down")
	}
	return nil
}

// poll returns the record and a channel that is closed on the next change.
func (c *Client) poll(key string) (kvstore.Record, <-chan struct{}, error) {
	f := c.fake
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := c.refusalLocked(kvstore.CallWatch); err != nil {
		return kvstore.Record{}, nil, err
	}
	return f.recordLocked(key), f.wake, nil
}

// pause delays an answer while the store is slow.
func (c *Client) pause(ctx context.Context) error {
	f := c.fake
	f.mu.Lock()
	slow := f.slow
	f.mu.Unlock()
	if slow <= 0 {
		return nil
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unavailable("the store did not answer in time: %v", ctx.Err())
	}
}

// read makes a call without effect; query runs under the lock.
func read[T any](ctx context.Context, c *Client, kind kvstore.CallKind, invalid error, query func() T) (T, error) {
	var zero T
	if err := c.enter(ctx, kind, invalid); err != nil {
		return zero, err
	}
	c.fake.mu.Lock()
	answer := query()
	c.fake.mu.Unlock()
	if err := c.pause(ctx); err != nil {
		return zero, err
	}
	return answer, nil
}

// write makes a call with an effect; change runs under the lock.
func write[T any](ctx context.Context, c *Client, kind kvstore.CallKind, invalid error, change func() (T, error)) (T, error) {
	var zero T
	if err := c.enter(ctx, kind, invalid); err != nil {
		return zero, err
	}
	c.fake.mu.Lock()
	answer, err := change()
	lost := err == nil && c.fake.loseAnswerLocked(kind)
	c.fake.mu.Unlock()
	if c.pause(ctx) != nil || lost {
		return zero, uncertain("the answer to a %s call was lost", kind)
	}
	return answer, err
}

// loseAnswerLocked reports whether the answer of a write is to be lost. It
// leaves registrations alone, so that their renewal in the background does not
// use up a fault meant for a swap or a lease.
func (f *Fake) loseAnswerLocked(kind kvstore.CallKind) bool {
	registration := kind == kvstore.CallRegister || kind == kvstore.CallDeregister
	if registration || f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	return true
}

func unavailable(format string, args ...any) error {
	return failure.New(failure.Unavailable, retryRemedy, format, args...)
}

func uncertain(format string, args ...any) error {
	return failure.New(failure.Uncertain, "read the state back before repeating the write", format, args...)
}
