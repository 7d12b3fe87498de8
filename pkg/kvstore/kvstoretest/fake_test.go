package kvstoretest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Guards against a delayed write that overwrites a newer version, and against
// one that is lost although nothing was written in between.
func TestDelayedWritesCheckTheVersionWhenApplied(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		between bool
		applied int
		value   string
	}{
		{desc: "nothing written in between", applied: 1, value: "late"},
		{desc: "newer version in between", between: true, applied: 0, value: "newer"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			f, ctx := NewFake(), t.Context()
			f.DelaySwaps(true)
			if _, err := f.CompareAndSwap(ctx, "k", 0, []byte("late")); !failure.Is(err, failure.Uncertain) {
				t.Fatalf("delayed swap: %v", err)
			}
			f.DelaySwaps(false)
			if tc.between {
				if _, err := f.CompareAndSwap(ctx, "k", 0, []byte("newer")); err != nil {
					t.Fatal(err)
				}
			}
			if n := f.ApplyDelayed(); n != tc.applied {
				t.Errorf("applied %d, want %d", n, tc.applied)
			}
			if r := f.Record("k"); string(r.Value) != tc.value || r.Version != 1 {
				t.Errorf("record %+v", r)
			}
		})
	}
}

// Guards against a watch that is counted more than once, that misses its end
// of wait, or that outlives an outage.
func TestWatchInBubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, start := NewFake(), time.Now()
		r, err := f.Watch(t.Context(), "k", 0)
		if err != nil || r.Version != 0 || time.Since(start) != DefaultWatchWait {
			t.Errorf("watch of an unchanged key: %+v, %v after %v", r, err, time.Since(start))
		}
		if n := f.Calls(kvstore.CallWatch); n != 1 {
			t.Errorf("%d calls counted, want 1", n)
		}
		ended := make(chan error)
		go func() { _, err := f.Client("a").Watch(t.Context(), "k", 0); ended <- err }()
		synctest.Wait()
		f.CutClient("a")
		if err := <-ended; !failure.Is(err, failure.Unavailable) {
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

// Guards against an instance list that ignores the configured lag.
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
