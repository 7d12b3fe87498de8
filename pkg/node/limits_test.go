package node_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// limitWindow, limitFactor and limitExtra are the users' bound on the requests that reach
	// an endpoint in any limitWindow: limitFactor times what its limit allows, and limitExtra.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitNoticeDelay is the time after a first answer with the limit from which the requests
	// of an instance count.
	limitNoticeDelay = 500 * time.Millisecond
)

// limitedRunner is a runner that names a limit. It records when requests arrive.
type limitedRunner struct {
	mu       sync.Mutex
	limit    string // value of the header, "" for none
	hold     time.Duration
	arrivals []time.Time
}

func (l *limitedRunner) set(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// serve is the script of the runner.
func (l *limitedRunner) serve(r *http.Request, body []byte, c net.Conn) bool {
	l.mu.Lock()
	limit, hold := l.limit, l.hold
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	time.Sleep(hold)
	if limit == "" {
		return machines.Answer(200, "whole")(r, body, c)
	}
	_, err := fmt.Fprint(c, machines.ResponseHead(r, 200, machines.HeaderLimit+": "+limit, "Content-Length: 5")+"whole")
	return err == nil
}

// mostInWindow returns the largest number of arrivals in any limitWindow after from.
func (l *limitedRunner) mostInWindow(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, first := range l.arrivals {
		n := 0
		for _, at := range l.arrivals[i:] {
			if !first.Before(from) && at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// sendSteadily sends a request to each instance every 100 ms for d and returns the number of
// responses by status.
func sendSteadily(d time.Duration, members ...*member) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				status, _ := m.send("/look/1", "")
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return statuses
}

// limitedFleet is a fleet whose runner names a limit.
type limitedFleet struct {
	*fleet
	*limitedRunner
	members []*member
	from    time.Time // requests count from here
}

// newLimitedFleet starts four instances, each of which has passed on an answer with the limit.
func newLimitedFleet(t *testing.T, limit string, hold time.Duration) *limitedFleet {
	f := &limitedFleet{fleet: newFleet(t), limitedRunner: &limitedRunner{limit: limit, hold: hold}}
	f.runner.SetScript(f.serve)
	for _, name := range []string{"a", "b", "c", "d"} {
		f.members = append(f.members, f.start(name))
	}
	var wg sync.WaitGroup
	for _, m := range f.members {
		wg.Go(func() {
			if status, body := m.send("/look/1", ""); status != 200 {
				t.Errorf("first request: %d %q", status, body)
			}
		})
	}
	wg.Wait()
	time.Sleep(limitNoticeDelay)
	f.from = time.Now()
	return f
}

// addRunner starts a second runner with the given script.
func (f *limitedFleet) addRunner(script machines.Script) {
	r, err := machines.StartRunner("r2", script)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.store.PutRunner(r, "z")
}

// check verifies the limit, and that the endpoint still gets at least some requests.
func (f *limitedFleet) check(perSecond float64, atLeast int) {
	f.t.Helper()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitExtra
	if most := f.mostInWindow(f.from); most > allowed || most < atLeast {
		f.t.Errorf("%d requests reached the endpoint in %s, %d are allowed and %d expected", most, limitWindow, allowed, atLeast)
	}
}

// Guards against instances that each keep the limit of an endpoint, or none, so that it gets more from all together.
func TestLimitOfEndpointHoldsForAllInstances(t *testing.T) {
	for desc, play := range map[string]func(t *testing.T){
		"the only runner": func(t *testing.T) {
			f := newLimitedFleet(t, "1", 0)
			start := time.Now()
			statuses := sendSteadily(3*limitWindow, f.members...)
			if n := statuses[200] + statuses[503]; statuses[503] == 0 || len(statuses) > 2 || n < 200 {
				t.Errorf("responses by status: %v in %s, want refusals at once", statuses, time.Since(start))
			}
			f.check(1, 2)
		},
		"another runner": func(t *testing.T) {
			f := newLimitedFleet(t, "2.5", 0)
			f.addRunner(machines.Answer(200, "other"))
			f.waitUntil("the other runner serves", func() bool { _, body := f.members[0].send("/look/1", ""); return body == "other" })
			time.Sleep(limitNoticeDelay)
			if statuses := sendSteadily(3*limitWindow, f.members...); len(statuses) > 1 || statuses[200] == 0 {
				t.Errorf("responses by status: %v, want all from the other runner", statuses)
			}
			f.check(2.5, 3)
		},
		"long answers": func(t *testing.T) {
			f := newLimitedFleet(t, "1", 1500*time.Millisecond)
			f.addRunner((&limitedRunner{limit: "1"}).serve)
			sendSteadily(2*limitWindow, append(f.members, f.members...)...)
			f.check(1, 0)
		},
		"join, cut and stop": func(t *testing.T) {
			f := newLimitedFleet(t, "1", 0)
			var wg sync.WaitGroup
			wg.Go(func() { sendSteadily(5*limitWindow, f.members[1:]...) })
			joined := f.start("e")
			f.members[1].store.cut.Store(true)
			wg.Go(func() { sendSteadily(4*limitWindow, joined) })
			time.Sleep(limitWindow)
			f.members[0].stop()
			f.members[1].store.cut.Store(false)
			wg.Wait()
			f.check(1, 1)
		},
		"nothing": func(t *testing.T) {
			f := newLimitedFleet(t, "0", 0)
			sendSteadily(2*limitWindow, f.members...)
			f.check(0, 0)
		},
		"not a number": func(t *testing.T) {
			f := newLimitedFleet(t, "few", 0)
			if statuses := sendSteadily(time.Second, f.members...); len(statuses) > 1 || statuses[200] == 0 {
				t.Errorf("responses by status: %v", statuses)
			}
		},
		"ends": func(t *testing.T) {
			f := newLimitedFleet(t, "1", 0)
			sendSteadily(limitWindow, f.members...)
			f.set("")
			f.waitUntil("all instances send requests again", func() bool {
				statuses := sendSteadily(300*time.Millisecond, f.members...)
				return statuses[200] > 0 && len(statuses) == 1
			})
		},
	} {
		t.Run(desc, func(t *testing.T) { t.Parallel(); play(t) })
	}
}
