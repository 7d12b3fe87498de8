package declare

import (
	"strconv"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// values reads the keys of one section and collects their faults.
type values struct {
	section settings.Section
	names   []string // words of the title after the kind
	faults  *settings.Faults
}

func (v *values) fault(key, remedy, reason string, args ...any) {
	v.faults.Add(v.section.Name, key, remedy, reason, args...)
}

// text returns the value of a key; an empty fallback makes the key required.
func (v *values) text(key, fallback string) string {
	value := v.section.Values[key]
	if value == "" {
		value = fallback
	}
	if value == "" {
		v.fault(key, "add the key with a value", "the key is missing or empty")
	}
	return value
}

func (v *values) optional(key string) string { return v.section.Values[key] }

func (v *values) list(key string) []string { return settings.SplitList(v.section.Values[key]) }

func (v *values) boolean(key string) bool {
	value := v.section.Values[key]
	if value == "" {
		return false
	}
	b, err := strconv.ParseBool(value)
	if err != nil {
		v.fault(key, "write true or false", "%q is neither true nor false", value)
	}
	return b
}

func (v *values) whole(key, fallback string) int {
	value := v.text(key, fallback)
	n, err := strconv.Atoi(value)
	if err != nil && value != "" {
		v.fault(key, "write a whole number such as 8", "%q is not a whole number", value)
	}
	return n
}

// tokens reads an amount of tokens from 0 to ledger.MaxTokens.
func (v *values) tokens(key, fallback string) int64 {
	value := v.text(key, fallback)
	n, err := strconv.ParseInt(value, 10, 64)
	if value != "" && (err != nil || n < 0 || n > int64(ledger.MaxTokens)) {
		v.fault(key, "write a whole number of tokens from 0 to 2^42", "%q is not an amount of tokens", value)
		return 0
	}
	return n
}

func (v *values) number(key, fallback string) float64 {
	value := v.text(key, fallback)
	f, err := strconv.ParseFloat(value, 64)
	if err != nil && value != "" {
		v.fault(key, "write a number such as 0.95", "%q is not a number", value)
	}
	return f
}

func (v *values) duration(key, fallback string) time.Duration {
	value := v.text(key, fallback)
	d, err := time.ParseDuration(value)
	if err != nil {
		v.fault(key, "write a duration such as 500ms, 2s or 10m", "%q is not a duration", value)
	}
	return d
}
