package ingress

import (
	"testing"
	"time"
)

// testGuard is a guard whose connections are driven by hand.
type testGuard struct {
	*Guard
	t   *testing.T
	now time.Time
}

func newTestGuard(t *testing.T, limits Limits) *testGuard {
	return &testGuard{NewGuard(limits), t, started.Add(time.Hour)}
}

// openIn adds a connection whose request has got to a phase and holds bytes.
func (g *testGuard) openIn(p phase, held int64) *Account {
	g.t.Helper()
	a, victim := g.open(nil, g.now)
	if a == nil || victim != nil {
		g.t.Fatalf("no room, or %v had to end", victim)
	}
	a.phase.Store(uint32(p))
	if ok, victims := g.take(a, held, g.now); !ok || victims != nil {
		g.t.Fatalf("%d bytes: %t, %v had to end", held, ok, victims)
	}
	return a
}

// pass lets time pass with sweeps, which must end nothing.
func (g *testGuard) pass(d time.Duration, rules Rules) {
	g.t.Helper()
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(sweepInterval)
		if victims := g.sweep(g.now, rules); victims != nil {
			g.t.Fatalf("%v ended", victims)
		}
	}
}

var lenient = Rules{HeadTimeout: time.Hour, IdleTimeout: time.Hour}

// Guards against memory that is short and taken from the wrong request, or exceeded.
func TestWorstHolderEndsWhenMemoryIsShort(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		others  map[phase]int64 // bytes held by another connection in each phase
		stalled bool
		need    int64
		ok      bool
		victim  phase // 0 if none
	}{
		{"enough is left", map[phase]int64{inBody: 500}, false, 500, true, 0},
		{"a larger body still arrives", map[phase]int64{inBody: 900}, false, 200, true, inBody},
		{"a smaller body still arrives", map[phase]int64{inBody: 450}, false, 600, false, 0},
		{"a smaller body has stalled", map[phase]int64{inBody: 450}, true, 600, true, inBody},
		{"a head has stalled", map[phase]int64{inHead: 450}, true, 600, true, inHead},
		{"a request runs", map[phase]int64{running: 900}, true, 200, false, 0},
		{"the stalled one goes before the larger one that runs", map[phase]int64{running: 600, inBody: 300}, true, 200, true, inBody},
		{"more than all", map[phase]int64{}, false, 1001, false, 0},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := newTestGuard(t, Limits{Bytes: 1000})
			others := map[phase]*Account{}
			for p, held := range tc.others {
				others[p] = g.openIn(p, held)
			}
			if tc.stalled {
				g.pass(2*stallTime, lenient)
			}
			a := g.openIn(inBody, 0)
			ok, victims := g.take(a, tc.need, g.now)
			for _, v := range victims {
				if v != others[tc.victim] {
					t.Errorf("the wrong one ended, in phase %d", v.endedIn)
				}
				g.close(v)
			}
			if ok != tc.ok || (tc.victim != 0) != (len(victims) == 1) {
				t.Errorf("ok is %t, %d ended", ok, len(victims))
			}
			if u := g.Usage(); u.Head+u.Body-g.leaving > 1000 {
				t.Errorf("%+v", u)
			}
			g.close(a)
			for _, other := range others {
				g.close(other)
			}
			if u := g.Usage(); u != (Usage{}) || g.leaving != 0 {
				t.Errorf("%+v is left, %d of ended ones", u, g.leaving)
			}
		})
	}
}

// Guards against a full instance that ends a request that runs, or keeps one that does nothing.
func TestLeastNeededConnectionEndsFirst(t *testing.T) {
	g := newTestGuard(t, Limits{Connections: 6, Bytes: 1000})
	runs, body := g.openIn(running, 0), g.openIn(inBody, 1)
	first, second := g.openIn(waiting, 0), g.openIn(waiting, 0)
	stalled, over := g.openIn(inHead, 1), g.openIn(refused, 0)
	for range 4 {
		g.pass(sweepInterval, lenient)
		body.received.Add(1)
		second.received.Add(1)
	}
	for i, want := range []*Account{over, stalled, first, second} {
		a, victim := g.open(nil, g.now)
		if victim != want {
			t.Errorf("%d: %+v ended", i, victim)
		}
		a.phase.Store(uint32(running))
	}
	if _, victim := g.open(nil, g.now); victim != body {
		t.Errorf("%+v ended instead of the body", victim)
	}
	if a, victim := g.openAfterRunning(); a != nil || victim != nil || runs.currentPhase() != running {
		t.Error("a request that runs gave way")
	}
}

// openAfterRunning opens a connection while the requests of all others run.
func (g *testGuard) openAfterRunning() (a, victim *Account) {
	for other := range g.accounts {
		other.phase.Store(uint32(running))
	}
	return g.open(nil, g.now)
}

// Guards against a caller inside the rules that is cut off, and against one outside that stays.
func TestRulesEndOnlyThoseThatBreakThem(t *testing.T) {
	rules := Rules{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	for _, tc := range []struct {
		desc     string
		phase    phase
		writing  bool
		progress time.Duration // interval, 0 if there is none
		deadline time.Duration
		kept     time.Duration // it must not end before
		cause    Cause
	}{
		{"idle", waiting, false, 0, 0, 15 * time.Second, Idle},
		{"head that drips", inHead, false, time.Second, 0, 3 * time.Second, SlowHead},
		{"body that stops", inBody, false, 0, time.Hour, 15 * time.Second, SlowBody},
		{"body that drips", inBody, false, time.Second, 20 * time.Second, 20 * time.Second, SlowBody},
		{"body that drips until an hour later", inBody, false, 14 * time.Second, time.Hour, time.Minute, ""},
		{"request that runs", running, false, 0, time.Second, time.Minute, ""},
		{"reader that stops", running, true, 0, time.Second, 15 * time.Second, SlowReader},
		{"reader that is slow", running, true, 14 * time.Second, time.Second, time.Minute, ""},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := newTestGuard(t, Limits{Bytes: 1000})
			a := g.openIn(tc.phase, 0)
			a.writing.Store(tc.writing)
			if tc.deadline > 0 {
				a.deadline.Store(int64(g.now.Add(tc.deadline).Sub(started)))
			}
			begun, progressed := g.now, g.now
			for g.now.Sub(begun) < time.Minute {
				g.now = g.now.Add(sweepInterval)
				if tc.progress > 0 && g.now.Sub(progressed) >= tc.progress {
					progressed = g.now
					a.received.Add(1)
				}
				if g.sweep(g.now, rules) != nil {
					break
				}
			}
			if took := g.now.Sub(begun); a.cause != tc.cause || took < tc.kept || tc.cause != "" && took > tc.kept+3*sweepInterval {
				t.Errorf("ended for %q after %s", a.cause, took)
			}
		})
	}
}

// Guards against a budget that shrinks because a connection takes more after it was ended.
func TestEndedConnectionTakesNothing(t *testing.T) {
	g := newTestGuard(t, Limits{Bytes: 1000})
	a, b := g.openIn(inBody, 800), g.openIn(inBody, 0)
	if ok, victims := g.take(b, 300, g.now); !ok || len(victims) != 1 || victims[0] != a {
		t.Fatalf("%t, %v ended", ok, victims)
	}
	if ok, _ := g.take(a, 100, g.now); ok {
		t.Error("an ended connection took more")
	}
	g.close(a)
	g.close(b)
	if g.leaving != 0 {
		t.Errorf("%d bytes of ended connections are left", g.leaving)
	}
}
