package kvstoretest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Guards against a delayed swap that overwrites a newer version, and against one that
// is lost although nothing was written before it was applied.
func TestDelayedSwapsCheckTheVersionWhenApplied(t *testing.T) {
	for _, tc := range []struct {
		desc        string
		newerWrite  bool
		wantApplied int
		wantValue   string
	}{
		{desc: "no newer version", wantApplied: 1, wantValue: "late"},
		{desc: "newer version", newerWrite: true, wantApplied: 0, wantValue: "newer"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			f, ctx := NewFake(), t.Context()
			f.DelaySwaps(true)
			if _, err := f.CompareAndSwap(ctx, "k", 0, []byte("late")); !failure.Is(err, failure.Uncertain) {
				t.Fatalf("delayed swap: %v", err)
			}
			f.DelaySwaps(false)
			if tc.newerWrite {
				if _, err := f.CompareAndSwap(ctx, "k", 0, []byte("newer")); err != nil {
					t.Fatal(err)
				}
			}
			if n := f.ApplyDelayed(); n != tc.wantApplied {
				t.Errorf("applied %d, want %d", n, tc.wantApplied)
			}
			if r := f.Record("k"); string(r.Value) != tc.wantValue || r.Version != 1 {
				t.Errorf("record %+v", r)
			}
		})
	}
}

// Guards against a watch that is counted more than once, that does not end at its
// timeout, or that does not end when its client is disconnected.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, start := NewFake(), time.Now()
		r, err := f.Watch(t.Context(), "k", 0)
		if err != nil || r.Version != 0 || time.Since(start) != DefaultWatchWait {
			t.Errorf("watch of an unchanged key: %+v, %v after %v", r, err, time.Since(start))
		}
		if n := f.Calls(kvstore.CallWatch); n != 1 {
			t.Errorf("%d calls counted, want 1", n)
		}
		watchErr := make(chan error)
		go func() { _, err := f.Client("a").Watch(t.Context(), "k", 0); watchErr <- err }()
		synctest.Wait()
		f.CutClient("a")
		if err := <-watchErr; !failure.Is(err, failure.Unavailable) {
			t.Errorf("watch of a cut client: %v", err)
		}
	})
}

// Guards against a slow write that is reported as having had no effect.
func TestSlowWriteIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFake()
		f.SetResponseDelay(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.CompareAndSwap(ctx, "k", 0, nil); !failure.Is(err, failure.Uncertain) {
			t.Errorf("slow swap: %v", err)
		}
		if f.Record("k").Version != 1 {
			t.Error("the slow swap did not take effect")
		}
	})
}

// Guards against an instance list that does not apply the configured lag.
func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, ctx := NewFake(), t.Context()
		f.SetListLag(time.Second)
		if err := f.Register(ctx, kvstore.Instance{ID: "a"}); err != nil {
			t.Fatal(err)
		}
		for _, want := range []int{0, 1} {
			list, err := f.Instances(ctx, "")
			if err != nil || len(list) != want {
				t.Errorf("list %v, %v; want %d entries", list, err, want)
			}
			time.Sleep(time.Second)
		}
	})
}

func TestFakeContract(t *testing.T) {
	TestStore(t, func(*testing.T) kvstore.Store { return NewFake() })
	TestFaults(t, func(*testing.T) (*Fake, kvstore.Store) {
		f := NewFake()
		return f, f.Client(FaultClient)
	})
}
