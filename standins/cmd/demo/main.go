// Command demo starts a small fleet and shows what it does: it serves a stream,
// a lookup and a booking, tops a budget up, drains an endpoint and stops an
// instance. It ends with code 0 only if each step had the right result.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

type flags struct {
	Bin string `default:"bin" help:"Directory of the binaries."`
}

// demoTimeout bounds the whole demo.
const demoTimeout = 55 * time.Second

func main() {
	var f flags
	kong.Parse(&f)
	signal.Ignore(syscall.SIGPIPE) // a reader that has left must not keep the fleet from being stopped
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, demoTimeout)
	defer cancelTimeout()
	if err := run(ctx, f.Bin); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("all steps had the right result")
}

// demo holds the running fleet.
type demo struct {
	ctx   context.Context
	fleet *fleet.Fleet
}

// step is one part of the demo.
type step struct {
	title string
	run   func(*demo) (string, error)
}

func run(ctx context.Context, bin string) error {
	fmt.Println("starting 2 failure domains with 2 instances each, their endpoints and the platform")
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: bin, Domains: []string{"ikeja", "yaba"}, InstancesPerDomain: 2, TokenInterval: 5 * time.Millisecond, Budget: openingTokens,
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	d := &demo{ctx, f}
	for _, s := range []step{
		{"stream a briefing", (*demo).stream}, {"look an address up", (*demo).lookup},
		{"book a delivery, and repeat the call at another instance", (*demo).book},
		{"exhaust the budget", (*demo).exhaust}, {"top the budget up, twice with one command id", (*demo).topUp},
		{"drain an endpoint", (*demo).drain}, {"stop an instance during a stream", (*demo).stopInstance},
		{"show what was spent", (*demo).spent},
	} {
		start := time.Now()
		got, err := s.run(d)
		if err != nil {
			return fmt.Errorf("%s: %w", s.title, err)
		}
		fmt.Printf("%-58s %s (%d ms)\n", s.title+":", got, time.Since(start).Milliseconds())
	}
	return nil
}

const (
	openingTokens = 1500
	topUpTokens   = 5000
	answerTokens  = 40
)

func (d *demo) caller(n int) string { return d.fleet.Instances[n].Callers }

func (d *demo) stream() (string, error) {
	a, err := fleet.Stream(d.ctx, d.caller(0), "draft a briefing for the north route", answerTokens)
	if err != nil {
		return "", err
	}
	if a.Status != http.StatusOK || !a.Done || a.Events == 0 {
		return "", fmt.Errorf("status %d, %d events, done %v: %s", a.Status, a.Events, a.Done, a.Body)
	}
	return fmt.Sprintf("%d events, complete", a.Events), nil
}

func (d *demo) lookup() (string, error) {
	a, err := fleet.Call(d.ctx, d.caller(1), http.MethodGet, "/v1/apps/"+fleet.AppService+"/addresses?street=Allen", nil)
	if err != nil || a.Status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s %v", a.Status, a.Body, err)
	}
	return fmt.Sprintf("status %d", a.Status), nil
}

func (d *demo) book() (string, error) {
	id, err := fleet.NewRequestID(d.ctx, d.caller(0))
	if err != nil {
		return "", err
	}
	var bodies []string
	for _, n := range []int{0, 1, 3} {
		a, err := fleet.Book(d.ctx, d.caller(n), id)
		if err != nil || a.Status/100 != 2 {
			return "", fmt.Errorf("status %d: %s %v", a.Status, a.Body, err)
		}
		bodies = append(bodies, string(a.Body))
	}
	count, err := d.fleet.Executions(id)
	if err != nil || count != 1 || bodies[0] != bodies[1] || bodies[1] != bodies[2] {
		return "", fmt.Errorf("ran %d times, answers %q %v", count, bodies, err)
	}
	return "3 calls, 1 execution, the same answer", nil
}

