package main

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

const (
	peerBytesMetric  = "clementinerack_peer_bytes_total"
	storeCallsMetric = "clementinerack_platform_calls_total"
	// maxControlBytesPerSecond is the limit of control traffic per instance and
	// maxIdleMemoryMB the limit of the resident memory of an idle instance, both
	// from section 1.6 of docs/design.md.
	maxControlBytesPerSecond = 8000
	maxIdleMemoryMB          = 32.0
	bytesPerMB               = 1 << 20
	idleWindow               = 20 * time.Second
)

func (b *bench) measureIdle() error {
	time.Sleep(2 * time.Second) // until the instances have finished starting
	before, err := b.takeSample()
	if err != nil {
		return err
	}
	time.Sleep(idleWindow)
	after, err := b.takeSample()
	if err != nil {
		return err
	}
	instances := float64(len(before.cpuTimes))
	b.recordFigure("resident memory of an idle instance", after.totalResidentBytes()/instances/bytesPerMB, "MB", maxIdleMemoryMB)
	b.recordFigure("live heap of an idle instance", after.liveHeapBytes()/instances/bytesPerMB, "MB", 0)
	b.recordRates("idle", before, after, 0)
	return nil
}

// recordRates records the control traffic, store calls and CPU time between two
// samples, per instance and second. requests is the number of requests in that
// time; 0 leaves out the figures per request.
func (b *bench) recordRates(state string, before, after sample, requests float64) {
	instances := float64(len(before.cpuTimes))
	perSecond := instances * after.at.Sub(before.at).Seconds()
	byDirection := difference(after.sumsByLabel(peerBytesMetric, "direction"), before.sumsByLabel(peerBytesMetric, "direction"))
	b.recordFigure(state+": control bytes sent", byDirection["sent"]/perSecond, "B/s per instance", maxControlBytesPerSecond)
	b.recordFigure(state+": control bytes sent and received", (byDirection["sent"]+byDirection["received"])/perSecond, "B/s per instance", maxControlBytesPerSecond)
	byMethod := difference(after.sumsByLabel(peerBytesMetric, "method"), before.sumsByLabel(peerBytesMetric, "method"))
	for _, method := range slices.Sorted(maps.Keys(byMethod)) {
		if byMethod[method] > 0 {
			b.recordFigure(state+": of these, "+method, byMethod[method]/perSecond, "B/s per instance", 0)
		}
	}
	calls := after.total(storeCallsMetric) - before.total(storeCallsMetric)
	b.recordFigure(state+": store calls", calls/perSecond, "1/s per instance", 0)
	if requests > 0 {
		b.recordFigure(state+": store calls per 1,000 requests", 1000*calls/requests, "", 20)
	}
	b.recordFigure(state+": processor time", 100*(after.totalCPUTime()-before.totalCPUTime()).Seconds()/perSecond, "% of a core", 0)
}

// difference subtracts the values of before from those of after, key by key.
func difference(after, before map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for k, v := range after {
		out[k] = v - before[k]
	}
	return out
}

const (
	controlRatePerSecond = 15 // requests per instance, on average
	controlWindow        = 20 * time.Second
)

// measureControlTraffic measures the control traffic while each instance receives
// lookups and short streams at a constant average rate.
func (b *bench) measureControlTraffic() error {
	before, err := b.takeSample()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lastErr error
	total := 0
	for n, i := range b.runningInstances() {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			t := instanceTarget(i)
			for end := time.Now().Add(controlWindow); time.Now().Before(end); {
				time.Sleep(time.Duration(rng.ExpFloat64() / controlRatePerSecond * float64(time.Second)))
				model := rng.IntN(2) == 0
				wg.Go(func() {
					var err error
					if model {
						_, err = t.stream(b.ctx, "route briefing", 20)
					} else {
						_, err = t.lookup(b.ctx)
					}
					mu.Lock()
					defer mu.Unlock()
					total++
					if err != nil {
						lastErr = err
					}
				})
			}
		})
	}
	wg.Wait()
	after, err := b.takeSample()
	if err != nil {
		return err
	}
	b.recordFigure("requests sent", float64(total)/controlWindow.Seconds()/float64(len(b.runningInstances())), "1/s per instance", 0)
	b.recordRates("15 requests/s", before, after, float64(total))
	return lastErr
}

