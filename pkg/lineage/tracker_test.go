package lineage

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	v1 = Origin{"s", "v1"}
	v2 = Origin{"s", "v2"}
	// settled is the time in which all instances have learned and stored what is listed.
	settled = 3 * time.Second
	flushed = DefaultTiming().FlushInterval + 4*callDelay
	// retired is the time after which a version that left is no longer possible anywhere.
	retired = DefaultTiming().Retention + 20*time.Second
)

// Guards against a stream that another instance continues at the wrong version, or not at all.
func TestOriginIsKnownAtOtherInstances(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(5)
		time.Sleep(settled)
		x[0].Record("a", v1, time.Now())
		x[1].Record("b", v2, time.Now())
		w.checkOrigin(x[0], "a", v1, "s")
		w.checkOrigin(x[2], "a", v1, "s") // which has just begun
		for _, y := range x {
			w.checkOrigin(y, "a", v1, "s")
			w.checkOrigin(y, "b", v2, "s")
		}
	})
}

// Guards against streams that began before a second version appeared and cannot be taken up at other instances afterwards.
func TestOriginsOfTheFormerSingleVersionAreKnown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(3)
		time.Sleep(settled)
		x[0].Record("a", v1, time.Now())
		time.Sleep(10 * time.Second)
		w.list(v1, v2)
		time.Sleep(flushed)
		w.checkOrigin(x[1], "a", v1, "s")
	})
}

// Guards against origins that are forgotten, or guessed, when all instances end at once, also if a version has just left.
func TestOriginIsKnownAfterAllInstancesWereReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(3)
		time.Sleep(settled)
		x[0].Record("a", v1, time.Now())
		time.Sleep(flushed)
		x[0].Record("killed before it was written", v1, time.Now())
		w.killAll()
		w.list(v2)
		time.Sleep(5 * time.Second)
		for _, y := range w.start(4) {
			w.checkOrigin(y, "a", v1, "s")
			w.checkRefused(y, "killed before it was written", maxWait)
			w.checkRefused(y, "", maxWait)
		}
		time.Sleep(10 * time.Second)
		w.checkOrigin(w.instances[0], "a", v1, "s")
		w.checkRefused(w.instances[0], "killed before it was written", maxWait)
	})
}

// Guards against a version that is replaced as a whole, by another one that never was listed beside it, while no instance runs.
func TestReplacedVersionStaysPossibleAfterAllInstancesWereReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(2)
		time.Sleep(settled)
		x[0].Record("a", v1, time.Now())
		w.killAll()
		w.list(v2)
		x = w.start(2)
		w.checkRefused(x[0], "a", maxWait)
		time.Sleep(retired)
		w.checkOrigin(x[0], "begun since", v2, "s")
	})
}

// Guards against calls of the store while only one version is possible, also right after a restart.
func TestSingleVersionNeedsNoCalls(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, Origin{"other", "v9"})
		w.start(3)
		time.Sleep(retired)
		for range 2 {
			before := w.store.countCalls()
			for i, x := range w.instances {
				for j := range 20 {
					x.Record(fmt.Sprint(i, j), v1, time.Now())
					w.checkOrigin(w.instances[(i+1)%3], fmt.Sprint(i, j), v1, "s")
					w.checkOrigin(x, "unheard of", Origin{}, "s", "other")
					w.checkOrigin(x, "", v1, "s")
				}
			}
			time.Sleep(20 * time.Second)
			if calls := w.store.countCalls() - before; calls > 0 {
				t.Errorf("%d calls", calls)
			}
			w.killAll()
			w.start(3)
			time.Sleep(10 * callDelay) // until the durable record is read
		}
	})
}

// Guards against a guess while two versions are possible: listed, just left, or used by an endpoint that is listed no more.
func TestUnknownStreamIsRefusedWhileTwoVersionsArePossible(t *testing.T) {
	for desc, change := range map[string]func(w *world){
		"both listed": func(*world) {},
		"one has just left": func(w *world) {
			w.list(v2)
			time.Sleep(DefaultTiming().Retention - 2*time.Second)
		},
		"one left long ago and is still used here": func(w *world) {
			w.list(v2)
			time.Sleep(DefaultTiming().Retention / 2)
			w.instances[0].Record("late", v1, time.Now())
			time.Sleep(DefaultTiming().Retention - 2*time.Second)
		},
	} {
		t.Run(desc, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.list(v1, v2)
				w.start(2)
				time.Sleep(settled)
				change(w)
				w.checkRefused(w.instances[0], "unheard of", maxWait)
				w.checkRefused(w.instances[0], "", maxWait)
			})
		})
	}
}

