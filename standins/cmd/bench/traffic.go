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
	peerBytes  = "clementinerack_peer_bytes_total"
	storeCalls = "clementinerack_platform_calls_total"
	// controlBytes and controlMemory are the limits of section 1.6.
	controlBytes  = 8000
	controlMemory = 32.0
	megabyte      = 1 << 20
	idleTime      = 20 * time.Second
)

func (b *bench) idle() error {
	time.Sleep(2 * time.Second) // the start is over
	before, err := b.sample()
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := b.sample()
	if err != nil {
		return err
	}
	n := float64(len(before.cpu))
	b.add("resident memory of an idle instance", after.rssTotal()/n/megabyte, "MB", controlMemory)
	b.add("live heap of an idle instance", after.heap()/n/megabyte, "MB", 0)
	b.rates("idle", before, after, 0)
	return nil
}

// rates records control bytes, store calls and processor time per instance and second.
func (b *bench) rates(state string, before, after sample, requests float64) {
	n := float64(len(before.cpu))
	perSecond := n * after.at.Sub(before.at).Seconds()
	sent := difference(after.sums(peerBytes, "direction"), before.sums(peerBytes, "direction"))
	b.add(state+": control bytes sent", sent["sent"]/perSecond, "B/s per instance", controlBytes)
	b.add(state+": control bytes sent and received", (sent["sent"]+sent["received"])/perSecond, "B/s per instance", controlBytes)
	byMethod := difference(after.sums(peerBytes, "method"), before.sums(peerBytes, "method"))
	for _, method := range slices.Sorted(maps.Keys(byMethod)) {
		if byMethod[method] > 0 {
			b.add(state+": of these, "+method, byMethod[method]/perSecond, "B/s per instance", 0)
		}
	}
	calls := after.total(storeCalls) - before.total(storeCalls)
	b.add(state+": store calls", calls/perSecond, "1/s per instance", 0)
	if requests > 0 {
		b.add(state+": store calls per 1,000 requests", 1000*calls/requests, "", 20)
	}
	b.add(state+": processor time", 100*(after.cpuTotal()-before.cpuTotal()).Seconds()/perSecond, "% of a core", 0)
}

func difference(after, before map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for k, v := range after {
		out[k] = v - before[k]
	}
	return out
}

const (
	controlRate = 15 // requests/s per instance
	controlTime = 20 * time.Second
)

// controlTraffic sends lookups and short streams at a steady rate to each instance.
func (b *bench) controlTraffic() error {
	before, err := b.sample()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	total := 0
	for n, i := range b.live() {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			t := through(i)
			for end := time.Now().Add(controlTime); time.Now().Before(end); {
				time.Sleep(time.Duration(rng.ExpFloat64() / controlRate * float64(time.Second)))
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
						failed = err
					}
				})
			}
		})
	}
	wg.Wait()
	after, err := b.sample()
	if err != nil {
		return err
	}
	b.add("requests sent", float64(total)/controlTime.Seconds()/float64(len(b.live())), "1/s per instance", 0)
	b.rates("15 requests/s", before, after, float64(total))
	return failed
}

const (
	streamCount  = 1000
	streamTokens = 100
)

// streams relays 1,000 streams at once through one instance.
func (b *bench) streams() error {
	i := b.fleet.Instances[0]
	before, err := b.sample()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var first, worst []time.Duration
	tokens, peak := 0, 0.0
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { peak = b.peak(i, stop) })
	_, failed := parallel(streamCount, streamCount, func() (time.Duration, error) {
		s, err := through(i).stream(b.ctx, "long briefing", streamTokens)
		mu.Lock()
		defer mu.Unlock()
		first, worst, tokens = append(first, s.first), append(worst, s.worst), tokens+s.tokens
		return s.first, err
	})
	close(stop)
	watch.Wait()
	after, err := b.sample()
	if err != nil {
		return err
	}
	cpu := after.cpu[i.ID] - before.cpu[i.ID]
	b.add("streams that ended whole", float64(tokens)/streamTokens, "of 1,000", 0)
	b.add("first token, p99, 1,000 streams started at once", quantile(first, 0.99), "ms", 0)
	b.add("worst gap between tokens in a stream, p99 (engine: 20 ms)", quantile(worst, 0.99), "ms", 0)
	b.add("processor time per streamed token", float64(cpu.Microseconds())/float64(max(tokens, 1)), "µs", 0)
	b.add("resident memory per 1,000 streams", (peak-before.rss[i.ID])/megabyte, "MB", 0)
	return failed
}

// peak returns the highest resident memory of an instance until stop.
func (b *bench) peak(i *fleet.Instance, stop <-chan struct{}) (peak float64) {
	for {
		if r, err := resident(i.Process); err == nil {
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
	recordCount = 20_000
	budgetCount = 1_000
)

// memory reports the growth of all instances by records and budgets. Each record
// and each budget is held by an owner and a backup, which are among them.
func (b *bench) memory() error {
	start, err := b.sample()
	if err != nil {
		return err
	}
	if _, err := parallel(recordCount, 16, func() (time.Duration, error) { return through(b.fleet.Instances[1]).lookup(b.ctx) }); err != nil {
		return err
	}
	records, err := b.sample()
	if err != nil {
		return err
	}
	b.slope("records", start, records, recordCount)
	names := make(chan string, budgetCount)
	for _, name := range budgets() {
		names <- name
	}
	if _, err := parallel(budgetCount, 8, func() (time.Duration, error) {
		t := through(b.fleet.Instances[0])
		t.budget = <-names
		return t.lookup(b.ctx)
	}); err != nil {
		return err
	}
	opened, err := b.sample()
	if err != nil {
		return err
	}
	b.slope("budgets", records, opened, budgetCount)
	return nil
}

// slope records the growth of all instances per 1,000 entries. Resident memory
// includes garbage and what the runtime keeps for reuse.
func (b *bench) slope(what string, before, after sample, count float64) {
	b.add("live heap per 1,000 "+what+", owner and backup", (after.heap()-before.heap())/count*1000/megabyte, "MB", 0)
	b.add("resident memory per 1,000 "+what+", owner and backup", (after.rssTotal()-before.rssTotal())/count*1000/megabyte, "MB", 0)
}
