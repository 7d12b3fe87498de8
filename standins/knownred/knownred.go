// Package knownred reads the list of tests that fail because of known faults.
package knownred

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// Entry is a test that fails because of a known fault.
type Entry struct {
	// Package is the directory of the test relative to the module root, and Test
	// its name, with its subtests separated by slashes.
	Package, Test string
	// Details are the other lines of the entry.
	Details string
}

// Name returns the package and the test, separated by a space.
func (e Entry) Name() string { return e.Package + " " + e.Test }

// Pattern returns the expression that selects exactly this test and its subtests
// in the flags -run and -skip of go test.
func (e Entry) Pattern() string {
	parts := strings.Split(e.Test, "/")
	for i := range parts {
		parts[i] = "^" + regexp.QuoteMeta(parts[i]) + "$"
	}
	return strings.Join(parts, "/")
}

// Read reads the entries of a file. They are separated by empty lines and begin
// with the line "test: <package> <test>". Lines that begin with # are comments. A
// missing file has no entries.
func Read(path string) ([]Entry, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for text := range strings.SplitSeq(string(data), "\n\n") {
		var lines []string
		for line := range strings.Lines(text) {
			if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
				lines = append(lines, line)
			}
		}
		if len(lines) == 0 {
			continue
		}
		name, ok := strings.CutPrefix(lines[0], "test: ")
		pkg, test, hasTest := strings.Cut(name, " ")
		if !ok || !hasTest {
			return nil, fmt.Errorf("%s: the entry %q does not begin with \"test: <package> <test>\"", path, lines[0])
		}
		entries = append(entries, Entry{pkg, test, strings.Join(lines[1:], "\n")})
	}
	return entries, nil
}
