//go:build bench

package policy

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// traffic counts the messages between instances, and the bytes of their bodies, for
// one method.
type traffic struct {
	Messages int `json:"messages"`
	Bytes    int `json:"bytes"`
}

// row is the result of one run.
type row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	System     string `json:"system"`
	counters
	FalseRefusalPercent       float64            `json:"false_refusals_percent"`
	SpentTokens               int64              `json:"spent_tokens"`
	PaidTokens                int64              `json:"paid_tokens"`
	SimulatedMinutes          float64            `json:"simulated_minutes"`
	RealSeconds               float64            `json:"real_seconds"`
	StoreCalls                map[string]int     `json:"store_calls"`
	StoreCallsPer1000Requests float64            `json:"store_calls_per_1000_requests"`
	Messages                  map[string]traffic `json:"messages"`
	BytesPerRequest           map[string]float64 `json:"bytes_per_request"`
	MessageBytesPerRequest    float64            `json:"message_bytes_per_request"`
	// InstanceBytesPerSecond is the mean rate at which one instance sends and receives
	// message bytes.
	InstanceBytesPerSecond float64 `json:"node_bytes_per_second"`

	scenarioIndex, instances int
}

// computeRatios sets the fields that are derived from the counts.
func (r *row) computeRatios() {
	requests := float64(max(r.Requests, 1))
	r.FalseRefusalPercent = 100 * float64(r.FalseExhausted+r.FalseUnavailable) / float64(max(r.WithRoom, 1))
	for _, n := range r.StoreCalls {
		r.StoreCallsPer1000Requests += 1000 * float64(n) / requests
	}
	r.BytesPerRequest = map[string]float64{}
	var total float64
	for method, t := range r.Messages {
		r.BytesPerRequest[method] = float64(t.Bytes) / requests
		total += float64(t.Bytes)
	}
	r.MessageBytesPerRequest = total / requests
	if r.instances > 0 {
		// Each byte is counted at its sender and at its receiver.
		r.InstanceBytesPerSecond = 2 * total / float64(r.instances) / (r.SimulatedMinutes * 60)
	}
}

// traffic returns the messages sent so far, by method.
func (f *fleet) traffic() map[string]traffic {
	byMethod := map[string]traffic{}
	for method, c := range f.network.Stats() {
		byMethod[string(method)] = traffic{c.Requests + c.Answers, c.RequestBytes + c.AnswerBytes}
	}
	return byMethod
}

func subtractTraffic(after, before map[string]traffic) map[string]traffic {
	out := map[string]traffic{}
	for method, t := range after {
		b := before[method]
		out[method] = traffic{t.Messages - b.Messages, t.Bytes - b.Bytes}
	}
	return out
}

// compareRows orders rows by deployment, scenario and the rank of the system.
func compareRows(a, b row, rank map[string]int) int {
	return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.scenarioIndex, b.scenarioIndex), cmp.Compare(rank[a.System], rank[b.System]))
}

// formatTable formats the rows as a text table.
func formatTable(rows []row) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%-4s%-32s%-20s%9s%10s%8s%8s%9s%8s%9s%9s%9s%9s\n", "dep", "scenario", "system", "requests", "overspend",
		"f.right", "f.away", "false %", "refused", "spent %", "store/1k", "B/req", "B/s node")
	for _, r := range rows {
		fmt.Fprintf(&b, "%-4s%-32s%-20s%9d%10d%8d%8d%9.3f%8d%9.2f%9.1f%9.0f%9.0f\n", r.Deployment, r.Scenario, r.System, r.Requests, r.Overspend,
			r.FalseExhausted, r.FalseUnavailable, r.FalseRefusalPercent, r.TrueRefusals, 100*float64(r.SpentTokens)/float64(max(r.PaidTokens, 1)),
			r.StoreCallsPer1000Requests, r.MessageBytesPerRequest, r.InstanceBytesPerSecond)
	}
	writeMethodTraffic(&b, rows)
	return b.Bytes()
}

// writeMethodTraffic appends the messages by method for the first row of each
// deployment that has any.
func writeMethodTraffic(b *bytes.Buffer, rows []row) {
	seen := map[string]bool{}
	for _, r := range rows {
		if r.Messages == nil || seen[r.Deployment] {
			continue
		}
		seen[r.Deployment] = true
		fmt.Fprintf(b, "\nmessages between instances, deployment %s, %s, %s:\n", r.Deployment, r.Scenario, r.System)
		for _, method := range slices.Sorted(maps.Keys(r.Messages)) {
			t := r.Messages[method]
			fmt.Fprintf(b, "  %-24s%9d messages%11d bytes%9.1f bytes per request\n", method, t.Messages, t.Bytes, r.BytesPerRequest[method])
		}
	}
}

// resultsFile is the content of the JSON file.
type resultsFile struct {
	Seed               int   `json:"seed"`
	RatePerInstance    int   `json:"requests_per_second_per_instance"`
	MaxWritesPerSecond int   `json:"store_writes_per_second_limit"`
	Rows               []row `json:"rows"`
}

// writeResults writes the rows to path as JSON, and as a text table to the same path
// with the extension .txt.
func writeResults(path string, rows []row) error {
	data, err := json.MarshalIndent(resultsFile{seed, *requestRate, maxWritesPerSecond, rows}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(path, ".json")+".txt", formatTable(rows), 0o644)
}