// Guards against an instance with an old list of endpoints that guesses, and against one that refuses although the store says that there is one version.
func TestStaleListIsNoKnowledge(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(3)
		time.Sleep(retired)
		cut := x[2]
		cut.setCut(true)
		time.Sleep(3 * time.Second)
		w.checkOrigin(cut, "unheard of", v1, "s")
		w.store.set(func(s *memoryStore) { s.unavailable = true })
		w.checkRefused(cut, "unheard of", DefaultTiming().ReadDelay+2*callDelay)
		w.checkRefused(cut, "unheard of", 0) // known to be unreachable
		cut.Record("own", v1, time.Now())
		w.checkOrigin(cut, "own", v1, "s")
		w.store.set(func(s *memoryStore) { s.unavailable = false })
		w.list(v1, v2)
		time.Sleep(2 * time.Second)
		if !x[0].MayBegin("s", "v2", time.Now()) {
			t.Error("no streams may begin at the new version")
		}
		w.checkRefused(cut, "unheard of", maxWait)
	})
}

// Guards against an instance that is out of step for a moment and takes the only version that it knows for the one that began a stream elsewhere.
func TestInstanceOutOfStepDoesNotGuess(t *testing.T) {
	for _, tc := range []struct {
		desc     string
		answers  bool // the source of the list answers a recheck
		recorded bool // the new version, when its first stream begins
		known    bool // the stream goes on
	}{
		{"the list is behind", true, true, true},
		{"the list is behind and cannot be read", false, true, true},
		{"the new version is not recorded yet", true, false, false},
		{"the new version is not recorded yet and the list cannot be read", false, false, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.list(v1)
				x := w.start(2)
				time.Sleep(retired)
				x[1].setCut(true)
				if tc.answers {
					x[1].setRecheck(func() { x[1].UpdateEndpoints(endpointsOf(w.listed), time.Now()) })
				}
				if !tc.recorded {
					w.store.set(func(s *memoryStore) { s.unavailable = true })
				}
				w.list(v1, v2)
				time.Sleep(DefaultTiming().MaxListAge / 2)
				if begins := x[0].MayBegin("s", "v2", time.Now()); begins != tc.recorded {
					t.Fatalf("streams may begin at the new version: %t", begins)
				}
				x[0].Record("a", v2, time.Now()) // also if no endpoint of the other version accepts work
				w.store.set(func(s *memoryStore) { s.unavailable = false })
				if !tc.known {
					x[0].stop() // before it writes the origin
				}
				origin, err := x[1].Resolve(t.Context(), "a", []string{"s"})
				if err == nil && origin != v2 || (err == nil) != tc.known {
					t.Errorf("resolved to %v, %v", origin, err)
				}
			})
		})
	}
}

// Guards against an instance that cannot read the list and takes a record of an older copy of the store for knowledge.
func TestIncompleteRecordIsNoKnowledge(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(1)[0]
		time.Sleep(retired)
		w.store.set(func(s *memoryStore) { s.readOnly = true }) // so that x cannot complete it
		x.setCut(true)
		w.store.restore(w.store.copy())
		time.Sleep(callDelay)
		w.checkRefused(x, "unheard of", maxWait)
		w.checkRefused(x, "unheard of too", maxWait)
		w.checkRefused(x, "", maxWait)
	})
}

// Guards against a version that appears and leaves unnoticed while an instance does not follow the list.
func TestVersionThatCameAndLeftUnnoticedCounts(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(2)
		time.Sleep(retired)
		x[1].setCut(true)
		w.list(v1, v2)
		time.Sleep(10 * time.Second)
		x[0].Record("a", v2, time.Now())
		time.Sleep(flushed)
		w.list(v1)
		x[1].setCut(false)
		w.checkRefused(x[1], "unheard of", maxWait)
		w.checkOrigin(x[1], "a", v2, "s")
	})
}

