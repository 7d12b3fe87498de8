package settings

import (
	"fmt"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Fault is one fault of an INI file.
type Fault struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
}

// String returns the form "[section] key: reason; remedy".
func (f Fault) String() string {
	place := "[" + f.Section + "]"
	if f.Key != "" {
		place += " " + f.Key
	}
	return place + ": " + f.Reason + "; " + f.Remedy
}

// Faults collects the faults of a file in the order in which they are found.
type Faults []Fault

// Add appends a fault.
func (f *Faults) Add(section, key, remedy, reason string, args ...any) {
	*f = append(*f, Fault{Section: section, Key: key, Reason: fmt.Sprintf(reason, args...), Remedy: remedy})
}

// Err returns a failure.Invalid error that lists all faults, one a line, or nil
// when there are none.
func (f Faults) Err(file string) error {
	if len(f) == 0 {
		return nil
	}
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return failure.New(failure.Invalid, "correct the file and try again",
		"%s has %d faults:\n  %s", file, len(f), strings.Join(lines, "\n  "))
}
