package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// storeRetry is the pause between attempts to reach a store that is down.
const storeRetry = 500 * time.Millisecond

// mapWatchWait bounds one watch. A watch that waits counts as one call, so a long
// wait keeps the number of calls small.
const mapWatchWait = 30 * time.Second

// watchMap follows the shard map in the store.
func (m *Manager) watchMap(ctx context.Context) {
	for posted := uint64(0); ctx.Err() == nil; {
		_, known := m.MapView()
		known = max(known, posted) // the control goroutine may still have to adopt it
		waiting, cancel := context.WithTimeout(ctx, mapWatchWait)
		rec, err := m.readMap(waiting, known)
		cancel()
		if err == nil {
			err = m.learn(rec)
		}
		if err == nil {
			posted = max(posted, rec.Version)
		}
		if err != nil || rec.Version <= known {
			wait.Sleep(ctx, storeRetry)
		}
	}
}

// readMap reads the shard map, or waits for a newer one when one is known.
func (m *Manager) readMap(ctx context.Context, known uint64) (kvstore.Record, error) {
	key := StoreKey(m.opts.Self.Domain)
	if known == 0 {
		return m.opts.Store.Get(ctx, key)
	}
	return m.opts.Store.Watch(ctx, key, known)
}

// learn posts a record of the store to the control goroutine.
func (m *Manager) learn(rec kvstore.Record) error {
	if rec.Version == 0 {
		m.post(m.createMap)
		return nil
	}
	next, err := DecodeMap(rec.Value)
	if err != nil {
		fault := failure.From(err)
		if before := m.mapFault.Swap(fault); before == nil || before.Message != fault.Message {
			m.opts.Log.WithError(err).Error("shard map refused")
		}
		return err
	}
	m.mapFault.Store(nil)
	m.post(func() { m.adopt(rec.Version, next) })
	return nil
}

// MapError returns why the shard map of the store cannot be used, or nil.
func (m *Manager) MapError() error {
	if f := m.mapFault.Load(); f != nil {
		return f
	}
	return nil
}

// ObserveVersion is told that the instance at address knows a newer shard map.
func (m *Manager) ObserveVersion(version uint64, address string) {
	if _, known := m.MapView(); version <= known {
		return
	}
	m.post(func() {
		if version <= m.version {
			return
		}
		m.background(m.opts.Timing.PeerTimeout, func(ctx context.Context) { m.fetchMap(ctx, address) })
	})
}

func (m *Manager) fetchMap(ctx context.Context, address string) {
	var reply mapFetchReply
	err := m.opts.Peers.Call(ctx, address, MethodMapFetch, mapFetchRequest{Domain: m.opts.Self.Domain}, &reply)
	if err != nil || reply.Version == 0 {
		return
	}
	if next, err := DecodeMap(reply.Map); err == nil {
		m.post(func() { m.adopt(reply.Version, next) })
	}
}

func (m *Manager) createMap() {
	shards := m.opts.Shards()
	if m.current != nil || m.swapping || shards <= 0 {
		return
	}
	m.swap(NewMap(m.opts.Self.Domain, shards))
}

// swap writes the next shard map. Until a read shows the result no other swap is
// sent, because this one may still take effect.
func (m *Manager) swap(next *Map) {
	data, err := next.Encode()
	if err != nil {
		m.opts.Log.WithError(err).Error("shard map could not be encoded")
		return
	}
	m.swapping = true
	key, expect, parent := StoreKey(m.opts.Self.Domain), m.version, m.ctx
	m.tasks.Go(func() {
		version, err := m.casMap(parent, key, expect, data)
		if err == nil {
			m.post(func() { m.swapping = false; m.adopt(version, next) })
			return
		}
		if failure.Is(err, failure.Unavailable) {
			wait.Sleep(parent, storeRetry)
			m.post(func() { m.swapping = false })
			return
		}
		m.post(func() { m.unsure, m.unsureAt = true, expect })
		m.readBack(parent, key)
	})
}

func (m *Manager) casMap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timing.StoreTimeout)
	defer cancel()
	return m.opts.Store.CompareAndSwap(ctx, key, expect, data)
}

func (m *Manager) readBack(parent context.Context, key string) {
	for parent.Err() == nil {
		ctx, cancel := context.WithTimeout(parent, m.opts.Timing.StoreTimeout)
		rec, err := m.opts.Store.Get(ctx, key)
		cancel()
		if err == nil && m.learn(rec) == nil {
			break
		}
		wait.Sleep(parent, storeRetry)
	}
	m.post(func() { m.swapping = false })
}

// adopt takes over a newer shard map.
func (m *Manager) adopt(version uint64, next *Map) {
	if version <= m.version {
		return
	}
	previous := m.current
	m.current, m.version = next, version
	m.view.Store(&mapView{version, next})
	for shard, e := range next.Shards {
		r := m.replica(shard)
		if previous != nil && same(previous.Shards[shard].Owner, m.opts.Self) && !same(e.Owner, m.opts.Self) {
			r.evicted = time.Now()
		}
		r.reconcile(e)
	}
	m.assign()
}
