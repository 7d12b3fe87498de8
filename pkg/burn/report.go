package burn

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// maxBurn stands for the burn rate of a bad request under an objective that
// allows none; JSON has no infinity.
const maxBurn = 1e6

// Report is the state of all series at one time, sorted by service and
// workspace.
type Report struct {
	Series []Series `cbor:"1,keyasint" json:"series"`
}

// Series is the state of one service and workspace.
type Series struct {
	Service   string `cbor:"1,keyasint" json:"service"`
	Workspace string `cbor:"2,keyasint,omitempty" json:"workspace,omitempty"`
	// Target is the share of good requests of the objective, 0 without one.
	Target  float64  `cbor:"3,keyasint,omitempty" json:"target"`
	Windows []Window `cbor:"4,keyasint" json:"windows"`
	// Refused and Truncated are counted over the longest window.
	Refused   map[failure.Kind]uint64 `cbor:"5,keyasint,omitempty" json:"refused,omitempty"`
	Truncated uint64                  `cbor:"6,keyasint,omitempty" json:"truncated"`
}

// Window has the counts of one window.
type Window struct {
	Length time.Duration `cbor:"1,keyasint" json:"length"`
	Good   uint64        `cbor:"2,keyasint,omitempty" json:"good"`
	Bad    uint64        `cbor:"3,keyasint,omitempty" json:"bad"`
	// Excluded are requests that failed through their caller. They are neither
	// good nor bad.
	Excluded uint64 `cbor:"4,keyasint,omitempty" json:"excluded"`
	// Burn is the burn rate, 0 without an objective or without requests.
	Burn float64 `cbor:"5,keyasint,omitempty" json:"burn"`
}

// Report returns the series that had a request in the longest window before now.
func (r *Recorder) Report(now time.Time) Report {
	at := now.Sub(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOld(at)
	var report Report
	for k, e := range r.series {
		s := e.report(at)
		s.Service, s.Workspace, s.Target = k.service, k.workspace, r.objectives[k.service].Target
		report.Series = append(report.Series, s)
	}
	report.finish()
	return report
}

func (e *series) report(at time.Duration) Series {
	var s Series
	for i, length := range Windows {
		w, now := Window{Length: length}, slotOf(at, length)
		for _, b := range e.rings[i] {
			if current(b.slot, now) {
				w.Good += uint64(b.counts[good])
				w.Bad += uint64(b.counts[bad])
				w.Excluded += uint64(b.counts[excluded])
			}
		}
		s.Windows = append(s.Windows, w)
	}
	now := slotOf(at, Windows[len(Windows)-1])
	for _, d := range e.details {
		if !current(d.slot, now) {
			continue
		}
		s.Truncated += uint64(d.truncated)
		for _, c := range d.refused {
			if s.Refused == nil {
				s.Refused = map[failure.Kind]uint64{}
			}
			s.Refused[c.kind] += uint64(c.count)
		}
	}
	return s
}

// finish sorts the series and computes the burn rates.
func (r *Report) finish() {
	for i := range r.Series {
		s := &r.Series[i]
		for j := range s.Windows {
			s.Windows[j].Burn = s.Windows[j].burn(s.Target)
		}
	}
	slices.SortFunc(r.Series, func(a, b Series) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Workspace, b.Workspace))
	})
}

func (w Window) burn(target float64) float64 {
	total := w.Good + w.Bad
	switch {
	case total == 0 || w.Bad == 0 || target <= 0:
		return 0
	case target >= 1:
		return maxBurn
	}
	return min(maxBurn, float64(w.Bad)/float64(total)/(1-target))
}

// Merge adds up the reports of several instances. Where they have different
// targets, because one has not seen a change yet, the stricter one counts.
func Merge(reports ...Report) Report {
	return merge(func(s Series) key { return key{s.Service, s.Workspace} }, reports...)
}

// ByService adds up the workspaces of each service.
func (r Report) ByService() Report {
	return merge(func(s Series) key { return key{s.Service, ""} }, r)
}

func merge(keyOf func(Series) key, reports ...Report) Report {
	sums := map[key]*Series{}
	for _, r := range reports {
		for _, s := range r.Series {
			k := keyOf(s)
			if sums[k] == nil {
				sums[k] = &Series{Service: k.service, Workspace: k.workspace}
			}
			sums[k].add(s)
		}
	}
	var total Report
	for _, s := range sums {
		total.Series = append(total.Series, *s)
	}
	total.finish()
	return total
}

func (s *Series) add(o Series) {
	s.Target = max(s.Target, o.Target)
	s.Truncated += o.Truncated
	for kind, n := range o.Refused {
		if s.Refused == nil {
			s.Refused = map[failure.Kind]uint64{}
		}
		s.Refused[kind] += n
	}
	for _, w := range o.Windows {
		i := slices.IndexFunc(s.Windows, func(have Window) bool { return have.Length == w.Length })
		if i < 0 {
			s.Windows = append(s.Windows, Window{Length: w.Length})
			i = len(s.Windows) - 1
		}
		s.Windows[i].Good += w.Good
		s.Windows[i].Bad += w.Bad
		s.Windows[i].Excluded += w.Excluded
	}
}

// WriteTable writes the report as a text table, one line per series.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := []string{"SERVICE", "WORKSPACE", "TARGET"}
	for _, length := range Windows {
		line = append(line, "BURN "+short(length))
	}
	line = append(line, "GOOD", "BAD", "EXCLUDED", "TRUNCATED", "REFUSED")
	_, _ = fmt.Fprintln(t, strings.Join(line, "\t")) // Flush reports the error
	for _, s := range r.Series {
		_, _ = fmt.Fprintln(t, strings.Join(s.line(), "\t"))
	}
	return t.Flush()
}

func (s Series) line() []string {
	line := []string{s.Service, dash(s.Workspace), "-"}
	if s.Target > 0 {
		line[2] = fmt.Sprintf("%g", s.Target)
	}
	var longest Window
	for _, length := range Windows {
		i := slices.IndexFunc(s.Windows, func(w Window) bool { return w.Length == length })
		if i < 0 || s.Target <= 0 {
			line = append(line, "-")
		} else {
			line = append(line, fmt.Sprintf("%.2f", s.Windows[i].Burn))
		}
		if i >= 0 {
			longest = s.Windows[i]
		}
	}
	var refused []string
	for _, kind := range slices.Sorted(maps.Keys(s.Refused)) {
		refused = append(refused, fmt.Sprintf("%s=%d", kind, s.Refused[kind]))
	}
	return append(line, fmt.Sprint(longest.Good), fmt.Sprint(longest.Bad), fmt.Sprint(longest.Excluded),
		fmt.Sprint(s.Truncated), dash(strings.Join(refused, " ")))
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// short writes a window length without zero parts.
func short(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
