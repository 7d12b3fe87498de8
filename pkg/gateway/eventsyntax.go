package gateway

import "bytes"

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
	return ids <= 1 && lineEndKinds(bytes.TrimSuffix(event, []byte("\r"))) == 1
}

// lineEndKinds returns how many of the line ends CR LF, LF and CR occur in b.
func lineEndKinds(b []byte) int {
	kinds := 0
	pairs := bytes.Count(b, []byte("\r\n"))
	for _, n := range []int{pairs, bytes.Count(b, []byte("\n")) - pairs, bytes.Count(b, []byte("\r")) - pairs} {
		kinds += min(n, 1)
	}
	return kinds
}
