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

// command sends an operator's command with a fresh command id.
func (b *bench) command(name string, request, result any) error {
	b.serial++
	id := fmt.Sprintf("bench-%d", b.serial)
	c := &operator.Client{Token: settings.NewSecret([]byte(fleet.OperatorToken)), Operator: "bench", HTTP: client}
	for _, i := range b.live() {
		c.Addresses = append(c.Addresses, i.Operators)
	}
	return c.Command(b.ctx, name, id, request, result)
}

const (
	changeCount = 10
	changePoll  = 2 * time.Millisecond
	changeWait  = 10 * time.Second
)

// changes measures the time from an accepted command until all instances have
// the new configuration, and until a retired endpoint gets its last new request.
func (b *bench) changes() error {
	var inForce, lastWork []time.Duration
	target := b.endpoint(fleet.AppService)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, i := range b.live() {
		load.Go(func() { b.steady(through(i), stop) })
	}
	defer func() { close(stop); load.Wait() }()
	for range changeCount {
		var result operator.ConfigResult
		if err := b.command("retire", operator.EndpointRequest{Endpoint: target.ID}, &result); err != nil {
			return err
		}
		accepted := time.Now()
		last := make(chan time.Duration, 1)
		go func() { last <- b.lastRequest(target, accepted) }()
		d, err := b.inForce(result.Generation, accepted)
		if err != nil {
			return err
		}
		inForce, lastWork = append(inForce, d), append(lastWork, <-last)
		if err := b.command("restore", operator.EndpointRequest{Endpoint: target.ID}, &result); err != nil {
			return err
		}
		if _, err := b.inForce(result.Generation, time.Now()); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond) // the endpoint gets work again
	}
	b.add("accepted configuration in force on every instance, median", quantile(inForce, 0.5), "ms", 5000)
	b.add("accepted configuration in force on every instance, slowest of 10", quantile(inForce, 1), "ms", 5000)
	b.add("retire accepted to the last new request, slowest of 10", quantile(lastWork, 1), "ms", 3000)
	return nil
}

// steady sends lookups until stop.
func (b *bench) steady(t target, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(4 * time.Millisecond):
			_, _ = t.lookup(b.ctx) // only where the requests arrive matters here
		}
	}
}

func (b *bench) inForce(generation uint64, accepted time.Time) (time.Duration, error) {
	for time.Since(accepted) < changeWait {
		lowest := generation
		for _, i := range b.live() {
			families, err := scrape(i)
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
		time.Sleep(changePoll)
	}
	return 0, fmt.Errorf("generation %d was not in force within %s", generation, changeWait)
}

// quiet is how long an endpoint must get nothing to count as drained.
const quiet = 2 * time.Second

// lastRequest returns the time from since to the last new request.
func (b *bench) lastRequest(e *fleet.Endpoint, since time.Time) time.Duration {
	count, at := -1, since
	for time.Since(at) < quiet {
		if n, err := executions(e); err == nil && n != count {
			if count >= 0 {
				at = time.Now()
			}
			count = n
		}
		time.Sleep(changePoll)
	}
	return at.Sub(since)
}

func executions(e *fleet.Endpoint) (int, error) {
	resp, err := client.Get("http://" + e.Address + "/control/stats")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	var s struct{ Executions int }
	return s.Executions, json.NewDecoder(resp.Body).Decode(&s)
}

// takeoverBudgets is enough that each of the 4 shards has some of them.
const takeoverBudgets = 24

// takeover kills an instance and sends one request per budget at the other one
// of its domain at once. The slowest answer is the time of the takeover.
func (b *bench) takeover() error {
	survivor, victim := through(b.fleet.Instances[0]), b.fleet.Instances[1]
	for n := range takeoverBudgets {
		t := survivor
		t.budget = budgets()[n]
		if _, err := t.lookup(b.ctx); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	victim.Kill()
	next := make(chan int, takeoverBudgets)
	for n := range takeoverBudgets {
		next <- n
	}
	all, err := parallel(takeoverBudgets, takeoverBudgets, func() (time.Duration, error) {
		t := survivor
		t.budget = budgets()[<-next]
		return t.lookup(b.ctx)
	})
	b.add("requests answered after the owner was killed", float64(len(all)), fmt.Sprintf("of %d", takeoverBudgets), 0)
	b.add("takeover of the shards of a killed instance, slowest request", quantile(all, 1), "ms", 0)
	return err
}
