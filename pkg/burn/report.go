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

// maxBurnRate is the upper bound of burn rates. It stands for the infinite rate of a bad
// request under an objective that allows none, because JSON cannot encode infinity.
const maxBurnRate = 1e6

// Report is a snapshot of all series, sorted by service and workspace.
type Report struct {
	Series []Series `cbor:"1,keyasint" json:"series"`
}

// Series has the counts and burn rates of one service and workspace.
type Series struct {
	Service   string `cbor:"1,keyasint" json:"service"`
	Workspace string `cbor:"2,keyasint,omitempty" json:"workspace,omitempty"`
	// Target is the share of good requests that the objective requires, or 0 without
	// an objective.
	Target  float64  `cbor:"3,keyasint,omitempty" json:"target"`
	Windows []Window `cbor:"4,keyasint" json:"windows"`
	// Refused and Truncated are counted over the longest window.
	Refused   map[failure.Kind]uint64 `cbor:"5,keyasint,omitempty" json:"refused,omitempty"`
	Truncated uint64                  `cbor:"6,keyasint,omitempty" json:"truncated"`
}

// Window has the counts and the burn rate of one window.
type Window struct {
	Length time.Duration `cbor:"1,keyasint" json:"length"`
	Good   uint64        `cbor:"2,keyasint,omitempty" json:"good"`
	Bad    uint64        `cbor:"3,keyasint,omitempty" json:"bad"`
	// Excluded counts the requests that were refused because of their caller. They are
	// neither good nor bad.
	Excluded uint64 `cbor:"4,keyasint,omitempty" json:"excluded"`
	// Burn is the burn rate; it is 0 without an objective or without bad requests.
	Burn float64 `cbor:"5,keyasint,omitempty" json:"burn"`
}

// Report returns the series that had a request in the longest window before now. It
// drops the others.
func (r *Recorder) Report(now time.Time) Report {
	elapsed := now.Sub(r.startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpiredSeries(elapsed)
	var report Report
	for key, sc := range r.series {
		s := sc.snapshot(elapsed)
		s.Service, s.Workspace, s.Target = key.service, key.workspace, r.objectives[key.service].Target
		report.Series = append(report.Series, s)
	}
	report.sortAndComputeRates()
	return report
}

// snapshot returns the counts at a time since Recorder.startedAt. It does not set the
// service, the workspace, the target and the burn rates.
func (sc *seriesCounters) snapshot(elapsed time.Duration) Series {
	var s Series
	for i, length := range Windows {
		w, newest := Window{Length: length}, bucketNumber(elapsed, length)
		for _, b := range sc.rings[i] {
			if isInWindow(b.number, newest) {
				w.Good += uint64(b.counts[good])
				w.Bad += uint64(b.counts[bad])
				w.Excluded += uint64(b.counts[excluded])
			}
		}
		s.Windows = append(s.Windows, w)
	}
	newest := bucketNumber(elapsed, Windows[len(Windows)-1])
	for _, d := range sc.detailRing {
		if !isInWindow(d.number, newest) {
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

// sortAndComputeRates sorts the series and sets the burn rates from the counts.
func (r *Report) sortAndComputeRates() {
	for i := range r.Series {
		s := &r.Series[i]
		for j := range s.Windows {
			s.Windows[j].Burn = s.Windows[j].burnRate(s.Target)
		}
	}
	slices.SortFunc(r.Series, func(a, b Series) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Workspace, b.Workspace))
	})
}

// burnRate returns the burn rate for an objective with the given target, at most
// maxBurnRate.
func (w Window) burnRate(target float64) float64 {
	total := w.Good + w.Bad
	switch {
	case total == 0 || w.Bad == 0 || target <= 0:
		return 0
	case target >= 1:
		return maxBurnRate
	}
	return min(maxBurnRate, float64(w.Bad)/float64(total)/(1-target))
}

// Merge adds the counts of the reports of several instances. If their targets differ,
// because an instance has not received a changed configuration yet, the highest is used.
func Merge(reports ...Report) Report {
	return mergeBy(func(s Series) seriesKey { return seriesKey{s.Service, s.Workspace} }, reports...)
}

// ByService adds the counts of all workspaces of each service.
func (r Report) ByService() Report {
	return mergeBy(func(s Series) seriesKey { return seriesKey{s.Service, ""} }, r)
}

// mergeBy adds the series of the reports that have the same key.
func mergeBy(keyOf func(Series) seriesKey, reports ...Report) Report {
	sums := map[seriesKey]*Series{}
	for _, r := range reports {
		for _, s := range r.Series {
			key := keyOf(s)
			if sums[key] == nil {
				sums[key] = &Series{Service: key.service, Workspace: key.workspace}
			}
			sums[key].add(s)
		}
	}
	var total Report
	for _, s := range sums {
		total.Series = append(total.Series, *s)
	}
	total.sortAndComputeRates()
	return total
}

// add adds the counts of o to s and keeps the higher target.
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
		i := slices.IndexFunc(s.Windows, func(existing Window) bool { return existing.Length == w.Length })
		if i < 0 {
			s.Windows = append(s.Windows, Window{Length: w.Length})
			i = len(s.Windows) - 1
		}
		s.Windows[i].Good += w.Good
		s.Windows[i].Bad += w.Bad
		s.Windows[i].Excluded += w.Excluded
	}
}

// WriteTable writes the report to w as a text table with one line per series. The counts
// are those of the longest window. It returns the error of w.
func (r Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"SERVICE", "WORKSPACE", "TARGET"}
	for _, length := range Windows {
		header = append(header, "BURN "+formatWindow(length))
	}
	header = append(header, "GOOD", "BAD", "EXCLUDED", "TRUNCATED", "REFUSED")
	_, _ = fmt.Fprintln(tw, strings.Join(header, "\t")) // Flush returns the error
	for _, s := range r.Series {
		_, _ = fmt.Fprintln(tw, strings.Join(s.tableColumns(), "\t"))
	}
	return tw.Flush()
}

// tableColumns returns the cells of the line of s.
func (s Series) tableColumns() []string {
	columns := []string{s.Service, orDash(s.Workspace), "-"}
	if s.Target > 0 {
		columns[2] = fmt.Sprintf("%g", s.Target)
	}
	var longest Window
	for _, length := range Windows {
		i := slices.IndexFunc(s.Windows, func(w Window) bool { return w.Length == length })
		if i < 0 || s.Target <= 0 {
			columns = append(columns, "-")
		} else {
			columns = append(columns, fmt.Sprintf("%.2f", s.Windows[i].Burn))
		}
		if i >= 0 {
			longest = s.Windows[i]
		}
	}
	var refused []string
	for _, kind := range slices.Sorted(maps.Keys(s.Refused)) {
		refused = append(refused, fmt.Sprintf("%s=%d", kind, s.Refused[kind]))
	}
	return append(columns, fmt.Sprint(longest.Good), fmt.Sprint(longest.Bad), fmt.Sprint(longest.Excluded),
		fmt.Sprint(s.Truncated), orDash(strings.Join(refused, " ")))
}

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatWindow formats the length of a window in whole hours, or else in minutes.
func formatWindow(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
