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

// traffic is what was sent between instances for one method.
type traffic struct {
	Messages int `json:"messages"`
	Bytes    int `json:"bytes"`
}

// row is one run in the results file.
type row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	System     string `json:"system"`
	tally
	FalsePercent     float64            `json:"false_refusals_percent"`
	Spent            int64              `json:"spent_tokens"`
	Paid             int64              `json:"paid_tokens"`
	Minutes          float64            `json:"simulated_minutes"`
	RealSeconds      float64            `json:"real_seconds"`
	StoreCalls       map[string]int     `json:"store_calls"`
	StorePerThousand float64            `json:"store_calls_per_1000_requests"`
	Messages         map[string]traffic `json:"messages"`
	BytesPerRequest  map[string]float64 `json:"bytes_per_request"`
	MessageBytes     float64            `json:"message_bytes_per_request"`
	// NodeBytes is what an instance sends and receives per second.
	NodeBytes float64 `json:"node_bytes_per_second"`

	order, instances int
}

func (r *row) derive() {
	requests := float64(max(r.Requests, 1))
	r.FalsePercent = 100 * float64(r.FalseRights+r.FalseAway) / float64(max(r.WithRoom, 1))
	for _, n := range r.StoreCalls {
		r.StorePerThousand += 1000 * float64(n) / requests
	}
	r.BytesPerRequest = map[string]float64{}
	var total float64
	for method, t := range r.Messages {
		r.BytesPerRequest[method] = float64(t.Bytes) / requests
		total += float64(t.Bytes)
	}
	r.MessageBytes = total / requests
	if r.instances > 0 {
		// Each byte is sent by one instance and received by another one.
		r.NodeBytes = 2 * total / float64(r.instances) / (r.Minutes * 60)
	}
}

// traffic returns what was sent so far, by method.
func (f *fleet) traffic() map[string]traffic {
	byMethod := map[string]traffic{}
	for method, c := range f.net.Stats() {
		byMethod[string(method)] = traffic{c.Requests + c.Answers, c.RequestBytes + c.AnswerBytes}
	}
	return byMethod
}

func difference(after, before map[string]traffic) map[string]traffic {
	out := map[string]traffic{}
	for method, t := range after {
		b := before[method]
		out[method] = traffic{t.Messages - b.Messages, t.Bytes - b.Bytes}
	}
	return out
}

func compareRows(a, b row, rank map[string]int) int {
	return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.order, b.order), cmp.Compare(rank[a.System], rank[b.System]))
}

// report returns the rows as a table.
func report(rows []row) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%-4s%-32s%-20s%9s%10s%8s%8s%9s%8s%9s%9s%9s%9s\n", "dep", "scenario", "system", "requests", "overspend",
		"f.right", "f.away", "false %", "refused", "spent %", "store/1k", "B/req", "B/s node")
	for _, r := range rows {
		fmt.Fprintf(&b, "%-4s%-32s%-20s%9d%10d%8d%8d%9.3f%8d%9.2f%9.1f%9.0f%9.0f\n", r.Deployment, r.Scenario, r.System, r.Requests, r.Overspend,
			r.FalseRights, r.FalseAway, r.FalsePercent, r.TrueRefusals, 100*float64(r.Spent)/float64(max(r.Paid, 1)),
			r.StorePerThousand, r.MessageBytes, r.NodeBytes)
	}
	reportMethods(&b, rows)
	return b.Bytes()
}

// reportMethods prints the messages of the first healthy run of each deployment.
func reportMethods(b *bytes.Buffer, rows []row) {
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

// results is the results file.
type results struct {
	Seed            int   `json:"seed"`
	RatePerInstance int   `json:"requests_per_second_per_instance"`
	WritesPerSecond int   `json:"store_writes_per_second_limit"`
	Rows            []row `json:"rows"`
}

// save writes the rows as JSON, and as a table beside it.
func save(path string, rows []row) error {
	data, err := json.MarshalIndent(results{seed, *rate, writesPerSecond, rows}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(path, ".json")+".txt", report(rows), 0o644)
}
