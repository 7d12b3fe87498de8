// Package splice detects HTTP/1 responses that were broken off and go on with another response.
package splice

import (
	"bytes"
	"errors"
	"regexp"
)

// statusLine matches the beginning of a status line (RFC 9112, section 4), of
// statusLineBytes bytes.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

const statusLineBytes = len("HTTP/1.1 200")

// isStatusLinePrefix reports whether b is not empty and begins a status line, as far as it
// goes.
func isStatusLinePrefix(b []byte) bool {
	const sample = "HTTP/1.1 200"
	b = b[:min(len(b), statusLineBytes)]
	line := append(bytes.Clone(b), sample[len(b):]...)
	return len(b) > 0 && statusLine.Match(line)
}

// ErrHead means that the head of a response was broken off and goes on with other bytes.
var ErrHead = errors.New("the head of a response contains another one, or other text")

// CheckHead fails with ErrHead if head, from the status line to the empty line, contains a
// second status line, in the reason phrase or in a field, or two kinds of line ends. Its
// status and fields then belong to either response. It fails with ErrFraming as described there.
func CheckHead(head []byte) error {
	switch {
	case len(statusLine.FindAllIndex(head, 2)) > 1 || LineEndKinds(head) > 1:
		return ErrHead
	case isInterim(head) && hasBody(head), isHTTP10(head) && hasChunks(head):
		return ErrFraming
	}
	return nil
}

// LineEndKinds returns how many of the line ends CR LF, LF and CR occur in text. Senders use
// one of them; text that was spliced with other text may have more.
func LineEndKinds(text []byte) int {
	kinds := 0
	pairs := bytes.Count(text, []byte("\r\n"))
	for _, n := range []int{pairs, bytes.Count(text, []byte("\n")) - pairs, bytes.Count(text, []byte("\r")) - pairs} {
		kinds += min(n, 1)
	}
	return kinds
}

// emptyLines are the ends of the last line of a head with the empty line after it.
var emptyLines = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// FinalHead returns the head of the first final response in received, without the heads of
// interim ones (1xx) before it, and the bytes after it. An interim one with a body, which
// CheckHead rejects, counts as final. It reports false if that head is incomplete.
func FinalHead(received []byte) (head, rest []byte, ok bool) {
	for {
		end := -1
		for _, e := range emptyLines {
			if i := bytes.Index(received, e); i >= 0 && (end < 0 || i+len(e) < end) {
				end = i + len(e)
			}
		}
		if end < 0 {
			return received, nil, false
		}
		head, received = received[:end], received[end:]
		if !isInterim(head) || hasBody(head) {
			return head, received, true
		}
	}
}

// isInterim reports whether a head has a status of 1xx.
func isInterim(head []byte) bool {
	const statusAt = len("HTTP/1.1 ")
	return len(head) > statusAt && head[statusAt] == '1'
}
