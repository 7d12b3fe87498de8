package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/routing"
	"github.com/clementinerack/clementinerack/standins/eventqueue"
)

var out = flag.String("out", "bench/routing.json", "file for the results")

const (
	seed     = 20261204
	duration = 10 * time.Minute
	warmUp   = time.Minute
	prefixes = 400
)

// run is one policy under one load.
type run struct {
	policy  policy
	rng     *rand.Rand
	zipf    *rand.Zipf
	queue   eventqueue.Queue
	engines []*engine
	pools   []*routing.Pool
	next    int // of the round robin
	waits   []time.Duration
	hits    int
}

// policy chooses an engine; a nil choose takes the pool with the given options.
type policy struct {
	name     string
	options  routing.Options
	affinity bool
	choose   func(r *run) *engine
}

func policies() []policy {
	pool := func(name string, margin float64, halfLife time.Duration, affinity bool) policy {
		return policy{name: name, options: routing.Options{SpillMargin: margin, LoadHalfLife: halfLife}, affinity: affinity}
	}
	const never = 1e9
	return []policy{
		pool("affinity, spill margin 0.01", 0.01, 2*time.Second, true),
		pool("affinity, spill margin 1", 1, 2*time.Second, true),
		pool("affinity, spill margin 2", 2, 2*time.Second, true),
		pool("affinity, spill margin 4 (default before)", 4, 2*time.Second, true),
		pool("affinity, spill margin 8", 8, 2*time.Second, true),
		pool("affinity, no spill", never, 2*time.Second, true),
		pool("affinity, margin 1, load half-life 0.5 s (default)", 1, 500*time.Millisecond, true),
		pool("affinity, margin 1, load half-life 10 s", 1, 10*time.Second, true),
		pool("two choices, no affinity", 4, 2*time.Second, false),
		{name: "random", choose: func(r *run) *engine { return r.engines[r.rng.IntN(engines)] }},
		{name: "round robin", choose: func(r *run) *engine { r.next++; return r.engines[r.next%engines] }},
	}
}

func (r *run) clock() time.Time { return time.Unix(0, 0).Add(r.queue.Now()) }

func (r *run) after(d time.Duration, do func()) { r.queue.At(r.queue.Now()+d, do) }

func newRun(p policy) *run {
	r := &run{policy: p, rng: rand.New(rand.NewPCG(seed, 1))}
	r.zipf = rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), 1.1, 4, prefixes-1)
	service := config.Service{Name: "llm", Kind: config.ModelService, Concurrency: 1000}
	for n := range engines {
		e := &engine{id: fmt.Sprintf("engine-%02d", n)}
		r.engines = append(r.engines, e)
		service.Endpoints = append(service.Endpoints, config.Endpoint{ID: e.id, Address: e.id, Domain: "a"})
	}
	for n := range instances {
		o := p.options
		o.Seed, o.Now = uint64(n+1), r.clock
		pool := routing.New("a", o, nil)
		pool.Update(&config.Document{Services: []config.Service{service}})
		r.pools = append(r.pools, pool)
	}
	return r
}

// simulate lets requests arrive at a share of the engines' capacity.
func (r *run) simulate(load float64) {
	perSecond := load * engines * slots / (generation + prefill/2).Seconds()
	var arrive func()
	arrive = func() {
		r.arrive()
		r.after(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	r.after(0, arrive)
	r.after(reportEvery, r.report)
	r.queue.Run(duration)
}

// report sends the load of all engines, as it is now, one interval later.
func (r *run) report() {
	for _, e := range r.engines {
		l := e.load(r.clock())
		r.after(reportEvery/2, func() {
			for _, p := range r.pools {
				p.Observe(e.id, l)
			}
		})
	}
	r.after(reportEvery, r.report)
}

func (r *run) arrive() {
	j := job{prefix: r.zipf.Uint64() + 1, arrived: r.queue.Now(), done: func() {}}
	j.length = time.Duration(r.rng.ExpFloat64() * float64(generation))
	if r.policy.choose != nil {
		r.enqueue(r.policy.choose(r), j)
		return
	}
	req := routing.Request{Service: "llm", Priority: routing.Normal, Deadline: r.clock().Add(time.Hour)}
	if r.policy.affinity {
		req.Affinity = j.prefix * 0x9e3779b97f4a7c15
	}
	slot, err := r.pools[r.rng.IntN(instances)].Acquire(context.Background(), req)
	if err != nil {
		return
	}
	began := r.queue.Now()
	j.done = func() { slot.Release(routing.Result{Duration: r.queue.Now() - began}) }
	r.enqueue(r.engines[slices.IndexFunc(r.engines, func(e *engine) bool { return e.id == slot.Endpoint.ID })], j)
}

func (r *run) enqueue(e *engine, j job) {
	if e.running == slots {
		e.queue = append(e.queue, j)
		return
	}
	r.begin(e, j)
}

func (r *run) begin(e *engine, j job) {
	e.running++
	first := prefill
	if hit := e.lookup(j.prefix); hit {
		first = prefill / 10
		if r.queue.Now() > warmUp {
			r.hits++
		}
	}
	if r.queue.Now() > warmUp {
		r.waits = append(r.waits, r.queue.Now()+first-j.arrived)
	}
	r.after(first+j.length, func() {
		e.running--
		j.done()
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			r.begin(e, next)
		}
	})
}

// result is a line of the table. Times are to the first token, in ms.
type result struct {
	Policy   string  `json:"policy"`
	Load     float64 `json:"load"`
	Requests int     `json:"requests"`
	P50      float64 `json:"first_token_p50_ms"`
	P95      float64 `json:"first_token_p95_ms"`
	P99      float64 `json:"first_token_p99_ms"`
	Hits     float64 `json:"prefix_hits_percent"`
}

func (r *run) result(load float64) result {
	slices.Sort(r.waits)
	at := func(q float64) float64 {
		return math.Round(float64(r.waits[int(q*float64(len(r.waits)-1))].Microseconds())/100) / 10
	}
	hits := math.Round(1000*float64(r.hits)/float64(len(r.waits))) / 10
	return result{r.policy.name, load, len(r.waits), at(0.5), at(0.95), at(0.99), hits}
}

func main() {
	flag.Parse()
	if err := compare(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// compare runs all policies at three loads and writes the table.
func compare() error {
	var results []result
	for _, load := range []float64{0.5, 0.7, 0.85} {
		for _, p := range policies() {
			r := newRun(p)
			r.simulate(load)
			results = append(results, r.result(load))
		}
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(*out, append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(*out, ".json")+".txt", []byte(table(results)), 0o644)
}

func table(results []result) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\trequests\tp50 ms\tp95 ms\tp99 ms\tprefix hits %")
	for _, r := range results {
		fmt.Fprintf(w, "%.2f\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", r.Load, r.Policy, r.Requests, r.P50, r.P95, r.P99, r.Hits)
	}
	_ = w.Flush() // a strings.Builder does not fail
	return text.String()
}
