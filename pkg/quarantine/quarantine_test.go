package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

var (
	a, b      = Fingerprint{1}, Fingerprint{2}
	testStart = time.Unix(1000, 0)
)

func atSecond(second int) time.Time { return testStart.Add(time.Duration(second) * time.Second) }

// crash runs the fingerprints on an endpoint that dies.
func crash(t *Tracker, second int, endpoint string, fps ...Fingerprint) []Notice {
	for _, fp := range fps {
		t.RecordStart(fp, endpoint, atSecond(second))
	}
	return t.RecordEndpointDeath(endpoint, fmt.Sprint(second), atSecond(second))
}

// TestTracker guards against a request that keeps crashing endpoints, and against
// refusing a request because of another one.
func TestTracker(t *testing.T) {
	tests := []struct {
		desc  string
		steps func(t *Tracker)
		// refusedUntil is the second from which a is no longer refused; 0 means never.
		refusedUntil int
		suspect      bool
	}{
		{desc: "one death", suspect: true, steps: func(t *Tracker) { crash(t, 0, "e1", a) }},
		{desc: "second death", suspect: true, refusedUntil: 600, steps: func(t *Tracker) {
			crash(t, 0, "e1", a)
			crash(t, 0, "e2", a)
		}},
		{desc: "two suspects on one endpoint", suspect: true, refusedUntil: 60, steps: func(t *Tracker) {
			crash(t, -9, "e1", a, b)
			crash(t, 0, "e2", a, b)
		}},
		{desc: "suspect next to a request that is not suspect", suspect: true, refusedUntil: 600, steps: func(t *Tracker) {
			crash(t, -9, "e1", a)
			crash(t, 0, "e2", a, b)
		}},
		{desc: "isolated after an ambiguous quarantine", suspect: true, refusedUntil: 600, steps: func(t *Tracker) {
			crash(t, -99, "e1", a, b)
			crash(t, -90, "e2", a, b)
			crash(t, 0, "e3", a)
		}},
		{desc: "one death that is reported twice", suspect: true, steps: func(t *Tracker) {
			crash(t, 0, "e1", a)
			t.RecordStart(a, "e1", atSecond(0)) // on the next incarnation
			t.RecordEndpointDeath("e1", "0", atSecond(1))
		}},
		{desc: "started on the next incarnation before a second report", steps: func(t *Tracker) {
			crash(t, 0, "e1", b)
			t.RecordStart(a, "e1", atSecond(0))
			t.RecordEndpointDeath("e1", "0", atSecond(1))
		}},
		{desc: "same death seen by another instance", suspect: true, steps: func(t *Tracker) {
			for _, n := range crash(t, 0, "e1", a) {
				t.ApplyNotice(n, atSecond(0))
			}
		}},
		{desc: "second death seen by another instance", suspect: true, refusedUntil: 600, steps: func(t *Tracker) {
			crash(t, -9, "e1", a)
			t.ApplyNotice(Notice{Fingerprint: a, Endpoint: "e2", Incarnation: "x"}, atSecond(0))
		}},
		{desc: "quarantine of another instance", suspect: true, refusedUntil: 60, steps: func(t *Tracker) {
			t.ApplyNotice(Notice{Fingerprint: a, Endpoint: "e2", Incarnation: "x", Ambiguous: true, QuarantineTTL: time.Minute}, atSecond(0))
		}},
		{desc: "ended before the death", steps: func(t *Tracker) {
			t.RecordStart(a, "e1", atSecond(0))
			t.RecordEnd(a, "e1")
			t.RecordEndpointDeath("e1", "x", atSecond(0))
		}},
		{desc: "connection broke just before the death was detected", suspect: true, steps: func(t *Tracker) {
			t.RecordStart(a, "e1", atSecond(-100))
			t.RecordBrokenConnection(a, "e1", atSecond(-5))
			t.RecordEnd(a, "e1") // a surplus call must not remove the broken run
			t.RecordEndpointDeath("e1", "x", atSecond(0))
		}},
		{desc: "connection broke long before", steps: func(t *Tracker) {
			t.RecordStart(a, "e1", atSecond(-100))
			t.RecordBrokenConnection(a, "e1", atSecond(-50))
			t.RecordEndpointDeath("e1", "x", atSecond(0))
		}},
		{desc: "an equal request ended well after the second death", steps: func(t *Tracker) {
			crash(t, -9, "e1", a)
			crash(t, -5, "e2", a)
			t.RecordSurvival([]Trait{IdentifyingTrait(a)}, atSecond(-4))
		}},
		{desc: "equal requests ended well until two endpoints died together", steps: func(t *Tracker) {
			t.RecordSurvival([]Trait{IdentifyingTrait(a)}, atSecond(0).Add(-survivalLookback/2))
			crash(t, 0, "e1", a)
			crash(t, 0, "e2", a)
		}},
		{desc: "an equal request ended well long before the deaths", suspect: true, refusedUntil: 600, steps: func(t *Tracker) {
			t.RecordSurvival([]Trait{IdentifyingTrait(a)}, atSecond(-20))
			crash(t, -9, "e1", a)
			crash(t, 0, "e2", a)
		}},
		{desc: "first death long ago", suspect: true, steps: func(t *Tracker) {
			crash(t, -3600, "e1", a)
			t.IsSuspect(a, atSecond(0))
			crash(t, 0, "e2", a)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tr := New(Options{}, nil)
			tt.steps(tr)
			if got := tr.IsSuspect(a, atSecond(0)); got != tt.suspect {
				t.Errorf("IsSuspect returned %v", got)
			}
			for _, second := range []int{0, 59, 60, 599, 600} {
				err := tr.Check(a, atSecond(second))
				refused := failure.Is(err, failure.Quarantined) && failure.From(err).Outcome == failure.NotRun
				if want := second < tt.refusedUntil; refused != want || (err != nil) != want {
					t.Errorf("Check after %d s: %v", second, err)
				}
			}
		})
	}
}

// TestBoundedMemory guards against memory that grows with the number of requests,
// and against dropping the newest entry instead of the oldest.
func TestBoundedMemory(t *testing.T) {
	tr := New(Options{MaxSuspects: 3, MaxRunning: 3}, nil)
	for i := range 10 {
		tr.RecordStart(Fingerprint{byte(i)}, fmt.Sprintf("r%d", i), atSecond(i))
	}
	if tr.runsByStart.Len() != 3 || len(tr.runs) != 3 || tr.runs["r9"] == nil {
		t.Errorf("%d runs on %d endpoints", tr.runsByStart.Len(), len(tr.runs))
	}
	for i := range 10 {
		crash(tr, i, "e", Fingerprint{byte(i)})
	}
	if len(tr.suspects) != 3 || tr.suspectsByDeath.Len() != 3 || !tr.IsSuspect(Fingerprint{9}, atSecond(9)) {
		t.Errorf("%d suspects", len(tr.suspects))
	}
}

// TestNoticeEncoding guards against a notice that other instances cannot decode.
func TestNoticeEncoding(t *testing.T) {
	n := Notice{Fingerprint: Fingerprint{1, 2, 3}, Endpoint: "e", Incarnation: "i", Ambiguous: true, QuarantineTTL: time.Minute}
	data, err := cbor.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	var got Notice
	if err := cbor.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got, n) || len(data) > 40 {
		t.Errorf("%d bytes, %+v, %v", len(data), got, err)
	}
}
