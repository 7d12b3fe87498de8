package settings

import (
	"strings"

	"gopkg.in/ini.v1"
)

// Section is a section of an INI file with its values by key.
type Section struct {
	Name   string
	Values map[string]string
	Keys   []string // in the order of the file
}

// ReadSections parses INI text and adds what is wrong with it to faults. Values are
// not interpolated. A comment after a value begins with a space and # or ;. Keys
// outside of sections and keys with more than one value are faults.
func ReadSections(text []byte, faults *Faults) []Section {
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", SpaceBeforeInlineComment: true, AllowShadows: true,
	}, text)
	if err != nil {
		faults.Add("", "", "write lines of the form \"key = value\" below a line \"[section]\"", "the text is not INI: %v", err)
		return nil
	}
	var sections []Section
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				faults.Add("", k.Name(), "move it below the line of its section", "the key is outside of any section")
			}
			continue
		}
		sections = append(sections, readSection(s, faults))
	}
	return sections
}

// readSection converts a parsed section and adds a fault for each repeated key.
func readSection(s *ini.Section, faults *Faults) Section {
	section := Section{Name: s.Name(), Values: map[string]string{}}
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			faults.Add(s.Name(), k.Name(), "keep one of the lines", "the key is given more than once")
		}
		section.Keys = append(section.Keys, k.Name())
		section.Values[k.Name()] = strings.TrimSpace(k.Value())
	}
	return section
}

// SplitList splits a comma-separated value into its items, without surrounding white
// space and empty items.
func SplitList(value string) []string {
	var items []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
