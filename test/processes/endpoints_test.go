//go:build processes

package processes

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/standins/fleet"
)

// setFaults replaces the faults of an endpoint.
func (tc *testCluster) setFaults(e *fleet.Endpoint, faults map[string]any) {
	tc.t.Helper()
	if err := fleet.SetFaults(tc.ctx, e.Address, faults); err != nil {
		tc.t.Error(err)
	}
}

// startEndpoint starts an endpoint again after it ended.
func (tc *testCluster) startEndpoint(e *fleet.Endpoint) {
	tc.t.Helper()
	if err := tc.fleet.StartEndpoint(e); err != nil {
		tc.t.Error(err)
	}
}

// sendStreams sends long streams through all instances, runs fault while they are in
// flight, and returns them when they have ended.
func (tc *testCluster) sendStreams(count int, fault func()) []*request {
	var sent []*request
	var wg sync.WaitGroup
	for n := range count {
		at := tc.fleet.Instances[n%len(tc.fleet.Instances)]
		r := tc.newRequest(stream, at, longPrompt(fmt.Sprint(n)), 500)
		sent = append(sent, r)
		wg.Go(func() { tc.send(r, at) })
	}
	time.Sleep(time.Second)
	fault()
	wg.Wait()
	return sent
}

func engineKilled(tc *testCluster) {
	e := tc.endpointsOf(fleet.ModelService)[0]
	tc.sendStreams(12, e.Kill)
	tc.startEndpoint(e)
	tc.eventually("restarted engine gets work", 30*time.Second, func() error {
		before := tc.executionsAt(e)
		tc.sendStreams(6, func() {})
		if tc.executionsAt(e) == before {
			return errors.New("the engine got no request")
		}
		return nil
	})
}

// executionsAt returns the number of requests that the current process of an endpoint
// has run.
func (tc *testCluster) executionsAt(e *fleet.Endpoint) int {
	tc.t.Helper()
	resp, err := http.Get("http://" + e.Address + "/control/stats")
	if err != nil {
		tc.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s struct{ Executions int }
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		tc.t.Fatal(err)
	}
	return s.Executions
}

// engineFault returns a case in which all engines interrupt or disorder their streams.
// Each stream must arrive whole, because engines keep streams for a resume.
func engineFault(faults map[string]any) func(*testCluster) {
	return func(tc *testCluster) {
		for range 2 {
			for _, e := range tc.endpointsOf(fleet.ModelService) {
				tc.setFaults(e, faults)
			}
			for _, r := range tc.sendStreams(12, func() {}) {
				if r.finalOutcome != answered || len(r.attempts) > 1 {
					tc.t.Errorf("I3: a resumable stream did not arrive whole: %s", r)
				}
			}
		}
		for _, e := range tc.endpointsOf(fleet.ModelService) {
			tc.setFaults(e, map[string]any{})
		}
	}
}

func appKilled(tc *testCluster) {
	apps := tc.endpointsOf(fleet.AppService)
	for _, e := range apps {
		tc.setFaults(e, map[string]any{"delay_ms": 3000})
	}
	at := tc.instancesIn(domainA)
	r := tc.newRequest(booking, at[0], "", 0)
	done := make(chan struct{})
	go func() { defer close(done); tc.sendOnce(r, at[0]) }()
	var victim *fleet.Endpoint
	tc.eventually("an app runs the booking", 2*time.Second, func() error {
		for _, e := range apps {
			if tc.executionsAt(e) > 0 {
				victim = e
				return nil
			}
		}
		return errors.New("no app has run a request")
	})
	victim.Kill()
	<-done
	for _, e := range apps {
		if e != victim {
			tc.setFaults(e, map[string]any{})
		}
	}
	for _, i := range append(at, tc.instancesIn(domainB)...) {
		tc.sendOnce(r, i)
	}
	for _, att := range r.attempts {
		if r.outcome(att) != unknown || att.err != nil {
			tc.t.Errorf("I5: a booking that may have run was not answered with the outcome unknown: %s", r)
			break
		}
	}
	r.finalOutcome = unknown
	if n := tc.executionsOf(r); n != 1 {
		tc.t.Errorf("I5: ran %d times: %s", n, r)
	}
	tc.startEndpoint(victim)
}

// crashingRequest guards against a request that crashes one endpoint after another,
// whether it is repeated under one id or under new ids, at one instance or at several.
func crashingRequest(tc *testCluster) {
	const crashingPrompt = "poisoned chart"
	engines := tc.endpointsOf(fleet.ModelService)
	for _, e := range engines {
		tc.setFaults(e, map[string]any{"crash_on": crashingPrompt})
	}
	refused := false
	for n := 0; n < 10 && !refused; n++ {
		r := tc.newRequest(stream, tc.fleet.Instances[n%len(tc.fleet.Instances)], crashingPrompt, 50)
		att := tc.sendOnce(r, tc.fleet.Instances[n%len(tc.fleet.Instances)])
		r.finalOutcome = r.outcome(att)
		refused = att.answer.ProblemKind() == string(failure.Quarantined)
	}
	if !refused {
		tc.t.Error("a request that crashes endpoints was not quarantined")
	}
	unrelated := tc.newRequest(stream, tc.fleet.Instances[0], "a bystander", 20)
	start := time.Now()
	if tc.send(unrelated, tc.fleet.Instances[0]) != answered {
		tc.t.Errorf("an unrelated request was not answered: %s", unrelated)
	}
	tc.t.Logf("unrelated request answered after %s", time.Since(start).Round(time.Millisecond))
	for range 6 { // callers repeat the request in spite of the refusals
		for _, i := range tc.fleet.Instances {
			r := tc.newRequest(stream, i, crashingPrompt, 50)
			r.finalOutcome = r.outcome(tc.sendOnce(r, i))
		}
	}
	crashed := 0
	for _, e := range engines {
		if e.HasEnded() {
			crashed++
			tc.startEndpoint(e)
		} else {
			tc.setFaults(e, map[string]any{})
		}
	}
	if crashed > 2 {
		tc.t.Errorf("%d of %d engines crashed, want at most 2", crashed, len(engines))
	}
}

// checkDrained verifies I6: an endpoint gets no new work after the given delay.
func (tc *testCluster) checkDrained(e *fleet.Endpoint, delay time.Duration) {
	tc.t.Helper()
	time.Sleep(delay)
	before := tc.executionsAt(e)
	for n := range 30 {
		i := tc.fleet.Instances[n%len(tc.fleet.Instances)]
		if r := tc.newRequest(stream, i, fmt.Sprint("question ", n), 5); tc.send(r, i) != answered {
			tc.t.Errorf("refused while other endpoints are free: %s", r)
		}
	}
	if after := tc.executionsAt(e); after != before {
		tc.t.Errorf("I6: %s got %d requests after %s", e.ID, after-before, delay)
	}
}

func drainedBySignal(tc *testCluster) {
	for _, e := range tc.endpointsOf(fleet.ModelService)[:2] {
		tc.sendStreams(12, func() { tc.setFaults(e, map[string]any{"draining": true}) })
		tc.checkDrained(e, 3*time.Second)
		tc.setFaults(e, map[string]any{})
	}
}

func drainedByList(tc *testCluster) {
	e := tc.endpointsOf(fleet.ModelService)[0]
	if err := tc.fleet.RegisterEndpoint(tc.ctx, e, "leaving"); err != nil {
		tc.t.Fatal(err)
	}
	tc.checkDrained(e, 13*time.Second) // the list is read every 10 s, with jitter
	if err := tc.fleet.RegisterEndpoint(tc.ctx, e, "live"); err != nil {
		tc.t.Fatal(err)
	}
}
