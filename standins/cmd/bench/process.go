package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

// clockTick is the unit of the CPU times in /proc/<pid>/stat on Linux.
const clockTick = 10 * time.Millisecond

// readCPUTime returns the sum of the user and system CPU time of a process.
func readCPUTime(p *fleet.Process) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return 0, err
	}
	// The fields after the command name, which is in parentheses, start at the
	// third field; user and system time are fields 14 and 15.
	fields := strings.Fields(string(data)[strings.LastIndexByte(string(data), ')')+1:])
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick, err
}

// readResidentBytes returns the resident memory of a process in bytes.
func readResidentBytes(p *fleet.Process) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.ID()))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages * os.Getpagesize()), err
}

// sample holds measurements of all running instances at one time, by instance id.
type sample struct {
	at            time.Time
	cpuTimes      map[string]time.Duration
	residentBytes map[string]float64
	metrics       map[string]map[string]*dto.MetricFamily
}

func (b *bench) takeSample() (sample, error) {
	s := sample{time.Now(), map[string]time.Duration{}, map[string]float64{}, map[string]map[string]*dto.MetricFamily{}}
	for _, i := range b.runningInstances() {
		var err error
		if s.cpuTimes[i.ID], err = readCPUTime(i.Process); err != nil {
			return s, err
		}
		if s.residentBytes[i.ID], err = readResidentBytes(i.Process); err != nil {
			return s, err
		}
		if s.metrics[i.ID], err = scrapeMetrics(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (b *bench) runningInstances() []*fleet.Instance {
	var out []*fleet.Instance
	for _, i := range b.fleet.Instances {
		if !i.HasEnded() {
			out = append(out, i)
		}
	}
	return out
}

func scrapeMetrics(i *fleet.Instance) (map[string]*dto.MetricFamily, error) {
	resp, err := http.Get("http://" + i.Metrics + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(resp.Body)
}

// sumsByLabel sums a counter or gauge over all instances by the value of a label.
func (s sample) sumsByLabel(name, label string) map[string]float64 {
	out := map[string]float64{}
	for _, families := range s.metrics {
		for _, m := range families[name].GetMetric() {
			key := ""
			for _, l := range m.GetLabel() {
				if l.GetName() == label {
					key = l.GetValue()
				}
			}
			out[key] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return out
}

// total sums a counter or gauge over all instances and labels.
func (s sample) total(name string) float64 {
	var sum float64
	for _, v := range s.sumsByLabel(name, "") {
		sum += v
	}
	return sum
}

func (s sample) totalCPUTime() (sum time.Duration) {
	for _, d := range s.cpuTimes {
		sum += d
	}
	return sum
}

func (s sample) totalResidentBytes() (sum float64) {
	for _, v := range s.residentBytes {
		sum += v
	}
	return sum
}

// liveHeapBytes returns the live heap of all instances after their last garbage
// collection. It is half of the heap size at which the runtime starts the next one,
// because the runtime sets that size to twice the live heap.
func (s sample) liveHeapBytes() float64 { return s.total("go_memstats_next_gc_bytes") / 2 }
