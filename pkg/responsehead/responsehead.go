// Package responsehead checks the heads of HTTP/1 responses beyond their syntax.
package responsehead

import (
	"bytes"
	"regexp"
)

// statusLine matches the beginning of a status line (RFC 9112, section 4).
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// IsMerged reports whether head, from the status line to the empty line, contains a second
// status line, in the reason phrase or in a field. Its sender then broke off one response and
// went on with another one, so that the status and the fields belong to either.
func IsMerged(head []byte) bool { return len(statusLine.FindAllIndex(head, 2)) > 1 }

// emptyLines are the ends of the last line of a head with the empty line after it.
var emptyLines = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// Final returns the head of the first final response in received, without the heads of interim
// ones (1xx) before it. It reports false if that head is incomplete.
func Final(received []byte) (head []byte, ok bool) {
	for {
		end := -1
		for _, e := range emptyLines {
			if i := bytes.Index(received, e); i >= 0 && (end < 0 || i+len(e) < end) {
				end = i + len(e)
			}
		}
		if end < 0 {
			return received, false
		}
		head, received = received[:end], received[end:]
		if !isInterim(head) {
			return head, true
		}
	}
}

// isInterim reports whether a head has a status of 1xx.
func isInterim(head []byte) bool {
	const statusAt = len("HTTP/1.1 ")
	return len(head) > statusAt && head[statusAt] == '1'
}
