package entry

import (
	"net/http"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

type recordedSamples struct{ all chan Sample }

func (r recordedSamples) Observe(s Sample) { r.all <- s }

// Guards against requests that the service level report misses, counts for the
// wrong workspace, or blames on the service although their caller is at fault.
func TestSamples(t *testing.T) {
	broken := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			writeEvents(w, 1, 2)
		}
		abort(w, r)
	}
	exhaust := func(f *fixture) {
		f.ledger.onReserve = func(ledger.ReserveRequest) (*ledger.ReserveReply, error) {
			return &ledger.ReserveReply{Decision: ledger.Exhausted, Kind: failure.Limited}, nil
		}
	}
	tests := []struct {
		desc     string
		endpoint http.HandlerFunc
		prepare  func(*fixture)
		body     string
		header   string
		want     *Sample
	}{
		{desc: "whole answer", endpoint: engine, want: &Sample{}},
		{desc: "truncated", endpoint: broken, want: &Sample{Truncated: true}},
		{desc: "no endpoint", endpoint: engine, prepare: func(f *fixture) { f.pool.Drain("e0", routing.DrainSourceEndpoint) }, want: &Sample{Refused: failure.NoEndpoint}},
		{desc: "limit of the workspace", endpoint: engine, prepare: func(f *fixture) { f.doc.Workspaces[0].RatePerSecond = 1e-9; _ = f.limits.allow(f.doc.Workspaces[0]) },
			want: &Sample{Refused: failure.Limited, CallerFault: true}},
		{desc: "unknown budget beyond the limit", endpoint: engine, prepare: exhaust, want: &Sample{Refused: failure.Limited, CallerFault: true}},
		{desc: "malformed", endpoint: engine, header: timeoutHeader + ": soon", want: &Sample{Refused: failure.Invalid}},
		{desc: "unknown service", endpoint: engine, body: `{"model":"none","messages":[]}`},
		{desc: "wrong key", endpoint: engine, prepare: func(f *fixture) { f.doc.Workspaces[0].KeyHash = "" }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixture(t, tt.endpoint)
			recorded := recordedSamples{make(chan Sample, 2)}
			f.opts.Samples = recorded
			if tt.prepare != nil {
				tt.prepare(f)
			}
			body, headers := chatBody, []string{}
			if tt.body != "" {
				body = tt.body
			}
			if tt.header != "" {
				headers = append(headers, tt.header)
			}
			f.do("POST", chatPath, body, headers...)
			f.drain()
			close(recorded.all)
			var got *Sample
			for s := range recorded.all {
				s.FirstToken, s.WorstGap = 0, 0
				got = &s
			}
			if tt.want != nil {
				tt.want.Service, tt.want.Workspace = "llm", "ward"
			}
			if (got == nil) != (tt.want == nil) || got != nil && *got != *tt.want {
				t.Errorf("sample %+v, want %+v", got, tt.want)
			}
		})
	}
}