func (d *demo) exhaust() (string, error) {
	for n := range 200 {
		a, err := fleet.Stream(d.ctx, d.caller(n%4), "hello", 500)
		if err != nil {
			return "", err
		}
		if a.Status == http.StatusPaymentRequired {
			if a.ProblemKind() != "budget-exhausted" || a.Outcome != "not-run" {
				return "", fmt.Errorf("refused with %s, outcome %s", a.Body, a.Outcome)
			}
			return fmt.Sprintf("refused after %d more requests, not run", n), nil
		}
		if !a.Done {
			return "", fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
	}
	return "", fmt.Errorf("the budget was never exhausted")
}

func (d *demo) topUp() (string, error) {
	for range 2 {
		if out, err := d.fleet.Ctl(d.ctx, "topup", "--command-id", "demo-1", fleet.Workspace+"/"+fleet.BudgetName, fmt.Sprint(topUpTokens)); err != nil {
			return "", fmt.Errorf("%w: %s", err, out)
		}
	}
	paid, err := d.paid()
	if err != nil || paid != openingTokens+topUpTokens {
		return "", fmt.Errorf("paid %d, want %d: %v", paid, openingTokens+topUpTokens, err)
	}
	time.Sleep(time.Second) // an instance refuses by itself for half a second after it found the budget empty
	a, err := fleet.Stream(d.ctx, d.caller(0), "hello", answerTokens)
	if err != nil || !a.Done {
		return "", fmt.Errorf("status %d: %s %v", a.Status, a.Body, err)
	}
	return fmt.Sprintf("paid %d tokens in all, requests run again", paid), nil
}

type spentReport struct {
	Budgets []struct {
		Paid, Charged, Granted, Unassigned int64
		Now                                struct{ Charged, Reserved int64 }
	}
}

func (d *demo) report() (spentReport, error) {
	var r spentReport
	out, err := d.fleet.Ctl(d.ctx, "--output", "json", "spent", fleet.Workspace+"/"+fleet.BudgetName)
	if err != nil {
		return r, fmt.Errorf("%w: %s", err, out)
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Budgets) != 1 {
		return r, fmt.Errorf("unexpected report %s: %v", out, err)
	}
	return r, nil
}

func (d *demo) paid() (int64, error) {
	r, err := d.report()
	if err != nil {
		return 0, err
	}
	return r.Budgets[0].Paid, nil
}

func (d *demo) drain() (string, error) {
	target := d.fleet.Endpoints[0]
	if out, err := d.fleet.Ctl(d.ctx, "retire", target.ID); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	time.Sleep(2 * time.Second) // the new configuration spreads
	before, err := requests(target)
	if err != nil {
		return "", err
	}
	for n := range 8 {
		if a, err := fleet.Stream(d.ctx, d.caller(n%4), fmt.Sprint("question ", n), 5); err != nil || !a.Done {
			return "", fmt.Errorf("status %d: %s %v", a.Status, a.Body, err)
		}
	}
	after, err := requests(target)
	if err != nil || after != before {
		return "", fmt.Errorf("%s got %d requests after it was retired: %v", target.ID, after-before, err)
	}
	out, err := d.fleet.Ctl(d.ctx, "draining")
	if err != nil || !strings.Contains(out, target.ID) {
		return "", fmt.Errorf("the query draining does not list %s: %s %v", target.ID, out, err)
	}
	return target.ID + " got no new work, 8 requests went elsewhere", nil
}

func requests(e *fleet.Endpoint) (int, error) {
	resp, err := http.Get("http://" + e.Address + "/control/stats")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var s struct{ Requests int }
	return s.Requests, json.NewDecoder(resp.Body).Decode(&s)
}

func (d *demo) stopInstance() (string, error) {
	type result struct {
		answer fleet.Answer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		a, err := fleet.Stream(d.ctx, d.caller(0), "a long answer", 100)
		results <- result{a, err}
	}()
	time.Sleep(200 * time.Millisecond) // the stream has begun
	if out, err := d.fleet.Ctl(d.ctx, "stop", d.fleet.Instances[0].ID); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	if err := d.fleet.Instances[0].Wait(d.ctx); err != nil {
		return "", err
	}
	r := <-results
	if r.err != nil || !r.answer.Done {
		return "", fmt.Errorf("the stream was cut after %d events: %v", r.answer.Events, r.err)
	}
	a, err := fleet.Stream(d.ctx, d.caller(1), "hello", 5)
	if err != nil || !a.Done {
		return "", fmt.Errorf("the other instance: status %d: %s %v", a.Status, a.Body, err)
	}
	return fmt.Sprintf("the stream ended whole with %d events, the other instance serves", r.answer.Events), nil
}

func (d *demo) spent() (string, error) {
	r, err := d.report()
	if err != nil {
		return "", err
	}
	b := r.Budgets[0]
	if b.Now.Charged <= 0 || b.Charged > b.Now.Charged || b.Granted+b.Unassigned > b.Paid {
		return "", fmt.Errorf("unexpected figures %+v", b)
	}
	return fmt.Sprintf("paid %d, charged now %d (in the record %d), granted to shards %d, unassigned %d", b.Paid, b.Now.Charged, b.Charged, b.Granted, b.Unassigned), nil
}
