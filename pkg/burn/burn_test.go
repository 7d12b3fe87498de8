package burn

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

var objective = config.Objective{Service: "m", Target: 0.9, MaxFirstTokenDelay: time.Second, MaxTokenInterval: 70 * time.Millisecond}

func recorder() *Recorder {
	r := NewRecorder()
	r.SetObjectives([]config.Objective{objective})
	return r
}

// TestVerdict guards against requests that count against the wrong side.
func TestVerdict(t *testing.T) {
	cases := []struct {
		desc   string
		sample Sample
		want   Window
	}{
		{"good at the bounds", Sample{Service: "m", FirstTokenDelay: time.Second, LongestTokenInterval: 70 * time.Millisecond}, Window{Good: 1}},
		{"first token late", Sample{Service: "m", FirstTokenDelay: time.Second + 1}, Window{Bad: 1}},
		{"gap too long", Sample{Service: "m", LongestTokenInterval: 71 * time.Millisecond}, Window{Bad: 1}},
		{"truncated", Sample{Service: "m", Truncated: true}, Window{Bad: 1}},
		{"refused by the service", Sample{Service: "m", Refused: failure.NoEndpoint}, Window{Bad: 1}},
		{"refused for the caller's fault", Sample{Service: "m", Refused: failure.BudgetExhausted}, Window{Excluded: 1}},
		{"limit of the workspace", Sample{Service: "m", Refused: failure.Limited, CallerFault: true}, Window{Excluded: 1}},
		{"full queue", Sample{Service: "m", Refused: failure.Limited}, Window{Bad: 1}},
		{"slow without an objective", Sample{Service: "other", FirstTokenDelay: time.Hour}, Window{Good: 1}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			r := recorder()
			r.observe(r.start, c.sample)
			got := r.Report(r.start).Series[0].Windows[0]
			got.Length, got.Burn = 0, 0
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestWindows guards against samples that stay in a window too long or leave it
// too early, and against a wrong burn rate.
func TestWindows(t *testing.T) {
	r := recorder()
	r.observe(r.start, Sample{Service: "m", Refused: failure.Timeout})
	for range 4 {
		r.observe(r.start.Add(time.Second), Sample{Service: "m"})
	}
	for after, want := range map[time.Duration]string{ // burn by window, then refusals
		0:                         "2.000 2.000 2.000 map[timeout:1]",
		280 * time.Second:         "2.000 2.000 2.000 map[timeout:1]",
		5 * time.Minute:           "0.000 2.000 2.000 map[timeout:1]",
		time.Hour:                 "0.000 0.000 2.000 map[timeout:1]",
		6*time.Hour - time.Minute: "0.000 0.000 2.000 map[timeout:1]",
	} {
		s := r.Report(r.start.Add(after)).Series[0]
		got := fmt.Sprintf("%.3f %.3f %.3f %v", s.Windows[0].Burn, s.Windows[1].Burn, s.Windows[2].Burn, s.Refused)
		if got != want {
			t.Errorf("after %v: %s, want %s", after, got, want)
		}
	}
	r.observe(r.start.Add(5*time.Minute), Sample{Service: "m"})
	if w := r.Report(r.start.Add(5 * time.Minute)).Series[0].Windows[0]; w.Good != 1 || w.Bad != 0 {
		t.Errorf("a reused bucket kept its counts: %+v", w)
	}
	if got := r.Report(r.start.Add(6*time.Hour + 6*time.Minute)).Series; len(got) != 0 {
		t.Errorf("a series without requests is still reported: %+v", got)
	}
}

// TestBoundedMemory guards against callers that add series without end, and
// against samples that get lost at the bound.
func TestBoundedMemory(t *testing.T) {
	r := recorder()
	for i := range 2 * MaxSeries {
		r.observe(r.start, Sample{Service: "m", Workspace: fmt.Sprint(i)})
	}
	report := r.Report(r.start)
	if len(report.Series) != MaxSeries+1 || report.ByService().Series[0].Windows[0].Good != 2*MaxSeries {
		t.Errorf("%d series, %+v", len(report.Series), report.ByService())
	}
	r.observe(r.start.Add(7*time.Hour), Sample{Service: "m", Workspace: "new"})
	if got := r.Report(r.start.Add(7 * time.Hour)).Series; len(got) != 1 || got[0].Workspace != "new" {
		t.Errorf("old series keep new ones out: %d series", len(got))
	}
}

// TestMerge guards against averages of rates, and against fields that are lost
// between instances.
func TestMerge(t *testing.T) {
	a, b := recorder(), recorder()
	for i := range 10 {
		a.observe(a.start, Sample{Service: "m", Workspace: "w", Truncated: i == 0})
	}
	for range 90 {
		b.observe(b.start, Sample{Service: "m", Workspace: "w"})
	}
	b.observe(b.start, Sample{Service: "m", Workspace: "v", Refused: failure.Limited})
	encoded, err := peer.Marshal(b.Report(b.start))
	if err != nil {
		t.Fatal(err)
	}
	var remote Report
	if err := peer.Unmarshal(encoded, &remote); err != nil || !reflect.DeepEqual(remote, b.Report(b.start)) {
		t.Fatalf("CBOR: %v, %+v", err, remote)
	}
	total := Merge(a.Report(a.start), remote)
	if _, err := json.Marshal(total); err != nil {
		t.Error(err)
	}
	var table strings.Builder
	if err := total.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	want := `SERVICE  WORKSPACE  TARGET  BURN 5m  BURN 1h  BURN 6h  GOOD  BAD  EXCLUDED  TRUNCATED  REFUSED
m        v          0.9     10.00    10.00    10.00    0     1    0         0          limited=1
m        w          0.9     0.10     0.10     0.10     99    1    0         1          -
`
	if table.String() != want {
		t.Errorf("got\n%swant\n%s", table.String(), want)
	}
}