// Guards against streams that begin at a version that the durable record lacks beside another one.
func TestNoStreamBeginsAtAnUnrecordedVersion(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(3)
		if !x[0].MayBegin("s", "v1", time.Now()) {
			t.Error("no streams may begin at the first version")
		}
		time.Sleep(settled)
		w.store.set(func(s *memoryStore) { s.unavailable = true })
		w.list(v1, v2)
		time.Sleep(10 * time.Second)
		if x[0].MayBegin("s", "v2", time.Now()) || !x[0].MayBegin("s", "v1", time.Now()) {
			t.Error("streams may begin at the unrecorded version, or none at the recorded one")
		}
		w.store.set(func(s *memoryStore) { s.unavailable = false })
		time.Sleep(settled)
		for _, y := range x {
			if !y.MayBegin("s", "v2", time.Now()) {
				t.Error("no streams may begin at the recorded version")
			}
		}
	})
}

// Guards against an instance that has not noticed that a version was removed from the record, and begins streams at it when it is back.
func TestVersionThatComesBackIsRecordedAgain(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(3)
		time.Sleep(settled)
		w.list(v2)
		for removed := func() bool { return slices.Equal(w.storedVersions(), []string{"v2"}) }; !removed(); time.Sleep(callDelay) {
		}
		w.store.set(func(s *memoryStore) { s.unavailable = true })
		w.list(v1, v2)
		time.Sleep(settled)
		for _, y := range x {
			if y.MayBegin("s", "v1", time.Now()) {
				t.Errorf("instance %s begins streams at a version that the record lacks", y.opts.Incarnation)
			}
		}
		w.store.set(func(s *memoryStore) { s.unavailable = false })
		time.Sleep(settled)
		for _, y := range x {
			if !y.MayBegin("s", "v1", time.Now()) {
				t.Errorf("instance %s begins no streams", y.opts.Incarnation)
			}
		}
	})
}

// Guards against versions and keys that stay in the store, so that origins are published for ever.
func TestVersionThatLeftIsForgotten(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(4)
		time.Sleep(settled)
		for i, y := range x {
			y.Record(fmt.Sprint(i), v1, time.Now())
		}
		time.Sleep(flushed)
		if keys := w.store.keys(streamsPrefix); len(keys) != 4 {
			t.Errorf("keys: %v", keys)
		}
		x[3].stop() // whose key others remove
		w.list(v2)
		time.Sleep(retired)
		if got := w.storedVersions(); !slices.Equal(got, []string{"v2"}) {
			t.Errorf("recorded versions: %v", got)
		}
		w.checkOrigin(x[1], "unheard of", v2, "s")
		time.Sleep(4 * DefaultTiming().Retention)
		if keys := w.store.keys(streamsPrefix); len(keys) != 0 {
			t.Errorf("keys: %v", keys)
		}
		before := w.store.countCalls()
		time.Sleep(10 * time.Minute)
		if calls := w.store.countCalls() - before; calls > 0 {
			t.Errorf("%d calls", calls)
		}
	})
}

// Guards against an origin that is lost because the answer to its write is.
func TestLostAnswerToAWrite(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.set(func(s *memoryStore) { s.loseAnswers = 3 })
		w.list(v1, v2)
		x := w.start(2)
		time.Sleep(settled)
		if got := w.storedVersions(); !slices.Equal(got, []string{"v1", "v2"}) {
			t.Errorf("recorded versions: %v", got)
		}
		for i := range 5 {
			w.store.set(func(s *memoryStore) { s.loseAnswers = 1 })
			x[0].Record(fmt.Sprint(i), v1, time.Now())
			time.Sleep(3 * flushed)
			w.checkOrigin(x[1], fmt.Sprint(i), v1, "s")
		}
	})
}

// Guards against an origin that is lost because its write failed, or because another service had several versions before.
func TestOriginIsWrittenLate(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		other := Origin{"other", "v8"}
		w.list(v1, v2, other)
		x := w.start(2)
		time.Sleep(settled)
		x[0].Record("b", other, time.Now())
		w.store.set(func(s *memoryStore) { s.unavailable = true })
		x[0].Record("a", v1, time.Now())
		time.Sleep(5 * time.Second)
		w.store.set(func(s *memoryStore) { s.unavailable = false })
		time.Sleep(2 * flushed)
		w.checkOrigin(x[1], "a", v1, "s")
		w.list(v1, v2, other, Origin{"other", "v9"})
		time.Sleep(flushed)
		w.checkOrigin(x[1], "b", other, "other")
	})
}

