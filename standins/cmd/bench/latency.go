package main

import (
	"time"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

const (
	lookupCount   = 4000
	lookupWorkers = 2 // light load, so that queueing is not measured
	firstCount    = 600
	warmUp        = 200
)

// lookups measures the same calls directly and through an instance, in turns, so
// that other work on the machine affects both.
func (b *bench) lookups() error {
	straight, via := direct(b.endpoint(fleet.AppService)), through(b.fleet.Instances[0])
	for _, t := range []target{straight, via} {
		if _, err := parallel(warmUp, lookupWorkers, func() (time.Duration, error) { return t.lookup(b.ctx) }); err != nil {
			return err
		}
	}
	base, added, err := b.pairs(lookupCount, func(t target) (time.Duration, error) { return t.lookup(b.ctx) }, straight, via)
	if err != nil {
		return err
	}
	b.compare("lookup", base, added)
	return nil
}

// pairs measures a call at both targets in turns.
func (b *bench) pairs(n int, call func(target) (time.Duration, error), straight, via target) (base, through []time.Duration, err error) {
	type pair struct{ base, through time.Duration }
	results := make(chan pair, n)
	_, err = parallel(n, lookupWorkers, func() (time.Duration, error) {
		d, err := call(straight)
		if err != nil {
			return 0, err
		}
		v, err := call(via)
		if err == nil {
			results <- pair{d, v}
		}
		return v, err
	})
	close(results)
	for p := range results {
		base, through = append(base, p.base), append(through, p.through)
	}
	return base, through, err
}

func (b *bench) compare(what string, base, via []time.Duration) {
	b.add(what+": direct, p50", quantile(base, 0.5), "ms", 0)
	b.add(what+": direct, p99", quantile(base, 0.99), "ms", 0)
	b.add(what+": through an instance, p50", quantile(via, 0.5), "ms", 0)
	b.add(what+": through an instance, p99", quantile(via, 0.99), "ms", 0)
	b.add(what+": added, p50", quantile(via, 0.5)-quantile(base, 0.5), "ms", 0)
	b.add(what+": added, p99", quantile(via, 0.99)-quantile(base, 0.99), "ms", 1)
}

func (b *bench) firstToken() error {
	base, via, err := b.pairs(firstCount, func(t target) (time.Duration, error) {
		s, err := t.stream(b.ctx, "quick question", 1)
		return s.first, err
	}, direct(b.endpoint(fleet.ModelService)), through(b.fleet.Instances[0]))
	if err != nil {
		return err
	}
	b.compare("first token", base, via)
	return nil
}

const (
	loadCount   = 20_000
	loadWorkers = 32
)

// throughput keeps 32 calls open, first directly, then through one instance.
func (b *bench) throughput() error {
	i := b.fleet.Instances[0]
	for _, c := range []struct {
		name   string
		target target
	}{{"direct", direct(b.endpoint(fleet.AppService))}, {"through one instance", through(i)}} {
		before, err := b.sample()
		if err != nil {
			return err
		}
		start := time.Now()
		all, err := parallel(loadCount, loadWorkers, func() (time.Duration, error) { return c.target.lookup(b.ctx) })
		if err != nil {
			return err
		}
		b.add(c.name+": throughput, 32 calls at once", loadCount/time.Since(start).Seconds(), "1/s", 0)
		b.add(c.name+": p99 at that load", quantile(all, 0.99), "ms", 0)
		after, err := b.sample()
		if err != nil {
			return err
		}
		if c.target.address == i.Callers {
			b.add("processor time of the instance per request", float64((after.cpu[i.ID]-before.cpu[i.ID]).Microseconds())/loadCount, "µs", 0)
			b.add("processor time of all instances per request", float64((after.cpuTotal()-before.cpuTotal()).Microseconds())/loadCount, "µs", 0)
		}
	}
	return nil
}
