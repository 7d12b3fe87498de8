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

// clockTick is the unit of processor time in /proc/<pid>/stat on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system time of a process that the fleet started.
func cpuTime(p *fleet.Process) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return 0, err
	}
	// The fields after the command name, which is in parentheses, start at the
	// third one; user and system time are the 14th and the 15th.
	fields := strings.Fields(string(data)[strings.LastIndexByte(string(data), ')')+1:])
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick, err
}

// resident returns the resident memory of a process in bytes.
func resident(p *fleet.Process) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.ID()))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages * os.Getpagesize()), err
}

// sample is the state of all instances at one time.
type sample struct {
	at       time.Time
	cpu      map[string]time.Duration
	rss      map[string]float64
	families map[string]map[string]*dto.MetricFamily
}

func (b *bench) sample() (sample, error) {
	s := sample{time.Now(), map[string]time.Duration{}, map[string]float64{}, map[string]map[string]*dto.MetricFamily{}}
	for _, i := range b.live() {
		var err error
		if s.cpu[i.ID], err = cpuTime(i.Process); err != nil {
			return s, err
		}
		if s.rss[i.ID], err = resident(i.Process); err != nil {
			return s, err
		}
		if s.families[i.ID], err = scrape(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (b *bench) live() []*fleet.Instance {
	var out []*fleet.Instance
	for _, i := range b.fleet.Instances {
		if !i.Ended() {
			out = append(out, i)
		}
	}
	return out
}

func scrape(i *fleet.Instance) (map[string]*dto.MetricFamily, error) {
	resp, err := http.Get("http://" + i.Metrics + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(resp.Body)
}

// sums adds up a metric over all instances, by the value of a label.
func (s sample) sums(name, label string) map[string]float64 {
	out := map[string]float64{}
	for _, families := range s.families {
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

func (s sample) total(name string) float64 {
	var sum float64
	for _, v := range s.sums(name, "") {
		sum += v
	}
	return sum
}

func (s sample) cpuTotal() (sum time.Duration) {
	for _, d := range s.cpu {
		sum += d
	}
	return sum
}

func (s sample) rssTotal() (sum float64) {
	for _, v := range s.rss {
		sum += v
	}
	return sum
}

// heap returns the live heap of all instances after their last garbage
// collection: the runtime sets the next one to twice the live heap.
func (s sample) heap() float64 { return s.total("go_memstats_next_gc_bytes") / 2 }
