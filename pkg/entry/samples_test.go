package entry

import (
	"net/http"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

type recordedSamples struct{ samples chan Sample }

func (r recordedSamples) Observe(s Sample) { r.samples <- s }

// Guards against requests that get no sample, a sample for the wrong workspace, or
// one that blames the service although the caller is at fault.
func TestSamples(t *testing.T) {
	truncatedStream := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			writeEvents(w, 1, 2)
		}
		breakConnection(w, r)
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
		{desc: "complete answer", endpoint: serveStream, want: &Sample{}},
		{desc: "truncated", endpoint: truncatedStream, want: &Sample{Truncated: true}},
		{desc: "no endpoint", endpoint: serveStream, prepare: func(f *fixture) { f.pool.Drain("e0", routing.DrainSourceEndpoint) }, want: &Sample{Refused: failure.NoEndpoint}},
		{desc: "limit of the workspace", endpoint: serveStream, prepare: func(f *fixture) { f.doc.Workspaces[0].RatePerSecond = 1e-9; _ = f.limits.allow(f.doc.Workspaces[0]) },
			want: &Sample{Refused: failure.Limited, CallerFault: true}},
		{desc: "unknown budget beyond the limit", endpoint: serveStream, prepare: exhaust, want: &Sample{Refused: failure.Limited, CallerFault: true}},
		{desc: "malformed", endpoint: serveStream, header: timeoutHeader + ": soon", want: &Sample{Refused: failure.Invalid}},
		{desc: "unknown service", endpoint: serveStream, body: `{"model":"none","messages":[]}`},
		{desc: "wrong key", endpoint: serveStream, prepare: func(f *fixture) { f.doc.Workspaces[0].KeyHash = "" }},
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
			f.send("POST", chatPath, body, headers...)
			f.drain()
			close(recorded.samples)
			var got *Sample
			for s := range recorded.samples {
				s.FirstTokenDelay, s.LongestTokenInterval = 0, 0
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
