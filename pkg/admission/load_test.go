package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// loadStart is the start of the virtual time of the tests.
var loadStart = time.Unix(1_000_000, 0)

// event is something that happens at a moment of the virtual time.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// caller is one request of the played load, with what its caller has got.
type caller struct {
	group    string
	priority int
	units    float64
	arrived  time.Duration
	returns  int
	served   bool
	waited   time.Duration
}

// load plays callers that compete for units. Each takes all of its units when it is served and
// gives back those that it did not use when its stream ends.
type load struct {
	t           *testing.T
	events      events
	now         time.Duration
	queue       *Queue[*caller]
	released    Rate
	returns     Returns
	free, taken float64
	used        float64 // by streams that have ended
	prepaid     float64
	source      func(now time.Duration) (delay time.Duration, units float64)
	callers     []*caller
	rng         *rand.Rand
}

const (
	loadObjective  = time.Second
	loadDeadline   = 8 * time.Second
	loadTrial      = 120 * time.Millisecond
	loadUsedShare  = 0.5
	maxLoadReturns = 2
)

func newLoad(t *testing.T, free float64) *load {
	return &load{t: t, queue: NewQueue[*caller](256), released: NewRate(2 * time.Second), free: free, prepaid: free,
		source: func(time.Duration) (time.Duration, float64) { return 0, 0 }, rng: rand.New(rand.NewPCG(1, 2))}
}

func (l *load) after(d time.Duration, run func()) { heap.Push(&l.events, event{l.now + d, run}) }

func (l *load) clock() time.Time { return loadStart.Add(l.now) }

// arrive adds a request of each of the given callers at a steady rate until end.
func (l *load) arrive(group string, priority int, units, perSecond float64, end time.Duration) {
	for at := time.Duration(0); at < end; at += time.Duration(float64(time.Second) / perSecond) {
		c := &caller{group: group, priority: priority, units: units, arrived: at}
		l.callers = append(l.callers, c)
		heap.Push(&l.events, event{at + time.Duration(l.rng.IntN(1000)), func() { l.request(c) }})
	}
}

func (l *load) request(c *caller) {
	claim := Claim{Group: c.group, Priority: c.priority, Units: c.units, Deadline: loadStart.Add(c.arrived + loadDeadline)}
	if l.queue.Len() == 0 && l.free >= c.units {
		l.serve(c, l.now)
		return
	}
	s := Supply{Free: l.free, PerSecond: l.released.PerSecond(l.clock()), Pending: (l.taken - l.used) * (1 - loadUsedShare)}
	s.SourceDelay, s.SourceUnits = l.source(l.now)
	wait := s.Wait(l.queue.Ahead(claim), c.units)
	until, ok := Decide(l.clock(), wait, Patience{Objective: l.clock().Add(loadObjective), Deadline: claim.Deadline, Trial: loadTrial})
	if !ok {
		l.refuse(c, wait, s)
		return
	}
	entry, evicted, ok := l.queue.Push(claim, c)
	if !ok {
		l.refuse(c, wait, s)
		return
	}
	if evicted != nil {
		l.refuse(evicted.Value, wait, s)
	}
	began := l.now
	l.after(until.Sub(l.clock()), func() {
		if l.queue.Remove(entry) {
			c.waited = max(c.waited, l.now-began)
			l.refuse(c, wait, s)
		}
	})
}

func (l *load) refuse(c *caller, wait time.Duration, s Supply) {
	if c.returns++; c.returns > maxLoadReturns {
		return
	}
	delay := l.returns.Next(l.clock(), wait, s.Spacing(c.units), 400*time.Millisecond)
	if l.now+delay < c.arrived+loadDeadline {
		l.after(delay, func() { l.request(c) })
	}
}

func (l *load) serve(c *caller, began time.Duration) {
	l.free -= c.units
	l.taken += c.units
	if l.free < 0 || l.taken > l.prepaid {
		l.t.Fatalf("%v: %v units are free, %v of %v taken", l.now, l.free, l.taken, l.prepaid)
	}
	c.served, c.waited = true, max(c.waited, l.now-began)
	l.after(time.Second+time.Duration(l.rng.Int64N(int64(time.Second))), func() {
		unused := c.units * (1 - loadUsedShare)
		l.taken -= unused
		l.used += c.units - unused
		l.released.Add(unused, l.clock())
		l.add(unused)
	})
}

// add adds free units and serves those that wait for them.
func (l *load) add(units float64) {
	l.free += units
	for next := l.queue.Next(); next != nil && l.free >= next.Units; next = l.queue.Next() {
		l.queue.Serve(next)
		l.serve(next.Value, l.now)
	}
}

func (l *load) play() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	if l.queue.Len() > 0 {
		l.t.Errorf("%d requests are left in the queue", l.queue.Len())
	}
}

// servedShare returns which share of the callers that match was served.
func (l *load) servedShare(matches func(*caller) bool) float64 {
	all, served := 0.0, 0.0
	for _, c := range l.callers {
		if matches(c) {
			all++
			if c.served {
				served++
			}
		}
	}
	return served / all
}

// Guards against callers that compete for the units which settlements free while no source answers, and of whom one group, kind or size gets nothing.
func TestCompetingCallersShareWhatSettles(t *testing.T) {
	l := newLoad(t, 40_000)
	l.arrive("loud", 1, 100, 90, 8*time.Second)
	l.arrive("quiet", 1, 100, 10, 8*time.Second)
	l.arrive("large", 1, 1000, 3, 8*time.Second)
	l.arrive("background", 5, 100, 20, 8*time.Second)
	l.play()
	loud := l.servedShare(func(c *caller) bool { return c.group == "loud" })
	for _, group := range []string{"quiet", "large"} {
		if share := l.servedShare(func(c *caller) bool { return c.group == group }); share < loud/2 {
			t.Errorf("%.2f of the callers of %s are served, %.2f of loud", share, group, loud)
		}
	}
	if share := l.servedShare(func(c *caller) bool { return c.group == "background" }); share == 0 {
		t.Error("no caller of low priority is served")
	}
	for _, c := range l.callers {
		if c.waited > loadObjective {
			t.Errorf("a caller was held for %v", c.waited)
		}
		if !c.served && c.returns == 0 {
			t.Error("a caller was neither served nor refused")
		}
	}
}

// Guards against callers that are held until their deadline, or that return before a source answers again, while it is away for 8 s.
func TestCallersReturnWhenSourceDoes(t *testing.T) {
	const away, back = 2 * time.Second, 10 * time.Second
	l := newLoad(t, 20_000)
	l.prepaid = 1_000_000
	l.source = func(now time.Duration) (time.Duration, float64) {
		if now >= away && now < back {
			return back - now, l.prepaid - l.taken
		}
		return 50 * time.Millisecond, l.prepaid - l.taken
	}
	l.arrive("a", 1, 100, 60, 12*time.Second)
	l.arrive("b", 1, 100, 20, 12*time.Second)
	for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
		if at < away || at >= back {
			heap.Push(&l.events, event{at, func() { l.add(1000) }})
		}
	}
	l.play()
	total, returns := 0, 0
	for _, c := range l.callers {
		total++
		returns += c.returns
	}
	if share := l.servedShare(func(*caller) bool { return true }); share < 0.9 {
		t.Errorf("%.2f of the callers are served", share)
	}
	if mean := float64(returns) / float64(total); mean > 1 {
		t.Errorf("callers come back %.2f times", mean)
	}
}
