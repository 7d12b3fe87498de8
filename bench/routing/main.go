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

var outputPath = flag.String("out", "bench/routing.json", "output file for the results")

const (
	seed              = 20261204
	simulatedDuration = 10 * time.Minute
	warmUpDuration    = time.Minute // not measured
	prefixCount       = 400
)

// simulation runs one policy at one load.
type simulation struct {
	policy           policy
	rng              *rand.Rand
	zipf             *rand.Zipf
	queue            eventqueue.Queue
	engines          []*engine
	pools            []*routing.Pool
	nextEngine       int             // index for round robin
	firstTokenDelays []time.Duration // after the warm-up
	prefixHits       int             // after the warm-up
}

// policy chooses the engine of a request. If chooseEngine is nil, a routing.Pool
// with poolOptions chooses, with the prefix as the affinity if usesAffinity is set.
type policy struct {
	name         string
	poolOptions  routing.Options
	usesAffinity bool
	chooseEngine func(s *simulation) *engine
}

// policies returns the policies to compare, in the order of the table.
func policies() []policy {
	pool := func(name string, margin float64, halfLife time.Duration, affinity bool) policy {
		return policy{name: name, poolOptions: routing.Options{SpillMargin: margin, LoadHalfLife: halfLife}, usesAffinity: affinity}
	}
	const noSpill = 1e9
	return []policy{
		pool("affinity, spill margin 0.01", 0.01, 2*time.Second, true),
		pool("affinity, spill margin 1", 1, 2*time.Second, true),
		pool("affinity, spill margin 2", 2, 2*time.Second, true),
		pool("affinity, spill margin 4 (default before)", 4, 2*time.Second, true),
		pool("affinity, spill margin 8", 8, 2*time.Second, true),
		pool("affinity, no spill", noSpill, 2*time.Second, true),
		pool("affinity, margin 1, load half-life 0.5 s (default)", 1, 500*time.Millisecond, true),
		pool("affinity, margin 1, load half-life 10 s", 1, 10*time.Second, true),
		pool("two choices, no affinity", 4, 2*time.Second, false),
		{name: "random", chooseEngine: func(s *simulation) *engine { return s.engines[s.rng.IntN(engineCount)] }},
		{name: "round robin", chooseEngine: func(s *simulation) *engine { s.nextEngine++; return s.engines[s.nextEngine%engineCount] }},
	}
}

// clock returns the simulated time.
func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.queue.Now()) }

// schedule runs fn after d of simulated time.
func (s *simulation) schedule(d time.Duration, fn func()) { s.queue.At(s.queue.Now()+d, fn) }

func newSimulation(p policy) *simulation {
	s := &simulation{policy: p, rng: rand.New(rand.NewPCG(seed, 1))}
	s.zipf = rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), 1.1, 4, prefixCount-1)
	service := config.Service{Name: "llm", Kind: config.ModelService, Concurrency: 1000}
	for n := range engineCount {
		e := &engine{id: fmt.Sprintf("engine-%02d", n)}
		s.engines = append(s.engines, e)
		service.Endpoints = append(service.Endpoints, config.Endpoint{ID: e.id, Address: e.id, Domain: "a"})
	}
	for n := range instanceCount {
		options := p.poolOptions
		options.Seed, options.Now = uint64(n+1), s.clock
		pool := routing.New("a", options, nil)
		pool.Update(&config.Document{Services: []config.Service{service}})
		s.pools = append(s.pools, pool)
	}
	return s
}

