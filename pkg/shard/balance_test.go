package shard

import (
	"fmt"
	"testing"
	"time"
)

// TestOwnershipSettles guards against instances that hand shards back and forth without
// end, which also delays the writing of bill lines.
func TestOwnershipSettles(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		trigger func(c *testCluster)
	}{
		{"after boot", func(*testCluster) {}},
		{"after an owner was killed", func(c *testCluster) { c.ownerOf(testDomainA).kill() }},
		{"after an instance joined", func(c *testCluster) { c.startInstance("a4", testDomainA) }},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			for range 10 {
				runCluster(t, func(c *testCluster) {
					bootCluster(c, 10_000)
					tt.trigger(c)
					c.runFor(8 * time.Second)
					before := c.store.Record(StoreKey(testDomainA)).Version
					c.runFor(time.Minute)
					if after := c.store.Record(StoreKey(testDomainA)).Version; after != before {
						t.Errorf("shard map moved from version %d to %d while nothing happened", before, after)
					}
				})
			}
		})
	}
}

// maxSwapsPerShard bounds the map changes per shard after the loss of an instance: the
// claim, clearing the pending epoch, and naming a new backup.
const maxSwapsPerShard = 3

// TestSwapsAfterFailure guards against shards that move back and forth: owners that see
// the same imbalance could move their shards at the same time, for many seconds after a
// failure.
func TestSwapsAfterFailure(t *testing.T) {
	for _, instances := range []int{3, 4, 5, 7} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				for i := range instances {
					c.startInstance(fmt.Sprintf("a%d", i+1), testDomainA)
				}
				c.runFor(15 * time.Second)
				c.checkMapChanges(10*time.Minute, 0)
				c.ownerOf(testDomainA).kill()
				c.checkMapChanges(20*time.Second, maxSwapsPerShard*testShards)
				c.checkMapChanges(10*time.Minute, 0)
				c.checkBalance(instances - 1)
			})
		})
	}
}

// checkMapChanges lets the cluster run for d and verifies that its shard map changed at
// most the given number of times.
func (c *testCluster) checkMapChanges(d time.Duration, most uint64) {
	c.t.Helper()
	before := c.store.Record(StoreKey(testDomainA)).Version
	c.runFor(d)
	if n := c.store.Record(StoreKey(testDomainA)).Version - before; n > most {
		c.t.Errorf("the shard map changed %d times within %s, want at most %d", n, d, most)
	}
}

// checkBalance verifies that each shard has a backup and that no instance owns more than
// one shard above an even share.
func (c *testCluster) checkBalance(instances int) {
	c.t.Helper()
	m, err := DecodeMap(c.store.Record(StoreKey(testDomainA)).Value)
	if err != nil {
		c.t.Fatal(err)
	}
	owned := map[string]int{}
	for _, e := range m.Shards {
		owned[e.Owner.Instance]++
		if !isAssigned(e.Backup) {
			c.t.Errorf("shard of %s has no backup", e.Owner.Instance)
		}
	}
	for name, n := range owned {
		if n > (testShards+instances-1)/instances+1 {
			c.t.Errorf("%s owns %d of %d shards", name, n, testShards)
		}
	}
}
