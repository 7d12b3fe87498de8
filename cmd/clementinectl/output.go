package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

func writeJSON(w io.Writer, v any) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // a failed write means that nobody reads the output
}

// show prints v as JSON, or calls text with a table writer.
func (s *session) show(v any, text func(t table)) {
	if s.json {
		writeJSON(s.out, v)
		return
	}
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	text(table{w})
	_ = w.Flush()
}

type table struct{ io.Writer }

// row prints the cells of a line.
func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(t.Writer, strings.Join(texts, "\t"))
}

// silent names instances that did not answer.
func (t table) silent(ids []string) {
	if len(ids) > 0 {
		t.row("no answer from: " + strings.Join(ids, ", "))
	}
}

// faults prints what could not be read.
func (t table) faults(all []string) {
	for _, f := range all {
		t.row("fault: " + f)
	}
}

// more tells how to read the rest of a long list.
func (t table) more(next string) {
	if next != "" {
		t.row("more budgets follow; continue with --after " + next)
	}
}
