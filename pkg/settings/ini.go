package settings

import (
	"strings"

	"gopkg.in/ini.v1"
)

// Section is a section of an INI file.
type Section struct {
	Name   string
	Values map[string]string
	Keys   []string // in the order of the file
}

// ReadSections parses INI text. Values are taken as they are written, without
// interpolation; a comment behind a value begins with a space and # or ;. Keys
// outside of sections and keys with two values are faults.
func ReadSections(text []byte, faults *Faults) []Section {
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", SpaceBeforeInlineComment: true, AllowShadows: true,
	}, text)
	if err != nil {
		faults.Add("", "", "write lines of the form \"key = value\" below a line \"[section]\"", "the text is not INI: %v", err)
		return nil
	}
	var out []Section
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				faults.Add("", k.Name(), "move it below the line of its section", "the key stands outside of any section")
			}
			continue
		}
		out = append(out, readSection(s, faults))
	}
	return out
}

func readSection(s *ini.Section, faults *Faults) Section {
	sec := Section{Name: s.Name(), Values: map[string]string{}}
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			faults.Add(s.Name(), k.Name(), "keep one of the lines", "the key is given more than once")
		}
		sec.Keys = append(sec.Keys, k.Name())
		sec.Values[k.Name()] = strings.TrimSpace(k.Value())
	}
	return sec
}

// SplitList splits a comma-separated value and drops empty items.
func SplitList(value string) []string {
	var out []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