const (
	streamCount  = 1000
	streamTokens = 100
)

// measureStreams relays 1,000 concurrent streams through one instance.
func (b *bench) measureStreams() error {
	i := b.fleet.Instances[0]
	before, err := b.takeSample()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var firstTokenTimes, maxTokenGaps []time.Duration
	tokens, peak := 0, 0.0
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { peak = b.peakResidentBytes(i, stop) })
	_, failed := runParallel(streamCount, streamCount, func() (time.Duration, error) {
		s, err := instanceTarget(i).stream(b.ctx, "long briefing", streamTokens)
		mu.Lock()
		defer mu.Unlock()
		firstTokenTimes, maxTokenGaps, tokens = append(firstTokenTimes, s.firstToken), append(maxTokenGaps, s.maxTokenGap), tokens+s.tokens
		return s.firstToken, err
	})
	close(stop)
	sampler.Wait()
	after, err := b.takeSample()
	if err != nil {
		return err
	}
	cpu := after.cpuTimes[i.ID] - before.cpuTimes[i.ID]
	b.recordFigure("streams that ended whole", float64(tokens)/streamTokens, "of 1,000", 0)
	b.recordFigure("first token, p99, 1,000 streams started at once", quantileMillis(firstTokenTimes, 0.99), "ms", 0)
	b.recordFigure("worst gap between tokens in a stream, p99 (engine: 20 ms)", quantileMillis(maxTokenGaps, 0.99), "ms", 0)
	b.recordFigure("processor time per streamed token", float64(cpu.Microseconds())/float64(max(tokens, 1)), "µs", 0)
	b.recordFigure("resident memory per 1,000 streams", (peak-before.residentBytes[i.ID])/bytesPerMB, "MB", 0)
	return failed
}

// peakResidentBytes samples the resident memory of an instance until stop is
// closed, and returns the maximum.
func (b *bench) peakResidentBytes(i *fleet.Instance, stop <-chan struct{}) (peak float64) {
	for {
		if r, err := readResidentBytes(i.Process); err == nil {
			peak = max(peak, r)
		}
		select {
		case <-stop:
			return peak
		case <-time.After(50 * time.Millisecond):
		}
	}
}

const (
	lookupRecordCount = 20_000
	budgetCount       = 1_000
)

// measureMemory measures the growth of the memory of all instances by records and
// budgets. Each record and each budget is held by an owner and a backup, and the
// figures contain both.
func (b *bench) measureMemory() error {
	atStart, err := b.takeSample()
	if err != nil {
		return err
	}
	if _, err := runParallel(lookupRecordCount, 16, func() (time.Duration, error) { return instanceTarget(b.fleet.Instances[1]).lookup(b.ctx) }); err != nil {
		return err
	}
	records, err := b.takeSample()
	if err != nil {
		return err
	}
	b.recordGrowth("records", atStart, records, lookupRecordCount)
	names := make(chan string, budgetCount)
	for _, name := range budgetNames() {
		names <- name
	}
	if _, err := runParallel(budgetCount, 8, func() (time.Duration, error) {
		t := instanceTarget(b.fleet.Instances[0])
		t.budget = <-names
		return t.lookup(b.ctx)
	}); err != nil {
		return err
	}
	withBudgets, err := b.takeSample()
	if err != nil {
		return err
	}
	b.recordGrowth("budgets", records, withBudgets, budgetCount)
	return nil
}

// recordGrowth records the growth of the memory of all instances per 1,000
// entries. Resident memory includes garbage and memory that the runtime keeps for
// reuse.
func (b *bench) recordGrowth(kind string, before, after sample, count float64) {
	b.recordFigure("live heap per 1,000 "+kind+", owner and backup", (after.liveHeapBytes()-before.liveHeapBytes())/count*1000/bytesPerMB, "MB", 0)
	b.recordFigure("resident memory per 1,000 "+kind+", owner and backup", (after.totalResidentBytes()-before.totalResidentBytes())/count*1000/bytesPerMB, "MB", 0)
}
