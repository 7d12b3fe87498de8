package declare

import (
	"strconv"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// sectionReader reads the values of one section and reports their faults.
type sectionReader struct {
	section settings.Section
	names   []string // words of the title after the kind
	faults  *settings.Faults
}

// addFault reports a fault of a key, or of the whole section if key is empty.
func (r *sectionReader) addFault(key, remedy, reason string, args ...any) {
	r.faults.Add(r.section.Name, key, remedy, reason, args...)
}

// text returns the value of a key, or fallback if it is empty. An empty fallback
// makes the key required.
func (r *sectionReader) text(key, fallback string) string {
	value := r.section.Values[key]
	if value == "" {
		value = fallback
	}
	if value == "" {
		r.addFault(key, "add the key with a value", "the key is missing or empty")
	}
	return value
}

// optional returns the value of a key that may be empty.
func (r *sectionReader) optional(key string) string { return r.section.Values[key] }

// list returns the elements of a comma-separated list.
func (r *sectionReader) list(key string) []string { return settings.SplitList(r.section.Values[key]) }

// boolean returns the value of a key that is false by default.
func (r *sectionReader) boolean(key string) bool {
	value := r.section.Values[key]
	if value == "" {
		return false
	}
	b, err := strconv.ParseBool(value)
	if err != nil {
		r.addFault(key, "write true or false", "%q is neither true nor false", value)
	}
	return b
}

// integer returns the value of a key as an int; see text for fallback.
func (r *sectionReader) integer(key, fallback string) int {
	value := r.text(key, fallback)
	n, err := strconv.Atoi(value)
	if err != nil && value != "" {
		r.addFault(key, "write a whole number such as 8", "%q is not a whole number", value)
	}
	return n
}

// tokens returns an amount of 0 to ledger.MaxTokens tokens; see text for fallback.
func (r *sectionReader) tokens(key, fallback string) int64 {
	value := r.text(key, fallback)
	n, err := strconv.ParseInt(value, 10, 64)
	if value != "" && (err != nil || n < 0 || n > int64(ledger.MaxTokens)) {
		r.addFault(key, "write a whole number of tokens from 0 to 2^42", "%q is not an amount of tokens", value)
		return 0
	}
	return n
}

// number returns the value of a key as a decimal number; see text for fallback.
func (r *sectionReader) number(key, fallback string) float64 {
	value := r.text(key, fallback)
	f, err := strconv.ParseFloat(value, 64)
	if err != nil && value != "" {
		r.addFault(key, "write a number such as 0.95", "%q is not a number", value)
	}
	return f
}

// duration returns the value of a key as a duration; see text for fallback.
func (r *sectionReader) duration(key, fallback string) time.Duration {
	value := r.text(key, fallback)
	d, err := time.ParseDuration(value)
	if err != nil {
		r.addFault(key, "write a duration such as 500ms, 2s or 10m", "%q is not a duration", value)
	}
	return d
}
