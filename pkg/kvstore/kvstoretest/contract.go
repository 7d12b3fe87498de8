package kvstoretest

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// pollInterval is the delay between two checks of a condition in waitUntil.
const pollInterval = time.Millisecond

// TestStore checks the contract of kvstore.Store on a healthy store. newStore
// returns an empty store for each test.
func TestStore(t *testing.T, newStore func(t *testing.T) kvstore.Store) {
	for _, tc := range []struct {
		desc string
		test func(t *testing.T, s kvstore.Store)
	}{
		{"swap", testSwap},
		{"invalid input", testInvalidInput},
		{"concurrent swaps", testConcurrentSwaps},
		{"watch", testWatch},
		{"lease", testLease},
		{"cancelled context", testCanceledContext},
	} {
		t.Run(tc.desc, func(t *testing.T) { tc.test(t, newStore(t)) })
	}
}

// testSwap guards against a write that replaces a version other than the expected one,
// and against keys or values that change on the way to the store and back.
func testSwap(t *testing.T, s kvstore.Store) {
	ctx, key := t.Context(), "budgets/work space/100%/a?b#c=d&é"
	if r, err := s.Get(ctx, key); err != nil || r.Version != 0 || r.Key != key {
		t.Fatalf("absent key: %+v, %v", r, err)
	}
	large := bytes.Repeat([]byte{0, 255}, kvstore.MaxValueBytes/2)
	for _, step := range []struct {
		desc        string
		expect      uint64
		value       []byte
		want        failure.Kind
		wantVersion uint64
	}{
		{"absent key with another version", 1, []byte("x"), failure.Conflict, 0},
		{"create", 0, []byte("one"), "", 1},
		{"create again", 0, []byte("x"), failure.Conflict, 1},
		{"replace with the largest value", 1, large, "", 2},
		{"old version", 1, []byte("x"), failure.Conflict, 2},
		{"future version", 3, []byte("x"), failure.Conflict, 2},
		{"empty value", 2, []byte{}, "", 3},
	} {
		before, _ := s.Get(ctx, key)
		version, err := s.CompareAndSwap(ctx, key, step.expect, step.value)
		wantKind(t, step.desc, err, step.want)
		want := step.value
		if step.want != "" {
			want = before.Value
		} else if version != step.wantVersion {
			t.Errorf("%s: new version %d, want %d", step.desc, version, step.wantVersion)
		}
		if r, err := s.Get(ctx, key); err != nil || r.Version != step.wantVersion || !bytes.Equal(r.Value, want) {
			t.Errorf("%s: read back version %d with %d bytes, %v", step.desc, r.Version, len(r.Value), err)
		}
	}
}

// testInvalidInput guards against invalid input that reaches the store, which could
// interpret it in another way.
func testInvalidInput(t *testing.T, s kvstore.Store) {
	ctx := t.Context()
	for _, key := range []string{"", "/a", "a/", "a//b", "a/../b", "."} {
		_, err := s.Get(ctx, key)
		wantKind(t, "get "+key, err, failure.Invalid)
		_, err = s.CompareAndSwap(ctx, key, 0, nil)
		wantKind(t, "swap "+key, err, failure.Invalid)
	}
	_, err := s.CompareAndSwap(ctx, "k", 0, make([]byte, kvstore.MaxValueBytes+1))
	wantKind(t, "oversize value", err, failure.Invalid)
	_, err = s.AcquireLease(ctx, "l", "", time.Second)
	wantKind(t, "lease without holder", err, failure.Invalid)
	_, err = s.AcquireLease(ctx, "l", "a", 0)
	wantKind(t, "lease without time to live", err, failure.Invalid)
}

// testConcurrentSwaps guards against two swaps of the same version that both succeed,
// and against a conflict reported for the one that did.
func testConcurrentSwaps(t *testing.T, s kvstore.Store) {
	errs := make([]error, 8)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() { _, errs[i] = s.CompareAndSwap(t.Context(), "k", 0, []byte{byte(i)}) })
	}
	wg.Wait()
	r, err := s.Get(t.Context(), "k")
	if err != nil || r.Version != 1 || len(r.Value) != 1 {
		t.Fatalf("record after concurrent swaps: %+v, %v", r, err)
	}
	for i, err := range errs {
		want := failure.Conflict
		if i == int(r.Value[0]) {
			want = ""
		}
		wantKind(t, "concurrent swap", err, want)
	}
}

// testWatch guards against a watch that misses a write before or after its start.
func testWatch(t *testing.T, s kvstore.Store) {
	ctx := t.Context()
	seen := make(chan kvstore.Record, 2)
	go func() {
		defer close(seen)
		for after := range uint64(2) {
			r, err := s.Watch(ctx, "k", after)
			if err != nil {
				t.Errorf("watch after %d: %v", after, err)
				return
			}
			seen <- r
		}
	}()
	for version := range uint64(2) {
		if _, err := s.CompareAndSwap(ctx, "k", version, []byte{byte(version)}); err != nil {
			t.Fatal(err)
		}
		if r := <-seen; r.Version != version+1 || !bytes.Equal(r.Value, []byte{byte(version)}) {
			t.Errorf("watch returned %+v", r)
		}
	}
}

