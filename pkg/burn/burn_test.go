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

// newTestRecorder returns a recorder with objective.
func newTestRecorder() *Recorder {
	r := NewRecorder()
	r.SetObjectives([]config.Objective{objective})
	return r
}

// TestClassify guards against requests that are wrongly counted as good, bad or
// excluded.
func TestClassify(t *testing.T) {
	cases := []struct {
		desc   string
		sample Sample
		want   Window
	}{
		{"exactly at the limits", Sample{Service: "m", FirstTokenDelay: time.Second, LongestTokenInterval: 70 * time.Millisecond}, Window{Good: 1}},
		{"first token late", Sample{Service: "m", FirstTokenDelay: time.Second + 1}, Window{Bad: 1}},
		{"token interval too long", Sample{Service: "m", LongestTokenInterval: 71 * time.Millisecond}, Window{Bad: 1}},
		{"truncated", Sample{Service: "m", Truncated: true}, Window{Bad: 1}},
		{"refused by the service", Sample{Service: "m", Refused: failure.NoEndpoint}, Window{Bad: 1}},
		{"refused for the caller's fault", Sample{Service: "m", Refused: failure.BudgetExhausted}, Window{Excluded: 1}},
		{"refused for a limit of the workspace", Sample{Service: "m", Refused: failure.Limited, CallerFault: true}, Window{Excluded: 1}},
		{"refused for a full queue", Sample{Service: "m", Refused: failure.Limited}, Window{Bad: 1}},
		{"slow without an objective", Sample{Service: "other", FirstTokenDelay: time.Hour}, Window{Good: 1}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			r := newTestRecorder()
			r.observeAt(r.startedAt, c.sample)
			got := r.Report(r.startedAt).Series[0].Windows[0]
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
	r := newTestRecorder()
	r.observeAt(r.startedAt, Sample{Service: "m", Refused: failure.Timeout})
	for range 4 {
		r.observeAt(r.startedAt.Add(time.Second), Sample{Service: "m"})
	}
	for after, want := range map[time.Duration]string{ // burn rate of each window, then refusals by kind
		0:                         "2.000 2.000 2.000 map[timeout:1]",
		280 * time.Second:         "2.000 2.000 2.000 map[timeout:1]",
		5 * time.Minute:           "0.000 2.000 2.000 map[timeout:1]",
		time.Hour:                 "0.000 0.000 2.000 map[timeout:1]",
		6*time.Hour - time.Minute: "0.000 0.000 2.000 map[timeout:1]",
	} {
		s := r.Report(r.startedAt.Add(after)).Series[0]
		got := fmt.Sprintf("%.3f %.3f %.3f %v", s.Windows[0].Burn, s.Windows[1].Burn, s.Windows[2].Burn, s.Refused)
		if got != want {
			t.Errorf("after %v: %s, want %s", after, got, want)
		}
	}
	r.observeAt(r.startedAt.Add(5*time.Minute), Sample{Service: "m"})
	if w := r.Report(r.startedAt.Add(5 * time.Minute)).Series[0].Windows[0]; w.Good != 1 || w.Bad != 0 {
		t.Errorf("a reused bucket kept its counts: %+v", w)
	}
	if got := r.Report(r.startedAt.Add(6*time.Hour + 6*time.Minute)).Series; len(got) != 0 {
		t.Errorf("a series without requests is still reported: %+v", got)
	}
}

// TestBoundedMemory guards against callers that add an unlimited number of series,
// against samples that are lost at the limit, and against expired series that keep new
// ones out.
func TestBoundedMemory(t *testing.T) {
	r := newTestRecorder()
	for i := range 2 * MaxSeries {
		r.observeAt(r.startedAt, Sample{Service: "m", Workspace: fmt.Sprint(i)})
	}
	report := r.Report(r.startedAt)
	if len(report.Series) != MaxSeries+1 || report.ByService().Series[0].Windows[0].Good != 2*MaxSeries {
		t.Errorf("%d series, %+v", len(report.Series), report.ByService())
	}
	r.observeAt(r.startedAt.Add(7*time.Hour), Sample{Service: "m", Workspace: "new"})
	if got := r.Report(r.startedAt.Add(7 * time.Hour)).Series; len(got) != 1 || got[0].Workspace != "new" {
		t.Errorf("expired series keep new ones out: %d series", len(got))
	}
}

// TestMerge guards against averaging burn rates instead of adding counts, and against
// fields that are lost in messages between instances.
func TestMerge(t *testing.T) {
	a, b := newTestRecorder(), newTestRecorder()
	for i := range 10 {
		a.observeAt(a.startedAt, Sample{Service: "m", Workspace: "w", Truncated: i == 0})
	}
	for range 90 {
		b.observeAt(b.startedAt, Sample{Service: "m", Workspace: "w"})
	}
	b.observeAt(b.startedAt, Sample{Service: "m", Workspace: "v", Refused: failure.Limited})
	encoded, err := peer.Marshal(b.Report(b.startedAt))
	if err != nil {
		t.Fatal(err)
	}
	var remote Report
	if err := peer.Unmarshal(encoded, &remote); err != nil || !reflect.DeepEqual(remote, b.Report(b.startedAt)) {
		t.Fatalf("CBOR: %v, %+v", err, remote)
	}
	total := Merge(a.Report(a.startedAt), remote)
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
