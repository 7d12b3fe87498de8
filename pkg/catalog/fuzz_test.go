package catalog

import (
	"math"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// addEncoded adds the encoding of v to the seeds.
func addEncoded(f *testing.F, v any) {
	b, err := peer.Marshal(v)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
}

// Guards against a reply of another instance that stops the process, takes unbounded memory or holds amounts out of range.
func FuzzPullReply(f *testing.F) {
	prepaid := tokens.Count(5)
	base := &Document{Version: 7, Routes: make([]Route, 100), Workspaces: []Workspace{{Name: "w", Prepaid: &prepaid}}}
	addEncoded(f, PullReply{Document: base, Endpoints: &EndpointList{Revision: 9, Endpoints: []Endpoint{{ID: "e1", Slots: 4}}}})
	for _, n := range []int64{0, 1, -1, 100, math.MaxInt64, math.MinInt64} {
		segment := map[int]any{1: n, 2: n}
		segments := []any{map[int]any{1: 0, 2: 100}, segment, segment}
		addEncoded(f, map[int]any{3: n, 7: map[int]any{1: 7, 2: 8, 3: segments, 4: segments, 5: []any{map[int]any{3: []any{map[string]any{"Name": "w", "Prepaid": n}}}}}})
		addEncoded(f, map[int]any{1: map[string]any{"Version": 8, "Workspaces": []any{map[string]any{"Name": "w", "Prepaid": n}}}})
		addEncoded(f, map[int]any{9: map[int]any{1: n, 2: []any{map[string]any{"ID": "e2", "Slots": n, "Started": n}}, 3: []string{"e1"}}})
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply PullReply
		if peer.Unmarshal(data, &reply) != nil {
			return
		}
		documents := []*Document{reply.Document}
		if reply.Delta != nil {
			reply.Delta.Base = base.Version
			d, err := reply.Delta.apply(base)
			if err == nil && len(d.Routes) > 2*len(base.Routes)+maxRepeatedElements+len(data) {
				t.Errorf("%d bytes became %d routes", len(data), len(d.Routes))
			}
			documents = append(documents, d)
		}
		for _, d := range documents {
			if d == nil {
				continue
			}
			c := Index(d)
			c.Route("h.example:80", "/p/1")
			for name, n := range c.PrepaidTotals {
				if n < 0 || n > tokens.Max {
					t.Errorf("%q: %d", name, n)
				}
			}
		}
		if reply.Changes != nil {
			reply.Changes.apply(EndpointList{Revision: 9, Endpoints: []Endpoint{{ID: "e1"}}})
		}
	})
}
