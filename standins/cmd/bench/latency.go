package main

import (
	"time"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

const (
	lookupCount     = 4000
	lookupWorkers   = 2 // few, so that the latency contains no queueing
	firstTokenCount = 600
	warmUpCount     = 200
)

// measureLookups measures the same calls directly and through an instance,
// alternating, so that other work on the machine affects both.
func (b *bench) measureLookups() error {
	directTarget, viaInstance := endpointTarget(b.firstEndpoint(fleet.AppService)), instanceTarget(b.fleet.Instances[0])
	for _, t := range []target{directTarget, viaInstance} {
		if _, err := runParallel(warmUpCount, lookupWorkers, func() (time.Duration, error) { return t.lookup(b.ctx) }); err != nil {
			return err
		}
	}
	directTimes, instanceTimes, err := b.measurePairs(lookupCount, func(t target) (time.Duration, error) { return t.lookup(b.ctx) }, directTarget, viaInstance)
	if err != nil {
		return err
	}
	b.recordComparison("lookup", directTimes, instanceTimes)
	return nil
}

// measurePairs measures n pairs of calls, each directly and through an instance.
// The two slices have the same length.
func (b *bench) measurePairs(n int, call func(target) (time.Duration, error), directTarget, viaInstance target) (directTimes, instanceTimes []time.Duration, err error) {
	type pair struct{ direct, viaInstance time.Duration }
	results := make(chan pair, n)
	_, err = runParallel(n, lookupWorkers, func() (time.Duration, error) {
		d, err := call(directTarget)
		if err != nil {
			return 0, err
		}
		v, err := call(viaInstance)
		if err == nil {
			results <- pair{d, v}
		}
		return v, err
	})
	close(results)
	for p := range results {
		directTimes, instanceTimes = append(directTimes, p.direct), append(instanceTimes, p.viaInstance)
	}
	return directTimes, instanceTimes, err
}

// recordComparison records the median and the 99th percentile of both targets, and
// their differences as the added latency.
func (b *bench) recordComparison(operation string, directTimes, instanceTimes []time.Duration) {
	b.recordFigure(operation+": direct, p50", quantileMillis(directTimes, 0.5), "ms", 0)
	b.recordFigure(operation+": direct, p99", quantileMillis(directTimes, 0.99), "ms", 0)
	b.recordFigure(operation+": through an instance, p50", quantileMillis(instanceTimes, 0.5), "ms", 0)
	b.recordFigure(operation+": through an instance, p99", quantileMillis(instanceTimes, 0.99), "ms", 0)
	b.recordFigure(operation+": added, p50", quantileMillis(instanceTimes, 0.5)-quantileMillis(directTimes, 0.5), "ms", 0)
	b.recordFigure(operation+": added, p99", quantileMillis(instanceTimes, 0.99)-quantileMillis(directTimes, 0.99), "ms", 1)
}

func (b *bench) measureFirstToken() error {
	directTimes, instanceTimes, err := b.measurePairs(firstTokenCount, func(t target) (time.Duration, error) {
		s, err := t.stream(b.ctx, "quick question", 1)
		return s.firstToken, err
	}, endpointTarget(b.firstEndpoint(fleet.ModelService)), instanceTarget(b.fleet.Instances[0]))
	if err != nil {
		return err
	}
	b.recordComparison("first token", directTimes, instanceTimes)
	return nil
}

const (
	loadCount   = 20_000
	loadWorkers = 32
)

// measureThroughput measures lookups with 32 concurrent calls, first directly and
// then through one instance.
func (b *bench) measureThroughput() error {
	i := b.fleet.Instances[0]
	for _, c := range []struct {
		name   string
		target target
	}{{"direct", endpointTarget(b.firstEndpoint(fleet.AppService))}, {"through one instance", instanceTarget(i)}} {
		before, err := b.takeSample()
		if err != nil {
			return err
		}
		start := time.Now()
		durations, err := runParallel(loadCount, loadWorkers, func() (time.Duration, error) { return c.target.lookup(b.ctx) })
		if err != nil {
			return err
		}
		b.recordFigure(c.name+": throughput, 32 calls at once", loadCount/time.Since(start).Seconds(), "1/s", 0)
		b.recordFigure(c.name+": p99 at that load", quantileMillis(durations, 0.99), "ms", 0)
		after, err := b.takeSample()
		if err != nil {
			return err
		}
		if c.target.address == i.Callers {
			b.recordFigure("processor time of the instance per request", float64((after.cpuTimes[i.ID]-before.cpuTimes[i.ID]).Microseconds())/loadCount, "µs", 0)
			b.recordFigure("processor time of all instances per request", float64((after.totalCPUTime()-before.totalCPUTime()).Microseconds())/loadCount, "µs", 0)
		}
	}
	return nil
}
