package kvstoretest

import (
	"context"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Guards against a restarted platform that loses writes, or that restarts versions and
// fencing tokens, so that writes of stale clients would be accepted again.
func TestStateSurvivesRestart(t *testing.T) {
	ctx := context.Background()
	before, after := NewFake(), NewFake()
	version, err := before.CompareAndSwap(ctx, "config", 0, []byte("one"))
	if err != nil {
		t.Fatal(err)
	}
	lease, err := before.AcquireLease(ctx, "orders/engine", "a", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := before.Register(ctx, kvstore.Instance{ID: "a", Service: "s", State: kvstore.Live}); err != nil {
		t.Fatal(err)
	}
	data, err := before.Save()
	if err != nil {
		t.Fatal(err)
	}
	if err := after.Load(data); err != nil {
		t.Fatal(err)
	}
	if rec, err := after.Get(ctx, "config"); err != nil || rec.Version != version || string(rec.Value) != "one" {
		t.Errorf("record %+v, %v; want version %d", rec, err, version)
	}
	if got, err := after.AcquireLease(ctx, "orders/engine", "b", time.Hour); err == nil || got.Token != lease.Token {
		t.Errorf("lease %+v, %v; want a refusal with token %d", got, err, lease.Token)
	}
	if list, err := after.Instances(ctx, "s"); err != nil || len(list) != 1 {
		t.Errorf("instances %v, %v; want one", list, err)
	}
}
