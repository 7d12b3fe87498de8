package config

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkEncode measures the encoding of the document of a deployment of the
// target size, and reports its size in bytes.
func BenchmarkEncode(b *testing.B) {
	const workspaces, models, endpoints = 2300, 4, 740
	d := &Document{Format: 1, Generation: 1, Shards: 256}
	for n := range models {
		s := Service{Name: fmt.Sprintf("model-%d", n), Kind: ModelService}
		for e := range endpoints / models {
			s.Endpoints = append(s.Endpoints, Endpoint{ID: fmt.Sprintf("model-%d-%03d", n, e), Address: "10.100.100.100:8000", Domain: "valle-maipo"})
		}
		d.Services = append(d.Services, s)
	}
	for n := range workspaces {
		d.Workspaces = append(d.Workspaces, Workspace{Name: fmt.Sprintf("workspace-%04d", n), KeyHash: strings.Repeat("0", 64), DefaultBudget: "main"})
	}
	size := 0
	for b.Loop() {
		data, err := Encode(d)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