// testLease guards against two holders of one lease, and against a token that does
// not grow when the holder changes or that changes with a renewal.
func testLease(t *testing.T, s kvstore.Store) {
	ctx := t.Context()
	var token uint64
	for _, step := range []struct {
		desc, holder string
		release      string
		want         failure.Kind
		wantNewToken bool
	}{
		{desc: "first", holder: "a", wantNewToken: true},
		{desc: "renewed", holder: "a"},
		{desc: "held by another", holder: "b", want: failure.Conflict},
		{desc: "release by another holder", release: "b", holder: "b", want: failure.Conflict},
		{desc: "release by its holder", release: "a", holder: "b", wantNewToken: true},
	} {
		if step.release != "" {
			wantKind(t, step.desc, s.ReleaseLease(ctx, "orders/e", step.release), "")
		}
		l, err := s.AcquireLease(ctx, "orders/e", step.holder, time.Hour)
		wantKind(t, step.desc, err, step.want)
		if err == nil && (l.Holder != step.holder || (l.Token > token) != step.wantNewToken || l.Token < token) {
			t.Errorf("%s: %+v after token %d", step.desc, l, token)
		}
		token = max(token, l.Token)
	}
	shortLease, err := s.AcquireLease(ctx, "short", "a", time.Millisecond)
	wantKind(t, "short lease", err, "")
	waitUntil(t, func() bool {
		next, err := s.AcquireLease(ctx, "short", "b", time.Hour)
		return err == nil && next.Token > shortLease.Token
	})
}

// testCanceledContext guards against a call that is sent although its context has
// been cancelled.
func testCanceledContext(t *testing.T, s kvstore.Store) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := s.Get(canceled, "k")
	wantKind(t, "get", err, failure.Unavailable)
	_, err = s.CompareAndSwap(canceled, "k", 0, nil)
	wantKind(t, "swap", err, failure.Unavailable)
	if r, err := s.Get(t.Context(), "k"); err != nil || r.Version != 0 {
		t.Errorf("record after a swap with a cancelled context: %+v, %v", r, err)
	}
}

// FaultClient is the id of the client that TestFaults disconnects with CutClient.
const FaultClient = "victim"

// TestFaults checks which kinds of failure an implementation reports for faults of
// the store. newStore returns an empty Fake, and the implementation connected to it
// as client FaultClient.
func TestFaults(t *testing.T, newStore func(t *testing.T) (*Fake, kvstore.Store)) {
	unavailable, unavailableOrUncertain := []failure.Kind{failure.Unavailable}, []failure.Kind{failure.Unavailable, failure.Uncertain}
	for _, tc := range []struct {
		desc        string
		inject      func(f *Fake)
		read        failure.Kind
		write       []failure.Kind
		wantApplied bool
		cancel      bool // the caller cancels the call after the store has received it
	}{
		{desc: "down", inject: func(f *Fake) { f.SetDown(true) }, read: failure.Unavailable, write: unavailable},
		{desc: "cut client", inject: func(f *Fake) { f.CutClient(FaultClient) }, read: failure.Unavailable, write: unavailableOrUncertain},
		{desc: "lost response", inject: func(f *Fake) { f.LoseAnswers(2) }, write: []failure.Kind{failure.Uncertain}, wantApplied: true},
		{desc: "delayed swap", inject: func(f *Fake) { f.DelaySwaps(true) }, write: []failure.Kind{failure.Uncertain}},
		{desc: "slow until the caller cancels", inject: func(f *Fake) { f.SetResponseDelay(time.Hour) }, read: failure.Unavailable,
			write: []failure.Kind{failure.Uncertain}, wantApplied: true, cancel: true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			f, s := newStore(t)
			tc.inject(f)
			runCall := func(kind kvstore.CallKind, call func(ctx context.Context) error) error {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if !tc.cancel {
					return call(ctx)
				}
				done := make(chan error)
				go func() { done <- call(ctx) }()
				waitUntil(t, func() bool { return f.Calls(kind) > 0 && (kind != kvstore.CallSwap || f.Record("k").Version > 0) })
				cancel()
				return <-done
			}
			err := runCall(kvstore.CallSwap, func(ctx context.Context) error {
				_, err := s.CompareAndSwap(ctx, "k", 0, []byte("v"))
				return err
			})
			if !slices.Contains(tc.write, failure.KindOf(err)) {
				t.Errorf("swap: %v, want one of %v", err, tc.write)
			}
			if n := f.Calls(kvstore.CallSwap); n != 1 {
				t.Errorf("the swap was sent %d times", n)
			}
			if applied := f.Record("k").Version > 0; applied != tc.wantApplied {
				t.Errorf("swap applied: %v, want %v", applied, tc.wantApplied)
			}
			wantKind(t, "get", runCall(kvstore.CallGet, func(ctx context.Context) error {
				_, err := s.Get(ctx, "k")
				return err
			}), tc.read)
		})
	}
}

// wantKind fails the test unless err has the kind want; "" means no error.
func wantKind(t *testing.T, desc string, err error, want failure.Kind) {
	t.Helper()
	if got := failure.KindOf(err); got != want {
		t.Errorf("%s: error %v, want kind %q", desc, err, want)
	}
}

// waitUntil polls condition until it is true. It has no timeout of its own; the
// timeout of the test run applies.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil || t.Failed() {
			t.FailNow()
		}
		time.Sleep(pollInterval)
	}
}
