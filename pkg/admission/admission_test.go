package admission

import (
	"testing"
	"time"
)

// Guards against a queue that ignores urgency, deadlines or shares, or in which the oldest request never has its turn.
func TestOrder(t *testing.T) {
	at := func(s int) time.Time { return loadStart.Add(time.Duration(s) * time.Second) }
	q := NewQueue[string](100)
	push := func(name, group string, priority, deadline int) {
		if _, _, ok := q.Push(Claim{Group: group, Priority: priority, Units: 1, Deadline: at(deadline)}, name); !ok {
			t.Fatalf("%s is refused", name)
		}
	}
	push("low", "z", 9, 1)
	push("late", "a", 1, 9)
	push("early", "a", 1, 2)
	push("other", "b", 1, 20)
	for _, want := range []string{"early", "other", "late"} {
		next := q.Next()
		if next.Value != want || q.Ordered()[0] != next {
			t.Errorf("%s is next, want %s", next.Value, want)
		}
		q.Serve(next)
	}
	for i := range oldestInterval {
		push("urgent", "a", 1, 2)
		if next := q.Next(); next.Value == "low" {
			return
		} else if i == oldestInterval-1 {
			t.Error("the oldest request is never served")
		} else {
			q.Serve(next)
		}
	}
}

// Guards against a full queue that refuses the urgent, or that lets a request in over another one of its priority.
func TestFullQueue(t *testing.T) {
	q := NewQueue[int](2)
	for i, priority := range []int{5, 5} {
		q.Push(Claim{Priority: priority}, i)
	}
	if _, _, ok := q.Push(Claim{Priority: 5}, 2); ok {
		t.Error("an equal request is let in")
	}
	if _, evicted, ok := q.Push(Claim{Priority: 1}, 3); !ok || evicted == nil || evicted.Value != 1 || q.Len() != 2 {
		t.Errorf("evicted %v, ok %t", evicted, ok)
	}
}

// Guards against requests that are held although they cannot be served in time, and against those that are refused although they can.
func TestDecide(t *testing.T) {
	p := Patience{Objective: loadStart.Add(time.Second), Deadline: loadStart.Add(8 * time.Second)}
	trial := p
	trial.Trial = 100 * time.Millisecond
	short := Patience{Objective: p.Objective, Deadline: loadStart.Add(200 * time.Millisecond), Trial: trial.Trial}
	for _, tc := range []struct {
		desc     string
		wait     time.Duration
		patience Patience
		want     time.Duration // 0 if it is refused at once
	}{
		{"unknown", Never, p, 0},
		{"unknown, search under way", Never, trial, 100 * time.Millisecond},
		{"soon", 200 * time.Millisecond, p, 400 * time.Millisecond},
		{"sooner than the search", 10 * time.Millisecond, trial, 100 * time.Millisecond},
		{"just in time", 900 * time.Millisecond, p, time.Second},
		{"too late", 1100 * time.Millisecond, p, 0},
		{"deadline before the objective", 90 * time.Millisecond, short, 100 * time.Millisecond},
		{"deadline too close", 110 * time.Millisecond, Patience{Objective: p.Objective, Deadline: short.Deadline}, 0},
	} {
		until, ok := Decide(loadStart, tc.wait, tc.patience)
		if ok != (tc.want > 0) || ok && until.Sub(loadStart) != tc.want {
			t.Errorf("%s: until %v, %t; want %v", tc.desc, until.Sub(loadStart), ok, tc.want)
		}
	}
}

// Guards against callers that all come back at one moment, or never.
func TestReturnsAreSpread(t *testing.T) {
	var r Returns
	var last time.Duration
	for range 5 {
		d := r.Next(loadStart, 500*time.Millisecond, 100*time.Millisecond, 0)
		if d <= last {
			t.Errorf("a caller returns after %v, the one before it after %v", d, last)
		}
		last = d
	}
	if d := r.Next(loadStart, Never, Never, time.Second); d != time.Second {
		t.Errorf("a caller without an estimate returns after %v", d)
	}
	if d := r.Next(loadStart, time.Hour, Never, time.Second); d != MaxReturnDelay {
		t.Errorf("a caller returns after %v", d)
	}
}
