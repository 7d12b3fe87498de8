// Package responsehead checks the heads of HTTP/1 responses beyond their syntax.
package responsehead

import (
	"net/http"
	"regexp"
)

// statusLine matches the beginning of a status line (RFC 9112, section 4).
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// IsMerged reports whether the status line of another response stands in the reason phrase
// or in a field of resp. The sender then broke off the head of one response and went on with
// another one, so that the status and the fields of resp belong to either.
func IsMerged(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if statusLine.MatchString(v) {
				return true
			}
		}
	}
	return false
}
