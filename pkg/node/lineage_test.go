package node_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/lineage"
	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const versionsKey = "lineage/versions"

// Guards against instances that do not record the software versions of the endpoints that they list.
func TestNodesRecordSoftwareVersions(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("a")
	f.start("b")
	f.store.Put(machines.ServersPrefix+"r2", `{"service":"engine","address":"127.0.0.1:1","zone":"z","version":"seventh","slots":64,"state":"draining","sequence":1}`)
	f.waitUntil("the version is recorded", func() bool {
		record, ok := f.store.Get(versionsKey)
		return ok && bytes.Contains(record, []byte("seventh"))
	})
}

// Guards against origins that do not get through the real protocol of the store, also after lost answers and an older copy.
func TestOriginsPassThroughTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := func(name string, rank int) *lineage.Tracker {
		store := platform.NewStore(strings.TrimPrefix(f.server.URL, "http://"), prometheus.NewRegistry())
		t.Cleanup(store.Close)
		since := time.Now()
		var era atomic.Uint64
		era.Store(2)
		tracker := lineage.New(lineage.Options{Incarnation: name, Store: store, StoreEra: era.Load, Rank: func() int { return rank },
			ListConfirmed: func() (latest, _ time.Time) { return time.Now(), since }, RecheckList: func(context.Context) error { return nil }, Log: log, Registerer: prometheus.NewRegistry()})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { tracker.Run(ctx) })
		t.Cleanup(func() { cancel(); running.Wait() })
		tracker.UpdateEndpoints(catalog.EndpointList{Endpoints: []catalog.Endpoint{
			{ID: "r1", Service: "s", SoftwareVersion: "v1"}, {ID: "r2", Service: "s", SoftwareVersion: "v2"}}}, time.Now())
		return tracker
	}
	a, b := start("a", 0), start("b", 1)
	want := lineage.Origin{Service: "s", Version: "v2"}
	check := func(when, stream string) {
		t.Helper()
		if got, err := b.Resolve(t.Context(), stream, []string{"s"}); err != nil || got != want {
			t.Errorf("%s: %v, %v", when, got, err)
		}
	}
	f.waitUntil("both versions are recorded", func() bool { return a.MayBegin("s", "v2", time.Now()) && b.MayBegin("s", "v1", time.Now()) })
	copied := f.store.Copy()
	a.Record("1", want, time.Now())
	check("just begun", "1")
	var lost atomic.Int64
	f.store.SetFaults(func(call string) machines.Fault {
		if call == "txn" && lost.Add(1) <= 2 {
			return machines.LoseAnswer
		}
		return machines.NoFault
	})
	a.Record("2", want, time.Now())
	f.waitUntil("two answers are lost", func() bool { return lost.Load() > 2 })
	f.store.SetFaults(nil)
	check("after lost answers", "2")
	f.store.Restore(copied)
	a.Record("3", want, time.Now())
	check("after a restore", "3")
}
