package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
	"github.com/clementinerack/clementinerack/standins/fleet"
)

// sendCommand sends an operator's command with a new command id to the running
// instances.
func (b *bench) sendCommand(name string, request, result any) error {
	b.lastCommandNumber++
	id := fmt.Sprintf("bench-%d", b.lastCommandNumber)
	c := &operator.Client{Token: settings.NewSecret([]byte(fleet.OperatorToken)), Operator: "bench", HTTP: client}
	for _, i := range b.runningInstances() {
		c.Addresses = append(c.Addresses, i.Operators)
	}
	return c.Command(b.ctx, name, id, request, result)
}

const (
	changeCount        = 10
	changePollInterval = 2 * time.Millisecond
	changeTimeout      = 10 * time.Second
)

// measureChanges measures the time from the acceptance of a command until all
// instances use the new configuration, and until a retired endpoint receives its
// last new request.
func (b *bench) measureChanges() error {
	var inForceTimes, lastRequestTimes []time.Duration
	target := b.firstEndpoint(fleet.AppService)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, i := range b.runningInstances() {
		load.Go(func() { b.sendUntilStopped(instanceTarget(i), stop) })
	}
	defer func() { close(stop); load.Wait() }()
	for range changeCount {
		var result operator.ConfigResult
		if err := b.sendCommand("retire", operator.EndpointRequest{Endpoint: target.ID}, &result); err != nil {
			return err
		}
		accepted := time.Now()
		lastRequest := make(chan time.Duration, 1)
		go func() { lastRequest <- b.timeToLastRequest(target, accepted) }()
		d, err := b.waitInForce(result.Generation, accepted)
		if err != nil {
			return err
		}
		inForceTimes, lastRequestTimes = append(inForceTimes, d), append(lastRequestTimes, <-lastRequest)
		if err := b.sendCommand("restore", operator.EndpointRequest{Endpoint: target.ID}, &result); err != nil {
			return err
		}
		if _, err := b.waitInForce(result.Generation, time.Now()); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond) // until the endpoint receives requests again
	}
	b.recordFigure("accepted configuration in force on every instance, median", quantileMillis(inForceTimes, 0.5), "ms", 5000)
	b.recordFigure("accepted configuration in force on every instance, slowest of 10", quantileMillis(inForceTimes, 1), "ms", 5000)
	b.recordFigure("retire accepted to the last new request, slowest of 10", quantileMillis(lastRequestTimes, 1), "ms", 3000)
	return nil
}

// sendUntilStopped sends a lookup every 4 ms until stop is closed.
func (b *bench) sendUntilStopped(t target, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(4 * time.Millisecond):
			_, _ = t.lookup(b.ctx) // only the endpoint that receives the request matters
		}
	}
}

// waitInForce waits until all running instances use a configuration generation,
// and returns the time since accepted.
func (b *bench) waitInForce(generation uint64, accepted time.Time) (time.Duration, error) {
	for time.Since(accepted) < changeTimeout {
		lowest := generation
		for _, i := range b.runningInstances() {
			families, err := scrapeMetrics(i)
			if err != nil {
				return 0, err
			}
			for _, m := range families["clementinerack_config_generation"].GetMetric() {
				lowest = min(lowest, uint64(m.GetGauge().GetValue()))
			}
		}
		if lowest >= generation {
			return time.Since(accepted), nil
		}
		time.Sleep(changePollInterval)
	}
	return 0, fmt.Errorf("generation %d was not in force within %s", generation, changeTimeout)
}

// quietWindow is the time without new requests after which an endpoint counts as
// drained.
const quietWindow = 2 * time.Second

// timeToLastRequest waits until an endpoint has received no request for
// quietWindow, and returns the time from since to the last new request.
func (b *bench) timeToLastRequest(e *fleet.Endpoint, since time.Time) time.Duration {
	count, lastChange := -1, since
	for time.Since(lastChange) < quietWindow {
		if n, err := readExecutions(e); err == nil && n != count {
			if count >= 0 {
				lastChange = time.Now()
			}
			count = n
		}
		time.Sleep(changePollInterval)
	}
	return lastChange.Sub(since)
}

// readExecutions returns the number of requests that an endpoint has executed.
func readExecutions(e *fleet.Endpoint) (int, error) {
	resp, err := client.Get("http://" + e.Address + "/control/stats")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("read the statistics of %s: status %d", e.ID, resp.StatusCode)
	}
	var s struct{ Executions int }
	return s.Executions, json.NewDecoder(resp.Body).Decode(&s)
}

// takeoverBudgets is large enough that each of the 4 shards owns some budgets.
const takeoverBudgets = 24

// measureTakeover kills an instance and sends one request per budget concurrently
// to the other instance of its domain. The duration of the slowest request is the
// time of the takeover.
func (b *bench) measureTakeover() error {
	survivor, victim := instanceTarget(b.fleet.Instances[0]), b.fleet.Instances[1]
	for n := range takeoverBudgets {
		t := survivor
		t.budget = budgetNames()[n]
		if _, err := t.lookup(b.ctx); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	victim.Kill()
	budgetIndexes := make(chan int, takeoverBudgets)
	for n := range takeoverBudgets {
		budgetIndexes <- n
	}
	durations, err := runParallel(takeoverBudgets, takeoverBudgets, func() (time.Duration, error) {
		t := survivor
		t.budget = budgetNames()[<-budgetIndexes]
		return t.lookup(b.ctx)
	})
	b.recordFigure("requests answered after the owner was killed", float64(len(durations)), fmt.Sprintf("of %d", takeoverBudgets), 0)
	b.recordFigure("takeover of the shards of a killed instance, slowest request", quantileMillis(durations, 1), "ms", 0)
	return err
}
