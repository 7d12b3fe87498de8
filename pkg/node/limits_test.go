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

// Guards against instances that each keep the limit of an endpoint, or none, so that it gets more from all together.
func TestLimitOfEndpointHoldsForAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	limited := &limitedRunner{limit: "1"}
	f.runner.SetScript(limited.serve)
	var members []*member
	for _, name := range []string{"a", "b", "c", "d"} {
		members = append(members, f.start(name))
	}
	for _, m := range members {
		if status, body := m.send("/look/1", ""); status != 200 {
			t.Fatalf("first request: %d %q", status, body)
		}
	}
	time.Sleep(limitNoticeDelay)
	from := time.Now()
	sendSteadily(2*limitWindow, members...)
	allowed := int(limitFactor*limitWindow.Seconds()) + limitExtra
	if most := limited.mostInWindow(from); most > allowed {
		t.Errorf("%d requests reached the endpoint in %s, %d are allowed", most, limitWindow, allowed)
	}
}
