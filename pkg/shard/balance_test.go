package shard

import (
	"fmt"
	"testing"
	"time"
)

// Guards against instances that hand shards back and forth without end, which
// also put off the writing of bill lines for as long as it lasted.
func TestOwnershipSettles(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		drive func(w *world)
	}{
		{"after boot", func(*world) {}},
		{"after an owner was killed", func(w *world) { w.ownerOf(testDomainA).kill() }},
		{"after an instance joined", func(w *world) { w.start("a4", testDomainA) }},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			for range 10 {
				runWorld(t, func(w *world) {
					boot(w, 10_000)
					tt.drive(w)
					w.settle(8 * time.Second)
					before := w.store.Record(StoreKey(testDomainA)).Version
					w.settle(time.Minute)
					if after := w.store.Record(StoreKey(testDomainA)).Version; after != before {
						t.Errorf("shard map moved from version %d to %d while nothing happened", before, after)
					}
				})
			}
		})
	}
}

// swapsPerShard bounds the map changes that the loss of an instance may cause:
// claim, clear the pending epoch, name a new backup.
const swapsPerShard = 3

// Guards against shards that move back and forth: owners that saw the same
// imbalance moved their shards together, for many seconds after a failure.
func TestSwapsAfterFailure(t *testing.T) {
	for _, instances := range []int{3, 4, 5, 7} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			runWorld(t, func(w *world) {
				for i := range instances {
					w.start(fmt.Sprintf("a%d", i+1), testDomainA)
				}
				w.settle(15 * time.Second)
				w.mapChanges(10*time.Minute, 0)
				w.ownerOf(testDomainA).kill()
				w.mapChanges(20*time.Second, swapsPerShard*testShards)
				w.mapChanges(10*time.Minute, 0)
				w.checkBalance(instances - 1)
			})
		})
	}
}

// mapChanges lets the fleet run for d and verifies how often its map changed.
func (w *world) mapChanges(d time.Duration, most uint64) {
	w.t.Helper()
	before := w.store.Record(StoreKey(testDomainA)).Version
	w.settle(d)
	if n := w.store.Record(StoreKey(testDomainA)).Version - before; n > most {
		w.t.Errorf("the shard map changed %d times within %s, want at most %d", n, d, most)
	}
}

// checkBalance verifies that no instance owns more shards than an even share.
func (w *world) checkBalance(instances int) {
	w.t.Helper()
	m, err := DecodeMap(w.store.Record(StoreKey(testDomainA)).Value)
	if err != nil {
		w.t.Fatal(err)
	}
	owned := map[string]int{}
	for _, e := range m.Shards {
		owned[e.Owner.Instance]++
		if !isAssigned(e.Backup) {
			w.t.Errorf("shard of %s has no backup", e.Owner.Instance)
		}
	}
	for name, n := range owned {
		if n > (testShards+instances-1)/instances+1 {
			w.t.Errorf("%s owns %d of %d shards", name, n, testShards)
		}
	}
}
