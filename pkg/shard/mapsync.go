package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// storeRetryDelay is the delay between attempts to reach a store that is down.
const storeRetryDelay = 500 * time.Millisecond

// mapWatchTimeout bounds one watch of the shard map. A watch counts as one call to the
// store however long it waits, so a long timeout keeps the number of calls small.
const mapWatchTimeout = 30 * time.Second

// watchMap follows the shard map in the store.
func (m *Manager) watchMap(ctx context.Context) {
	for posted := uint64(0); ctx.Err() == nil; {
		_, known := m.MapView()
		known = max(known, posted) // the control goroutine may not have applied it yet
		watchCtx, cancel := context.WithTimeout(ctx, mapWatchTimeout)
		rec, err := m.readMap(watchCtx, known)
		cancel()
		if err == nil {
			err = m.handleMapRecord(rec)
		}
		if err == nil {
			posted = max(posted, rec.Version)
		}
		if err != nil || rec.Version <= known {
			wait.Sleep(ctx, storeRetryDelay)
		}
	}
}

// readMap reads the shard map, or waits for one newer than version known unless known
// is 0.
func (m *Manager) readMap(ctx context.Context, known uint64) (kvstore.Record, error) {
	key := StoreKey(m.opts.Self.Domain)
	if known == 0 {
		return m.opts.Store.Get(ctx, key)
	}
	return m.opts.Store.Watch(ctx, key, known)
}

// handleMapRecord decodes a record of the store and posts it to the control goroutine.
func (m *Manager) handleMapRecord(rec kvstore.Record) error {
	if rec.Version == 0 {
		m.post(m.createMap)
		return nil
	}
	next, err := DecodeMap(rec.Value)
	if err != nil {
		mapErr := failure.From(err)
		if previous := m.storedMapErr.Swap(mapErr); previous == nil || previous.Message != mapErr.Message {
			m.opts.Log.WithError(err).Error("shard map refused")
		}
		return err
	}
	m.storedMapErr.Store(nil)
	m.post(func() { m.applyMap(rec.Version, next) })
	return nil
}

// StoredMapError returns why the shard map last read from the store cannot be used, or
// nil if it can.
func (m *Manager) StoredMapError() error {
	if f := m.storedMapErr.Load(); f != nil {
		return f
	}
	return nil
}

// HandleMapAnnouncement processes the map version that the peer at address reports. A
// newer one than the current map is fetched from that peer in the background.
func (m *Manager) HandleMapAnnouncement(version uint64, address string) {
	if _, known := m.MapView(); version <= known {
		return
	}
	m.post(func() {
		if version <= m.mapVersion {
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
		m.post(func() { m.applyMap(reply.Version, next) })
	}
}

// createMap writes the first shard map of the domain.
func (m *Manager) createMap() {
	shards := m.opts.Shards()
	if m.currentMap != nil || m.swapInFlight || shards <= 0 {
		return
	}
	m.swapMap(NewMap(m.opts.Self.Domain, shards))
}

// swapMap writes the next shard map. No other swap is sent until a read has shown the
// result, because this one may still take effect.
func (m *Manager) swapMap(next *Map) {
	data, err := next.Encode()
	if err != nil {
		m.opts.Log.WithError(err).Error("shard map could not be encoded")
		return
	}
	m.swapInFlight = true
	key, expect, parent := StoreKey(m.opts.Self.Domain), m.mapVersion, m.ctx
	m.tasks.Go(func() {
		version, err := m.compareAndSwapMap(parent, key, expect, data)
		if err == nil {
			m.post(func() { m.swapInFlight = false; m.applyMap(version, next) })
			return
		}
		if failure.Is(err, failure.Unavailable) {
			wait.Sleep(parent, storeRetryDelay)
			m.post(func() { m.swapInFlight = false })
			return
		}
		m.post(func() { m.swapUncertain, m.uncertainVersion = true, expect })
		m.rereadMap(parent, key)
	})
}

func (m *Manager) compareAndSwapMap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timing.StoreTimeout)
	defer cancel()
	return m.opts.Store.CompareAndSwap(ctx, key, expect, data)
}

// rereadMap reads the shard map until it succeeds, after a swap that failed or whose
// result is unknown.
func (m *Manager) rereadMap(parent context.Context, key string) {
	for parent.Err() == nil {
		ctx, cancel := context.WithTimeout(parent, m.opts.Timing.StoreTimeout)
		rec, err := m.opts.Store.Get(ctx, key)
		cancel()
		if err == nil && m.handleMapRecord(rec) == nil {
			break
		}
		wait.Sleep(parent, storeRetryDelay)
	}
	m.post(func() { m.swapInFlight = false })
}

// applyMap makes a newer shard map the current one and reconciles all replicas with it.
func (m *Manager) applyMap(version uint64, next *Map) {
	if version <= m.mapVersion {
		return
	}
	previous := m.currentMap
	m.currentMap, m.mapVersion = next, version
	m.view.Store(&mapView{version, next})
	for shard, e := range next.Shards {
		r := m.replica(shard)
		if previous != nil && isSameIncarnation(previous.Shards[shard].Owner, m.opts.Self) && !isSameIncarnation(e.Owner, m.opts.Self) {
			r.evictedAt = time.Now()
		}
		r.reconcile(e)
	}
	m.assignShards()
}