// simulate sends requests as a Poisson process at a rate of load times the estimated
// capacity of the engines.
func (s *simulation) simulate(load float64) {
	perSecond := load * engineCount * slotsPerEngine / (meanGenerationTime + prefillTime/2).Seconds()
	var arrive func()
	arrive = func() {
		s.receive()
		s.schedule(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	s.schedule(0, arrive)
	s.schedule(reportInterval, s.reportLoads)
	s.queue.Run(simulatedDuration)
}

// reportLoads measures the load of all engines now, delivers the reports to the
// pools half an interval later, and schedules the next report.
func (s *simulation) reportLoads() {
	for _, e := range s.engines {
		load := e.currentLoad(s.clock())
		s.schedule(reportInterval/2, func() {
			for _, p := range s.pools {
				p.Observe(e.id, load)
			}
		})
	}
	s.schedule(reportInterval, s.reportLoads)
}

// receive draws a request, chooses its engine and enqueues it there.
func (s *simulation) receive() {
	req := request{prefix: s.zipf.Uint64() + 1, arrival: s.queue.Now(), onDone: func() {}}
	req.generationTime = time.Duration(s.rng.ExpFloat64() * float64(meanGenerationTime))
	if s.policy.chooseEngine != nil {
		s.enqueue(s.policy.chooseEngine(s), req)
		return
	}
	poolRequest := routing.Request{Service: "llm", Priority: routing.Normal, Deadline: s.clock().Add(time.Hour)}
	if s.policy.usesAffinity {
		// The multiplication spreads consecutive numbers over all 64 bits.
		poolRequest.Affinity = req.prefix * 0x9e3779b97f4a7c15
	}
	slot, err := s.pools[s.rng.IntN(instanceCount)].Acquire(context.Background(), poolRequest)
	if err != nil {
		return
	}
	start := s.queue.Now()
	req.onDone = func() { slot.Release(routing.Result{Duration: s.queue.Now() - start}) }
	s.enqueue(s.engines[slices.IndexFunc(s.engines, func(e *engine) bool { return e.id == slot.Endpoint.ID })], req)
}

// enqueue starts a request at an engine, or queues it if all slots are in use.
func (s *simulation) enqueue(e *engine, req request) {
	if e.running == slotsPerEngine {
		e.waiting = append(e.waiting, req)
		return
	}
	s.start(e, req)
}

// start runs a request in a free slot and measures its time to first token.
func (s *simulation) start(e *engine, req request) {
	e.running++
	prefill := prefillTime
	if hit := e.useCache(req.prefix); hit {
		prefill = prefillTime / 10
		if s.queue.Now() > warmUpDuration {
			s.prefixHits++
		}
	}
	if s.queue.Now() > warmUpDuration {
		s.firstTokenDelays = append(s.firstTokenDelays, s.queue.Now()+prefill-req.arrival)
	}
	s.schedule(prefill+req.generationTime, func() {
		e.running--
		req.onDone()
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			s.start(e, next)
		}
	})
}

// row is the result of one policy at one load. The percentiles are of the time to
// first token.
type row struct {
	Policy            string  `json:"policy"`
	Load              float64 `json:"load"`
	Requests          int     `json:"requests"`
	FirstTokenP50Ms   float64 `json:"first_token_p50_ms"`
	FirstTokenP95Ms   float64 `json:"first_token_p95_ms"`
	FirstTokenP99Ms   float64 `json:"first_token_p99_ms"`
	PrefixHitsPercent float64 `json:"prefix_hits_percent"`
}

// summarize returns the result of the simulation. It sorts firstTokenDelays.
func (s *simulation) summarize(load float64) row {
	slices.Sort(s.firstTokenDelays)
	quantile := func(q float64) float64 {
		return math.Round(float64(s.firstTokenDelays[int(q*float64(len(s.firstTokenDelays)-1))].Microseconds())/100) / 10
	}
	hits := math.Round(1000*float64(s.prefixHits)/float64(len(s.firstTokenDelays))) / 10
	return row{s.policy.name, load, len(s.firstTokenDelays), quantile(0.5), quantile(0.95), quantile(0.99), hits}
}

func main() {
	flag.Parse()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run simulates all policies at three loads and writes the results to outputPath as
// JSON, and as a text table to the same path with the extension .txt.
func run() error {
	var rows []row
	for _, load := range []float64{0.5, 0.7, 0.85} {
		for _, p := range policies() {
			sim := newSimulation(p)
			sim.simulate(load)
			rows = append(rows, sim.summarize(load))
		}
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(*outputPath, append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(*outputPath, ".json")+".txt", []byte(formatTable(rows)), 0o644)
}

// formatTable formats the rows as a text table.
func formatTable(rows []row) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\trequests\tp50 ms\tp95 ms\tp99 ms\tprefix hits %")
	for _, r := range rows {
		fmt.Fprintf(w, "%.2f\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", r.Load, r.Policy, r.Requests, r.FirstTokenP50Ms, r.FirstTokenP95Ms, r.FirstTokenP99Ms, r.PrefixHitsPercent)
	}
	_ = w.Flush() // a strings.Builder does not fail
	return text.String()
}
