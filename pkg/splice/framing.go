package splice

import (
	"bytes"
	"errors"
	"net/http"
	"regexp"
)

// ErrFraming means that the head of a response does not say for certain where its body ends:
// an interim response (1xx) announces a body, or one of HTTP/1.0 chunks, which that protocol
// does not have. net/http would read the body as the next response, or the chunks as data.
var ErrFraming = errors.New("the head of a response leaves open where its body ends")

var (
	transferEncoding = regexp.MustCompile(`(?im)^transfer-encoding[ \t]*:`)
	positiveLength   = regexp.MustCompile(`(?im)^content-length[ \t]*:[ \t]*0*[1-9]`)
)

// hasBody reports whether the fields of a head announce a body.
func hasBody(head []byte) bool { return transferEncoding.Match(head) || positiveLength.Match(head) }

func isHTTP10(head []byte) bool { return bytes.HasPrefix(head, []byte("HTTP/1.0")) }

// EndsWithConnection reports whether the body of a response has neither a length nor chunks,
// so that only the end of the connection shows its end.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
