package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// writeJSON writes v as indented JSON.
func writeJSON(w io.Writer, v any) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // a write fails only if nobody reads the output
}

// printResult prints v as JSON, or calls write to print it as a table.
func (s *session) printResult(v any, write func(t table)) {
	if s.asJSON {
		writeJSON(s.out, v)
		return
	}
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	write(table{w})
	_ = w.Flush()
}

// table aligns the cells of its rows in columns.
type table struct{ io.Writer }

// writeRow writes the cells of a row.
func (t table) writeRow(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(t.Writer, strings.Join(texts, "\t"))
}

// writeSilent lists the instances that did not answer.
func (t table) writeSilent(ids []string) {
	if len(ids) > 0 {
		t.writeRow("no answer from: " + strings.Join(ids, ", "))
	}
}

// writeFaults lists what could not be read.
func (t table) writeFaults(faults []string) {
	for _, fault := range faults {
		t.writeRow("fault: " + fault)
	}
}

// writeNextPage says how to read the next page, if there is one.
func (t table) writeNextPage(next string) {
	if next != "" {
		t.writeRow("more budgets follow; continue with --after " + next)
	}
}
