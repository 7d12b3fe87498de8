package shard

import (
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
