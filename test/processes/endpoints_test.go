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

func (w *world) faults(e *fleet.Endpoint, faults map[string]any) {
	w.t.Helper()
	if err := fleet.SetFaults(w.ctx, e.Address, faults); err != nil {
		w.t.Error(err)
	}
}

func (w *world) restart(e *fleet.Endpoint) {
	w.t.Helper()
	if err := w.f.StartEndpoint(e); err != nil {
		w.t.Error(err)
	}
}

// atOnce sends long streams from all instances and runs fault while they run.
func (w *world) atOnce(count int, fault func()) []*request {
	var sent []*request
	var wg sync.WaitGroup
	for n := range count {
		at := w.f.Instances[n%len(w.f.Instances)]
		r := w.newRequest(stream, at, longPrompt(fmt.Sprint(n)), 500)
		sent = append(sent, r)
		wg.Go(func() { w.send(r, at) })
	}
	time.Sleep(time.Second)
	fault()
	wg.Wait()
	return sent
}

func engineKilled(w *world) {
	e := w.endpoints(fleet.ModelService)[0]
	w.atOnce(12, e.Kill)
	w.restart(e)
	w.eventually("the restarted engine gets work", 30*time.Second, func() error {
		before := w.executed(e)
		w.atOnce(6, func() {})
		if w.executed(e) == before {
			return errors.New("no request")
		}
		return nil
	})
}

// executed returns how many requests an endpoint process has run.
func (w *world) executed(e *fleet.Endpoint) int {
	w.t.Helper()
	resp, err := http.Get("http://" + e.Address + "/control/stats")
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s struct{ Executions int }
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		w.t.Fatal(err)
	}
	return s.Executions
}

// engineFault breaks or disorders streams of all engines. Each must arrive whole,
// because the engines keep them for a resume.
func engineFault(faults map[string]any) func(*world) {
	return func(w *world) {
		for range 2 {
			for _, e := range w.endpoints(fleet.ModelService) {
				w.faults(e, faults)
			}
			for _, r := range w.atOnce(12, func() {}) {
				if r.final != answered || len(r.told) > 1 {
					w.t.Errorf("I3: a resumable stream did not arrive whole: %s", r)
				}
			}
		}
		for _, e := range w.endpoints(fleet.ModelService) {
			w.faults(e, map[string]any{})
		}
	}
}

func appKilled(w *world) {
	apps := w.endpoints(fleet.AppService)
	for _, e := range apps {
		w.faults(e, map[string]any{"delay_ms": 3000})
	}
	at := w.in(domainA)
	r := w.newRequest(booking, at[0], "", 0)
	done := make(chan struct{})
	go func() { defer close(done); w.try(r, at[0]) }()
	var victim *fleet.Endpoint
	w.eventually("an app runs the booking", 2*time.Second, func() error {
		for _, e := range apps {
			if w.executed(e) > 0 {
				victim = e
				return nil
			}
		}
		return errors.New("none yet")
	})
	victim.Kill()
	<-done
	for _, e := range apps {
		if e != victim {
			w.faults(e, map[string]any{})
		}
	}
	for _, i := range append(at, w.in(domainB)...) {
		w.try(r, i)
	}
	for _, t := range r.told {
		if r.outcome(t) != unknown || t.err != nil {
			w.t.Errorf("I5: a booking with an unknown end was not reported as such: %s", r)
			break
		}
	}
	r.final = unknown
	if n := w.executions(r); n != 1 {
		w.t.Errorf("I5: ran %d times: %s", n, r)
	}
	w.restart(victim)
}

// crashingRequest guards against a request that takes down one endpoint after
// another, under one id and under new ids, at one instance and at others.
func crashingRequest(w *world) {
	const poison = "poisoned chart"
	engines := w.endpoints(fleet.ModelService)
	for _, e := range engines {
		w.faults(e, map[string]any{"crash_on": poison})
	}
	refused := false
	for n := 0; n < 10 && !refused; n++ {
		r := w.newRequest(stream, w.f.Instances[n%len(w.f.Instances)], poison, 50)
		t := w.try(r, w.f.Instances[n%len(w.f.Instances)])
		r.final = r.outcome(t)
		refused = t.answer.ProblemKind() == string(failure.Quarantined)
	}
	if !refused {
		w.t.Error("a request that crashes endpoints was never refused")
	}
	bystander := w.newRequest(stream, w.f.Instances[0], "a bystander", 20)
	began := time.Now()
	if w.send(bystander, w.f.Instances[0]) != answered {
		w.t.Errorf("a bystander is not served: %s", bystander)
	}
	w.t.Logf("bystander served after %s", time.Since(began).Round(time.Millisecond))
	for range 6 { // callers do not give up
		for _, i := range w.f.Instances {
			r := w.newRequest(stream, i, poison, 50)
			r.final = r.outcome(w.try(r, i))
		}
	}
	dead := 0
	for _, e := range engines {
		if e.Ended() {
			dead++
			w.restart(e)
		} else {
			w.faults(e, map[string]any{})
		}
	}
	if dead > 2 {
		w.t.Errorf("%d of %d engines crashed, want at most 2", dead, len(engines))
	}
}

// drained checks that an endpoint gets no new work once limit is over.
func (w *world) drained(e *fleet.Endpoint, limit time.Duration) {
	w.t.Helper()
	time.Sleep(limit)
	before := w.executed(e)
	for n := range 30 {
		i := w.f.Instances[n%len(w.f.Instances)]
		if r := w.newRequest(stream, i, fmt.Sprint("question ", n), 5); w.send(r, i) != answered {
			w.t.Errorf("refused while other endpoints are free: %s", r)
		}
	}
	if after := w.executed(e); after != before {
		w.t.Errorf("I6: %s got %d requests after %s", e.ID, after-before, limit)
	}
}

func drainedBySignal(w *world) {
	for _, e := range w.endpoints(fleet.ModelService)[:2] {
		w.atOnce(12, func() { w.faults(e, map[string]any{"draining": true}) })
		w.drained(e, 3*time.Second)
		w.faults(e, map[string]any{})
	}
}

func drainedByList(w *world) {
	e := w.endpoints(fleet.ModelService)[0]
	if err := w.f.RegisterEndpoint(w.ctx, e, "leaving"); err != nil {
		w.t.Fatal(err)
	}
	w.drained(e, 13*time.Second) // the list is read every 10 s with a jitter
	if err := w.f.RegisterEndpoint(w.ctx, e, "live"); err != nil {
		w.t.Fatal(err)
	}
}
