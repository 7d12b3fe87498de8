package splice

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// ErrFraming means that the head of a response does not say for certain where its body ends:
// an interim response (1xx) announces a body, or one of HTTP/1.0 chunks, which that protocol
// does not have. net/http would read the body as the next response, or the chunks as data.
var ErrFraming = errors.New("the head of a response leaves open where its body ends")

// hasBody reports whether the fields of a head announce a body.
func hasBody(head []byte) bool {
	length := fieldValue(head, "Content-Length")
	return hasChunks(head) || strings.Trim(length, "0") != ""
}

func hasChunks(head []byte) bool { return fieldValue(head, "Transfer-Encoding") != "" }

func isHTTP10(head []byte) bool { return bytes.HasPrefix(head, []byte("HTTP/1.0")) }

// fieldValue returns the value of the first field with the given name that has one. Heads of
// faulty endpoints may have many thousand lines.
func fieldValue(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		if len(line) <= len(name) || !strings.EqualFold(string(line[:len(name)]), name) {
			continue
		}
		before, value, found := bytes.Cut(line[len(name):], []byte(":"))
		if value = bytes.TrimSpace(value); found && len(bytes.TrimSpace(before)) == 0 && len(value) > 0 {
			return string(value)
		}
	}
	return ""
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks,
// so that only the end of the connection shows its end.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