// Guards against a record that a restored store makes useless although instances know the versions.
func TestRestoredRecordIsCompletedAgain(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		w.start(3)
		time.Sleep(settled)
		w.store.restore(w.store.copy())
		time.Sleep(settled)
		w.killAll()
		w.start(3)
		time.Sleep(10 * callDelay)
		before := w.store.countCalls()
		w.checkOrigin(w.instances[0], "unheard of", v1, "s")
		if calls := w.store.countCalls() - before; calls > 0 {
			t.Errorf("%d calls", calls)
		}
	})
}

// Guards against origins and versions that are lost with a store that returned from an older copy.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("all instances are replaced: %t", replaced), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.list(v1)
				x := w.start(3)
				time.Sleep(settled)
				copied := w.store.copy()
				w.list(v1, v2)
				time.Sleep(settled)
				x[0].Record("a", v2, time.Now())
				time.Sleep(flushed)
				w.store.restore(copied)
				if !replaced {
					time.Sleep(settled)
				}
				w.killAll()
				w.list(v1)
				y := w.start(1)[0]
				time.Sleep(settled)
				if replaced { // so that nobody knows
					w.checkRefused(y, "a", maxWait)
					time.Sleep(retired)
					w.checkOrigin(y, "begun since", v1, "s")
				} else {
					w.checkOrigin(y, "a", v2, "s")
					w.checkRefused(y, "unheard of", maxWait)
				}
			})
		})
	}
}

// Guards against an instance that takes a record from an older copy for complete because it has added a version itself.
func TestNewInstanceDoesNotCompleteARestoredRecord(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		other := Origin{"other", "v8"}
		w.list(other)
		w.start(2)
		time.Sleep(settled)
		copied := w.store.copy()
		w.list(other, v2)
		time.Sleep(settled)
		w.killAll()
		w.store.restore(copied)
		w.list(other, v1)
		x := w.start(2)
		time.Sleep(settled)
		w.checkRefused(x[0], "begun at the version that only the lost record had", maxWait)
		w.list(other, v1, Origin{"s", "v3"})
		time.Sleep(settled)
		if !x[1].MayBegin("s", "v1", time.Now()) || !x[1].MayBegin("s", "v3", time.Now()) {
			t.Error("no streams may begin")
		}
	})
}

// Guards against a constraint to a service that no longer serves the route, or to an older origin than the latest.
func TestMovedRoute(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		other := Origin{"other", "v8"}
		w.list(v1, v2, other, Origin{"other", "v9"})
		x := w.start(2)
		time.Sleep(settled)
		x[0].Record("a", v1, time.Now())
		time.Sleep(flushed)
		for _, y := range x {
			w.checkOrigin(y, "a", v1, "s", "other")
			w.checkOrigin(y, "a", Origin{}, "other")
		}
		time.Sleep(time.Second)
		x[0].Record("a", other, time.Now())
		w.checkOrigin(x[0], "a", other, "s", "other")
		w.checkOrigin(x[0], "a", v1, "s")
	})
}

// Guards against a read of the store for each of many streams that are taken up at the same time.
func TestReadsAreShared(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(2)
		time.Sleep(settled)
		for i := range 100 {
			x[0].Record(fmt.Sprint(i), v1, time.Now())
		}
		time.Sleep(flushed)
		before := w.store.countCalls()
		var callers sync.WaitGroup
		for i := range 100 {
			callers.Go(func() { w.checkOrigin(x[1], fmt.Sprint(i), v1, "s") })
		}
		callers.Wait()
		if calls := w.store.countCalls() - before; calls > 2 {
			t.Errorf("%d calls", calls)
		}
	})
}

