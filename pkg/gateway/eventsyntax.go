package gateway

import (
	"bytes"

	"github.com/clementinerack/clementinerack/pkg/splice"
)

// isSoundEvent reports whether an event has at most one ID, only fields of the event stream
// format (WHATWG HTML, section 9.2.6) or for which isEventField holds, and one kind of line
// end. Other bytes are no event, or were joined with one, such as the head of an error after a
// cut.
func isSoundEvent(event []byte, isEventField func(name string) bool) bool {
	ids := 0
	for line := range eventLines(event) {
		if line[0] == ':' {
			continue
		}
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			ids++
		case "data", "event", "retry":
		default:
			if !hasValue || !isEventField(string(name)) {
				return false
			}
		}
	}
	// A CR at the end may be the first half of a CR LF.
	return ids <= 1 && splice.LineEndKinds(bytes.TrimSuffix(event, []byte("\r"))) == 1
}
