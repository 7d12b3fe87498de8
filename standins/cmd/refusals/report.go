package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// line holds the fields of a log line that the report uses.
type line struct {
	Message    string `json:"msg"`
	Domain     string `json:"domain"`
	Instance   string `json:"instance"`
	Cause      string `json:"cause"`
	Workspace  string `json:"workspace"`
	Route      string `json:"route"`
	Kind       string `json:"kind"`
	Status     int    `json:"status"`
	Duration   int64  `json:"ms"`
	RetryAfter int64  `json:"retry_after_ms"`
}

// report counts the requests of some instances.
type report struct {
	domains  map[string]string // by the words before the lines of an instance
	requests int
	unserved map[string]*causeCount // by cause
}

// causeCount describes the requests with one cause.
type causeCount struct {
	refused, failed       int // refused means status 429 or 503
	workspaces, routes    map[string]int
	domains               map[string]int
	durations, retryDelay []int64 // in ms; retryDelay only of those that were told one
}

func newReport() *report {
	return &report{domains: map[string]string{}, unserved: map[string]*causeCount{}}
}

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// read adds log lines to the report.
func (r *report) read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		prefix, object, found := bytes.Cut(lines.Bytes(), []byte("{"))
		if !found {
			continue
		}
		var l line
		if err := json.Unmarshal(append([]byte("{"), object...), &l); err != nil {
			continue // no log line
		}
		words := strings.Fields(string(prefix))
		source := ""
		if len(words) > 0 {
			source = words[len(words)-1]
		}
		r.add(source, l)
	}
	return lines.Err()
}

// add adds one line of the instance that source names.
func (r *report) add(source string, l line) {
	if l.Message == "instance started" {
		r.domains[source] = l.Domain
		return
	}
	if !strings.HasPrefix(l.Message, "request ") {
		return
	}
	r.requests++
	if l.Cause == "" {
		return
	}
	c := r.unserved[l.Cause]
	if c == nil {
		c = &causeCount{workspaces: map[string]int{}, routes: map[string]int{}, domains: map[string]int{}}
		r.unserved[l.Cause] = c
	}
	if l.Status == 429 || l.Status == 503 {
		c.refused++
	} else {
		c.failed++
	}
	c.workspaces[cmp.Or(l.Workspace, "none")]++
	c.routes[strings.TrimSpace(cmp.Or(l.Route, "none")+" "+l.Kind)]++
	c.domains[cmp.Or(r.domains[source], "unknown")]++
	c.durations = append(c.durations, l.Duration)
	if l.RetryAfter > 0 {
		c.retryDelay = append(c.retryDelay, l.RetryAfter)
	}
}

// write prints one row for each cause, the most frequent first.
func (r *report) write(out io.Writer, top int) error {
	causes := slices.SortedFunc(maps.Keys(r.unserved), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.unserved[b].total(), r.unserved[a].total()), cmp.Compare(a, b))
	})
	fmt.Fprintf(out, "%d requests\n", r.requests)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "cause\trefused\tfailed\tmedian ms\tmedian return ms\tworkspaces\troutes\tdomains")
	for _, name := range causes {
		c := r.unserved[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", name, c.refused, c.failed, median(c.durations), median(c.retryDelay),
			format(c.workspaces, top), format(c.routes, top), format(c.domains, top))
	}
	return w.Flush()
}

func (c *causeCount) total() int { return c.refused + c.failed }

// median returns the median of values, or 0 if there are none.
func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[len(values)/2]
}

// format returns the most frequent names with their counts.
func format(counts map[string]int, top int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, n := range names[:min(max(0, top), len(names))] {
		parts = append(parts, fmt.Sprintf("%s %d", n, counts[n]))
	}
	if rest := len(names) - len(parts); rest > 0 {
		parts = append(parts, fmt.Sprintf("%d more", rest))
	}
	return strings.Join(parts, ", ")
}