// Guards against origins that are not found because other instances write them: just begun, when a collector ends, or when all do.
func TestCollectorsWriteOrigins(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(9)
		w.collect(x[:3]...)
		time.Sleep(settled)
		check := func(when string) {
			for i, y := range x[3:] {
				y.Record(fmt.Sprint(when, i), v2, time.Now())
				w.checkOrigin(x[3+(i+1)%6], fmt.Sprint(when, i), v2, "s")
			}
		}
		check("just begun")
		time.Sleep(settled)
		if keys := w.store.keys(streamsPrefix); len(keys) != 1 {
			t.Errorf("keys: %v", keys)
		}
		x[0].stop()
		check("the first collector has ended")
		time.Sleep(settled)
		w.collect(x[2], x[1])
		check("other collectors")
		x[2].stop()
		x[1].stop()
		check("no collector answers")
		time.Sleep(flushed)
		w.killAll()
		w.list(v1)
		w.collect()
		y := w.start(1)[0]
		for _, when := range []string{"just begun", "the first collector has ended", "other collectors", "no collector answers"} {
			for i := range 6 {
				w.checkOrigin(y, fmt.Sprint(when, i), v2, "s")
			}
		}
	})
}

// Guards against origins that are lost because instances disagree on who writes them, or on the versions.
func TestCollectorsDisagree(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(5)
		w.collect(x[0], x[1])
		time.Sleep(settled)
		x[0].setCut(true) // knows no second version
		x[1].view = []*instance{x[0]}
		w.list(v1, v2)
		time.Sleep(settled)
		for i := range 5 {
			x[3].Record(fmt.Sprint(i), v1, time.Now())
			w.checkOrigin(x[4], fmt.Sprint(i), v1, "s")
			time.Sleep(settled)
		}
		if keys := w.store.keys(streamsPrefix); !slices.Equal(keys, []string{x[1].ownKey()}) {
			t.Errorf("keys: %v", keys)
		}
	})
}

// Guards against writes of each instance of a large fleet, which together exceed what the store takes.
func TestLargeFleetWritesRarely(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(60)
		w.collect(x[:3]...)
		time.Sleep(settled)
		before := w.store.countCalls()
		for i := range 1000 {
			x[i%60].Record(fmt.Sprint(i), v1, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		if calls, bound := w.store.countCalls()-before, 3*maxWrites(10*time.Second); calls > bound {
			t.Errorf("%d calls in 10 s, at most %d are allowed", calls, bound)
		}
		time.Sleep(2 * flushed)
		for i := range 1000 {
			w.checkOrigin(x[(i+7)%60], fmt.Sprint(i), v1, "s")
		}
	})
}

// maxWrites returns the writes of origins that one instance may make in d.
func maxWrites(d time.Duration) int { return int(d/DefaultTiming().FlushInterval) + 1 }

// Guards against a caller that waits after it has left, and against writes for each stream.
func TestWritesAndWaitsAreBounded(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1, v2)
		x := w.start(1)[0]
		time.Sleep(settled)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := x.Resolve(ctx, "unheard of", []string{"s"}); err == nil || time.Since(start) > 60*time.Millisecond {
			t.Errorf("%v after %s", err, time.Since(start))
		}
		before := w.store.countCalls()
		for i := range 10_000 {
			x.Record(strings.Repeat("long", 50)+fmt.Sprint(i), v1, time.Now())
			time.Sleep(time.Millisecond)
		}
		if calls, bound := w.store.countCalls()-before, maxWrites(10*time.Second); calls > bound {
			t.Errorf("%d calls in 10 s, at most %d are allowed", calls, bound)
		}
	})
}

// Guards against unsynchronized access from request handlers.
func TestConcurrentUse(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.list(v1)
		x := w.start(3)
		var callers sync.WaitGroup
		for i := range 30 {
			callers.Go(func() {
				for j := range 50 {
					origin := []Origin{v1, v2}[i%2]
					x[i%3].Record(fmt.Sprint(i, j), origin, time.Now())
					x[i%3].MayBegin("s", "v2", time.Now())
					time.Sleep(100 * time.Millisecond)
					if got, err := x[(i+1)%3].Resolve(t.Context(), fmt.Sprint(i, j), []string{"s"}); err != nil || got != origin {
						t.Errorf("%v, %v, want %v", got, err, origin)
					}
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		w.list(v1, v2)
		callers.Wait()
	})
}
