package settings

import (
	"fmt"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Fault is one error in an INI file. Key is empty if the fault concerns a section or
// the whole file.
type Fault struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
}

// String returns the fault as "[section] key: reason; remedy".
func (f Fault) String() string {
	location := "[" + f.Section + "]"
	if f.Key != "" {
		location += " " + f.Key
	}
	return location + ": " + f.Reason + "; " + f.Remedy
}

// Faults are the faults of a file in the order in which they were found.
type Faults []Fault

// Add appends a fault. Its reason is formatted with args, its remedy is not.
func (f *Faults) Add(section, key, remedy, reasonFormat string, args ...any) {
	*f = append(*f, Fault{Section: section, Key: key, Reason: fmt.Sprintf(reasonFormat, args...), Remedy: remedy})
}

// Err returns a failure.Invalid error that lists all faults, one per line, or nil
// if there are none. file is the path that the error names.
func (f Faults) Err(file string) error {
	if len(f) == 0 {
		return nil
	}
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return failure.New(failure.Invalid, "correct the file and try again",
		"%s has %d faults:\n  %s", file, len(f), strings.Join(lines, "\n  "))
}
