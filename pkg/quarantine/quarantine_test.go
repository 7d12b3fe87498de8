package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

var (
	a, b  = Fingerprint{1}, Fingerprint{2}
	start = time.Unix(1000, 0)
)

func at(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }

// crash runs the fingerprints on an endpoint that dies.
func crash(t *Tracker, second int, endpoint string, fps ...Fingerprint) []Notice {
	for _, fp := range fps {
		t.Started(fp, endpoint, at(second))
	}
	return t.EndpointDied(endpoint, fmt.Sprint(second), at(second))
}

// Guards against a request that goes on crashing endpoints, and against requests
// that are refused for the fault of another one.
func TestTracker(t *testing.T) {
	tests := []struct {
		desc  string
		steps func(t *Tracker)
		// to is the second from which a is no longer refused; 0 means never.
		to      int
		suspect bool
	}{
		{desc: "one death", suspect: true, steps: func(t *Tracker) { crash(t, 0, "e1", a) }},
		{desc: "second death", suspect: true, to: 600, steps: func(t *Tracker) {
			crash(t, 0, "e1", a)
			crash(t, 0, "e2", a)
		}},
		{desc: "two suspects on one endpoint", suspect: true, to: 60, steps: func(t *Tracker) {
			crash(t, -9, "e1", a, b)
			crash(t, 0, "e2", a, b)
		}},
		{desc: "beside a request that is not suspect", suspect: true, to: 600, steps: func(t *Tracker) {
			crash(t, -9, "e1", a)
			crash(t, 0, "e2", a, b)
		}},
		{desc: "isolated after an ambiguous quarantine", suspect: true, to: 600, steps: func(t *Tracker) {
			crash(t, -99, "e1", a, b)
			crash(t, -90, "e2", a, b)
			crash(t, 0, "e3", a)
		}},
		{desc: "one death that is reported twice", suspect: true, steps: func(t *Tracker) {
			crash(t, 0, "e1", a)
			t.Started(a, "e1", at(0)) // on the next incarnation
			t.EndpointDied("e1", "0", at(1))
		}},
		{desc: "started on the next incarnation before a second report", steps: func(t *Tracker) {
			crash(t, 0, "e1", b)
			t.Started(a, "e1", at(0))
			t.EndpointDied("e1", "0", at(1))
		}},
		{desc: "same death seen by another instance", suspect: true, steps: func(t *Tracker) {
			for _, n := range crash(t, 0, "e1", a) {
				t.ApplyNotice(n, at(0))
			}
		}},
		{desc: "second death seen by another instance", suspect: true, to: 600, steps: func(t *Tracker) {
			crash(t, -9, "e1", a)
			t.ApplyNotice(Notice{Fingerprint: a, Endpoint: "e2", Incarnation: "x"}, at(0))
		}},
		{desc: "quarantine of another instance", suspect: true, to: 60, steps: func(t *Tracker) {
			t.ApplyNotice(Notice{Fingerprint: a, Endpoint: "e2", Incarnation: "x", Ambiguous: true, QuarantineTTL: time.Minute}, at(0))
		}},
		{desc: "ended before the death", steps: func(t *Tracker) {
			t.Started(a, "e1", at(0))
			t.Ended(a, "e1")
			t.EndpointDied("e1", "x", at(0))
		}},
		{desc: "connection broke just before the death showed", suspect: true, steps: func(t *Tracker) {
			t.Started(a, "e1", at(-100))
			t.Broken(a, "e1", at(-5))
			t.Ended(a, "e1") // too many calls must not hide the next run
			t.EndpointDied("e1", "x", at(0))
		}},
		{desc: "connection broke long before", steps: func(t *Tracker) {
			t.Started(a, "e1", at(-100))
			t.Broken(a, "e1", at(-50))
			t.EndpointDied("e1", "x", at(0))
		}},
		{desc: "first death long ago", suspect: true, steps: func(t *Tracker) {
			crash(t, -3600, "e1", a)
			t.Suspect(a, at(0))
			crash(t, 0, "e2", a)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tr := New(Options{}, nil)
			tt.steps(tr)
			if got := tr.Suspect(a, at(0)); got != tt.suspect {
				t.Errorf("suspect %v", got)
			}
			for _, second := range []int{0, 59, 60, 599, 600} {
				err := tr.Check(a, at(second))
				refused := failure.Is(err, failure.Quarantined) && failure.From(err).Outcome == failure.NotRun
				if want := second < tt.to; refused != want || (err != nil) != want {
					t.Errorf("after %d s: %v", second, err)
				}
			}
		})
	}
}

// Guards against memory that grows with the number of requests, and against
// dropping the newest entry instead of the oldest.
func TestBoundedMemory(t *testing.T) {
	tr := New(Options{MaxSuspects: 3, MaxRunning: 3}, nil)
	for i := range 10 {
		tr.Started(Fingerprint{byte(i)}, fmt.Sprintf("r%d", i), at(i))
	}
	if tr.order.Len() != 3 || len(tr.running) != 3 || tr.running["r9"] == nil {
		t.Errorf("%d runs on %d endpoints", tr.order.Len(), len(tr.running))
	}
	for i := range 10 {
		crash(tr, i, "e", Fingerprint{byte(i)})
	}
	if len(tr.suspects) != 3 || tr.age.Len() != 3 || !tr.Suspect(Fingerprint{9}, at(9)) {
		t.Errorf("%d suspects", len(tr.suspects))
	}
}

// Guards against a notice that other instances cannot decode.
func TestNoticeEncoding(t *testing.T) {
	n := Notice{Fingerprint: Fingerprint{1, 2, 3}, Endpoint: "e", Incarnation: "i", Ambiguous: true, QuarantineTTL: time.Minute}
	data, err := cbor.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	var got Notice
	if err := cbor.Unmarshal(data, &got); err != nil || got != n || len(data) > 40 {
		t.Errorf("%d bytes, %+v, %v", len(data), got, err)
	}
}
