package configcheck

import "cmp"

// Severity tells whether a configuration should be sent in spite of a finding.
type Severity string

// Severities.
const (
	// Error means that requests fail, or that callers get what they must not get.
	Error Severity = "error"
	// Warning means that an entry has no effect, or another one than it seems to have.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Object is the entry, named as in the configuration, for example "route bookings".
	Object string `json:"object"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// compareFindings orders errors before warnings, and equal severities by object.
func compareFindings(a, b Finding) int {
	return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Fault, b.Fault))
}

// HasErrors reports whether one of the findings is an Error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}
