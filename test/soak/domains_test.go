package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// evacuationTimeout is the users' bound: later than that after the operator took a zone out
	// of use, no request reaches its runners from an instance that was in touch with the store
	// for contactWindow.
	evacuationTimeout  = 3 * time.Second
	evacuatePrefix     = "op/evacuate/"
	meanEvacuationTime = 4 * time.Second
	// quietTime is how long a zone is watched that is out of use after all faults.
	quietTime = time.Second
)

// evacuations are the zones out of use, and the disturbances after which requests do not count.
type evacuations struct {
	mu          sync.Mutex
	since       map[string]time.Time // by zone
	disturbedBy map[string]time.Time // end of the latest disturbance, by name of the instance or "store"
	counted     int                  // requests that were checked while a zone was out of use
}

func newEvacuations() *evacuations {
	return &evacuations{since: map[string]time.Time{}, disturbedBy: map[string]time.Time{}}
}

// disturb records a disturbance of an instance, or of the store, that ends after d.
func (e *evacuations) disturb(name string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(d); until.After(e.disturbedBy[name]) {
		e.disturbedBy[name] = until
	}
}

// endDisturbances records that all disturbances have ended.
func (e *evacuations) endDisturbances() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for name, until := range e.disturbedBy {
		if until.After(now) {
			e.disturbedBy[name] = now
		}
	}
}

// checkArrival returns a violation by a request that reaches a runner in a zone, or "".
func (e *evacuations) checkArrival(id, zone string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, since := time.Now(), e.since[zone]
	if len(e.since) > 0 {
		e.counted++
	}
	inTouch := func(name string) bool { return now.Sub(e.disturbedBy[name]) > contactWindow }
	if since.IsZero() || now.Sub(since) <= evacuationTimeout || !inTouch(instanceOf(id)) || !inTouch("store") {
		return ""
	}
	return fmt.Sprintf("%s reached a runner in %s, %s after it went out of use", id, zone, now.Sub(since))
}

// setOutOfUse takes a zone out of use, or puts it back.
func (tc *testCluster) setOutOfUse(zone string, out bool) {
	if out {
		tc.store.Put(evacuatePrefix+zone, "{}")
	} else {
		tc.store.Remove(evacuatePrefix + zone)
	}
	tc.evacuations.mu.Lock()
	defer tc.evacuations.mu.Unlock()
	if _, isOut := tc.evacuations.since[zone]; out && !isOut {
		tc.evacuations.since[zone] = time.Now()
	} else if !out {
		delete(tc.evacuations.since, zone)
	}
}

// evacuate takes a random zone out of use for some time. Two evacuations may cross.
func (tc *testCluster) evacuate(ctx context.Context) {
	zone := fmt.Sprint("z", tc.randInt(2))
	tc.setOutOfUse(zone, true)
	go func() {
		wait.Sleep(ctx, tc.randDuration(meanEvacuationTime))
		tc.setOutOfUse(zone, false)
	}()
}

// zoneOf returns the zone of a registered runner, or "".
func (tc *testCluster) zoneOf(runner string) string {
	value, _ := tc.store.Get(machines.ServersPrefix + runner)
	var entry struct {
		Zone string `json:"zone"`
	}
	_ = json.Unmarshal(value, &entry) // an entry that is gone has no zone
	return entry.Zone
}

// checkEvacuation takes a zone out of use after all faults and verifies that nothing more reaches it.
func (tc *testCluster) checkEvacuation() {
	tc.evacuations.endDisturbances()
	zone := tc.zoneOf(tc.randomRunner())
	tc.setOutOfUse(zone, true)
	time.Sleep(max(evacuationTimeout, contactWindow) + quietTime)
	tc.evacuations.mu.Lock()
	counted := tc.evacuations.counted
	tc.evacuations.mu.Unlock()
	tc.setOutOfUse(zone, false)
	tc.t.Logf("%d requests reached runners while a zone was out of use", counted)
}
